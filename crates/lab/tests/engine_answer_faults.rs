//! Answers of misbehaving engines, passed on by real entry hosts.

mod common;
mod model;

use bv_lab::stand_in::EngineFault;
use common::start_hosts;
use model::{Answer, chat, deployment, send_raw};

const CALLS: usize = 12;
const OUTPUT_TOKENS: u64 = 40;

async fn run(fault: EngineFault, streamed: bool, permille: u32) -> Vec<Answer> {
    let deployment = deployment().await;
    let hosts = start_hosts(&deployment, 1).await;
    for engine in &deployment.engines {
        engine.set_fault(fault, permille);
    }
    let addr = hosts[0].spec.caller_addr;
    let calls = (0..CALLS).map(|index| async move {
        chat(addr, &format!("n7-{index}"), OUTPUT_TOKENS, streamed).await
    });
    futures_util::future::join_all(calls).await
}

/// Guards against a stream of the engine that ends early and looks complete to the caller.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_streams() {
    for answer in run(EngineFault::Truncated, true, 1_000).await {
        // Each resume breaks at the same event again.
        assert!(
            answer.is_truncated && !answer.body.contains("[DONE]"),
            "{answer:?}"
        );
    }
}

/// Guards against streams that are lost although the engine can continue them.
#[tokio::test(flavor = "multi_thread")]
async fn resumed_streams() {
    // Four breaks in a row at the same event, which end a stream, have a probability of 0.01%.
    for (index, answer) in run(EngineFault::Truncated, true, 100)
        .await
        .iter()
        .enumerate()
    {
        assert!(
            answer.is_complete_stream(&format!("n7-{index}"), OUTPUT_TOKENS),
            "{answer:?}"
        );
    }
}

/// Guards against a truncated answer that is passed on as a complete one.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_answers() {
    for answer in run(EngineFault::Truncated, false, 1_000).await {
        assert!(answer.is_unknown(), "{answer:?}");
    }
}

/// Guards against another request's events in a stream, and against a clean end after them.
#[tokio::test(flavor = "multi_thread")]
async fn crossed_streams() {
    for (index, answer) in run(EngineFault::Crossed, true, 1_000)
        .await
        .iter()
        .enumerate()
    {
        assert!(answer.is_truncated, "{answer:?}");
        assert!(answer.has_only(&format!("n7-{index}")), "{answer:?}");
    }
}

/// Guards against another request's answer.
#[tokio::test(flavor = "multi_thread")]
async fn crossed_answers() {
    for answer in run(EngineFault::Crossed, false, 1_000).await {
        assert!(answer.is_unknown(), "{answer:?}");
    }
}

/// Guards against repeated events that reach the caller.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_events() {
    for (index, answer) in run(EngineFault::Repeated, true, 1_000)
        .await
        .iter()
        .enumerate()
    {
        assert!(
            answer.is_complete_stream(&format!("n7-{index}"), OUTPUT_TOKENS),
            "{answer:?}"
        );
    }
}

/// Guards against a chunked body for an HTTP/1.0 caller, which cannot decode it.
#[tokio::test(flavor = "multi_thread")]
async fn http_1_0_caller() {
    let deployment = deployment().await;
    let hosts = start_hosts(&deployment, 1).await;
    let text = send_raw(hosts[0].spec.caller_addr, "HTTP/1.0", "n7-0", OUTPUT_TOKENS).await;
    let (head, body) = text.split_once("\r\n\r\n").unwrap();
    let head = head.to_ascii_lowercase();
    assert!(!head.contains("transfer-encoding"), "{head}");
    assert!(
        head.contains(&format!("content-length: {}", body.len())),
        "{head}"
    );
    assert!(body.ends_with("data: [DONE]\n\n"), "{body:.80}");
}
