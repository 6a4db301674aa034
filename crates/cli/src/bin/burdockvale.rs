//! The operators' command-line program `burdockvale`.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    bv_cli::main(&args)
}
