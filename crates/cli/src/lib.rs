//! The operators' program `burdockvale` as a library.
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

/// Runs the program with the words of its command line.
pub fn main(words: &[String]) -> ExitCode {
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let args = match Args::from_args(&[PROGRAM], &words) {
        Ok(args) => args,
        Err(early) if early.status.is_ok() => {
            output::print(&early.output);
            return ExitCode::SUCCESS;
        }
        Err(early) => {
            output::complain(&early.output);
            return ExitCode::from(error::USAGE);
        }
    };
    let json = args.json();
    match commands::run(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            let code = err.exit_code();
            output::report(err, json);
            ExitCode::from(code)
        }
    }
}
