//! An entry host that is paused between its claim and its dispatch.

#[allow(dead_code)]
mod plain;

use std::time::Duration;

use bv_lab::HostProcess;
use bv_lab::stand_in::StoreFault;
use plain::{reserve, start};
use rustix::process::{Pid, Signal, kill_process};

/// Longer than the 10 s after a claim during which its call may be sent.
const PAUSE: Duration = Duration::from_secs(11);

fn send_signal(host: &HostProcess, signal: Signal) {
    let pid = Pid::from_raw(host.pid() as i32).unwrap();
    kill_process(pid, signal).unwrap();
}

/// Guards against a host that resumes long after its claim and still sends the call, and against a
/// second run while the claim is open.
#[tokio::test(flavor = "multi_thread")]
async fn resumed_after_claim() {
    let (deployment, hosts) = start(2).await;
    let service = deployment.services[0].clone();
    // The claim takes effect, but its host is paused before it receives the answer.
    deployment.table.set_fault(StoreFault::LoseAnswer, 1_000);
    let addr = hosts[0].spec.caller_addr;
    let first = tokio::spawn(async move { reserve(addr, "a").await });
    tokio::time::sleep(Duration::from_millis(500)).await;
    send_signal(&hosts[0], Signal::STOP);
    deployment.table.set_fault(StoreFault::LoseAnswer, 0);
    assert_eq!(service.runs_of("a"), 0, "the host was paused too late");

    let meanwhile = reserve(hosts[1].spec.caller_addr, "a").await;
    assert!(meanwhile.is_unknown(), "{meanwhile:?}");
    tokio::time::sleep(PAUSE).await;
    send_signal(&hosts[0], Signal::CONT);
    let first = first.await.unwrap();
    assert!(first.is_not_run(), "{first:?}");
    assert_eq!(service.runs_of("a"), 0);

    // The row is set to "not run" in the background; then the call runs once.
    let again = reserve(hosts[1].spec.caller_addr, "a").await;
    assert!(again.is_success("a"), "{again:?}");
    assert_eq!(service.runs_of("a"), 1);
}
