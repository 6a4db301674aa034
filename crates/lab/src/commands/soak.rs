//! `soak`: a run with many overlapping faults at random times.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use miette::IntoDiagnostic;
use serde_json::json;

use crate::{RunSettings, measure_until_signal, soak_schedule};

/// Inventory files; successive seeds use them in rotation.
const INVENTORIES: [&str; 2] = ["examples/co-operative.toml", "examples/start-up.toml"];
/// Numbers of entry hosts; successive seeds use them in rotation.
const HOSTS: [usize; 3] = [3, 4, 6];
/// Offered loads in percent; successive seeds use them in rotation.
const LOADS_PERCENT: [u32; 4] = [40, 70, 90, 120];

/// run entry hosts under load while faults start at random times and overlap; the last line of
/// standard output is one JSON object. Exit status 1 if a guarantee was violated.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "soak")]
pub struct Soak {
    /// seed of the deployment, load, faults and their times (default 1)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// length in minutes, fractions are allowed, at most 10 (default 1)
    #[argh(option, default = "1.0")]
    pub minutes: f64,
}

impl Soak {
    /// Settings of the run, derived from the seed.
    pub fn settings(&self) -> RunSettings {
        let index = self.seed as usize;
        RunSettings {
            seed: self.seed,
            seconds: (self.minutes.max(0.0) * 60.0).round() as u64,
            hosts: HOSTS[index / INVENTORIES.len() % HOSTS.len()],
            policy: "planned".to_owned(),
            inventory: PathBuf::from(INVENTORIES[index % INVENTORIES.len()]),
            load: LOADS_PERCENT[index / 6 % LOADS_PERCENT.len()],
            burst: 0,
            faults: Vec::new(),
        }
    }

    /// Runs the soak and prints the report.
    ///
    /// # Errors
    /// Fails if the stand-ins or entry hosts cannot be started.
    pub fn run(self) -> miette::Result<ExitCode> {
        let runtime = tokio::runtime::Runtime::new().into_diagnostic()?;
        let settings = self.settings();
        let events = soak_schedule(self.seed, settings.load_seconds());
        let injected: Vec<_> = events
            .iter()
            .map(|e| json!({"fault": e.fault, "at_ms": e.start.as_millis() as u64, "ms": e.duration.as_millis() as u64}))
            .collect();
        let report = runtime.block_on(measure_until_signal(&settings, events))?;
        println!("{}", report.summary());
        let mut line = settings.report_json(&report);
        line["soak"] = json!({"seed": self.seed, "faults": injected});
        println!("{line}");
        Ok(match report.violations() {
            0 => ExitCode::SUCCESS,
            _ => ExitCode::FAILURE,
        })
    }
}
