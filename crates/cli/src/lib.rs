//! Library of `burdockvale`, the command-line program for operators.
//!
//! | exit code | meaning |
//! |---|---|
//! | 0 | done |
//! | 1 | failed; nothing was changed |
//! | 2 | wrong usage |
//! | 3 | the document is not valid |
//! | 4 | conflict: another version is current |
//! | 5 | the outcome is unknown, or the change is not in force everywhere yet |

mod client;
mod commands;
mod error;
mod output;

use std::process::ExitCode;

use argh::FromArgs;

pub use error::{CliError, RegisterError};

use commands::Args;

const PROGRAM: &str = "burdockvale";

/// Runs the program with its command-line arguments, without the program's name.
pub fn main(command_line: &[String]) -> ExitCode {
    let command_line: Vec<&str> = command_line.iter().map(String::as_str).collect();
    let args = match Args::from_args(&[PROGRAM], &command_line) {
        Ok(args) => args,
        Err(early_exit) if early_exit.status.is_ok() => {
            output::print(&early_exit.output);
            return ExitCode::SUCCESS;
        }
        Err(early_exit) => {
            output::print_error(&early_exit.output);
            return ExitCode::from(error::EXIT_USAGE);
        }
    };
    let json = args.json();
    match commands::run(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            let code = err.exit_code();
            output::print_diagnostic(err, json);
            ExitCode::from(code)
        }
    }
}
