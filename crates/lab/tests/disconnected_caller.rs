//! Engine memory of requests whose caller has disconnected.

mod common;
#[allow(dead_code)]
mod model;

use std::time::{Duration, Instant};

use bv_lab::Deployment;
use bv_lab::stand_in::EngineFault;
use common::start_hosts;
use model::{deployment, request_text};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Design limit after a caller closes its connection.
const CALLER_RELEASE_LIMIT: Duration = Duration::from_secs(1);
const CALLS: usize = 4;

fn held_count(deployment: &Deployment) -> usize {
    let engines = deployment.engines.iter();
    engines.map(|engine| engine.held_attempts().len()).sum()
}

async fn wait_held(deployment: &Deployment, limit: Duration, is_expected: impl Fn(usize) -> bool) {
    let start = Instant::now();
    while !is_expected(held_count(deployment)) {
        assert!(
            start.elapsed() < limit,
            "{} attempts still held engine memory after {limit:?}",
            held_count(deployment)
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Closes `CALLS` connections after the first byte of a stream, or before any byte of an answer
/// that is not streamed.
async fn close_early(streamed: bool, fault: Option<EngineFault>, limit: Duration) {
    let deployment = deployment().await;
    let hosts = start_hosts(&deployment, 1).await;
    let mut callers = Vec::new();
    for index in 0..CALLS {
        let addr = hosts[0].spec.caller_addr;
        let mut caller = TcpStream::connect(addr).await.unwrap();
        let text = request_text("HTTP/1.1", &format!("n8-{index}"), 600, streamed);
        caller.write_all(text.as_bytes()).await.unwrap();
        callers.push(caller);
    }
    wait_held(&deployment, Duration::from_secs(5), |held| held == CALLS).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    if streamed {
        for caller in &mut callers {
            assert!(caller.read(&mut [0; 256]).await.unwrap() > 0);
        }
    }
    if let Some(fault) = fault {
        for engine in &deployment.engines {
            engine.set_fault(fault, 1_000);
        }
        drop(callers);
        tokio::time::sleep(Duration::from_millis(300)).await;
        for engine in &deployment.engines {
            engine.set_fault(fault, 0);
        }
    } else {
        drop(callers);
    }
    wait_held(&deployment, limit, |held| held == 0).await;
}

/// Guards against streams that continue after their caller has disconnected.
#[tokio::test(flavor = "multi_thread")]
async fn during_stream() {
    close_early(true, None, CALLER_RELEASE_LIMIT).await;
}

/// Guards against answers that are computed after their caller has disconnected.
#[tokio::test(flavor = "multi_thread")]
async fn before_answer() {
    close_early(false, None, CALLER_RELEASE_LIMIT).await;
}

/// Guards against a lost cancel that is not sent again.
#[tokio::test(flavor = "multi_thread")]
async fn lost_cancels() {
    // A lost cancel is noticed after 1 s and repeated 250 ms later.
    let limit = CALLER_RELEASE_LIMIT + Duration::from_millis(1_250);
    close_early(true, Some(EngineFault::LoseCancel), limit).await;
}
