//! Reservation of KV cache capacity at a decode engine before the prompt is prefilled.
//!
//! Hosts learn of each other's choices about 10 ms late. When many hosts place calls on nearly full
//! engines, only the engine itself knows which call came first. Without a reservation, the prefill
//! of a call that then finds no capacity is wasted.

use std::net::SocketAddr;
use std::sync::Arc;

use bv_admit::{Instance, SendOutcome};
use bv_link::{CollectError, SendCause, Sender, collect};
use bv_platform::{
    parse_answer_head, parse_reservation_answer, release_request, reservation_request, set_team,
};
use bv_roster::Registration;
use bv_types::{Millis, TeamId, Tokens};
use http::{Request, StatusCode, header};
use http_body_util::Full;
use smol_str::SmolStr;

use super::ModelCall;
use super::decode::DecodeTarget;
use crate::counters;
use crate::edge::{Edge, TrackedSend};
use crate::send::{Connection, SendError, give_up, open};

/// Timeout of a reservation request; engines answer it at once and are at most 10 ms away.
const RESERVE_TIMEOUT: Millis = Millis(400);
/// Time for which capacity stays reserved beyond the predicted first event; prompts of other hosts
/// may be prefilled before this one.
const RESERVATION_SLACK: Millis = Millis(700);
/// Largest answer to a reservation request; it is the name of the reservation.
const MAX_RESERVATION_BYTES: usize = 4 << 10;
/// Timeout of the call that releases an unused reservation.
const RELEASE_TIMEOUT: Millis = Millis(400);

/// Capacity that an engine reserves for one request; released at the engine on drop unless used.
#[derive(Debug)]
pub(super) struct Reservation {
    edge: Arc<Edge>,
    engine: Registration,
    /// The team that the request is from.
    team: Option<TeamId>,
    /// Id that the engine gave to the reservation.
    pub id: SmolStr,
    /// When the engine ends the reservation.
    pub expires_at: Millis,
    /// Whether the request was sent with this reservation.
    pub used: bool,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let engine = Instance::from(&self.engine);
        let now = self.edge.now();
        if !self.used && self.edge.state().announced.may_release(now, &engine) {
            tokio::spawn(release(
                self.edge.clone(),
                self.engine.address,
                self.id.clone(),
                self.team.clone(),
            ));
        }
    }
}

async fn release(edge: Arc<Edge>, addr: SocketAddr, id: SmolStr, team: Option<TeamId>) {
    let options = bv_link::ConnectOptions {
        timeout: RELEASE_TIMEOUT,
        unacknowledged: RELEASE_TIMEOUT,
    };
    let releasing = async {
        let mut req = release_request(&id).map_err(|err| err.to_string())?;
        set_team(req.headers_mut(), team.as_ref());
        set_host_header(&mut req, addr)?;
        let mut channel = bv_link::connect(addr, options)
            .await
            .map_err(|err| err.to_string())?;
        channel.send(req).await.map_err(|err| err.to_string())?;
        Ok::<(), String>(())
    };
    let result = match tokio::time::timeout(RELEASE_TIMEOUT.duration(), releasing).await {
        Ok(result) => result,
        Err(_) => Err(format!("no answer within {RELEASE_TIMEOUT}")),
    };
    if let Err(err) = result {
        // The engine ends the reservation by itself when its duration is over.
        edge.logs.reservation_not_released(edge.now(), addr, &err);
    }
}

/// An engine's answer to a reservation request.
enum ReserveReply {
    Reserved(SmolStr),
    Full,
    Misdirected,
    /// The engine does not support reservations; it decides when the request arrives.
    Unsupported(StatusCode),
}

impl ModelCall {
    /// Opens a connection to a decode engine and reserves capacity there; `None` if that failed.
    pub(super) async fn reserve(
        &mut self,
        engine: &Registration,
        tracked_send: TrackedSend,
        predicted: Millis,
    ) -> Option<DecodeTarget> {
        let timeout = self.req.remaining(self.edge.now());
        let mut channel = match open(engine, timeout).await {
            Ok(channel) => channel,
            Err(err) => {
                self.record_failed_send(engine, tracked_send, &err);
                return None;
            }
        };
        let Some(duration) = self.reservation_time(predicted) else {
            tracked_send.confirm();
            return Some(DecodeTarget {
                engine: engine.clone(),
                tracked_send,
                connection: Connection::Open(channel),
                reservation: None,
            });
        };
        let requested_at = self.edge.now();
        let reserving = self.request_reservation(engine, &mut channel, duration);
        let reserved = tokio::time::timeout(RESERVE_TIMEOUT.duration(), reserving).await;
        let (reply, is_reusable) =
            match reserved.unwrap_or(Err(SendError::Timeout(RESERVE_TIMEOUT))) {
                Ok(answer) => answer,
                Err(err) => {
                    self.record_failed_send(engine, tracked_send, &err);
                    return None;
                }
            };
        let now = self.edge.now();
        let reservation = match reply {
            ReserveReply::Reserved(id) => {
                counters::reservation("held");
                Some(Reservation {
                    edge: self.edge.clone(),
                    engine: engine.clone(),
                    team: self.req.team_id().cloned(),
                    id,
                    expires_at: requested_at + duration,
                    used: false,
                })
            }
            ReserveReply::Unsupported(status) => {
                counters::reservation("unsupported");
                self.edge
                    .logs
                    .reservation_unsupported(now, &engine.id, status);
                None
            }
            ReserveReply::Full => {
                counters::reservation("full");
                tracked_send.end(SendOutcome::Full);
                let known = self.edge.state().fleet.known_tokens(now, &engine.id);
                let logs = &self.edge.logs;
                logs.reservation_refused(now, &self.req, &engine.id, self.planned_tokens, known);
                return None;
            }
            ReserveReply::Misdirected => {
                self.handle_misdirected(engine, tracked_send);
                return None;
            }
        };
        // The answer may have announced that the engine leaves.
        if !self.edge.state().may_send(now, engine) {
            tracked_send.end(SendOutcome::Unverified);
            return None;
        }
        tracked_send.confirm();
        let connection = match is_reusable {
            true => Connection::Open(channel),
            false => Connection::Fresh,
        };
        Some(DecodeTarget {
            engine: engine.clone(),
            tracked_send,
            connection,
            reservation,
        })
    }

    /// Duration of a reservation; `None` if the service's engines do not support reservations.
    fn reservation_time(&self, predicted: Millis) -> Option<Millis> {
        let service = self.req.table.service(&self.req.service)?;
        let longest = service.engine.as_ref()?.max_reservation?;
        Some((predicted + RESERVATION_SLACK).min(longest))
    }

    /// Requests a reservation; also returns whether the connection can be reused.
    async fn request_reservation(
        &self,
        engine: &Registration,
        channel: &mut bv_link::Channel,
        duration: Millis,
    ) -> Result<(ReserveReply, bool), SendError> {
        let capacity = self.placement_query(self.edge.now()).kv_capacity;
        let tokens = Tokens(self.planned_tokens.0.min(capacity.0));
        // No part of the caller's request is sent here, so a failed call counts as unsent.
        let unsent = |err: &dyn std::fmt::Display| SendError::Unsent(err.to_string());
        let mut req =
            reservation_request(&engine.id, tokens, duration).map_err(|err| unsent(&err))?;
        set_team(req.headers_mut(), self.req.team_id());
        set_host_header(&mut req, engine.address).map_err(|err| unsent(&err))?;
        let answer = channel.send(req).await.map_err(|err| match err.source {
            SendCause::Head(err) => SendError::InvalidHead(err),
            SendCause::Connection(_) => unsent(&err),
        })?;
        let (parts, mut body) = answer.into_parts();
        let memory = &self.edge.memory;
        let reading = collect(&mut body, MAX_RESERVATION_BYTES, memory, Sender::Server);
        let body = reading.await.map_err(|err| match err {
            CollectError::Broken(_) => unsent(&err),
            CollectError::TooLong { .. } | CollectError::NoMemory { .. } => {
                give_up(&err);
                unsent(&err)
            }
        })?;
        let facts = parse_answer_head(parts.status, &parts.headers);
        let reply = match parts.status {
            _ if facts.misdirected => ReserveReply::Misdirected,
            StatusCode::OK => match parse_reservation_answer(&body) {
                Ok(id) => ReserveReply::Reserved(id),
                Err(_) => {
                    return Err(SendError::InvalidAnswer("the answer has no reservation id"));
                }
            },
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => ReserveReply::Full,
            status => ReserveReply::Unsupported(status),
        };
        // These answers carry neither stamp nor request id. The connection is new, and another
        // process at the address would have refused the call as misdirected.
        if matches!(reply, ReserveReply::Reserved(_) | ReserveReply::Full) {
            self.edge.record_announced(engine, parts.status, &facts);
        }
        Ok((reply, !facts.closes))
    }
}

fn set_host_header(req: &mut Request<Full<bytes::Bytes>>, addr: SocketAddr) -> Result<(), String> {
    let host = header::HeaderValue::from_str(&addr.to_string()).map_err(|err| err.to_string())?;
    req.headers_mut().insert(header::HOST, host);
    Ok(())
}
