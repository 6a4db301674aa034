//! Starts entry host processes and reads their membership views.

// Each test program uses a part of this module.
#![allow(dead_code)]

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use bv_lab::{Deployment, HostProcess, HostSpec, OPERATOR_KEY};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

pub const INVENTORY: &str = include_str!("../../../../examples/start-up.toml");
/// Nothing listens on the discard port.
pub const NO_STORE: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 9);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Starts entry hosts with the first two as seeds and waits until every view lists all of them.
pub async fn start_hosts(deployment: &Deployment, count: usize) -> Vec<HostProcess> {
    start_hosts_with(deployment, count, |_, _| ()).await
}

/// Like [`start_hosts`], but applies `configure` to the settings of each host.
pub async fn start_hosts_with(
    deployment: &Deployment,
    count: usize,
    configure: impl Fn(usize, &mut HostSpec),
) -> Vec<HostProcess> {
    let mut specs = Vec::new();
    for index in 0..count {
        let mut spec = HostSpec::new(index, deployment, "planned").await.unwrap();
        configure(index, &mut spec);
        specs.push(spec);
    }
    let seeds: Vec<_> = specs.iter().take(2).map(|s| s.peer_addr).collect();
    let mut hosts = Vec::new();
    for mut spec in specs {
        spec.seeds = seeds.clone();
        hosts.push(HostProcess::start(spec).unwrap());
    }
    for host in &hosts {
        host.wait_ready().await.unwrap();
    }
    let all: Vec<usize> = (0..count).collect();
    for host in &hosts {
        wait_view(host, &all, Duration::from_secs(10)).await;
    }
    hosts
}

pub fn send_signal(host: &HostProcess, signal: Signal) {
    let pid = Pid::from_raw(i32::try_from(host.pid()).unwrap()).unwrap();
    kill_process(pid, signal).unwrap();
}

/// Sends a GET request to the operators' listener of a host and returns the JSON body; `Null` if
/// there is no valid response within 1 s.
pub async fn operator_get(host: &HostProcess, path: &str) -> Value {
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let req = Request::get(format!("http://{}{path}", host.spec.operator_addr))
        .header("authorization", format!("Bearer {OPERATOR_KEY}"))
        .body(Empty::new())
        .unwrap();
    let response = async {
        let body = client.request(req).await.ok()?.into_body();
        let bytes = body.collect().await.ok()?.to_bytes();
        serde_json::from_slice(&bytes).ok()
    };
    let response = tokio::time::timeout(Duration::from_secs(1), response).await;
    response.ok().flatten().unwrap_or_default()
}

/// Members that the view of a host lists.
pub async fn members(host: &HostProcess) -> Vec<Value> {
    let view = operator_get(host, "/v1/status").await;
    view["members"].as_array().cloned().unwrap_or_default()
}

/// Waits until the view of a host lists exactly the hosts with these indices; returns the time it
/// took.
pub async fn wait_view(host: &HostProcess, expected: &[usize], limit: Duration) -> Duration {
    let expected: Vec<String> = expected
        .iter()
        .map(|index| format!("host-{index}"))
        .collect();
    let start = Instant::now();
    loop {
        let listed = members(host).await;
        let ids: Vec<&str> = listed.iter().filter_map(|m| m["host"].as_str()).collect();
        if ids == expected {
            return start.elapsed();
        }
        assert!(
            start.elapsed() < limit,
            "the view of {} lists {ids:?} instead of {expected:?} after {limit:?}",
            host.spec.id
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
