//! Model calls: prefill, transfer of the KV cache and decode.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use axum::body::{Body, Bytes, to_bytes};
use axum::extract::{Request, State};
use axum::response::{IntoResponse, Response};
use bv_config::{EngineRole, Inventory, Model};
use bv_types::{AttemptId, Millis, Refusal, RetryReason};
use futures_util::stream;
use hyper::header;
use serde_json::{Value, json};
use tracing::debug;

use crate::engine::{CallError, EngineClient, Event, EventStream};
use crate::plain::MAX_BODY_BYTES;
use crate::{Host, answer, counters};

/// Interval between repeated cancels.
const CANCEL_INTERVAL: Millis = Millis(250);
/// Number of cancels after which an unreachable engine is left to its restart.
const MAX_CANCELS: u32 = 240;
static NEXT_RUNNER: AtomicUsize = AtomicUsize::new(0);

/// Answers a chat completion.
pub(crate) async fn chat(State(host): State<Arc<Host>>, req: Request) -> Response {
    let Some(current) = host.conf.current() else {
        return answer::not_run(Refusal::NotConfigured);
    };
    let Ok(body) = to_bytes(req.into_body(), MAX_BODY_BYTES).await else {
        return answer::not_run(Refusal::BodyTooLarge);
    };
    let Ok(call) = serde_json::from_slice::<Value>(&body) else {
        return answer::not_run(Refusal::BadRequest);
    };
    let inventory = current.inventory;
    let Some(model) = call["model"]
        .as_str()
        .and_then(|name| inventory.model(name))
    else {
        return answer::not_run(Refusal::UnknownModel);
    };
    let Some((prefill, decode)) = choose(&inventory, model) else {
        return answer::not_run(Refusal::NoBackend);
    };
    let attempt = host.next_request().attempt(0);
    match run(&host, attempt, prefill, decode, call).await {
        Ok(answer) => answer,
        Err(err) => {
            debug!(%err, "model: attempt failed");
            answer::unknown("attempt_failed")
        }
    }
}

fn choose(inventory: &Inventory, model: &Model) -> Option<(SocketAddr, SocketAddr)> {
    let turn = NEXT_RUNNER.fetch_add(1, Ordering::Relaxed);
    let pick = |role: EngineRole| {
        let runners: Vec<_> = inventory
            .runners_of(&model.pool)
            .filter(|runner| runner.role == role)
            .collect();
        let index = turn.checked_rem(runners.len())?;
        Some(runners[index].addr)
    };
    Some((pick(EngineRole::Prefill)?, pick(EngineRole::Decode)?))
}

async fn run(
    host: &Host,
    attempt: AttemptId,
    prefill: SocketAddr,
    decode: SocketAddr,
    mut call: Value,
) -> Result<Response, CallError> {
    let mut open = OpenAttempt::new(&host.engines, attempt.clone());
    let streamed = call["stream"].as_bool().unwrap_or(false);
    call["request_id"] = json!(attempt.to_string());
    open.peers.push(prefill);
    let kv_transfer = run_prefill(host, &attempt, prefill, &call).await?;
    call["kv_transfer_params"] = kv_transfer;
    open.peers.push(decode);
    if streamed {
        let events = host
            .engines
            .chat_stream("decode", decode, &attempt, &call)
            .await?;
        return Ok(stream_answer(open, events));
    }
    let answer = host.engines.chat("decode", decode, &attempt, &call).await?;
    open.finish();
    Ok(axum::Json(answer).into_response())
}

async fn run_prefill(
    host: &Host,
    attempt: &AttemptId,
    prefill: SocketAddr,
    call: &Value,
) -> Result<Value, CallError> {
    let mut call = call.clone();
    call["stream"] = json!(false);
    call["max_tokens"] = json!(1);
    call["kv_transfer_params"] = json!({"do_remote_decode": true, "do_remote_prefill": false});
    let mut answer = host
        .engines
        .chat("prefill", prefill, attempt, &call)
        .await?;
    Ok(answer["kv_transfer_params"].take())
}

/// Passes events on; an error aborts the caller's connection, so that a truncated stream does not
/// look complete.
fn stream_answer(open: OpenAttempt, events: EventStream) -> Response {
    let body = stream::unfold(Some((open, events)), |state| async move {
        let (mut open, mut events) = state?;
        match events.next().await {
            Ok(Event::Data(data)) => Some((Ok::<Bytes, io::Error>(data), Some((open, events)))),
            Ok(Event::Done(data)) => {
                open.finish();
                Some((Ok(data), None))
            }
            Err(err) => {
                debug!(%err, "model: stream failed");
                Some((Err(io::Error::other(err)), None))
            }
        }
    });
    let headers = [(header::CONTENT_TYPE, "text/event-stream")];
    (headers, Body::from_stream(body)).into_response()
}

/// An attempt that holds engine memory; it is cancelled when dropped unfinished.
struct OpenAttempt {
    client: EngineClient,
    attempt: AttemptId,
    peers: Vec<SocketAddr>,
}

impl OpenAttempt {
    fn new(client: &EngineClient, attempt: AttemptId) -> Self {
        OpenAttempt {
            client: client.clone(),
            attempt,
            peers: Vec::new(),
        }
    }

    fn finish(&mut self) {
        self.peers.clear();
    }
}

impl Drop for OpenAttempt {
    fn drop(&mut self) {
        for peer in self.peers.drain(..) {
            let client = self.client.clone();
            let attempt = self.attempt.clone();
            tokio::spawn(cancel(client, peer, attempt));
        }
    }
}

async fn cancel(client: EngineClient, peer: SocketAddr, attempt: AttemptId) {
    for _ in 0..MAX_CANCELS {
        if client.abort(peer, &attempt).await.is_ok() {
            return;
        }
        counters::retried(RetryReason::CancelRepeated);
        tokio::time::sleep(CANCEL_INTERVAL.duration()).await;
    }
}
