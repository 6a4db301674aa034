//! Leaving marks of engines from operators and from their own load reports.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bv_lab::stand_in::Engine;
use bv_lab::{Deployment, HostProcess, OPERATOR_KEY};
use bytes::Bytes;
use common::{INVENTORY, operator_get, start_hosts};
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::json;

/// Guarantee P6: a backend server gets no new work more than 3 s after its leaving mark.
const MARK_LIMIT: Duration = Duration::from_secs(3);
const LOAD_DURATION: Duration = Duration::from_secs(3);
/// Position and id of a prefill runner.
const DRAINED_RUNNER: (usize, &str) = (0, "reading-1");

async fn post(url: String, body: serde_json::Value) -> bool {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let req = Request::post(url)
        .header("content-type", "application/json")
        .header("authorization", format!("Bearer {OPERATOR_KEY}"))
        .body(Full::new(Bytes::from(body.to_string())))
        .unwrap();
    let Ok(answer) = client.request(req).await else {
        return false;
    };
    answer.status().is_success() && answer.into_body().collect().await.is_ok()
}

/// Sends short calls with different prompts to all hosts for `LOAD_DURATION`; returns how many were
/// answered.
async fn send_calls(hosts: &[HostProcess], round: usize) -> usize {
    let addrs: Vec<SocketAddr> = hosts.iter().map(|h| h.spec.caller_addr).collect();
    let started = Instant::now();
    let mut answered = 0;
    let mut number = 0;
    while started.elapsed() < LOAD_DURATION {
        let mut batch = Vec::new();
        for addr in &addrs {
            number += 1;
            let body = json!({
                "model": "paint-batch",
                "messages": [{"role": "user", "content": format!("{round}-{number} ").repeat(200)}],
                "max_tokens": 4,
            });
            let url = format!("http://{addr}/v1/chat/completions");
            batch.push(tokio::spawn(post(url, body)));
        }
        for call in batch {
            answered += usize::from(call.await.unwrap());
        }
    }
    answered
}

async fn wait_marks(hosts: &[HostProcess], is_marked: bool, started: Instant) {
    for host in hosts {
        loop {
            let status = operator_get(host, "/v1/status").await;
            let marks = status["leaving"].as_array().cloned().unwrap_or_default();
            if marks.iter().any(|m| m["backend"] == DRAINED_RUNNER.1) == is_marked {
                break;
            }
            let id = &host.spec.id;
            assert!(
                started.elapsed() < MARK_LIMIT,
                "{id}: leaving mark is not {is_marked} within {MARK_LIMIT:?}"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

async fn prefill_tokens_during_calls(
    hosts: &[HostProcess],
    engine: &Arc<Engine>,
    round: usize,
) -> u64 {
    let before = engine.counts().prefill_tokens;
    let answered = send_calls(hosts, round).await;
    assert!(answered > 0, "no call was answered in round {round}");
    engine.counts().prefill_tokens - before
}

/// Guards against an operator's mark that is applied only to plain services or only on one host,
/// and against a drained engine that stays out of use after its restart.
#[tokio::test(flavor = "multi_thread")]
async fn drained_by_operator() {
    let deployment = Deployment::start(INVENTORY).await.unwrap();
    let hosts = start_hosts(&deployment, 3).await;
    let engine = deployment.engines[DRAINED_RUNNER.0].clone();
    assert!(
        prefill_tokens_during_calls(&hosts, &engine, 0).await > 0,
        "no work before the mark"
    );
    let url = format!("http://{}/v1/drain", hosts[1].spec.operator_addr);
    let started = Instant::now();
    assert!(post(url, json!({"backend": DRAINED_RUNNER.1})).await);
    wait_marks(&hosts, true, started).await;
    println!("operator's mark: on 3 hosts after {:?}", started.elapsed());
    tokio::time::sleep(MARK_LIMIT.saturating_sub(started.elapsed())).await;
    assert_eq!(
        prefill_tokens_during_calls(&hosts, &engine, 1).await,
        0,
        "work after the mark"
    );
    engine.crash();
    engine.restart();
    tokio::time::sleep(MARK_LIMIT).await;
    assert!(
        prefill_tokens_during_calls(&hosts, &engine, 2).await > 0,
        "no work after the restart"
    );
}

/// Guards against a mark in a load report that the owner of the shard does not pass on.
#[tokio::test(flavor = "multi_thread")]
async fn marked_by_report() {
    let deployment = Deployment::start(INVENTORY).await.unwrap();
    let hosts = start_hosts(&deployment, 3).await;
    let engine = deployment.engines[DRAINED_RUNNER.0].clone();
    assert!(
        prefill_tokens_during_calls(&hosts, &engine, 0).await > 0,
        "no work before the mark"
    );
    let started = Instant::now();
    engine.set_leaving(true);
    wait_marks(&hosts, true, started).await;
    println!("report's mark: on 3 hosts after {:?}", started.elapsed());
    tokio::time::sleep(MARK_LIMIT.saturating_sub(started.elapsed())).await;
    assert_eq!(
        prefill_tokens_during_calls(&hosts, &engine, 1).await,
        0,
        "work after the mark"
    );
    assert_eq!(engine.counts().work_after_leaving, 0);
}
