//! Runs entry hosts against stand-ins and measures what callers get.

use std::process::ExitCode;

fn main() -> miette::Result<ExitCode> {
    let lab: bv_lab::commands::Lab = argh::from_env();
    lab.run()
}
