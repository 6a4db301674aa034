//! `report`: runs each placement policy at each load and writes the summary.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use miette::IntoDiagnostic;
use serde_json::json;

use crate::{
    Fault, LabError, RunCollection, RunSettings, measure_until_signal, plot, run_schedule,
};

/// run each policy at each load, or read the outputs of earlier runs, and write report.json and
/// report.svg. Exit status 1 if a guarantee was violated.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "report")]
pub struct ReportRuns {
    /// output of an earlier run, or an earlier report.json; may be given several times, and then
    /// nothing is run
    #[argh(option)]
    pub read: Vec<PathBuf>,
    /// placement policy; may be given several times (default planned)
    #[argh(option)]
    pub policy: Vec<String>,
    /// offered load in percent; may be given several times (default 70, 100, 130)
    #[argh(option)]
    pub load: Vec<u32>,
    /// runs of each policy and load, each with its own seed (default 3)
    #[argh(option, default = "3")]
    pub repeat: u64,
    /// first seed (default 1)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// length of each load in seconds, at most 600 (default 20)
    #[argh(option, default = "20")]
    pub seconds: u64,
    /// number of entry hosts, at most 16 (default 4)
    #[argh(option, default = "4")]
    pub hosts: usize,
    /// inventory file
    #[argh(option, default = "PathBuf::from(\"examples/co-operative.toml\")")]
    pub inventory: PathBuf,
    /// fault of every run; see run --help
    #[argh(option)]
    pub fault: Vec<Fault>,
    /// directory of the files written (default .)
    #[argh(option, default = "PathBuf::from(\".\")")]
    pub out: PathBuf,
}

impl ReportRuns {
    /// Runs the measurements or reads earlier ones, and writes the report files.
    ///
    /// # Errors
    /// Fails if a run cannot start, or a file cannot be read or written.
    pub fn run(self) -> miette::Result<ExitCode> {
        let mut collection = RunCollection::default();
        for path in &self.read {
            collection.read(path)?;
        }
        if self.read.is_empty() {
            for settings in self.runs() {
                // Each run has its own runtime; dropping the previous one stops its stand-ins.
                let runtime = tokio::runtime::Runtime::new().into_diagnostic()?;
                let events = run_schedule(settings.seed, settings.load_seconds(), &settings.faults);
                let report = runtime.block_on(measure_until_signal(&settings, events))?;
                collection.add(settings.report_json(&report));
            }
        }
        let points = collection.points();
        let text = json!({"points": points}).to_string();
        let path = self.out.join("report.json");
        std::fs::write(&path, format!("{text}\n")).map_err(|err| LabError::Write {
            path,
            detail: err.to_string(),
        })?;
        plot::write(&self.out.join("report.svg"), &points)?;
        println!("{text}");
        Ok(match points.iter().map(|point| point.violations).sum() {
            0_u64 => ExitCode::SUCCESS,
            _ => ExitCode::FAILURE,
        })
    }

    /// Settings of all runs. Policies and loads alternate within each seed, so that a change of the
    /// machine's own load affects all of them alike.
    fn runs(&self) -> Vec<RunSettings> {
        let policies = match self.policy.is_empty() {
            true => vec!["planned".to_owned()],
            false => self.policy.clone(),
        };
        let loads = match self.load.is_empty() {
            true => vec![70, 100, 130],
            false => self.load.clone(),
        };
        let mut runs = Vec::new();
        for seed in self.seed..self.seed + self.repeat.max(1) {
            for load in &loads {
                for policy in &policies {
                    runs.push(RunSettings {
                        seed,
                        seconds: self.seconds,
                        hosts: self.hosts,
                        policy: policy.clone(),
                        inventory: self.inventory.clone(),
                        load: *load,
                        burst: 0,
                        faults: self.fault.clone(),
                    });
                }
            }
        }
        runs
    }
}
