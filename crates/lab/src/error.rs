//! Errors of the lab.

use std::path::PathBuf;

use miette::Diagnostic;

/// Error while starting or running a measurement.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum LabError {
    /// A file cannot be read.
    #[error("cannot read {path}: {source}", path = path.display())]
    #[diagnostic(code(lab::read))]
    Read {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A file cannot be written.
    #[error("cannot write {path}: {detail}", path = path.display())]
    #[diagnostic(code(lab::write))]
    Write {
        /// The file.
        path: PathBuf,
        /// The error of the writer.
        detail: String,
    },
    /// A file contains no result of a run.
    #[error("{path}: {detail}", path = path.display())]
    #[diagnostic(
        code(lab::no_run),
        help("its last line must be the JSON object printed by `burdockvale-lab run`")
    )]
    NoRun {
        /// The file.
        path: PathBuf,
        /// What is invalid or missing.
        detail: &'static str,
    },
    /// The inventory is not valid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Config(#[from] Box<bv_config::ConfigError>),
    /// No listener could be opened on a loopback address.
    #[error("cannot listen on a loopback address for {purpose}: {source}")]
    #[diagnostic(code(lab::listen))]
    Listen {
        /// What the address is for: a stand-in, or the clients of an entry host.
        purpose: &'static str,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A signal handler cannot be installed.
    #[error("cannot install the signal handler: {0}")]
    #[diagnostic(code(lab::signal))]
    Signal(std::io::Error),
    /// A signal ended the run.
    #[error("the run was interrupted by a signal")]
    #[diagnostic(code(lab::interrupted))]
    Interrupted,
    /// The daemon cannot be started.
    #[error("cannot start {path}: {source}", path = path.display())]
    #[diagnostic(
        code(lab::spawn),
        help("build burdockvaled with the same profile: cargo build --workspace")
    )]
    Spawn {
        /// The program.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// An entry host did not become ready.
    #[error("entry host {host} did not become ready within {seconds} s")]
    #[diagnostic(code(lab::not_ready))]
    NotReady {
        /// The entry host.
        host: String,
        /// Time waited in seconds.
        seconds: u64,
    },
}
