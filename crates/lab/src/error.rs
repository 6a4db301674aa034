//! Failures of the lab.

use std::path::PathBuf;

use miette::Diagnostic;

/// Failure to start or run a measurement.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum LabError {
    /// A file cannot be read.
    #[error("reading {path}: {source}", path = path.display())]
    #[diagnostic(code(lab::read))]
    Read {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// A file cannot be written.
    #[error("writing {path}: {detail}", path = path.display())]
    #[diagnostic(code(lab::write))]
    Write {
        /// The file.
        path: PathBuf,
        /// What happened.
        detail: String,
    },
    /// A file holds no run.
    #[error("{path}: {detail}", path = path.display())]
    #[diagnostic(
        code(lab::no_run),
        help("its last line must be the JSON object printed by `burdockvale-lab run`")
    )]
    NoRun {
        /// The file.
        path: PathBuf,
        /// What is missing.
        detail: &'static str,
    },
    /// The inventory is not valid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Config(#[from] Box<bv_config::ConfigError>),
    /// A loopback address cannot be used.
    #[error("listening for {part}: {source}")]
    #[diagnostic(code(lab::listen))]
    Listen {
        /// The stand-in.
        part: &'static str,
        /// The system's error.
        source: std::io::Error,
    },
    /// A signal handler cannot be installed.
    #[error("installing the signal handler: {0}")]
    #[diagnostic(code(lab::signal))]
    Signal(std::io::Error),
    /// A signal ended the run.
    #[error("the run was ended by a signal")]
    #[diagnostic(code(lab::interrupted))]
    Interrupted,
    /// The daemon cannot be started.
    #[error("starting {path}: {source}", path = path.display())]
    #[diagnostic(
        code(lab::spawn),
        help("build burdockvaled with the same profile: cargo build --workspace")
    )]
    Spawn {
        /// The program.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// An entry host did not become ready.
    #[error("entry host {host} did not become ready within {seconds} s")]
    #[diagnostic(code(lab::not_ready))]
    NotReady {
        /// The entry host.
        host: String,
        /// Time waited.
        seconds: u64,
    },
}
