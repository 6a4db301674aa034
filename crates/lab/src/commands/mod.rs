//! Subcommands of `burdockvale-lab`, one file each.

mod report;
mod run;
mod soak;

use std::process::ExitCode;

use argh::{EarlyExit, FromArgs};

use crate::faults::FAULT_NOTE;
pub use report::ReportRuns;
pub use run::Run;
pub use soak::Soak;

/// Stand-ins, load generator and measurement for burdockvale.
#[derive(Debug, FromArgs)]
pub struct Lab {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Run(Run),
    Soak(Soak),
    Report(ReportRuns),
}

impl Lab {
    /// Parses the arguments after the program's name; the help of `run` ends with a list of faults.
    ///
    /// # Errors
    /// Returns the help text, or a message that says which argument is invalid.
    pub fn parse(args: &[&str]) -> Result<Self, EarlyExit> {
        Lab::from_args(&["burdockvale-lab"], args).map_err(|mut exit| {
            if exit.status.is_ok() && args.first() == Some(&"run") {
                exit.output = format!("{}\n\n{FAULT_NOTE}\n", exit.output.trim_end());
            }
            exit
        })
    }

    /// Runs the chosen command.
    ///
    /// # Errors
    /// Fails if the command cannot be carried out.
    pub fn run(self) -> miette::Result<ExitCode> {
        match self.command {
            Command::Run(run) => run.run(),
            Command::Soak(soak) => soak.run(),
            Command::Report(report) => report.run(),
        }
    }
}
