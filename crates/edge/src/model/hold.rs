//! Reservation of room at a decode engine before the prompt is read.
//!
//! Hosts learn of each other's choices some 10 ms late. Where many hosts place calls on nearly full
//! engines, only the engine itself knows who was first; a prompt that finds no room afterwards was
//! read for nothing.

use std::net::SocketAddr;
use std::sync::Arc;

use bv_admit::Ended;
use bv_link::collect;
use bv_platform::{answer_facts, hold_release, hold_request, hold_taken};
use bv_roster::Entry;
use bv_types::{Millis, Tokens};
use http::{Request, StatusCode, header};
use http_body_util::Full;
use smol_str::SmolStr;

use super::ModelCall;
use super::decode::Target;
use crate::counters;
use crate::edge::{Attempt, Edge};
use crate::send::{Connection, MAX_ANSWER, SendError, open};

/// Longest time for the answer to a reservation; engines answer it at once, at most 10 ms away.
const HOLD_TIMEOUT: Millis = Millis(400);
/// Time for which room is reserved beyond the predicted first event; prompts of other hosts may be
/// read before this one.
const HOLD_SLACK: Millis = Millis(700);
/// Time to free a reservation that is not used.
const RELEASE_TIMEOUT: Millis = Millis(400);

/// Room that an engine keeps for one request; freed there unless it is used.
#[derive(Debug)]
pub(super) struct Hold {
    edge: Arc<Edge>,
    engine: SocketAddr,
    pub name: SmolStr,
    /// Whether the request was sent with it.
    pub used: bool,
}

impl Drop for Hold {
    fn drop(&mut self) {
        if !self.used {
            tokio::spawn(release(self.edge.clone(), self.engine, self.name.clone()));
        }
    }
}

async fn release(edge: Arc<Edge>, addr: SocketAddr, name: SmolStr) {
    let terms = bv_link::ConnectTerms {
        timeout: RELEASE_TIMEOUT,
        unacknowledged: RELEASE_TIMEOUT,
    };
    let releasing = async {
        let mut req = hold_release(&name).map_err(|err| err.to_string())?;
        name_host(&mut req, addr)?;
        let mut channel = bv_link::connect(addr, terms)
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
        // The engine ends the reservation by itself when its time is over.
        edge.logs.hold_not_freed(edge.now(), addr, &err);
    }
}

/// How an engine answered a reservation.
enum Reply {
    Held(SmolStr),
    Full,
    Misdirected,
    /// The engine does not reserve; it decides when the request arrives.
    Unsupported(StatusCode),
}

impl ModelCall {
    /// Opens a connection to a decode engine and reserves room there; none if that failed.
    pub(super) async fn reserve(
        &mut self,
        engine: &Entry,
        room: Attempt,
        predicted: Millis,
    ) -> Option<Target> {
        let patience = self.req.remaining(self.edge.now());
        let mut channel = match open(engine, patience).await {
            Ok(channel) => channel,
            Err(err) => {
                self.send_failed(engine, room, &err);
                return None;
            }
        };
        let Some(lasts) = self.hold_time(predicted) else {
            room.confirm();
            return Some(Target {
                engine: engine.clone(),
                room,
                connection: Connection::Open(channel),
                hold: None,
            });
        };
        let asking = self.ask_for_room(engine, &mut channel, lasts);
        let asked = tokio::time::timeout(HOLD_TIMEOUT.duration(), asking).await;
        let (reply, stays_open) = match asked.unwrap_or(Err(SendError::Late(HOLD_TIMEOUT))) {
            Ok(answer) => answer,
            Err(err) => {
                self.send_failed(engine, room, &err);
                return None;
            }
        };
        let now = self.edge.now();
        let hold = match reply {
            Reply::Held(name) => {
                counters::hold("held");
                Some(Hold {
                    edge: self.edge.clone(),
                    engine: engine.address,
                    name,
                    used: false,
                })
            }
            Reply::Unsupported(status) => {
                counters::hold("unsupported");
                self.edge.logs.hold_unsupported(now, &engine.id, status);
                None
            }
            Reply::Full => {
                counters::hold("full");
                room.end(Ended::Full);
                let known = self.edge.state().fleet.known_tokens(now, &engine.id);
                let logs = &self.edge.logs;
                logs.hold_refused(now, &self.req, &engine.id, self.planned, known);
                return None;
            }
            Reply::Misdirected => {
                self.misdirected(engine, room);
                return None;
            }
        };
        room.confirm();
        let connection = match stays_open {
            true => Connection::Open(channel),
            false => Connection::Fresh,
        };
        Some(Target {
            engine: engine.clone(),
            room,
            connection,
            hold,
        })
    }

    /// Time for which room is reserved; none where engines do not reserve.
    fn hold_time(&self, predicted: Millis) -> Option<Millis> {
        let service = self.req.table.service(&self.req.service)?;
        let longest = service.engine.as_ref()?.longest_hold?;
        Some((predicted + HOLD_SLACK).min(longest))
    }

    /// Asks for room; also tells whether the connection can be used again.
    async fn ask_for_room(
        &self,
        engine: &Entry,
        channel: &mut bv_link::Channel,
        lasts: Millis,
    ) -> Result<(Reply, bool), SendError> {
        let capacity = self.ask(self.edge.now()).kv_capacity;
        let tokens = Tokens(self.planned.0.min(capacity.0));
        // Nothing of the caller's request is sent here.
        let unsent = |err: &dyn std::fmt::Display| SendError::Unsent(err.to_string());
        let mut req = hold_request(&engine.id, tokens, lasts).map_err(|err| unsent(&err))?;
        name_host(&mut req, engine.address).map_err(|err| unsent(&err))?;
        let answer = channel.send(req).await.map_err(|err| unsent(&err))?;
        let (parts, body) = answer.into_parts();
        let body = collect(body, MAX_ANSWER)
            .await
            .map_err(|err| unsent(&err))?;
        let facts = answer_facts(parts.status, &parts.headers);
        let reply = match parts.status {
            _ if facts.misdirected => Reply::Misdirected,
            StatusCode::OK => match hold_taken(&body) {
                Ok(name) => Reply::Held(name),
                Err(_) => return Err(SendError::Garbled("no name of a reservation")),
            },
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Reply::Full,
            status => Reply::Unsupported(status),
        };
        Ok((reply, !facts.closes))
    }
}

fn name_host(req: &mut Request<Full<bytes::Bytes>>, addr: SocketAddr) -> Result<(), String> {
    let host = header::HeaderValue::from_str(&addr.to_string()).map_err(|err| err.to_string())?;
    req.headers_mut().insert(header::HOST, host);
    Ok(())
}
