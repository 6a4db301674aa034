//! `run`: a bounded load against real entry hosts.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use argh::FromArgs;
use miette::IntoDiagnostic;

use crate::{
    Balancer, Deployment, HostProcess, HostSpec, LabError, Load, LoadSettings, Observer, Report,
};

/// run entry hosts under load against stand-ins and print a report; the last line of standard
/// output is one JSON object. Exit status 1 if a promise was broken.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "run")]
pub struct Run {
    /// seed of the load
    #[argh(option, default = "1")]
    pub seed: u64,
    /// length of the load in seconds, at most 600
    #[argh(option, default = "5")]
    pub seconds: u64,
    /// number of entry hosts, at most 16
    #[argh(option, default = "2")]
    pub hosts: usize,
    /// placement policy
    #[argh(option, default = "String::from(\"planned\")")]
    pub policy: String,
    /// inventory file; addresses are replaced by those of the stand-ins
    #[argh(option, default = "PathBuf::from(\"examples/co-operative.toml\")")]
    pub inventory: PathBuf,
    /// offered load in percent; 100 fills the decode slots
    #[argh(option, default = "70")]
    pub load: u32,
    /// further urgent lookups a second in the middle fifth of the run (default 0)
    #[argh(option, default = "0")]
    pub burst: u32,
}

impl Run {
    /// Runs the load and prints the report.
    ///
    /// # Errors
    /// Fails if the stand-ins or entry hosts cannot be started.
    pub fn run(self) -> miette::Result<ExitCode> {
        let runtime = tokio::runtime::Runtime::new().into_diagnostic()?;
        let report = runtime.block_on(self.measure())?;
        println!("{}", report.summary());
        println!("{}", report.json());
        Ok(match report.violations() {
            0 => ExitCode::SUCCESS,
            _ => ExitCode::FAILURE,
        })
    }

    async fn measure(&self) -> Result<Report, LabError> {
        let text = std::fs::read_to_string(&self.inventory).map_err(|source| LabError::Read {
            path: self.inventory.clone(),
            source,
        })?;
        let deployment = Deployment::start(&text).await?;
        let mut hosts = Vec::new();
        for index in 0..self.hosts.clamp(1, 16) {
            let spec = HostSpec::new(index, &deployment, &self.policy).await?;
            hosts.push(HostProcess::start(spec)?);
        }
        for host in &hosts {
            host.wait_ready().await?;
        }
        eprintln!("lab: {} entry hosts are ready", hosts.len());
        let observer = Arc::new(Observer::default());
        let load = Load::new(LoadSettings {
            seed: self.seed,
            seconds: self.seconds.clamp(1, 600),
            percent: self.load,
            burst: self.burst,
            balancer: Arc::new(Balancer::new(
                hosts.iter().map(|host| host.spec.caller_addr),
            )),
            observer: observer.clone(),
            faults: Arc::default(),
        });
        let offered = load.run(&deployment.inventory).await;
        Ok(deployment.report(offered))
    }
}
