//! One measured run of stand-ins, entry hosts, load and faults.

use std::path::PathBuf;
use std::sync::Arc;

use serde::Serialize;
use serde_json::{Value, json};
use tokio::signal::unix::{SignalKind, signal};

use crate::deployment::CONFIG_KEY;
use crate::monitor::Monitor;
use crate::{
    CallerFaults, Deployment, Fault, FaultEvent, FaultInjector, Fleet, LabError, LeakDetector,
    Load, LoadSettings, Report, run_schedule,
};

/// Longest length of a run in seconds.
const MAX_SECONDS: u64 = 600;
/// Largest number of entry hosts.
const MAX_HOSTS: usize = 16;

/// Settings of a run.
#[derive(Debug, Clone, Serialize)]
pub struct RunSettings {
    /// Seed of the load and of the faults' targets.
    pub seed: u64,
    /// Length of the load in seconds, at most 600.
    pub seconds: u64,
    /// Number of entry hosts, at most 16.
    pub hosts: usize,
    /// Placement policy.
    pub policy: String,
    /// Inventory file.
    pub inventory: PathBuf,
    /// Offered load in percent.
    pub load: u32,
    /// Additional urgent lookups per second in the middle fifth of the run.
    pub burst: u32,
    /// Faults injected during the run.
    pub faults: Vec<Fault>,
}

impl RunSettings {
    /// Length of the load in seconds, limited to the allowed range.
    pub fn load_seconds(&self) -> u64 {
        self.seconds.clamp(1, MAX_SECONDS)
    }

    /// The report of a run with these settings, as one JSON object.
    pub fn report_json(&self, report: &Report) -> Value {
        let mut value = report.to_json();
        value["run"] = json!(self);
        value
    }
}

/// Like [`measure_events`], but SIGINT and SIGTERM end the run and its entry hosts.
///
/// # Errors
/// Fails as [`measure_events`] does, or if a signal ended the run.
pub async fn measure_until_signal(
    settings: &RunSettings,
    events: Vec<FaultEvent>,
) -> Result<Report, LabError> {
    let mut interrupt = signal(SignalKind::interrupt()).map_err(LabError::Signal)?;
    let mut terminate = signal(SignalKind::terminate()).map_err(LabError::Signal)?;
    tokio::select! {
        report = measure_events(settings, events) => report,
        _ = interrupt.recv() => Err(LabError::Interrupted),
        _ = terminate.recv() => Err(LabError::Interrupted),
    }
}

/// Runs the load with the faults of the settings and returns the report.
///
/// # Errors
/// Fails if the stand-ins or entry hosts cannot be started.
pub async fn measure(settings: &RunSettings) -> Result<Report, LabError> {
    let events = run_schedule(settings.seed, settings.load_seconds(), &settings.faults);
    measure_events(settings, events).await
}

/// Runs the load with these faults and returns the report.
///
/// # Errors
/// Fails if the stand-ins or entry hosts cannot be started.
pub async fn measure_events(
    settings: &RunSettings,
    events: Vec<FaultEvent>,
) -> Result<Report, LabError> {
    let path = &settings.inventory;
    let text = std::fs::read_to_string(path).map_err(|source| LabError::Read {
        path: path.clone(),
        source,
    })?;
    let seconds = settings.load_seconds();
    let count = settings.hosts.clamp(1, MAX_HOSTS);
    let deployment = Arc::new(Deployment::start(&text).await?);
    let leak_detector = Arc::new(LeakDetector::default());
    let (fleet, relay) =
        Fleet::start(&deployment, count, &settings.policy, leak_detector.clone()).await?;
    let fleet = Arc::new(fleet);
    eprintln!("lab: {count} entry hosts are ready");
    let monitor = Monitor::start(&fleet, &deployment, &leak_detector);
    let callers = Arc::new(CallerFaults::default());
    let injector = FaultInjector {
        deployment: deployment.clone(),
        fleet: fleet.clone(),
        relay,
        callers: callers.clone(),
        monitor: monitor.clone(),
        initial_config: deployment
            .table
            .row(CONFIG_KEY)
            .map(|(_, body)| body)
            .unwrap_or_default(),
    };
    let load = Load::new(LoadSettings {
        seed: settings.seed,
        seconds,
        load_percent: settings.load,
        burst_lookups_per_s: settings.burst,
        balancer: fleet.balancer.clone(),
        leak_detector: leak_detector.clone(),
        faults: callers,
    });
    let (result, ()) = tokio::join!(load.run(&deployment.inventory), injector.run(events));
    let mut report = deployment.add_stand_in_counts(result);
    report.held_after_gone = leak_detector.leak_count();
    report.held_longest_ms = leak_detector.longest_retention().as_millis() as u64;
    monitor.add_observations_to(&mut report);
    Ok(report)
}
