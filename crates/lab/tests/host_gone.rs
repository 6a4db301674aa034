//! Engine memory and streams when an entry host stops running, whichever role it had for the
//! shard.

mod common;
#[allow(dead_code)]
mod model;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bv_lab::Deployment;
use bv_lab::stand_in::EngineFault;
use common::{send_signal, start_hosts};
use model::{Answer, chat, deployment, request_text};
use rustix::process::Signal;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const HOSTS: usize = 3;
/// About 30 s, so that no stream ends by itself within the bound.
const LONG_OUTPUT_TOKENS: u64 = 1_400;
const OUTPUT_TOKENS: u64 = 300;
/// Design limit: detection in 8 s, 2 s of grace, and the cancels.
const HOST_RELEASE_LIMIT: Duration = Duration::from_secs(12);

async fn open_stream(addr: SocketAddr, nonce: &str) -> TcpStream {
    let mut caller = TcpStream::connect(addr).await.unwrap();
    let text = request_text("HTTP/1.1", nonce, LONG_OUTPUT_TOKENS, true);
    caller.write_all(text.as_bytes()).await.unwrap();
    caller
}

fn is_held(deployment: &Deployment, nonce: &str) -> bool {
    let engines = deployment.engines.iter();
    let mut attempts = engines.flat_map(|engine| engine.held_attempts());
    attempts.any(|attempt| attempt.nonce == nonce)
}

async fn wait_held(deployment: &Deployment, nonce: &str, expected: bool, limit: Duration) {
    let start = Instant::now();
    while is_held(deployment, nonce) != expected {
        assert!(
            start.elapsed() < limit,
            "engine memory of {nonce}: held is {} instead of {expected} after {limit:?}",
            !expected
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Pauses one host with an open stream; the streams of the other hosts must continue.
async fn pause_one(index: usize) {
    let deployment = deployment().await;
    let hosts = start_hosts(&deployment, HOSTS).await;
    let caller = open_stream(hosts[index].spec.caller_addr, "n9-0").await;
    wait_held(&deployment, "n9-0", true, Duration::from_secs(5)).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let others: Vec<_> = (0..HOSTS).filter(|other| *other != index).collect();
    let calls = others.iter().map(|other| {
        let addr = hosts[*other].spec.caller_addr;
        async move {
            (
                *other,
                chat(addr, &format!("n10-{other}"), OUTPUT_TOKENS, true).await,
            )
        }
    });
    let calls = futures_util::future::join_all(calls);
    let pause = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        send_signal(&hosts[index], Signal::STOP);
        wait_held(&deployment, "n9-0", false, HOST_RELEASE_LIMIT).await;
        send_signal(&hosts[index], Signal::CONT);
    };
    let (answers, ()): (Vec<(usize, Answer)>, ()) = tokio::join!(calls, pause);
    for (other, answer) in answers {
        assert!(
            answer.is_complete_stream(&format!("n10-{other}"), OUTPUT_TOKENS),
            "{answer:?}"
        );
    }
    drop(caller);
}

/// Guards against memory held for a paused host, be it the owner of the shard, second in rank or
/// neither.
#[tokio::test(flavor = "multi_thread")]
async fn paused_hosts() {
    // One of the three is the owner of the only shard and one is second in rank.
    tokio::join!(pause_one(0), pause_one(1), pause_one(2));
}

/// Pauses a host whose grant is registered with the host second in rank while that host's first
/// poll of the engines is slow.
async fn slow_polls(index: usize) {
    let deployment = deployment().await;
    let hosts = start_hosts(&deployment, HOSTS).await;
    deployment.engines[0].set_fault(EngineFault::LateLoad, 1_000);
    let caller = open_stream(hosts[index].spec.caller_addr, "n12-0").await;
    wait_held(&deployment, "n12-0", true, Duration::from_secs(5)).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    send_signal(&hosts[index], Signal::STOP);
    wait_held(&deployment, "n12-0", false, HOST_RELEASE_LIMIT).await;
    send_signal(&hosts[index], Signal::CONT);
    drop(caller);
}

/// Guards against a host that drops its state of the shard as idle while the first grant is on its
/// way to it.
#[tokio::test(flavor = "multi_thread")]
async fn slow_first_polls() {
    tokio::join!(slow_polls(0), slow_polls(1), slow_polls(2));
}

/// Pauses the other hosts while one opens a stream, and pauses that one after they have resumed: a
/// grant that could not be registered when it was made must be registered later.
async fn open_stream_while_others_paused(index: usize) {
    let deployment = deployment().await;
    let hosts = start_hosts(&deployment, HOSTS).await;
    let others: Vec<_> = (0..HOSTS).filter(|other| *other != index).collect();
    for other in &others {
        send_signal(&hosts[*other], Signal::STOP);
    }
    let caller = open_stream(hosts[index].spec.caller_addr, "n11-0").await;
    wait_held(&deployment, "n11-0", true, Duration::from_secs(5)).await;
    // Longer than the time in which the grant is registered with another host.
    tokio::time::sleep(Duration::from_millis(700)).await;
    for other in &others {
        send_signal(&hosts[*other], Signal::CONT);
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    send_signal(&hosts[index], Signal::STOP);
    wait_held(&deployment, "n11-0", false, HOST_RELEASE_LIMIT).await;
    send_signal(&hosts[index], Signal::CONT);
    drop(caller);
}

/// Guards against memory held for a failed host whose grant no other host received, because it was
/// placed without an owner or because its copy was lost.
#[tokio::test(flavor = "multi_thread")]
async fn unheard_grants() {
    tokio::join!(
        open_stream_while_others_paused(0),
        open_stream_while_others_paused(1),
        open_stream_while_others_paused(2)
    );
}
