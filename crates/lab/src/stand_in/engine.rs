//! Model engine with continuous batching, memory in pieces and export of the KV cache.

use std::convert::Infallible;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use axum::Json;
use axum::body::{Body, Bytes};
use axum::extract::State;
use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use bv_config::Pool;
use bv_types::{BackendId, Clock, Millis, Tokens};
use futures_util::StreamExt;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

const BYTES_PER_TOKEN: u64 = 4;
const DEFAULT_OUTPUT_TOKENS: u64 = 64;
const STREAM_BUFFER: usize = 64;

/// Prefill results that wait for their import, over all engines of a deployment.
#[derive(Debug, Default)]
pub struct Exports(Mutex<Vec<Export>>);

#[derive(Debug)]
struct Export {
    attempt: String,
    tokens: u64,
    until: Millis,
}

impl Exports {
    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Export>> {
        self.0.lock().unwrap_or_else(|err| err.into_inner())
    }

    fn take(&self, attempt: &str, now: Millis) -> Option<u64> {
        let mut exports = self.lock();
        exports.retain(|export| export.until > now);
        let index = exports
            .iter()
            .position(|export| export.attempt == attempt)?;
        Some(exports.swap_remove(index).tokens)
    }
}

/// Counts of one engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineCounts {
    /// Tokens of prompts computed.
    pub prefill_tokens: u64,
    /// Tokens of prompts whose KV cache was imported for decode.
    pub imported_tokens: u64,
    /// Attempts that were cancelled.
    pub cancelled: u64,
    /// Attempts that hold memory now.
    pub held: u64,
}

#[derive(Debug)]
struct Held {
    attempt: String,
    pieces: u32,
    cancel: CancellationToken,
}

/// One engine; it serves prefill and decode, so that a role change needs no restart.
#[derive(Debug)]
pub struct Engine {
    id: BackendId,
    pool: Pool,
    clock: Clock,
    incarnation: Millis,
    exports: Arc<Exports>,
    prefill_turn: tokio::sync::Mutex<()>,
    link_turn: tokio::sync::Mutex<()>,
    held: Mutex<Vec<Held>>,
    counts: Mutex<EngineCounts>,
}

impl Engine {
    /// An engine of this pool.
    pub fn new(id: BackendId, pool: Pool, exports: Arc<Exports>) -> Self {
        let clock = Clock::system();
        Engine {
            id,
            pool,
            incarnation: clock.now(),
            clock,
            exports,
            prefill_turn: tokio::sync::Mutex::default(),
            link_turn: tokio::sync::Mutex::default(),
            held: Mutex::default(),
            counts: Mutex::default(),
        }
    }

    /// Serves calls until the runtime ends.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        let router = axum::Router::new()
            .route("/v1/chat/completions", post(chat))
            .route("/abort_request", post(abort))
            .route("/load", get(load))
            .with_state(self);
        let _ = axum::serve(listener, router).await;
    }

    /// Counts so far.
    pub fn counts(&self) -> EngineCounts {
        let mut counts = *self.count();
        counts.held = self.held().len() as u64;
        counts
    }

    fn count(&self) -> std::sync::MutexGuard<'_, EngineCounts> {
        self.counts.lock().unwrap_or_else(|err| err.into_inner())
    }

    fn held(&self) -> std::sync::MutexGuard<'_, Vec<Held>> {
        self.held.lock().unwrap_or_else(|err| err.into_inner())
    }

    fn used_pieces(&self) -> u32 {
        self.held().iter().map(|held| held.pieces).sum()
    }

    fn hold(self: &Arc<Self>, attempt: &str, tokens: u64) -> Hold {
        let cancel = CancellationToken::new();
        self.held().push(Held {
            attempt: attempt.to_owned(),
            pieces: Tokens(tokens).pieces().0,
            cancel: cancel.clone(),
        });
        Hold {
            engine: self.clone(),
            attempt: attempt.to_owned(),
            cancel,
        }
    }

    async fn prefill(self: &Arc<Self>, attempt: &str, tokens: u64) -> Option<Value> {
        let hold = self.hold(attempt, tokens);
        let compute = async {
            let _turn = self.prefill_turn.lock().await;
            sleep_ms(self.pool.prefill.millis_for(tokens as f64)).await;
        };
        tokio::select! {
            () = compute => {}
            () = hold.cancel.cancelled() => return None,
        }
        self.count().prefill_tokens += tokens;
        self.exports.lock().push(Export {
            attempt: attempt.to_owned(),
            tokens,
            until: self.clock.now() + self.pool.eviction,
        });
        Some(json!({
            "do_remote_prefill": true,
            "do_remote_decode": false,
            "remote_engine_id": self.id.as_str(),
            "remote_block_ids": [attempt],
        }))
    }

    async fn import(&self, attempt: &str) -> Option<u64> {
        let tokens = self.exports.take(attempt, self.clock.now())?;
        let bytes = tokens * self.pool.kv_per_token.0;
        let _turn = self.link_turn.lock().await;
        sleep_ms(self.pool.link.millis_for(bytes as f64)).await;
        self.count().imported_tokens += tokens;
        Some(tokens)
    }

    fn token_gap(&self) -> Duration {
        let others = self.held().len().saturating_sub(1) as f64;
        let gap = self.pool.token_gap_ms + self.pool.token_gap_slope_ms * others;
        Duration::from_secs_f64(gap / 1000.0)
    }
}

/// Memory held by one attempt; dropped when the attempt ends.
struct Hold {
    engine: Arc<Engine>,
    attempt: String,
    cancel: CancellationToken,
}

impl Drop for Hold {
    fn drop(&mut self) {
        let mut held = self.engine.held();
        if let Some(index) = held.iter().position(|held| held.attempt == self.attempt) {
            held.swap_remove(index);
        }
    }
}

async fn sleep_ms(ms: f64) {
    tokio::time::sleep(Duration::from_secs_f64(ms / 1000.0)).await;
}

async fn chat(State(engine): State<Arc<Engine>>, Json(call): Json<Value>) -> Response {
    let attempt = call["request_id"].as_str().unwrap_or_default().to_owned();
    let transfer = &call["kv_transfer_params"];
    if transfer["do_remote_decode"] == true {
        let prompt_tokens = call["messages"].to_string().len() as u64 / BYTES_PER_TOKEN;
        return match engine.prefill(&attempt, prompt_tokens).await {
            Some(transfer) => {
                Json(json!({"id": attempt, "kv_transfer_params": transfer})).into_response()
            }
            None => StatusCode::CONFLICT.into_response(),
        };
    }
    let output = call["max_tokens"].as_u64().unwrap_or(DEFAULT_OUTPUT_TOKENS);
    let Some(tokens) = engine.import(&attempt).await else {
        return StatusCode::GONE.into_response();
    };
    let hold = engine.hold(&attempt, tokens + output);
    let mut words = generate(engine, hold, output);
    if call["stream"] == true {
        return stream(attempt, words);
    }
    let mut content = String::new();
    let mut count = 0;
    while let Some(word) = words.recv().await {
        content.push_str(&word);
        count += 1;
    }
    if count < output {
        return StatusCode::CONFLICT.into_response();
    }
    let message = json!({"role": "assistant", "content": content});
    let choices = json!([{"index": 0, "message": message, "finish_reason": "stop"}]);
    let usage = json!({"prompt_tokens": tokens, "completion_tokens": count});
    Json(json!({"id": attempt, "choices": choices, "usage": usage})).into_response()
}

/// Generates words until the output is complete, the receiver is gone or the attempt is cancelled.
fn generate(engine: Arc<Engine>, hold: Hold, output: u64) -> mpsc::Receiver<String> {
    let (tx, rx) = mpsc::channel(STREAM_BUFFER);
    tokio::spawn(async move {
        for index in 0..output {
            let gap = tokio::time::sleep(engine.token_gap());
            tokio::select! {
                () = gap => {}
                () = hold.cancel.cancelled() => return,
            }
            if tx.send(format!("{}:{index} ", hold.attempt)).await.is_err() {
                return;
            }
        }
    });
    rx
}

fn stream(attempt: String, words: mpsc::Receiver<String>) -> Response {
    let id = attempt.clone();
    let events = tokio_stream(words).map(move |word| {
        let choices = json!([{"index": 0, "delta": {"content": word}}]);
        let event = json!({"id": id, "choices": choices});
        Ok::<_, Infallible>(Bytes::from(format!("data: {event}\n\n")))
    });
    let done = futures_util::stream::once(async { Ok(Bytes::from("data: [DONE]\n\n")) });
    let headers = [(header::CONTENT_TYPE, "text/event-stream")];
    (headers, Body::from_stream(events.chain(done))).into_response()
}

fn tokio_stream(words: mpsc::Receiver<String>) -> impl futures_util::Stream<Item = String> {
    futures_util::stream::unfold(words, |mut words| async {
        let word = words.recv().await?;
        Some((word, words))
    })
}

async fn abort(State(engine): State<Arc<Engine>>, Json(call): Json<Value>) -> Response {
    let rid = call["rid"].as_str().unwrap_or_default();
    let cancelled = engine
        .held()
        .iter()
        .filter(|held| held.attempt == rid)
        .map(|held| held.cancel.cancel())
        .count();
    engine.count().cancelled += cancelled as u64;
    Json(json!({"success": true})).into_response()
}

async fn load(State(engine): State<Arc<Engine>>) -> Response {
    let used = engine.used_pieces();
    let load = json!({
        "at_ms": engine.clock.now().0,
        "incarnation": engine.incarnation.0,
        "running": engine.held().len(),
        "waiting": 0,
        "free_pieces": engine.pool.pieces.0.saturating_sub(used),
        "leaving": false,
    });
    Json(load).into_response()
}
