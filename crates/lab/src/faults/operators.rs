//! Changes through the operators' interface.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hyper::StatusCode;
use serde_json::{Value, json};

use super::Rig;
use crate::monitor::Operator;

const CHANGE_LIMIT: Duration = Duration::from_secs(10);
static NEXT_CHANGE: AtomicU64 = AtomicU64::new(1);

/// Changes the version in force at one host, or `expected`, with a new comment in the document.
pub(super) async fn change(rig: &Rig, host: usize, expected: Option<u64>) -> Option<StatusCode> {
    let operator = Operator::new();
    let uri = format!("http://{}/v1/config", rig.fleet.spec(host).operator_addr);
    let current = operator
        .call("GET", uri.clone(), String::new(), CHANGE_LIMIT)
        .await?;
    let current: Value = serde_json::from_slice(&current.1).ok()?;
    let number = NEXT_CHANGE.fetch_add(1, Ordering::Relaxed);
    let change = format!("lab-{number}");
    let document = current["document"].as_str()?;
    let body = json!({
        "expected": expected.or(current["version"].as_u64())?,
        "change": change,
        "document": format!("{document}\n# change {number}\n"),
    });
    let answer = operator
        .call("PUT", uri, body.to_string(), CHANGE_LIMIT)
        .await;
    let (status, body) = answer?;
    let body: Value = serde_json::from_slice(&body).unwrap_or_default();
    if status.is_success()
        && let Some(version) = body["version"].as_u64()
    {
        rig.monitor.accepted(version, &change);
    }
    eprintln!("lab: change {change} at host {host}: {status}");
    Some(status)
}

/// Two operators change the same version through different hosts.
pub(super) async fn race(rig: &Rig, pick: usize) {
    let first = pick % rig.fleet.len();
    let second = (pick + 1) % rig.fleet.len();
    let uri = format!("http://{}/v1/config", rig.fleet.spec(first).operator_addr);
    let answer = Operator::new()
        .call("GET", uri, String::new(), CHANGE_LIMIT)
        .await;
    let Some((_, body)) = answer else {
        return;
    };
    let current: Value = serde_json::from_slice(&body).unwrap_or_default();
    let expected = current["version"].as_u64();
    let (one, two) = tokio::join!(change(rig, first, expected), change(rig, second, expected));
    if one == Some(StatusCode::OK) && two == Some(StatusCode::OK) {
        rig.monitor.race_broken();
    }
}
