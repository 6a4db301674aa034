//! Answers of misbehaving engines, passed on by real entry hosts.

#[allow(dead_code)]
mod common;
mod model;

use bv_lab::stand_in::EngineFault;
use common::start_hosts;
use model::{Answer, chat, deployment, raw};

const CALLS: usize = 6;
const OUTPUT: u64 = 40;

async fn run(fault: EngineFault, streamed: bool) -> Vec<Answer> {
    let deployment = deployment().await;
    let hosts = start_hosts(&deployment, 1).await;
    for engine in &deployment.engines {
        engine.set_fault(fault, 1_000);
    }
    let mut answers = Vec::new();
    for index in 0..CALLS {
        let nonce = format!("n7-{index}");
        answers.push(chat(hosts[0].spec.caller_addr, &nonce, OUTPUT, streamed).await);
    }
    answers
}

/// Guards against a stream of the engine that ends early and looks complete to the caller.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_streams() {
    for (index, answer) in run(EngineFault::Truncated, true).await.iter().enumerate() {
        // The engine still has the stream, so that it can be resumed.
        assert!(
            answer.is_whole_stream(&format!("n7-{index}"), OUTPUT),
            "{answer:?}"
        );
    }
}

/// Guards against half of an answer that is passed on as a whole one.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_answers() {
    for answer in run(EngineFault::Truncated, false).await {
        assert!(answer.is_unknown(), "{answer:?}");
    }
}

/// Guards against another request's events in a stream, and against a clean end after them.
#[tokio::test(flavor = "multi_thread")]
async fn crossed_streams() {
    for (index, answer) in run(EngineFault::Crossed, true).await.iter().enumerate() {
        assert!(answer.is_cut, "{answer:?}");
        assert!(answer.has_only(&format!("n7-{index}")), "{answer:?}");
    }
}

/// Guards against another request's answer.
#[tokio::test(flavor = "multi_thread")]
async fn crossed_answers() {
    for answer in run(EngineFault::Crossed, false).await {
        assert!(answer.is_unknown(), "{answer:?}");
    }
}

/// Guards against words that the caller reads twice.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_events() {
    for (index, answer) in run(EngineFault::Repeated, true).await.iter().enumerate() {
        assert!(
            answer.is_whole_stream(&format!("n7-{index}"), OUTPUT),
            "{answer:?}"
        );
    }
}

/// Guards against a chunked body for a caller that cannot read one.
#[tokio::test(flavor = "multi_thread")]
async fn old_callers() {
    let deployment = deployment().await;
    let hosts = start_hosts(&deployment, 1).await;
    let text = raw(hosts[0].spec.caller_addr, "HTTP/1.0", "n7-0", OUTPUT).await;
    let (head, body) = text.split_once("\r\n\r\n").unwrap();
    let head = head.to_ascii_lowercase();
    assert!(!head.contains("transfer-encoding"), "{head}");
    assert!(
        head.contains(&format!("content-length: {}", body.len())),
        "{head}"
    );
    assert!(body.ends_with("data: [DONE]\n\n"), "{body:.80}");
}
