//! Commands of `burdockvale-lab`, one file each.

mod run;

use std::process::ExitCode;

use argh::FromArgs;

pub use run::Run;

/// Stand-ins, bounded load and measurement for burdockvale.
#[derive(Debug, FromArgs)]
pub struct Lab {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Run(Run),
}

impl Lab {
    /// Runs the chosen command.
    ///
    /// # Errors
    /// Fails if the command cannot be carried out.
    pub fn run(self) -> miette::Result<ExitCode> {
        match self.command {
            Command::Run(run) => run.run(),
        }
    }
}
