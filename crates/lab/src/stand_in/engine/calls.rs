//! Handlers for chat completions, for resuming their streams and for cancelling them.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use axum::body::{Body, Bytes};
use axum::extract::State;
use axum::http::{HeaderMap, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::{Extension, Json};
use futures_util::stream;
use serde_json::{Value, json};

use super::stream::{Generation, RESUME_TIMEOUT, Reader};
use super::{BYTES_PER_TOKEN, DecodeError, Engine, EngineFault, Step};
use crate::load::CRASH_MARK;
use crate::stand_in::gate::ConnectionCloser;

const DEFAULT_OUTPUT_TOKENS: u64 = 64;
const LAST_EVENT_ID: &str = "last-event-id";
/// Delay of a late answer, in ms.
const LATE_MS: std::ops::Range<u64> = 1_000..3_000;
/// Time after which a lost cancellation is answered with an error.
const LOST_CANCEL_DELAY: Duration = Duration::from_secs(5);
/// Attempt of a crossed answer when the engine holds no other attempt.
const FOREIGN_ATTEMPT: &str = "foreign.1.1.0";

pub(super) async fn chat(
    State(engine): State<Arc<Engine>>,
    Extension(closer): Extension<ConnectionCloser>,
    headers: HeaderMap,
    Json(call): Json<Value>,
) -> Response {
    if let Some(last) = headers.get(LAST_EVENT_ID) {
        let last_id = last.to_str().ok().and_then(|text| text.parse().ok());
        return resume(&engine, &call, last_id, closer);
    }
    engine.record_new_work();
    let prompt = call["messages"].to_string();
    let nonce = nonce_of(&prompt).unwrap_or(call["request_id"].as_str().unwrap_or_default());
    let prompt_tokens = prompt.len() as u64 / BYTES_PER_TOKEN;
    if engine.fault_applies(EngineFault::Late) {
        tokio::time::sleep(Duration::from_millis(fastrand::u64(LATE_MS))).await;
    }
    if call["kv_transfer_params"]["do_remote_decode"] == true {
        return prefill(&engine, &call, &prompt, nonce).await;
    }
    let output = call["max_tokens"].as_u64().unwrap_or(DEFAULT_OUTPUT_TOKENS);
    let request = engine.admission_request(&call, Step::Decode, nonce, prompt_tokens + output);
    let generation = match engine.decode(request, output).await {
        Ok(generation) => generation,
        Err(DecodeError::Cancelled) => return StatusCode::CONFLICT.into_response(),
        Err(DecodeError::Evicted) => return StatusCode::GONE.into_response(),
    };
    match call["stream"] == true {
        true => event_stream(&engine, generation.read(0, RESUME_TIMEOUT), closer),
        false => complete_answer(&engine, &generation, closer).await,
    }
}

/// The text between `nonce=` and `;` in a prompt of the load generator.
fn nonce_of(prompt: &str) -> Option<&str> {
    let (_, rest) = prompt.split_once("nonce=")?;
    rest.split_once(';').map(|(nonce, _)| nonce)
}

async fn prefill(engine: &Arc<Engine>, call: &Value, prompt: &str, nonce: &str) -> Response {
    let prompt_tokens = prompt.len() as u64 / BYTES_PER_TOKEN;
    let request = engine.admission_request(call, Step::Prefill, nonce, prompt_tokens);
    let attempt = request.attempt.clone();
    if prompt.contains(CRASH_MARK) {
        engine.crash_and_restart();
    }
    if engine.prefill(request, prompt).await.is_none() {
        return StatusCode::CONFLICT.into_response();
    }
    let transfer = json!({
        "do_remote_prefill": true,
        "do_remote_decode": false,
        "remote_engine_id": engine.id().as_str(),
        "remote_block_ids": [attempt],
    });
    Json(json!({"id": attempt, "kv_transfer_params": transfer})).into_response()
}

/// Continues a stream after the event with id `last_id`; a cancelled attempt is not found.
fn resume(
    engine: &Arc<Engine>,
    call: &Value,
    last_id: Option<u64>,
    closer: ConnectionCloser,
) -> Response {
    let attempt = call["request_id"].as_str().unwrap_or_default();
    match (engine.generations.find(attempt), last_id) {
        (Some(generation), Some(last_id)) => {
            event_stream(engine, generation.read(last_id + 1, RESUME_TIMEOUT), closer)
        }
        (_, None) => StatusCode::BAD_REQUEST.into_response(),
        (None, _) => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn complete_answer(
    engine: &Arc<Engine>,
    generation: &Arc<Generation>,
    closer: ConnectionCloser,
) -> Response {
    let mut reader = generation.read(0, Duration::ZERO);
    while reader.next().await.is_some() {}
    if !reader.is_complete() {
        return StatusCode::CONFLICT.into_response();
    }
    let (mut attempt, mut nonce) = (generation.attempt.clone(), generation.nonce.clone());
    if engine.fault_applies(EngineFault::Crossed) {
        (attempt, nonce) = other_attempt(engine, &attempt);
    }
    let words = (0..generation.output).map(|index| format!("{nonce}:{index} "));
    let message = json!({"role": "assistant", "content": words.collect::<String>()});
    let choices = json!([{"index": 0, "message": message, "finish_reason": "stop"}]);
    let usage = json!({
        "prompt_tokens": generation.prompt_tokens,
        "completion_tokens": generation.output,
    });
    let answer = json!({"id": attempt, "choices": choices, "usage": usage}).to_string();
    match engine.fault_applies(EngineFault::Truncated) {
        true => truncated(answer, closer),
        false => ([(header::CONTENT_TYPE, "application/json")], answer).into_response(),
    }
}

/// Half of an answer, either with its own content length, or with that of the complete answer and a
/// closed connection.
fn truncated(answer: String, closer: ConnectionCloser) -> Response {
    let content = [(header::CONTENT_TYPE, "application/json".to_owned())];
    let part = Bytes::from(answer.as_bytes()[..answer.len() / 2].to_vec());
    if fastrand::bool() {
        return (content, part).into_response();
    }
    let length = [(header::CONTENT_LENGTH, answer.len().to_string())];
    let body = stream::unfold(Some(part), move |part| {
        let closer = closer.clone();
        async move {
            let Some(part) = part else {
                closer.0.cancel();
                return std::future::pending().await;
            };
            Some((Ok::<_, Infallible>(part), None))
        }
    });
    (content, length, Body::from_stream(body)).into_response()
}

/// Id and nonce of another attempt, for a crossed answer.
fn other_attempt(engine: &Engine, attempt: &str) -> (String, String) {
    let held = engine.held_attempts();
    let other = held.into_iter().find(|other| other.attempt != attempt);
    match other {
        Some(other) => (other.attempt, other.nonce),
        // No request has this nonce, because the load generator numbers its calls from 1.
        None => (FOREIGN_ATTEMPT.to_owned(), "n0-0".to_owned()),
    }
}

/// Faults of one stream.
#[derive(Debug, Clone, Copy)]
struct StreamFaults {
    /// Index of the word before which an event of another attempt is sent.
    crossed_at: Option<u64>,
    /// Index of the word at which the stream ends without its last event.
    truncated_at: Option<u64>,
    repeated: bool,
}

fn event_stream(engine: &Arc<Engine>, reader: Reader, closer: ConnectionCloser) -> Response {
    let half = reader.generation.output / 2;
    let faults = StreamFaults {
        crossed_at: engine.fault_applies(EngineFault::Crossed).then_some(half),
        truncated_at: engine.fault_applies(EngineFault::Truncated).then_some(half),
        repeated: engine.fault_applies(EngineFault::Repeated),
    };
    let engine = engine.clone();
    let body = stream::unfold(Some(reader), move |reader| {
        let (engine, closer) = (engine.clone(), closer.clone());
        async move { next_chunk(&engine, reader?, faults, closer).await }
    });
    let headers = [(header::CONTENT_TYPE, "text/event-stream")];
    (headers, Body::from_stream(body)).into_response()
}

type Chunk = (Result<Bytes, Infallible>, Option<Reader>);

async fn next_chunk(
    engine: &Engine,
    mut reader: Reader,
    faults: StreamFaults,
    closer: ConnectionCloser,
) -> Option<Chunk> {
    let Some(index) = reader.next().await else {
        if !reader.is_complete() {
            // A cancelled or crashed generation has no last event; the connection is closed.
            closer.0.cancel();
            return std::future::pending().await;
        }
        let done = match faults.repeated {
            true => "data: [DONE]\n\ndata: [DONE]\n\n",
            false => "data: [DONE]\n\n",
        };
        return Some((Ok(Bytes::from(done)), None));
    };
    if faults.truncated_at == Some(index) {
        engine.record_interrupted(&reader.generation.nonce);
        if fastrand::bool() {
            return None;
        }
        closer.0.cancel();
        return std::future::pending().await;
    }
    let generation = &reader.generation;
    let mut text = String::new();
    if faults.crossed_at == Some(index) {
        let (attempt, nonce) = other_attempt(engine, &generation.attempt);
        text.push_str(&event(index, &attempt, &format!("{nonce}:{index} ")));
    }
    let own = event(index, &generation.attempt, &generation.word(index));
    text.push_str(&own);
    if faults.repeated {
        text.push_str(&own);
    }
    Some((Ok(Bytes::from(text)), Some(reader)))
}

fn event(index: u64, attempt: &str, word: &str) -> String {
    let choices = json!([{"index": 0, "delta": {"content": word}}]);
    let event = json!({"id": attempt, "choices": choices});
    format!("id: {index}\ndata: {event}\n\n")
}

pub(super) async fn abort(State(engine): State<Arc<Engine>>, Json(call): Json<Value>) -> Response {
    if engine.fault_applies(EngineFault::LoseCancel) {
        tokio::time::sleep(LOST_CANCEL_DELAY).await;
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    }
    let rid = call["rid"].as_str().unwrap_or_default();
    let cancelled = engine.scheduler.cancel(rid);
    engine.exports.evict(engine.id.as_str(), Some(rid));
    engine.lock_counts().cancelled += cancelled;
    Json(json!({"success": true})).into_response()
}
