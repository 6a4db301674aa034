//! Plain service that counts how often each key ran.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use axum::extract::{Request, State};
use axum::http::Method;
use axum::response::{IntoResponse, Response};
use serde_json::{Value, json};
use tokio::net::TcpListener;

const MAX_BODY_BYTES: usize = 4 << 20;

/// Servers of one plain service; they share their records.
#[derive(Debug, Default)]
pub struct PlainService {
    /// Runs by key, sorted by key.
    runs: Mutex<Vec<(String, u64)>>,
    /// Time between a run and its answer, in milliseconds.
    answer_delay: AtomicU64,
}

impl PlainService {
    /// Serves calls until the runtime ends.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        let router = axum::Router::new().fallback(run).with_state(self);
        let _ = axum::serve(listener, router).await;
    }

    /// Sets the time between a run and its answer.
    pub fn set_answer_delay(&self, delay: Duration) {
        self.answer_delay
            .store(delay.as_millis() as u64, Ordering::Relaxed);
    }

    /// Runs beyond the first, over all keys.
    pub fn double_runs(&self) -> u64 {
        let runs = self.runs.lock().unwrap_or_else(|err| err.into_inner());
        runs.iter().map(|(_, count)| count - 1).sum()
    }

    /// How often the call with this key ran.
    pub fn runs_of(&self, key: &str) -> u64 {
        let runs = self.runs.lock().unwrap_or_else(|err| err.into_inner());
        match runs.binary_search_by(|(known, _)| known.as_str().cmp(key)) {
            Ok(index) => runs[index].1,
            Err(_) => 0,
        }
    }

    fn record(&self, key: &str) {
        let mut runs = self.runs.lock().unwrap_or_else(|err| err.into_inner());
        match runs.binary_search_by(|(known, _)| known.as_str().cmp(key)) {
            Ok(index) => runs[index].1 += 1,
            Err(index) => runs.insert(index, (key.to_owned(), 1)),
        }
    }
}

async fn run(State(service): State<Arc<PlainService>>, req: Request) -> Response {
    let (parts, body) = req.into_parts();
    if parts.method == Method::GET {
        return axum::Json(json!({"path": parts.uri.path()})).into_response();
    }
    let body = axum::body::to_bytes(body, MAX_BODY_BYTES)
        .await
        .unwrap_or_default();
    let call: Value = serde_json::from_slice(&body).unwrap_or_default();
    let key = call["key"].as_str().unwrap_or_default().to_owned();
    service.record(&key);
    let delay = service.answer_delay.load(Ordering::Relaxed);
    tokio::time::sleep(Duration::from_millis(delay)).await;
    axum::Json(json!({"key": key, "done": true})).into_response()
}
