//! Checks of answers by the load generator, against a host that answers wrongly on purpose.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use axum::Router;
use axum::extract::{Request, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use bv_config::Inventory;
use bv_lab::{Balancer, CallerFaults, LeakDetector, Load, LoadSettings, Report};
use serde_json::{Value, json};
use support::listen;

const INVENTORY: &str = include_str!("../../../examples/co-operative.toml");

#[derive(Debug, Clone, Copy, PartialEq)]
enum Mode {
    Correct,
    Crossed,
    Truncated,
    Repeated,
    WithoutEndMarker,
    NotRun,
}

async fn host(mode: Mode) -> SocketAddr {
    let (listener, addr) = listen().await;
    let router = Router::new().fallback(answer).with_state(mode);
    tokio::spawn(async move { axum::serve(listener, router).await });
    addr
}

async fn answer(State(mode): State<Mode>, req: Request) -> Response {
    if mode == Mode::NotRun {
        let body = json!({"error": {"code": "not_run", "reason": "no_backend"}}).to_string();
        let headers = [("x-burdockvale-outcome", "not-run")];
        return (StatusCode::SERVICE_UNAVAILABLE, headers, body).into_response();
    }
    let query = req.uri().query().unwrap_or_default().to_owned();
    let body = axum::body::to_bytes(req.into_body(), 1 << 20)
        .await
        .unwrap();
    let call: Value = serde_json::from_slice(&body).unwrap_or_default();
    if call["messages"].is_null() {
        let key = call["key"].as_str().or(query.strip_prefix("nonce="));
        return plain_answer(mode, key.unwrap_or_default());
    }
    let prompt = call["messages"][0]["content"].as_str().unwrap();
    let nonce = prompt
        .split_once("nonce=")
        .unwrap()
        .1
        .split_once(';')
        .unwrap()
        .0;
    let nonce = if mode == Mode::Crossed { "n9-9" } else { nonce };
    let mut words: Vec<String> = (0..call["max_tokens"].as_u64().unwrap())
        .map(|index| format!("{nonce}:{index} "))
        .collect();
    match mode {
        Mode::Truncated => drop(words.pop()),
        Mode::Repeated => words.insert(3, words[2].clone()),
        _ => {}
    }
    match call["stream"] == true {
        true => stream_answer(mode, &words),
        false => complete_answer(mode, &words),
    }
}

fn plain_answer(mode: Mode, key: &str) -> Response {
    match mode {
        Mode::Crossed => json!({"key": "n9-9"}).to_string().into_response(),
        Mode::Truncated | Mode::WithoutEndMarker => r#"{"key": "#.into_response(),
        _ => json!({"key": key}).to_string().into_response(),
    }
}

fn stream_answer(mode: Mode, words: &[String]) -> Response {
    let event = |word: &String| {
        let event = json!({"choices": [{"index": 0, "delta": {"content": word}}]});
        format!("data: {event}\n\n")
    };
    let mut text: String = words.iter().map(event).collect();
    if mode != Mode::WithoutEndMarker {
        text.push_str("data: [DONE]\n\n");
    }
    text.into_response()
}

fn complete_answer(mode: Mode, words: &[String]) -> Response {
    let message = json!({"role": "assistant", "content": words.concat()});
    let mut choice = json!({"index": 0, "message": message});
    if mode != Mode::WithoutEndMarker {
        choice["finish_reason"] = json!("stop");
    }
    json!({"choices": [choice]}).to_string().into_response()
}

async fn run(mode: Mode) -> Report {
    let inventory = Inventory::parse(INVENTORY).unwrap();
    let faults = CallerFaults::default();
    faults.close_early_permille.store(0, Ordering::Relaxed);
    faults.stop_reading_permille.store(0, Ordering::Relaxed);
    let load = Load::new(LoadSettings {
        seed: 1,
        seconds: 1,
        load_percent: 100,
        burst_lookups_per_s: 0,
        balancer: Arc::new(Balancer::new([host(mode).await])),
        leak_detector: Arc::new(LeakDetector::default()),
        faults: Arc::new(faults),
    });
    load.run(&inventory).await.report
}

/// Guards against callers that accept a wrong answer as correct.
#[tokio::test]
async fn wrong_answers() {
    type Count = fn(&Report) -> u64;
    let cases: [(Mode, Count); 6] = [
        (Mode::Correct, |report| report.answered_whole),
        (Mode::Crossed, |report| report.crossed_answers),
        (Mode::Truncated, |report| report.truncated_answers),
        (Mode::WithoutEndMarker, |report| report.truncated_answers),
        (Mode::NotRun, |report| report.refusals.get("no_backend")),
        // Only model answers repeat a word; answers to plain calls count as complete.
        (Mode::Repeated, |report| {
            report.answered_twice + report.answered_whole
        }),
    ];
    for (mode, count) in cases {
        let report = run(mode).await;
        assert!(report.requests > 20, "{mode:?}");
        assert_eq!(
            count(&report),
            report.requests,
            "{mode:?}: {}",
            report.summary()
        );
        let twice = report.answered_twice > 0;
        assert_eq!(twice, mode == Mode::Repeated, "{mode:?}");
    }
}
