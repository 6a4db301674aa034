//! Views of entry host processes that are killed, paused and restarted.

mod common;

use std::time::Duration;

use bv_lab::{Deployment, HostProcess};
use common::{INVENTORY, members, send_signal, start_hosts, wait_view};
use rustix::process::Signal;

/// Design target for 8 hosts.
const DETECTION_LIMIT: Duration = Duration::from_secs(8);
const REJOIN_LIMIT: Duration = Duration::from_secs(8);

/// Guards against a killed process that stays in a view, and against a restarted one that is
/// mistaken for the former process.
#[tokio::test(flavor = "multi_thread")]
async fn kill_and_restart() {
    let deployment = Deployment::start(INVENTORY).await.unwrap();
    let mut hosts = start_hosts(&deployment, 8).await;
    let old = members(&hosts[0]).await[5]["incarnation"].as_u64();
    let killed = hosts.remove(5);
    let spec = killed.spec.clone();
    drop(killed);
    let others = [0, 1, 2, 3, 4, 6, 7];
    let started = std::time::Instant::now();
    for host in &hosts {
        let remaining = DETECTION_LIMIT.saturating_sub(started.elapsed());
        wait_view(host, &others, remaining).await;
    }
    println!("killed: all views after {:?}", started.elapsed());
    let restarted = HostProcess::start(spec).unwrap();
    restarted.wait_ready().await.unwrap();
    let all: Vec<usize> = (0..8).collect();
    for host in hosts.iter().chain([&restarted]) {
        wait_view(host, &all, REJOIN_LIMIT).await;
    }
    let new = members(&hosts[0]).await[5]["incarnation"].as_u64();
    assert!(new > old, "incarnation {new:?} after {old:?}");
}

/// Guards against a paused process that stays removed after it resumes, and against one that
/// removes the other hosts when it resumes.
#[tokio::test(flavor = "multi_thread")]
async fn pause_and_resume() {
    let deployment = Deployment::start(INVENTORY).await.unwrap();
    let hosts = start_hosts(&deployment, 4).await;
    send_signal(&hosts[3], Signal::STOP);
    let started = std::time::Instant::now();
    for host in &hosts[..3] {
        let remaining = DETECTION_LIMIT.saturating_sub(started.elapsed());
        wait_view(host, &[0, 1, 2], remaining).await;
    }
    println!("paused: all views after {:?}", started.elapsed());
    send_signal(&hosts[3], Signal::CONT);
    for host in &hosts {
        wait_view(host, &[0, 1, 2, 3], REJOIN_LIMIT).await;
    }
    // The views must be unchanged after two more probe rounds.
    tokio::time::sleep(Duration::from_secs(4)).await;
    for host in &hosts {
        wait_view(host, &[0, 1, 2, 3], Duration::ZERO).await;
    }
}
