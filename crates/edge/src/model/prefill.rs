//! Prefill of a prompt at a prefill engine.

use std::net::SocketAddr;
use std::sync::Arc;

use bv_admit::{Fault, Instance, SendOutcome};
use bv_platform::{BackendHeaders, PrefillResult, kv_handle_path, parse_prefill_answer, set_team};
use bv_retry::{Delivery, SendKind, Silence};
use bv_roster::Registration;
use bv_types::{Millis, TeamId};
use http::StatusCode;
use smol_str::SmolStr;

use super::{ModelCall, PreparedDecode, Waited};
use crate::counters;
use crate::edge::Edge;
use crate::request::CallerRequest;
use crate::send::{Connection, SendError, read_answer, send};

/// Time beyond the predicted one after which another engine is sought for a prefill.
const PREFILL_SLACK: Millis = Millis(600);
/// Timeout of the call that frees an unused KV cache.
const FREE_TIMEOUT: Millis = Millis(400);

/// KV cache of a prefilled prompt; freed at its engine on drop unless it was consumed.
#[derive(Debug)]
pub(super) struct PrefilledPrompt {
    edge: Arc<Edge>,
    pub engine: Registration,
    /// The team that the request is from.
    team: Option<TeamId>,
    pub handle: SmolStr,
    pub prefilled_at: Millis,
    /// Whether another engine may have imported the KV cache, or it was lost.
    pub consumed: bool,
}

impl Drop for PrefilledPrompt {
    fn drop(&mut self) {
        let engine = Instance::from(&self.engine);
        let now = self.edge.now();
        if !self.consumed && self.edge.state().announced.may_release(now, &engine) {
            tokio::spawn(free(
                self.edge.clone(),
                self.engine.address,
                self.handle.clone(),
                self.team.clone(),
            ));
        }
    }
}

async fn free(edge: Arc<Edge>, addr: SocketAddr, handle: SmolStr, team: Option<TeamId>) {
    let options = bv_link::ConnectOptions {
        timeout: FREE_TIMEOUT,
        unacknowledged: FREE_TIMEOUT,
    };
    let freeing = async {
        let mut channel = bv_link::connect(addr, options)
            .await
            .map_err(|err| err.to_string())?;
        let mut req = http::Request::delete(kv_handle_path(&handle))
            .header(http::header::HOST, addr.to_string())
            .body(Default::default())
            .map_err(|err| err.to_string())?;
        set_team(req.headers_mut(), team.as_ref());
        channel.send(req).await.map_err(|err| err.to_string())?;
        Ok::<(), String>(())
    };
    let result = match tokio::time::timeout(FREE_TIMEOUT.duration(), freeing).await {
        Ok(result) => result,
        Err(_) => Err(format!("no answer within {FREE_TIMEOUT}")),
    };
    counters::handle_freed(result.is_ok());
    if let Err(err) = result {
        // The engine drops the handle by itself when it expires.
        edge.logs.handle_not_freed(edge.now(), addr, &err);
    }
}

/// Why a prefill failed.
enum PrefillError {
    NotRun,
    Failed(Fault, &'static str),
}

/// Result of a prefill.
pub(super) enum Prefill {
    Done(PrefilledPrompt),
    /// The engine was silent, and another one is ready.
    Moved(Box<PreparedDecode>),
    /// Another plan is needed.
    Failed,
}

impl ModelCall {
    /// Prefills the prompt.
    pub(super) async fn prefill_prompt(
        &mut self,
        engine: &Registration,
        predicted: Millis,
    ) -> Prefill {
        // The engine may have announced that it leaves or rests during the reservation.
        if !self.edge.state().may_send(self.edge.now(), engine) {
            return Prefill::Failed;
        }
        // A block that began during the wait is reported by the next plan.
        if self.edge.blocked(&self.req).is_some() {
            return Prefill::Failed;
        }
        self.sends += 1;
        self.retries.begin();
        let began = self.edge.now();
        let was_idle = self.edge.state().fleet.own_sends(&engine.id) == 0;
        let tokens = self.prompt();
        let patience = predicted + PREFILL_SLACK;
        let tracked_send = self.begin(engine, tokens, patience);
        let prefilling = request_prefill(
            self.edge.clone(),
            self.req.clone(),
            engine.clone(),
            self.last_event,
        );
        // A request that still can be refused does not wait for the engine until its deadline.
        let silence = Silence::new(began, patience, self.placement_limit(began));
        let waited = self
            .wait_for(
                &engine.id,
                silence,
                true,
                prefilling,
                Result::is_err,
                ModelCall::search_prepared,
                || {},
            )
            .await;
        let delivery = match &waited {
            Waited::Engine(Ok(_)) => Delivery::Accepted,
            Waited::Engine(Err(PrefillError::Failed(Fault::Connect, _))) => Delivery::NotSent,
            Waited::Engine(Err(_))
            | Waited::Moved(_)
            | Waited::Lost(_)
            | Waited::DeadlinePassed => Delivery::Refused,
        };
        self.retries.end(SendKind::Prefill, delivery);
        let result = match waited {
            Waited::Engine(result) => result,
            Waited::Moved(prepared) => {
                tracked_send.end(SendOutcome::Failed(Fault::NoAnswer));
                counters::retry("timeout");
                return Prefill::Moved(Box::new(prepared));
            }
            Waited::Lost(_) | Waited::DeadlinePassed => {
                Err(PrefillError::Failed(Fault::NoAnswer, "timeout"))
            }
        };
        let (outcome, reason) = match result {
            Ok(read) => {
                tracked_send.end(SendOutcome::Unverified);
                let now = self.edge.now();
                if was_idle {
                    let mut state = self.edge.state();
                    let took = now - began;
                    state
                        .fleet
                        .observe_prefill(&self.req.service, read.tokens, took);
                }
                self.tried.retain(|id| *id != engine.id);
                return Prefill::Done(PrefilledPrompt {
                    edge: self.edge.clone(),
                    engine: engine.clone(),
                    team: self.req.team_id().cloned(),
                    handle: read.handle,
                    prefilled_at: now,
                    consumed: false,
                });
            }
            Err(PrefillError::NotRun) => (SendOutcome::Refused, "prefill_not_run"),
            Err(PrefillError::Failed(fault, reason)) => (SendOutcome::Failed(fault), reason),
        };
        tracked_send.end(outcome);
        counters::retry(reason);
        self.exclude(&engine.id);
        Prefill::Failed
    }
}

/// Sends a prefill-only request and reads its answer, until the deadline of the request.
async fn request_prefill(
    edge: Arc<Edge>,
    req: Arc<CallerRequest>,
    engine: Registration,
    last_event: Option<u64>,
) -> Result<PrefillResult, PrefillError> {
    let log = |err: &SendError| {
        edge.logs.send_failed(edge.now(), &req, &engine.id, err);
        PrefillError::Failed(err.fault(), err.code())
    };
    let backend_headers = BackendHeaders {
        prefill_only: true,
        last_event,
        ..BackendHeaders::default()
    };
    let timeout = req.remaining(edge.now());
    let sent = send(
        &edge,
        &req,
        &engine,
        &backend_headers,
        Connection::Fresh,
        timeout,
    );
    let answer = sent.await.map_err(|err| log(&err))?;
    if answer.facts.misdirected {
        return Err(PrefillError::Failed(Fault::Misdirected, "misdirected"));
    }
    if answer.facts.not_run {
        return Err(PrefillError::NotRun);
    }
    let status = answer.response.status();
    let timeout = req.remaining(edge.now());
    let read = read_answer(&edge, &engine.id, answer, timeout).await;
    let (_, body) = read.map_err(|err| log(&err))?;
    if status != StatusCode::OK {
        return Err(PrefillError::Failed(Fault::NoAnswer, "server_error"));
    }
    parse_prefill_answer(&body).map_err(|_| {
        log(&SendError::InvalidAnswer(
            "the prefill answer has no KV cache handle",
        ))
    })
}
