//! Entry host daemon.

use std::io::IsTerminal;

use argh::FromArgs;
use bv_server::{Args, LogFormat, Settings};
use miette::IntoDiagnostic;
use tracing_subscriber::EnvFilter;

/// First argument that starts the deployment on the users' platform.
const PLATFORM: &str = "platform";
const PLATFORM_NOTE: &str = "
Commands:
  platform          run on the users' platform; see burdockvaled platform --help";
fn main() -> miette::Result<()> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    if args.first() == Some(&PLATFORM) {
        return match args.get(1) {
            None => Ok(bv_edge::run()?),
            Some(&("--help" | "help")) => {
                println!("{}", bv_edge::help());
                Ok(())
            }
            Some(other) => {
                eprintln!("Unrecognized argument: {other}\n\n{}", bv_edge::help());
                std::process::exit(1);
            }
        };
    }
    let args = match Args::from_args(&["burdockvaled"], &args) {
        Ok(args) => args,
        Err(exit) if exit.status.is_ok() => {
            println!("{}\n{PLATFORM_NOTE}", exit.output.trim_end());
            return Ok(());
        }
        Err(exit) => {
            eprintln!("{}", exit.output);
            std::process::exit(1);
        }
    };
    let settings = Settings::try_from(args)?;
    start_logs(&settings)?;
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .into_diagnostic()?
        .block_on(bv_server::run(settings))?;
    Ok(())
}

fn start_logs(settings: &Settings) -> miette::Result<()> {
    let filter = EnvFilter::try_new(settings.log_filter.as_str()).into_diagnostic()?;
    let logs = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(std::io::stderr().is_terminal())
        .with_writer(std::io::stderr);
    match settings.log_format {
        LogFormat::Text => logs.init(),
        LogFormat::Json => logs.json().init(),
    }
    Ok(())
}
