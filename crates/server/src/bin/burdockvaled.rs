//! Entry host daemon.

use std::io::IsTerminal;

use bv_server::{Args, LogFormat, Settings};
use miette::IntoDiagnostic;
use tracing_subscriber::EnvFilter;

/// First argument that starts the deployment on the users' platform.
const PLATFORM: &str = "platform";

fn main() -> miette::Result<()> {
    if std::env::args().nth(1).as_deref() == Some(PLATFORM) {
        return Ok(bv_edge::run()?);
    }
    let args: Args = argh::from_env();
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
