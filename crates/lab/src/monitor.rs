//! Looks at entry hosts and engines during a run: readiness, configuration, retries, held memory.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode, header};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

use crate::fleet::Fleet;
use crate::hosts::OPERATOR_KEY;
use crate::{Deployment, LeakDetector, Report, Tally};

/// Interval between two looks at a host; also the balancer's health check.
const POLL: Duration = Duration::from_millis(250);
const ANSWER_LIMIT: Duration = Duration::from_millis(700);
const HELD_POLL: Duration = Duration::from_millis(250);
/// Looks at a host between two readings of its counters.
const METRICS_EVERY: u64 = 4;
/// Time within which an accepted configuration must be in force everywhere.
const CONFIG_LIMIT: Duration = Duration::from_secs(17);
const RETRIES: &str = "burdockvale_retries_total{reason=\"";

/// Client of the operators' listeners.
#[derive(Debug, Clone)]
pub(crate) struct Operator(Client<HttpConnector, Full<Bytes>>);

impl Operator {
    pub fn new() -> Self {
        Operator(Client::builder(TokioExecutor::new()).build_http())
    }

    /// Sends a request with the operators' key; `None` without an answer in time.
    pub async fn call(
        &self,
        method: &str,
        uri: String,
        body: String,
        limit: Duration,
    ) -> Option<(StatusCode, Bytes)> {
        let req = Request::builder()
            .method(method)
            .uri(uri)
            .header(header::AUTHORIZATION, format!("Bearer {OPERATOR_KEY}"))
            .body(Full::new(Bytes::from(body)))
            .ok()?;
        let exchange = async {
            let answer = self.0.request(req).await.ok()?;
            let status = answer.status();
            let body = answer.into_body().collect().await.ok()?;
            Some((status, body.to_bytes()))
        };
        tokio::time::timeout(limit, exchange).await.ok().flatten()
    }

    async fn get(&self, fleet: &Fleet, index: usize, path: &str) -> Option<Bytes> {
        let uri = format!("http://{}{path}", fleet.spec(index).operator_addr);
        let answer = self.call("GET", uri, String::new(), ANSWER_LIMIT).await?;
        answer.0.is_success().then_some(answer.1)
    }
}

/// What was seen at the hosts.
#[derive(Debug, Default)]
pub(crate) struct Monitor(Mutex<Seen>);

#[derive(Debug, Default)]
struct Seen {
    /// Last version reported by each host that answered its last poll.
    versions: Vec<Option<u64>>,
    /// Last version reported by each host ever.
    last: Vec<u64>,
    accepted: Vec<Accepted>,
    /// Accepted versions and their changes, for the whole run.
    changes: Vec<(u64, String)>,
    /// Accepted versions that a host reported with another change.
    replaced: Vec<u64>,
    /// Retry counters by host and start of its process.
    retries: Vec<((usize, u64), Tally)>,
    reverts: u64,
    late: u64,
    in_force: Duration,
    races_broken: u64,
}

/// A configuration that an operator was told is accepted.
#[derive(Debug, Clone, Copy)]
struct Accepted {
    version: u64,
    at: Instant,
}

impl Monitor {
    fn lock(&self) -> MutexGuard<'_, Seen> {
        self.0.lock().unwrap_or_else(|err| err.into_inner())
    }

    /// Looks at hosts and engines until the runtime ends.
    pub fn start(
        fleet: &Arc<Fleet>,
        deployment: &Arc<Deployment>,
        leak_detector: &Arc<LeakDetector>,
    ) -> Arc<Self> {
        let monitor = Arc::new(Monitor::default());
        {
            let mut seen = monitor.lock();
            seen.versions = vec![None; fleet.len()];
            seen.last = vec![0; fleet.len()];
        }
        for index in 0..fleet.len() {
            tokio::spawn(watch_host(monitor.clone(), fleet.clone(), index));
        }
        tokio::spawn(watch_engines(deployment.clone(), leak_detector.clone()));
        monitor
    }

    /// An operator was told that this change is accepted with this version.
    pub fn accepted(&self, version: u64, change: &str) {
        let at = Instant::now();
        let mut seen = self.lock();
        seen.accepted.push(Accepted { version, at });
        seen.changes.push((version, change.to_owned()));
    }

    /// Two changes of the same version were both accepted.
    pub fn race_broken(&self) {
        self.lock().races_broken += 1;
    }

    /// Adds what was seen.
    pub fn add_to(&self, report: &mut Report) {
        let seen = self.lock();
        report.config_reverts = seen.reverts;
        report.config_late = seen.late;
        report.config_replaced = seen.replaced.len() as u64;
        report.config_in_force_ms = seen.in_force.as_millis() as u64;
        report.operator_races_broken = seen.races_broken;
        for (_, tally) in &seen.retries {
            report.retries.merge(tally);
        }
    }
}

impl Seen {
    fn version(&mut self, index: usize, config: Option<(u64, String)>) {
        self.versions[index] = config.as_ref().map(|(version, _)| *version);
        let Some((version, change)) = config else {
            return;
        };
        let mut changes = self.changes.iter();
        let other = changes.any(|(known, accepted)| *known == version && *accepted != change);
        if other && !self.replaced.contains(&version) {
            eprintln!("lab: host {index} has version {version} with change {change}");
            self.replaced.push(version);
        }
        if version < self.last[index] {
            eprintln!(
                "lab: host {index} went from version {} to {version}",
                self.last[index]
            );
            self.reverts += 1;
        }
        self.last[index] = version;
        self.settle();
    }

    /// Ends the wait for configurations that every answering host reports or that are too late.
    fn settle(&mut self) {
        let lowest = self.versions.iter().flatten().min().copied();
        let mut open = Vec::new();
        for accepted in std::mem::take(&mut self.accepted) {
            let waited = accepted.at.elapsed();
            if lowest.is_some_and(|lowest| lowest >= accepted.version) {
                self.in_force = self.in_force.max(waited);
            } else if waited > CONFIG_LIMIT {
                eprintln!(
                    "lab: version {} is not in force everywhere",
                    accepted.version
                );
                self.late += 1;
            } else {
                open.push(accepted);
            }
        }
        self.accepted = open;
    }
}

async fn watch_host(monitor: Arc<Monitor>, fleet: Arc<Fleet>, index: usize) {
    let operator = Operator::new();
    let mut polls = 0_u64;
    loop {
        let start = fleet.starts(index);
        let ready = operator.get(&fleet, index, "/readyz").await.is_some();
        fleet.balancer.set_ready(index, ready);
        let config = operator.get(&fleet, index, "/v1/config").await;
        let config: Option<Value> = config.and_then(|body| serde_json::from_slice(&body).ok());
        let config = config.and_then(|config| {
            let change = config["change"].as_str().unwrap_or_default().to_owned();
            Some((config["version"].as_u64()?, change))
        });
        monitor.lock().version(index, config);
        if polls.is_multiple_of(METRICS_EVERY)
            && let Some(text) = operator.get(&fleet, index, "/metrics").await
        {
            let tally = read_retries(&String::from_utf8_lossy(&text));
            let mut seen = monitor.lock();
            seen.retries.retain(|(key, _)| *key != (index, start));
            seen.retries.push(((index, start), tally));
        }
        polls += 1;
        tokio::time::sleep(POLL).await;
    }
}

async fn watch_engines(deployment: Arc<Deployment>, leak_detector: Arc<LeakDetector>) {
    loop {
        let engines = deployment.engines.iter();
        let held: Vec<_> = engines.flat_map(|engine| engine.held_attempts()).collect();
        leak_detector.check(&held);
        tokio::time::sleep(HELD_POLL).await;
    }
}

fn read_retries(metrics: &str) -> Tally {
    let mut tally = Tally::default();
    for line in metrics.lines() {
        let fields = line
            .strip_prefix(RETRIES)
            .and_then(|rest| rest.split_once("\"} "));
        if let Some((reason, count)) = fields
            && let Ok(count) = count.trim().parse::<u64>()
            && count > 0
        {
            tally.add(reason, count);
        }
    }
    tally
}
