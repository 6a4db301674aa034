//! Load reports of a past state, and orders with a fencing token.

use std::collections::VecDeque;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use axum::Json;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use bv_types::Millis;
use serde_json::{Value, json};

use super::{Engine, EngineFault};

const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// Number of samples kept; they cover slightly more than the age of a stale report.
const MAX_SAMPLES: usize = 48;
/// Age of a load report, in ms.
const REPORT_AGE_MS: std::ops::Range<u64> = 100..450;
const STALE_AGE_MS: u64 = 2_000;
/// Delay of a late load report; longer than a host waits for one.
const LATE_LOAD_DELAY: Duration = Duration::from_millis(300);

#[derive(Debug, Clone, Copy)]
struct Sample {
    at: Millis,
    running: usize,
    waiting: usize,
    free_pieces: u32,
}

/// Recent load samples, oldest first.
#[derive(Debug, Default)]
pub(super) struct Samples(Mutex<VecDeque<Sample>>);

impl Samples {
    fn lock(&self) -> MutexGuard<'_, VecDeque<Sample>> {
        self.0.lock().unwrap_or_else(|err| err.into_inner())
    }

    pub fn clear(&self) {
        self.lock().clear();
    }

    fn push(&self, sample: Sample) {
        let mut samples = self.lock();
        samples.push_back(sample);
        if samples.len() > MAX_SAMPLES {
            samples.pop_front();
        }
    }

    /// The newest sample taken at or before this time, or the oldest if there is none.
    fn at(&self, time: Millis) -> Option<Sample> {
        let samples = self.lock();
        let old = samples.iter().rev().find(|sample| sample.at <= time);
        old.or(samples.front()).copied()
    }
}

fn sample_now(engine: &Engine) -> Sample {
    let (running, waiting, free_pieces) = engine.scheduler.load();
    Sample {
        at: engine.clock.now(),
        running,
        waiting,
        free_pieces,
    }
}

/// Takes samples until the runtime ends.
pub(super) async fn sample(engine: Arc<Engine>) {
    loop {
        engine.samples.push(sample_now(&engine));
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
}

pub(super) async fn load(State(engine): State<Arc<Engine>>) -> Response {
    if engine.fault_applies(EngineFault::LateLoad) {
        tokio::time::sleep(LATE_LOAD_DELAY).await;
    }
    let age = match engine.fault_applies(EngineFault::StaleLoad) {
        true => STALE_AGE_MS,
        false => fastrand::u64(REPORT_AGE_MS),
    };
    let sample = engine.samples.at(engine.clock.now() - Millis(age));
    let sample = sample.unwrap_or_else(|| sample_now(&engine));
    let load = json!({
        "at_ms": sample.at.0,
        "incarnation": engine.incarnation.load(Ordering::Relaxed),
        "running": sample.running,
        "waiting": sample.waiting,
        "free_pieces": sample.free_pieces,
        // The leaving mark is current even in an old report, because the engine itself sets it.
        "leaving": engine.leaving_since().is_some(),
    });
    Json(load).into_response()
}

/// The orders in force.
#[derive(Debug, Default)]
pub(super) struct Orders {
    fence: u64,
    /// Fields of the orders accepted so far, such as `role` and `model`.
    fields: serde_json::Map<String, Value>,
}

impl Orders {
    fn to_json(&self) -> Value {
        let mut fields = self.fields.clone();
        fields.insert("fence".to_owned(), json!(self.fence));
        Value::Object(fields)
    }
}

/// Returns the orders in force, for a new lease holder that takes over.
pub(super) async fn show_order(State(engine): State<Arc<Engine>>) -> Response {
    Json(engine.lock_orders().to_json()).into_response()
}

/// Accepts an order; an engine that checks fencing tokens refuses an older token with status 409.
pub(super) async fn take_order(
    State(engine): State<Arc<Engine>>,
    Json(call): Json<Value>,
) -> Response {
    let Some(fence) = call["fence"].as_u64() else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let mut orders = engine.lock_orders();
    if engine.pool.checks_fence && fence < orders.fence {
        return (StatusCode::CONFLICT, Json(orders.to_json())).into_response();
    }
    orders.fence = fence;
    for (name, value) in call.as_object().into_iter().flatten() {
        orders.fields.insert(name.clone(), value.clone());
    }
    Json(orders.to_json()).into_response()
}
