//! The commands, each in its own module.

mod apply;
mod check;
mod drain;
mod import;
mod show;
mod status;

use std::path::Path;

use argh::FromArgs;

use crate::CliError;

/// Operates the entry hosts of burdockvale. Commands that contact entry hosts take their operator
/// addresses from --hosts or BURDOCKVALE_HOSTS and the operator key from BURDOCKVALE_OPERATOR_KEY.
#[derive(Debug, FromArgs)]
#[argh(
    error_code(0, "done"),
    error_code(1, "failed; nothing was changed"),
    error_code(2, "wrong usage"),
    error_code(3, "the document is not valid"),
    error_code(4, "conflict: another version is current"),
    error_code(5, "outcome unknown, or not in force everywhere yet")
)]
pub(crate) struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Apply(apply::Apply),
    Check(check::Check),
    Drain(drain::Drain),
    Import(import::Import),
    Show(show::Show),
    Status(status::Status),
}

impl Args {
    /// Whether to print JSON.
    pub fn json(&self) -> bool {
        match &self.command {
            Command::Apply(command) => command.json,
            Command::Check(command) => command.json,
            Command::Drain(command) => command.json,
            Command::Import(command) => command.json,
            Command::Show(command) => command.json,
            Command::Status(command) => command.json,
        }
    }
}

/// Runs one command.
pub(crate) fn run(args: Args) -> Result<(), CliError> {
    match args.command {
        Command::Check(command) => command.run(),
        Command::Import(command) => command.run(),
        Command::Apply(command) => block_on(command.run()),
        Command::Drain(command) => block_on(command.run()),
        Command::Show(command) => block_on(command.run()),
        Command::Status(command) => block_on(command.run()),
    }
}

fn block_on(command: impl Future<Output = Result<(), CliError>>) -> Result<(), CliError> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(CliError::Runtime)?
        .block_on(command)
}

fn read_file(path: &Path) -> Result<String, CliError> {
    std::fs::read_to_string(path).map_err(|source| CliError::Read {
        path: path.to_owned(),
        source,
    })
}
