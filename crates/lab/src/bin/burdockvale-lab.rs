//! Runs entry hosts against stand-ins and measures the answers that callers receive.

use std::process::ExitCode;

use bv_lab::commands::Lab;

fn main() -> miette::Result<ExitCode> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match Lab::parse(&args) {
        Ok(lab) => lab.run(),
        Err(exit) if exit.status.is_ok() => {
            println!("{}", exit.output);
            Ok(ExitCode::SUCCESS)
        }
        Err(exit) => {
            eprintln!("{}", exit.output);
            Ok(ExitCode::FAILURE)
        }
    }
}
