//! Prefill of a prompt at a prefill engine.

use std::net::SocketAddr;
use std::sync::Arc;

use bv_admit::{Fault, Instance, SendOutcome};
use bv_platform::{BackendHeaders, PrefillResult, kv_handle_path, parse_prefill_answer};
use bv_retry::{Delivery, SendKind};
use bv_roster::Registration;
use bv_types::Millis;
use http::StatusCode;
use smol_str::SmolStr;

use super::{MAX_PRIORITY, ModelCall};
use crate::counters;
use crate::edge::Edge;
use crate::send::{Answer, Connection, SendError, read_answer, send};

/// Time beyond the predicted one after which a prefill times out.
const PREFILL_SLACK: Millis = Millis(600);
/// Timeout of the call that frees an unused KV cache.
const FREE_TIMEOUT: Millis = Millis(400);

/// KV cache of a prefilled prompt; freed at its engine on drop unless it was consumed.
#[derive(Debug)]
pub(super) struct PrefilledPrompt {
    edge: Arc<Edge>,
    pub engine: Registration,
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
            ));
        }
    }
}

async fn free(edge: Arc<Edge>, addr: SocketAddr, handle: SmolStr) {
    let options = bv_link::ConnectOptions {
        timeout: FREE_TIMEOUT,
        unacknowledged: FREE_TIMEOUT,
    };
    let freeing = async {
        let mut channel = bv_link::connect(addr, options)
            .await
            .map_err(|err| err.to_string())?;
        let req = http::Request::delete(kv_handle_path(&handle))
            .header(http::header::HOST, addr.to_string())
            .body(Default::default())
            .map_err(|err| err.to_string())?;
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

impl ModelCall {
    /// Prefills the prompt; `None` if that failed and another plan is needed.
    pub(super) async fn prefill_prompt(
        &mut self,
        engine: &Registration,
        predicted: Millis,
    ) -> Option<PrefilledPrompt> {
        // The engine may have announced that it leaves or rests during the reservation.
        if !self.edge.state().may_send(self.edge.now(), engine) {
            return None;
        }
        self.sends += 1;
        // The engine stays excluded unless the prefill succeeds.
        self.exclude(&engine.id);
        let began = self.edge.now();
        let was_idle = self.edge.state().fleet.own_sends(&engine.id) == 0;
        let tokens = self.prompt();
        let timeout = (predicted + PREFILL_SLACK).min(self.req.remaining(began));
        let tracked_send = self.begin(engine, tokens, timeout);
        let backend_headers = BackendHeaders {
            prefill_only: true,
            last_event: self.last_event,
            priority: Some(self.req.route.priority.min(MAX_PRIORITY)),
            ..BackendHeaders::default()
        };
        self.retries.begin();
        let sent = send(
            &self.edge,
            &self.req,
            engine,
            &backend_headers,
            Connection::Fresh,
            timeout,
        );
        let read = self.prefill_answer(engine, sent.await, timeout).await;
        let delivery = match &read {
            Ok(_) => Delivery::Accepted,
            Err(PrefillError::Failed(Fault::Connect, _)) => Delivery::NotSent,
            Err(PrefillError::NotRun | PrefillError::Failed(..)) => Delivery::Refused,
        };
        self.retries.end(SendKind::Prefill, delivery);
        match read {
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
                self.prefilled_at = Some(now);
                Some(PrefilledPrompt {
                    edge: self.edge.clone(),
                    engine: engine.clone(),
                    handle: read.handle,
                    prefilled_at: now,
                    consumed: false,
                })
            }
            Err(PrefillError::NotRun) => {
                tracked_send.end(SendOutcome::Full);
                counters::retry("prefill_not_run");
                None
            }
            Err(PrefillError::Failed(fault, reason)) => {
                tracked_send.end(SendOutcome::Failed(fault));
                counters::retry(reason);
                None
            }
        }
    }

    async fn prefill_answer(
        &self,
        engine: &Registration,
        sent: Result<Answer, SendError>,
        timeout: Millis,
    ) -> Result<PrefillResult, PrefillError> {
        let log = |err: &SendError| {
            self.edge
                .logs
                .send_failed(self.edge.now(), &self.req, &engine.id, err);
            PrefillError::Failed(err.fault(), err.code())
        };
        let answer = sent.map_err(|err| log(&err))?;
        if answer.facts.misdirected {
            return Err(PrefillError::Failed(Fault::Misdirected, "misdirected"));
        }
        if answer.facts.not_run {
            return Err(PrefillError::NotRun);
        }
        let status = answer.response.status();
        let read = read_answer(&self.edge, &engine.id, answer, timeout).await;
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
}
