//! The engine stand-in against the published engine protocol.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bv_config::{Inventory, Pool};
use bv_lab::stand_in::{Engine, EngineFault, Exports};
use hyper::StatusCode;
use serde_json::{Value, json};
use support::{get, listen, post};

const INVENTORY: &str = include_str!("../../../examples/co-operative.toml");
const CHAT: &str = "/v1/chat/completions";

struct EnginePair {
    prefill: Arc<Engine>,
    prefill_addr: SocketAddr,
    decode: Arc<Engine>,
    decode_addr: SocketAddr,
}

async fn start(change: impl Fn(&mut Pool)) -> EnginePair {
    let mut pool = Inventory::parse(INVENTORY).unwrap().pools[0].clone();
    change(&mut pool);
    let exports = Arc::new(Exports::default());
    let mut started = Vec::new();
    for name in ["prefill-1", "decode-1"] {
        let id = name.parse().unwrap();
        let engine = Arc::new(Engine::new(id, pool.clone(), exports.clone()));
        let (listener, addr) = listen().await;
        tokio::spawn(engine.clone().serve(listener));
        started.push((engine, addr));
    }
    let (decode, decode_addr) = started.pop().unwrap();
    let (prefill, prefill_addr) = started.pop().unwrap();
    EnginePair {
        prefill,
        prefill_addr,
        decode,
        decode_addr,
    }
}

fn call(attempt: &str, output: u64, prompt: &str) -> Value {
    json!({
        "request_id": attempt,
        "max_tokens": output,
        "messages": [{"role": "user", "content": prompt}],
    })
}

impl EnginePair {
    async fn prefill(&self, attempt: &str, prompt: &str) -> Value {
        let mut call = call(attempt, 1, prompt);
        call["kv_transfer_params"] = json!({"do_remote_decode": true});
        let (status, body) = post(self.prefill_addr, CHAT, &[], call.to_string())
            .await
            .unwrap();
        assert_eq!(status, StatusCode::OK);
        let mut answer: Value = serde_json::from_str(&body).unwrap();
        answer["kv_transfer_params"].take()
    }

    async fn decode(&self, attempt: &str, output: u64) -> Option<(StatusCode, String)> {
        let mut call = call(attempt, output, "nonce=n1;");
        call["stream"] = json!(true);
        post(self.decode_addr, CHAT, &[], call.to_string()).await
    }

    async fn resume(&self, attempt: &str, last_event_id: &str) -> Option<(StatusCode, String)> {
        let mut call = call(attempt, 0, "nonce=n1;");
        call["stream"] = json!(true);
        let headers = [("last-event-id", last_event_id)];
        post(self.decode_addr, CHAT, &headers, call.to_string()).await
    }

    async fn abort(&self, attempt: &str) -> StatusCode {
        let body = json!({"rid": attempt}).to_string();
        let answer = post(self.decode_addr, "/abort_request", &[], body).await;
        answer.unwrap().0
    }
}

async fn wait_until(what: &str, check: impl Fn() -> bool) {
    let end = Instant::now() + Duration::from_secs(5);
    while !check() {
        assert!(Instant::now() < end, "timed out: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

fn ids(body: &str) -> Vec<u64> {
    body.lines()
        .filter_map(|line| line.strip_prefix("id: "))
        .map(|id| id.parse().unwrap())
        .collect()
}

/// Guards against streams without event ids, end marker or the request's own content.
#[tokio::test]
async fn numbered_stream() {
    let pair = start(|_| {}).await;
    let transfer = pair.prefill("h.1.1.0", "nonce=n1;").await;
    assert_eq!(transfer["do_remote_prefill"], true);
    assert_eq!(transfer["remote_engine_id"], "prefill-1");
    let (status, body) = pair.decode("h.1.1.0", 5).await.unwrap();
    assert_eq!(status, StatusCode::OK);
    assert_eq!(ids(&body), [0, 1, 2, 3, 4]);
    assert!(body.contains("\"content\":\"n1:4 \""), "{body}");
    assert!(body.ends_with("data: [DONE]\n\n"));
    wait_until("memory is freed", || {
        pair.prefill.counts().held + pair.decode.counts().held == 0
    })
    .await;
    assert_eq!(
        pair.prefill.counts().prefill_tokens,
        pair.decode.counts().imported_tokens
    );
}

/// Guards against a resume that repeats or skips events, and one that continues a cancelled
/// attempt.
#[tokio::test]
async fn resume_by_event() {
    let pair = start(|_| {}).await;
    pair.prefill("h.1.1.0", "nonce=n1;").await;
    pair.decode("h.1.1.0", 6).await.unwrap();
    let (status, body) = pair.resume("h.1.1.0", "3").await.unwrap();
    assert_eq!(status, StatusCode::OK);
    assert_eq!(ids(&body), [4, 5]);
    let first = pair.decode.counts().imported_tokens;
    pair.prefill("h.1.2.0", "nonce=n1;").await;
    let running = pair.decode("h.1.2.0", 500);
    let abort = async {
        wait_until("decode starts", || {
            pair.decode.counts().imported_tokens > first
        })
        .await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(pair.abort("h.1.2.0").await, StatusCode::OK);
    };
    let (answer, ()) = tokio::join!(running, abort);
    assert_eq!(answer, None, "a cancelled stream must not look complete");
    assert_eq!(
        pair.resume("h.1.2.0", "1").await.unwrap().0,
        StatusCode::NOT_FOUND
    );
    assert_eq!(
        pair.abort("h.1.2.0").await,
        StatusCode::OK,
        "repeated abort"
    );
}

/// Guards against an engine that keeps the memory of a disconnected caller.
#[tokio::test]
async fn closed_connection() {
    let pair = start(|_| {}).await;
    pair.prefill("h.1.1.0", "nonce=n1;").await;
    let decode = pair.decode("h.1.1.0", 2_000);
    let cut = tokio::time::timeout(Duration::from_millis(300), decode).await;
    assert!(cut.is_err());
    wait_until("memory is freed", || pair.decode.counts().held == 0).await;
}

/// Guards against an export that is never evicted, and a decode that runs without one.
#[tokio::test]
async fn evicted_export() {
    let pair = start(|pool| pool.eviction = bv_types::Millis(100)).await;
    pair.prefill("h.1.1.0", "nonce=n1;").await;
    wait_until("evicted", || pair.prefill.counts().evicted == 1).await;
    let (status, _) = pair.decode("h.1.1.0", 5).await.unwrap();
    assert_eq!(status, StatusCode::GONE);
    assert_eq!(pair.prefill.counts().held, 0);
}

/// Guards against a batch with more requests than slots, and a load report that omits waiting
/// requests.
#[tokio::test]
async fn full_batch() {
    let pair = start(|pool| pool.slots = 2).await;
    for index in 0..3 {
        pair.prefill(&format!("h.1.{index}.0"), "nonce=n1;").await;
    }
    let decodes = async {
        tokio::join!(
            pair.decode("h.1.0.0", 60),
            pair.decode("h.1.1.0", 60),
            pair.decode("h.1.2.0", 60)
        )
    };
    let read_load = async {
        tokio::time::sleep(Duration::from_millis(700)).await;
        get(pair.decode_addr, "/load").await.unwrap().1
    };
    let (_, load) = tokio::join!(decodes, read_load);
    assert_eq!(
        (&load["running"], &load["waiting"]),
        (&json!(2), &json!(1)),
        "{load}"
    );
}

/// Guards against a cached prefix that saves no tokens, and a cache hit on the prefix of another
/// prompt.
#[tokio::test]
async fn cached_prefix() {
    let pair = start(|_| {}).await;
    let prompt = "instructions ".repeat(400);
    pair.prefill("h.1.1.0", &prompt).await;
    let first = pair.prefill.counts().prefill_tokens;
    pair.prefill("h.1.2.0", &format!("{prompt} and more")).await;
    let second = pair.prefill.counts().prefill_tokens - first;
    assert!(second * 10 < first, "{second} of {first} tokens");
    pair.prefill("h.1.3.0", &format!("x{prompt}")).await;
    let third = pair.prefill.counts().prefill_tokens - first - second;
    assert!(third * 10 > first * 9, "{third} of {first} tokens");
}

/// Guards against load reports without delay, which no real engine sends.
#[tokio::test]
async fn lagging_report() {
    let pair = start(|_| {}).await;
    tokio::time::sleep(Duration::from_millis(2_300)).await;
    let age = async || {
        let load = get(pair.decode_addr, "/load").await.unwrap().1;
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        now.unwrap().as_millis() as u64 - load["at_ms"].as_u64().unwrap()
    };
    let usual = age().await;
    assert!((100..=700).contains(&usual), "{usual} ms");
    pair.decode.set_fault(EngineFault::StaleLoad, 1_000);
    let stale = age().await;
    assert!((2_000..=2_600).contains(&stale), "{stale} ms");
}

/// Guards against a crash that keeps state, connections or the incarnation.
#[tokio::test]
async fn crash_and_restart() {
    let pair = start(|_| {}).await;
    let before = get(pair.decode_addr, "/load").await.unwrap().1;
    pair.prefill("h.1.1.0", "nonce=n1;").await;
    let crash = async {
        wait_until("decode starts", || pair.decode.counts().held == 1).await;
        pair.decode.crash();
    };
    let (answer, ()) = tokio::join!(pair.decode("h.1.1.0", 500), crash);
    assert_eq!(answer, None);
    wait_until("memory is freed", || pair.decode.counts().held == 0).await;
    assert_eq!(
        get(pair.decode_addr, "/load").await,
        None,
        "refused while down"
    );
    pair.decode.restart();
    tokio::time::sleep(Duration::from_millis(200)).await;
    let after = get(pair.decode_addr, "/load").await.unwrap().1;
    assert!(after["incarnation"].as_u64() > before["incarnation"].as_u64());
    assert_eq!(
        pair.resume("h.1.1.0", "0").await.unwrap().0,
        StatusCode::NOT_FOUND
    );
}

/// Guards against an engine that checks fencing tokens and accepts the order of an earlier lease
/// holder.
#[tokio::test]
async fn fenced_order() {
    for (checks, stale) in [(true, StatusCode::CONFLICT), (false, StatusCode::OK)] {
        let pair = start(|pool| pool.checks_fence = checks).await;
        let order = async |fence: u64, role: &str| {
            let body = json!({"fence": fence, "role": role}).to_string();
            post(pair.decode_addr, "/order", &[], body).await.unwrap().0
        };
        assert_eq!(order(7, "prefill").await, StatusCode::OK);
        assert_eq!(order(7, "prefill").await, StatusCode::OK, "repeated order");
        assert_eq!(order(6, "decode").await, stale);
        let state = get(pair.decode_addr, "/order").await.unwrap().1;
        let role = if checks { "prefill" } else { "decode" };
        assert_eq!(state["role"], role);
    }
}

/// Guards against an answer fault that has no effect when it is set.
#[tokio::test]
async fn answer_faults() {
    let pair = start(|_| {}).await;
    for (index, fault) in [
        EngineFault::Crossed,
        EngineFault::Repeated,
        EngineFault::Truncated,
    ]
    .into_iter()
    .enumerate()
    {
        let attempt = format!("h.1.{index}.0");
        pair.prefill(&attempt, "nonce=n1;").await;
        pair.decode.set_fault(fault, 1_000);
        let answer = pair.decode(&attempt, 6).await;
        pair.decode.set_fault(fault, 0);
        let body = answer.map(|(_, body)| body).unwrap_or_default();
        match fault {
            EngineFault::Crossed => assert!(body.contains("\"foreign.1.1.0\""), "{body}"),
            EngineFault::Repeated => assert_eq!(ids(&body)[..4], [0, 0, 1, 1]),
            _ => assert!(!body.contains("[DONE]"), "{body}"),
        }
    }
}

/// Guards against new work that arrives after the leaving mark and is not counted.
#[tokio::test]
async fn leaving_mark() {
    let pair = start(|_| {}).await;
    pair.decode.set_leaving(true);
    let load = get(pair.decode_addr, "/load").await.unwrap().1;
    assert_eq!(load["leaving"], true);
    pair.decode("h.1.1.0", 1).await;
    assert_eq!(pair.decode.counts().work_after_leaving, 0);
    tokio::time::sleep(Duration::from_millis(3_100)).await;
    pair.decode("h.1.2.0", 1).await;
    assert_eq!(pair.decode.counts().work_after_leaving, 1);
}
