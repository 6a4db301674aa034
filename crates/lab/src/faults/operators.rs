//! Configuration changes through the operators' interface.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hyper::StatusCode;
use serde_json::{Value, json};

use super::FaultInjector;
use crate::monitor::OperatorClient;

const CALL_TIMEOUT: Duration = Duration::from_secs(10);
static NEXT_CHANGE_NUMBER: AtomicU64 = AtomicU64::new(1);

/// Submits a change to one host that adds a comment to the document. The change replaces version
/// `expected`, or the version in force at the host if `expected` is `None`.
pub(super) async fn submit_change(
    injector: &FaultInjector,
    host: usize,
    expected: Option<u64>,
) -> Option<StatusCode> {
    let client = OperatorClient::new();
    let uri = format!(
        "http://{}/v1/config",
        injector.fleet.spec(host).operator_addr
    );
    let current = client
        .call("GET", uri.clone(), String::new(), CALL_TIMEOUT)
        .await?;
    let current: Value = serde_json::from_slice(&current.1).ok()?;
    let number = NEXT_CHANGE_NUMBER.fetch_add(1, Ordering::Relaxed);
    let change = format!("lab-{number}");
    let document = current["document"].as_str()?;
    let body = json!({
        "expected": expected.or(current["version"].as_u64())?,
        "change": change,
        "document": format!("{document}\n# change {number}\n"),
    });
    let answer = client
        .call("PUT", uri, body.to_string(), CALL_TIMEOUT)
        .await;
    let (status, body) = answer?;
    let body: Value = serde_json::from_slice(&body).unwrap_or_default();
    if status.is_success()
        && let Some(version) = body["version"].as_u64()
    {
        injector.monitor.record_accepted(version, &change);
    }
    eprintln!("lab: configuration change {change} sent to host {host}: {status}");
    Some(status)
}

/// Submits two changes of the same version through different hosts at the same time.
pub(super) async fn submit_racing_changes(injector: &FaultInjector, selector: usize) {
    let first = selector % injector.fleet.len();
    let second = (selector + 1) % injector.fleet.len();
    let uri = format!(
        "http://{}/v1/config",
        injector.fleet.spec(first).operator_addr
    );
    let answer = OperatorClient::new()
        .call("GET", uri, String::new(), CALL_TIMEOUT)
        .await;
    let Some((_, body)) = answer else {
        return;
    };
    let current: Value = serde_json::from_slice(&body).unwrap_or_default();
    let expected = current["version"].as_u64();
    let (first_status, second_status) = tokio::join!(
        submit_change(injector, first, expected),
        submit_change(injector, second, expected)
    );
    if first_status == Some(StatusCode::OK) && second_status == Some(StatusCode::OK) {
        injector.monitor.record_broken_race();
    }
}
