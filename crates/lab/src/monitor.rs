//! Polls entry hosts and engines during a run: readiness, configuration, retries, held memory.

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

/// Interval between polls of a host; the polls also serve as the balancer's health check.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
const POLL_TIMEOUT: Duration = Duration::from_millis(700);
const ENGINE_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Polls of a host per reading of its counters.
const POLLS_PER_METRICS_READ: u64 = 4;
/// Time within which an accepted configuration must be in force at every running host.
const CONFIG_PROPAGATION_LIMIT: Duration = Duration::from_secs(17);
const RETRIES_METRIC_PREFIX: &str = "burdockvale_retries_total{reason=\"";

/// HTTP client for the operators' listeners.
#[derive(Debug, Clone)]
pub(crate) struct OperatorClient(Client<HttpConnector, Full<Bytes>>);

impl OperatorClient {
    pub fn new() -> Self {
        OperatorClient(Client::builder(TokioExecutor::new()).build_http())
    }

    /// Sends a request with the operators' key; `None` if no answer arrives within `timeout`.
    pub async fn call(
        &self,
        method: &str,
        uri: String,
        body: String,
        timeout: Duration,
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
        tokio::time::timeout(timeout, exchange).await.ok().flatten()
    }

    async fn get(&self, fleet: &Fleet, index: usize, path: &str) -> Option<Bytes> {
        let uri = format!("http://{}{path}", fleet.spec(index).operator_addr);
        let answer = self.call("GET", uri, String::new(), POLL_TIMEOUT).await?;
        answer.0.is_success().then_some(answer.1)
    }
}

/// Observations at the entry hosts.
#[derive(Debug, Default)]
pub(crate) struct Monitor(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    /// Version that each host reported at its last poll; `None` if it did not answer.
    polled_versions: Vec<Option<u64>>,
    /// Last version that each host reported at any time.
    last_versions: Vec<u64>,
    /// Accepted configurations that are not yet in force everywhere.
    pending: Vec<AcceptedConfig>,
    /// All accepted versions of the run with their change names.
    changes: Vec<(u64, String)>,
    /// Accepted versions that a host reported with a different change.
    replaced: Vec<u64>,
    /// Retry counters by host and number of its process.
    retries: Vec<((usize, u64), Tally)>,
    /// Times a host reported a lower version than before.
    config_reverts: u64,
    /// Accepted configurations that were not in force everywhere within the limit.
    late_configs: u64,
    /// Longest time until an accepted configuration was in force everywhere.
    longest_propagation: Duration,
    /// Pairs of changes of the same version that were both accepted.
    broken_races: u64,
}

/// A configuration whose acceptance was confirmed to an operator.
#[derive(Debug, Clone, Copy)]
struct AcceptedConfig {
    version: u64,
    at: Instant,
}

impl Monitor {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(|err| err.into_inner())
    }

    /// Starts tasks that poll hosts and engines until the runtime ends.
    pub fn start(
        fleet: &Arc<Fleet>,
        deployment: &Arc<Deployment>,
        leak_detector: &Arc<LeakDetector>,
    ) -> Arc<Self> {
        let monitor = Arc::new(Monitor::default());
        {
            let mut state = monitor.lock();
            state.polled_versions = vec![None; fleet.len()];
            state.last_versions = vec![0; fleet.len()];
        }
        for index in 0..fleet.len() {
            tokio::spawn(watch_host(monitor.clone(), fleet.clone(), index));
        }
        tokio::spawn(watch_engines(deployment.clone(), leak_detector.clone()));
        monitor
    }

    /// Records that an operator's change was accepted with this version.
    pub fn record_accepted(&self, version: u64, change: &str) {
        let at = Instant::now();
        let mut state = self.lock();
        state.pending.push(AcceptedConfig { version, at });
        state.changes.push((version, change.to_owned()));
    }

    /// Records that two changes of the same version were both accepted.
    pub fn record_broken_race(&self) {
        self.lock().broken_races += 1;
    }

    /// Adds the observations to the report.
    pub fn add_observations_to(&self, report: &mut Report) {
        let state = self.lock();
        report.config_reverts = state.config_reverts;
        report.config_late = state.late_configs;
        report.config_replaced = state.replaced.len() as u64;
        report.config_in_force_ms = state.longest_propagation.as_millis() as u64;
        report.operator_races_broken = state.broken_races;
        for (_, tally) in &state.retries {
            report.retries.merge(tally);
        }
    }
}

impl State {
    /// Records the version and change that a host reported, if it answered.
    fn record_config(&mut self, index: usize, config: Option<(u64, String)>) {
        self.polled_versions[index] = config.as_ref().map(|(version, _)| *version);
        let Some((version, change)) = config else {
            return;
        };
        let mut changes = self.changes.iter();
        let replaced = changes.any(|(known, accepted)| *known == version && *accepted != change);
        if replaced && !self.replaced.contains(&version) {
            eprintln!(
                "lab: host {index} reports version {version} with change {change}, which is not \
                 the accepted change"
            );
            self.replaced.push(version);
        }
        if version < self.last_versions[index] {
            eprintln!(
                "lab: host {index} reverted from version {} to {version}",
                self.last_versions[index]
            );
            self.config_reverts += 1;
        }
        self.last_versions[index] = version;
        self.check_pending();
    }

    /// Removes pending configurations that every answering host reports or that exceeded the limit.
    fn check_pending(&mut self) {
        let lowest = self.polled_versions.iter().flatten().min().copied();
        let mut pending = Vec::new();
        for accepted in std::mem::take(&mut self.pending) {
            let waited = accepted.at.elapsed();
            if lowest.is_some_and(|lowest| lowest >= accepted.version) {
                self.longest_propagation = self.longest_propagation.max(waited);
            } else if waited > CONFIG_PROPAGATION_LIMIT {
                eprintln!(
                    "lab: configuration version {} was not in force at every running host within {} s",
                    accepted.version,
                    CONFIG_PROPAGATION_LIMIT.as_secs()
                );
                self.late_configs += 1;
            } else {
                pending.push(accepted);
            }
        }
        self.pending = pending;
    }
}

async fn watch_host(monitor: Arc<Monitor>, fleet: Arc<Fleet>, index: usize) {
    let client = OperatorClient::new();
    let mut polls = 0_u64;
    loop {
        let process_number = fleet.starts(index);
        let ready = client.get(&fleet, index, "/readyz").await.is_some();
        fleet.balancer.set_ready(index, ready);
        let config = client.get(&fleet, index, "/v1/config").await;
        let config: Option<Value> = config.and_then(|body| serde_json::from_slice(&body).ok());
        let config = config.and_then(|config| {
            let change = config["change"].as_str().unwrap_or_default().to_owned();
            Some((config["version"].as_u64()?, change))
        });
        monitor.lock().record_config(index, config);
        if polls.is_multiple_of(POLLS_PER_METRICS_READ)
            && let Some(text) = client.get(&fleet, index, "/metrics").await
        {
            let tally = read_retries(&String::from_utf8_lossy(&text));
            let mut state = monitor.lock();
            state
                .retries
                .retain(|(key, _)| *key != (index, process_number));
            state.retries.push(((index, process_number), tally));
        }
        polls += 1;
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn watch_engines(deployment: Arc<Deployment>, leak_detector: Arc<LeakDetector>) {
    loop {
        let engines = deployment.engines.iter();
        let held: Vec<_> = engines.flat_map(|engine| engine.held_attempts()).collect();
        leak_detector.check(&held);
        tokio::time::sleep(ENGINE_POLL_INTERVAL).await;
    }
}

fn read_retries(metrics: &str) -> Tally {
    let mut tally = Tally::default();
    for line in metrics.lines() {
        let fields = line
            .strip_prefix(RETRIES_METRIC_PREFIX)
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
