//! Resent non-idempotent calls with real entry hosts.

#[allow(dead_code)]
mod plain;

use std::time::Duration;

use bv_lab::{HostProcess, HostSpec};
use plain::{refund_from, reserve, send, start};

/// Guards against a second run when a device resends through another host.
#[tokio::test(flavor = "multi_thread")]
async fn resend_through_other_host() {
    let (deployment, hosts) = start(2).await;
    let first = reserve(hosts[0].spec.caller_addr, "a").await;
    assert!(first.is_success("a"), "{first:?}");
    for host in [&hosts[1], &hosts[0]] {
        let again = reserve(host.spec.caller_addr, "a").await;
        assert_eq!(again, first);
    }
    assert_eq!(deployment.services[0].runs_of("a"), 1);
}

/// Guards against a second run when both copies of a call are in progress at once.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_copies() {
    let (deployment, hosts) = start(2).await;
    deployment.services[0].set_answer_delay(Duration::from_millis(300));
    let (one, other) = tokio::join!(
        reserve(hosts[0].spec.caller_addr, "a"),
        reserve(hosts[1].spec.caller_addr, "a"),
    );
    assert!(one.is_success("a"), "{one:?}");
    assert_eq!(one, other);
    assert_eq!(deployment.services[0].runs_of("a"), 1);
}

/// Guards against a second run after the host that sent the call was killed.
#[tokio::test(flavor = "multi_thread")]
async fn killed_host() {
    let (deployment, mut hosts) = start(2).await;
    let service = deployment.services[0].clone();
    service.set_answer_delay(Duration::from_secs(10));
    let killed = hosts.remove(0);
    let addr = killed.spec.caller_addr;
    let first = tokio::spawn(async move { reserve(addr, "a").await });
    while service.runs_of("a") == 0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let spec = killed.spec.clone();
    drop(killed);
    assert!(first.await.is_err(), "the killed host answered");
    service.set_answer_delay(Duration::ZERO);
    let again = reserve(hosts[0].spec.caller_addr, "a").await;
    assert!(again.is_unknown(), "{again:?}");
    let restarted = HostProcess::start(HostSpec { ..spec }).unwrap();
    restarted.wait_ready().await.unwrap();
    let again = reserve(restarted.spec.caller_addr, "a").await;
    assert!(again.is_unknown(), "{again:?}");
    assert_eq!(service.runs_of("a"), 1);
}

/// Guards against a lost outcome when the caller disconnects before the answer.
#[tokio::test(flavor = "multi_thread")]
async fn caller_disconnected() {
    let (deployment, hosts) = start(2).await;
    let service = deployment.services[0].clone();
    service.set_answer_delay(Duration::from_millis(500));
    let addr = hosts[0].spec.caller_addr;
    let first = tokio::spawn(async move { reserve(addr, "a").await });
    while service.runs_of("a") == 0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    first.abort();
    let again = reserve(hosts[1].spec.caller_addr, "a").await;
    assert!(again.is_success("a"), "{again:?}");
    assert_eq!(service.runs_of("a"), 1);
}

/// Guards against calls with different bodies or keys that are treated as the same call.
#[tokio::test(flavor = "multi_thread")]
async fn different_calls_run_separately() {
    let (deployment, hosts) = start(1).await;
    let addr = hosts[0].spec.caller_addr;
    for (key, extra) in [("a", 1), ("a", 2), ("b", 1), ("a", 1)] {
        let body = format!("{{\"key\": \"{key}\", \"amount\": {extra}}}");
        let response = send(addr, "POST", "/booking/refund", body).await;
        assert!(response.is_success(key), "{response:?}");
    }
    assert_eq!(deployment.services[0].runs_of("a"), 2);
    assert_eq!(deployment.services[0].runs_of("b"), 1);
}

/// Guards against equal calls of two devices behind one balancer that are treated as one call, and
/// against two runs of one device's call when its resend carries another address before the one
/// that the balancer adds.
#[tokio::test(flavor = "multi_thread")]
async fn equal_calls_of_two_devices() {
    let (deployment, hosts) = start(2).await;
    let body = "{\"key\": \"a\"}";
    let devices = [
        "10.0.1.1",
        "10.0.1.2",
        "10.0.1.1",
        "10.9.9.9, 10.0.1.1",
        " 10.0.1.2",
    ];
    for (index, device) in devices.into_iter().enumerate() {
        let addr = hosts[index % 2].spec.caller_addr;
        let response = refund_from(addr, device, body.to_owned()).await;
        assert!(response.is_success("a"), "call {index}: {response:?}");
    }
    assert_eq!(deployment.services[0].runs_of("a"), 2);
}
