//! Stand-in for a plain service; it records, for each key, the attempts whose call ran.

use std::convert::Infallible;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use axum::body::{Body, Bytes};
use axum::extract::{Request, State};
use axum::http::{Method, header};
use axum::response::{IntoResponse, Response};
use futures_util::stream;
use serde_json::{Value, json};
use tokio::net::TcpListener;

use super::gate::ConnectionCloser;
use super::{FaultRates, Gate};
use crate::load::ATTEMPT_HEADER;

const MAX_BODY_BYTES: usize = 4 << 20;
/// Time that a call takes, in ms.
const RUN_MS: std::ops::Range<u64> = 5..30;
/// Time that a slowed call takes, in ms.
const SLOW_RUN_MS: std::ops::Range<u64> = 500..3_000;

/// Faults of a plain service; each affects a configured share of the calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceFault {
    /// A call takes 0.5 to 3 s.
    Slow,
    /// The connection is closed after the call ran, without an answer.
    DisconnectAfterRun,
    /// The connection is closed within the answer.
    Truncated,
}

const FAULT_COUNT: usize = 3;

/// State that the servers of one plain service share.
#[derive(Debug, Default)]
pub struct PlainService {
    /// Attempts that ran, by key; sorted by key.
    runs: Mutex<Vec<(String, Vec<u32>)>>,
    faults: FaultRates<FAULT_COUNT>,
    /// Additional time between a run and its answer, in ms.
    answer_delay_ms: AtomicU64,
}

impl PlainService {
    /// Serves calls until the runtime ends.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        self.serve_with_gate(listener, Arc::default()).await;
    }

    /// Serves calls until the runtime ends; the gate controls the connections.
    pub async fn serve_with_gate(self: Arc<Self>, listener: TcpListener, gate: Arc<Gate>) {
        let router = axum::Router::new().fallback(run).with_state(self);
        gate.serve(listener, router).await;
    }

    /// Sets the share of the calls that a fault affects, in thousandths; 0 disables the fault.
    pub fn set_fault(&self, fault: ServiceFault, thousandths: u32) {
        self.faults.set(fault as usize, thousandths);
    }

    /// Sets the time between a run and its answer.
    pub fn set_answer_delay(&self, delay: Duration) {
        self.answer_delay_ms
            .store(delay.as_millis() as u64, Ordering::Relaxed);
    }

    /// Number of runs after the first of their key, over all keys.
    pub fn double_runs(&self) -> u64 {
        let runs = self.lock();
        runs.iter()
            .map(|(_, attempts)| attempts.len() as u64 - 1)
            .sum()
    }

    /// Number of runs of the call with this key.
    pub fn runs_of(&self, key: &str) -> u64 {
        self.attempts_of(key).len() as u64
    }

    /// Numbers of the caller's attempts under which this key ran, in the order of the runs.
    pub fn attempts_of(&self, key: &str) -> Vec<u32> {
        let runs = self.lock();
        match runs.binary_search_by(|(known, _)| known.as_str().cmp(key)) {
            Ok(index) => runs[index].1.clone(),
            Err(_) => Vec::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<(String, Vec<u32>)>> {
        self.runs.lock().unwrap_or_else(|err| err.into_inner())
    }

    fn record(&self, key: &str, attempt: u32) {
        let mut runs = self.lock();
        match runs.binary_search_by(|(known, _)| known.as_str().cmp(key)) {
            Ok(index) => runs[index].1.push(attempt),
            Err(index) => runs.insert(index, (key.to_owned(), vec![attempt])),
        }
    }

    /// Whether the fault affects the current call; drawn anew at each call.
    fn fault_applies(&self, fault: ServiceFault) -> bool {
        self.faults.applies(fault as usize)
    }
}

async fn run(State(service): State<Arc<PlainService>>, req: Request) -> Response {
    let (parts, body) = req.into_parts();
    let body = axum::body::to_bytes(body, MAX_BODY_BYTES)
        .await
        .unwrap_or_default();
    let time_ms = match service.fault_applies(ServiceFault::Slow) {
        true => fastrand::u64(SLOW_RUN_MS),
        false => fastrand::u64(RUN_MS),
    };
    let time_ms = time_ms + service.answer_delay_ms.load(Ordering::Relaxed);
    let answer = match parts.method {
        Method::GET => {
            tokio::time::sleep(Duration::from_millis(time_ms)).await;
            json!({"path": parts.uri.path(), "key": nonce_of(parts.uri.query())})
        }
        _ => {
            let call: Value = serde_json::from_slice(&body).unwrap_or_default();
            let key = call["key"].as_str().unwrap_or_default();
            // Recorded before the delay: the call has taken effect even if the caller disconnects.
            service.record(key, attempt_of(&parts.headers));
            tokio::time::sleep(Duration::from_millis(time_ms)).await;
            json!({"key": key, "done": true})
        }
    };
    let Some(ConnectionCloser(closer)) = parts.extensions.get::<ConnectionCloser>().cloned() else {
        return axum::Json(answer).into_response();
    };
    if service.fault_applies(ServiceFault::DisconnectAfterRun) {
        closer.cancel();
        return std::future::pending().await;
    }
    if service.fault_applies(ServiceFault::Truncated) {
        return truncated(&answer.to_string(), closer);
    }
    axum::Json(answer).into_response()
}

/// Half of an answer with the content length of the complete one; then the connection is closed.
fn truncated(answer: &str, closer: tokio_util::sync::CancellationToken) -> Response {
    let part = Bytes::from(answer.as_bytes()[..answer.len() / 2].to_vec());
    let body = stream::unfold(Some(part), move |part| {
        let closer = closer.clone();
        async move {
            let Some(part) = part else {
                closer.cancel();
                return std::future::pending().await;
            };
            Some((Ok::<_, Infallible>(part), None))
        }
    });
    let length = [(header::CONTENT_LENGTH, answer.len().to_string())];
    (length, Body::from_stream(body)).into_response()
}

fn nonce_of(query: Option<&str>) -> Option<&str> {
    query?
        .split('&')
        .find_map(|field| field.strip_prefix("nonce="))
}

fn attempt_of(headers: &axum::http::HeaderMap) -> u32 {
    headers
        .get(ATTEMPT_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .unwrap_or_default()
}
