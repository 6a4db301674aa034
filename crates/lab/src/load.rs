//! A bounded load from callers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bv_config::{Inventory, Model};
use bytes::Bytes;
use fastrand::Rng;
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};
use tokio::task::JoinSet;

use crate::Report;
use crate::report::Outcome;

const OUTCOME_HEADER: &str = "x-burdockvale-outcome";
const PROMPT_BYTES: std::ops::Range<usize> = 400..16_000;

/// What is offered.
#[derive(Debug, Clone)]
pub struct LoadSettings {
    /// Seed of arrival times, models and prompts.
    pub seed: u64,
    /// Length in seconds.
    pub seconds: u64,
    /// Offered model load in percent of the decode capacity.
    pub percent: u32,
    /// Addresses of the entry hosts.
    pub callers: Vec<SocketAddr>,
}

/// A load generator.
pub struct Load {
    settings: LoadSettings,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Load {
    /// Prepares a load.
    pub fn new(settings: LoadSettings) -> Self {
        Load {
            settings,
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Offers the load and waits for every answer or deadline.
    pub async fn run(&self, inventory: &Inventory) -> Report {
        let mut rng = Rng::with_seed(self.settings.seed);
        let rate = self.rate(inventory);
        let end = Instant::now() + Duration::from_secs(self.settings.seconds);
        let mut calls = JoinSet::new();
        let mut report = Report::default();
        while Instant::now() < end && !inventory.models.is_empty() {
            let gap = -(1.0 - rng.f64()).ln() / rate;
            tokio::time::sleep(Duration::from_secs_f64(gap)).await;
            let model = inventory.models[rng.usize(..inventory.models.len())].clone();
            let host = self.settings.callers[rng.usize(..self.settings.callers.len())];
            let prompt = "word ".repeat(rng.usize(PROMPT_BYTES) / 5);
            let streamed = rng.bool();
            calls.spawn(call_model(
                self.client.clone(),
                host,
                model,
                prompt,
                streamed,
            ));
            while let Some(Ok(outcome)) = calls.try_join_next() {
                report.add(outcome);
            }
        }
        while let Some(outcome) = calls.join_next().await {
            if let Ok(outcome) = outcome {
                report.add(outcome);
            }
        }
        report
    }

    /// Requests a second that fill the decode slots to the chosen share.
    fn rate(&self, inventory: &Inventory) -> f64 {
        let mut slots = 0.0;
        for runner in &inventory.runners {
            if runner.role == bv_config::EngineRole::Decode {
                slots += inventory
                    .pool(&runner.pool)
                    .map_or(0.0, |pool| f64::from(pool.slots));
            }
        }
        let mut hold_ms = 0.0;
        for model in &inventory.models {
            let gap = inventory.pool(&model.pool).map_or(1.0, |pool| {
                pool.token_gap_ms + pool.token_gap_slope_ms * f64::from(pool.slots - 1)
            });
            hold_ms += gap * model.max_output.0 as f64 / inventory.models.len() as f64;
        }
        (slots * 1000.0 / hold_ms.max(1.0) * f64::from(self.settings.percent) / 100.0).max(0.1)
    }
}

async fn call_model(
    client: Client<HttpConnector, Full<Bytes>>,
    host: SocketAddr,
    model: Model,
    prompt: String,
    streamed: bool,
) -> Outcome {
    let body = json!({
        "model": model.id.as_str(),
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": model.max_output.0,
        "stream": streamed,
    });
    let req = Request::post(format!("http://{host}/v1/chat/completions"))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body.to_string())));
    let Ok(req) = req else {
        return Outcome::Lost;
    };
    let exchange = exchange(client, req, &model, streamed);
    tokio::time::timeout(model.deadline.duration(), exchange)
        .await
        .unwrap_or(Outcome::Lost)
}

async fn exchange(
    client: Client<HttpConnector, Full<Bytes>>,
    req: Request<Full<Bytes>>,
    model: &Model,
    streamed: bool,
) -> Outcome {
    let start = Instant::now();
    let Ok(answer) = client.request(req).await else {
        return Outcome::Lost;
    };
    if answer.status() != StatusCode::OK {
        let not_run = answer
            .headers()
            .get(OUTCOME_HEADER)
            .is_some_and(|v| v == "not-run");
        return match not_run {
            true => Outcome::NotRun,
            false => Outcome::Unknown,
        };
    }
    let mut body = answer.into_body();
    let mut text = Vec::new();
    let mut first = None;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Outcome::Lost;
        };
        if let Ok(data) = frame.into_data() {
            first.get_or_insert_with(|| start.elapsed());
            text.extend_from_slice(&data);
        }
    }
    let whole = match streamed {
        true => check_stream(&text, model.max_output.0),
        false => check_answer(&text, model.max_output.0),
    };
    if !whole {
        return Outcome::Truncated;
    }
    let total = start.elapsed();
    let first = first.unwrap_or(total);
    let gap = (total - first).div_f64(model.max_output.0.max(1) as f64);
    let in_time = match streamed {
        true => first <= model.first_token.duration() && gap <= model.token_gap.duration(),
        false => total <= model.deadline.duration(),
    };
    Outcome::Whole { in_time }
}

fn check_stream(text: &[u8], tokens: u64) -> bool {
    let text = String::from_utf8_lossy(text);
    let events = text.matches("data: {").count() as u64;
    events == tokens && text.ends_with("data: [DONE]\n\n")
}

fn check_answer(text: &[u8], tokens: u64) -> bool {
    let answer: Value = serde_json::from_slice(text).unwrap_or_default();
    answer["usage"]["completion_tokens"] == tokens
}
