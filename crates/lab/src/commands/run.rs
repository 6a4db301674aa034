//! `run`: one measured run of entry hosts under load.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use miette::IntoDiagnostic;

use crate::{Fault, RunSettings, measure_until_signal, run_schedule};

/// run entry hosts under load against stand-ins and print a report; the last line of standard
/// output is one JSON object. Exit status 1 if a guarantee was violated.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "run")]
pub struct Run {
    /// seed of the load and of the faults' targets (default 1)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// length of the load in seconds, at most 600 (default 5)
    #[argh(option, default = "5")]
    pub seconds: u64,
    /// number of entry hosts, at most 16 (default 2)
    #[argh(option, default = "2")]
    pub hosts: usize,
    /// placement policy (default planned)
    #[argh(option, default = "String::from(\"planned\")")]
    pub policy: String,
    /// inventory file; addresses are replaced by those of the stand-ins
    #[argh(option, default = "PathBuf::from(\"examples/co-operative.toml\")")]
    pub inventory: PathBuf,
    /// offered load in percent; 100 fills the decode slots (default 70)
    #[argh(option, default = "70")]
    pub load: u32,
    /// additional urgent lookups per second in the middle fifth of the run (default 0)
    #[argh(option, default = "0")]
    pub burst: u32,
    /// fault of the run; may be given several times, see below
    #[argh(option)]
    pub fault: Vec<Fault>,
}

impl Run {
    /// Runs the load and prints the report.
    ///
    /// # Errors
    /// Fails if the stand-ins or entry hosts cannot be started.
    pub fn run(self) -> miette::Result<ExitCode> {
        let runtime = tokio::runtime::Runtime::new().into_diagnostic()?;
        let settings = RunSettings {
            seed: self.seed,
            seconds: self.seconds,
            hosts: self.hosts,
            policy: self.policy,
            inventory: self.inventory,
            load: self.load,
            burst: self.burst,
            faults: self.fault,
        };
        let events = run_schedule(settings.seed, settings.load_seconds(), &settings.faults);
        let report = runtime.block_on(measure_until_signal(&settings, events))?;
        println!("{}", report.summary());
        println!("{}", settings.report_json(&report));
        Ok(match report.violations() {
            0 => ExitCode::SUCCESS,
            _ => ExitCode::FAILURE,
        })
    }
}
