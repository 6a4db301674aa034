//! A stopping entry host with open calls.

#[allow(dead_code)]
mod plain;

use std::time::Duration;

use plain::{reserve, start};
use rustix::process::{Pid, Signal, kill_process};

/// Guards against an outcome that is lost when a host stops after its caller disconnected. The
/// answer comes after the 5 s in which a stopping host still accepts connections.
#[tokio::test(flavor = "multi_thread")]
async fn outcome_recorded() {
    let (deployment, hosts) = start(2).await;
    let service = deployment.services[0].clone();
    service.set_answer_delay(Duration::from_secs(8));
    let addr = hosts[0].spec.caller_addr;
    let first = tokio::spawn(async move { reserve(addr, "a").await });
    while service.runs_of("a") == 0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    first.abort();
    let pid = Pid::from_raw(hosts[0].pid() as i32).unwrap();
    kill_process(pid, Signal::TERM).unwrap();
    tokio::time::sleep(Duration::from_secs(9)).await;
    let again = reserve(hosts[1].spec.caller_addr, "a").await;
    assert!(again.is_success("a"), "{again:?}");
    assert_eq!(service.runs_of("a"), 1);
}
