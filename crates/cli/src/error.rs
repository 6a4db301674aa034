//! Errors of the commands and their exit codes.

use std::path::PathBuf;

use bv_config::ConfigError;
use miette::{Diagnostic, NamedSource, SourceSpan};
use serde_json::{Value, json};

const EXIT_FAILURE: u8 = 1;
pub(crate) const EXIT_USAGE: u8 = 2;
const EXIT_INVALID: u8 = 3;
const EXIT_CONFLICT: u8 = 4;
const EXIT_UNCONFIRMED: u8 = 5;

/// Why a command did not succeed.
#[derive(Debug, thiserror::Error, Diagnostic)]
#[non_exhaustive]
pub enum CliError {
    /// A flag or environment variable is missing or has a value that is not allowed.
    #[error("{message}")]
    #[diagnostic(code(cli::usage))]
    Usage {
        /// What is wrong.
        message: String,
        /// What to specify instead.
        #[help]
        help: String,
    },
    /// A file cannot be read.
    #[error("reading {path}: {source}", path = path.display())]
    #[diagnostic(code(cli::read))]
    Read {
        /// The file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A file cannot be written.
    #[error("writing {path}: {source}", path = path.display())]
    #[diagnostic(code(cli::write))]
    Write {
        /// The file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The async runtime cannot be started.
    #[error("starting the runtime: {0}")]
    #[diagnostic(code(cli::runtime))]
    Runtime(std::io::Error),
    /// The document is not valid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Document(#[from] Box<ConfigError>),
    /// An entry host rejected a document that this program accepted.
    #[error("entry host {host} rejected the document: line {line}, column {column}: {message}")]
    #[diagnostic(
        code(cli::refused_document),
        help(
            "the entry host runs another version of burdockvale; use the same version of this program"
        )
    )]
    RefusedDocument {
        /// The entry host.
        host: String,
        /// What is wrong.
        message: String,
        /// Line, from 1.
        line: u64,
        /// Column, from 1.
        column: u64,
    },
    /// The asset register is not valid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Register(#[from] Box<RegisterError>),
    /// The current version is not the expected one.
    #[error("version {current} is current, not {expected}; the change was not made")]
    #[diagnostic(
        code(cli::conflict),
        help(
            "print the current document with `burdockvale show`, merge the change into it and apply again"
        )
    )]
    Conflict {
        /// Version that the change was to replace.
        expected: u64,
        /// Current version.
        current: u64,
    },
    /// It is not known whether the change was made.
    #[error("the outcome of change {change} is unknown: {detail}")]
    #[diagnostic(
        code(cli::outcome_unknown),
        help(
            "repeat the command with `--change {change} --expect {expected}`; the change is made only once"
        )
    )]
    OutcomeUnknown {
        /// Id of the change.
        change: String,
        /// Version that the change was to replace.
        expected: u64,
        /// Answers of the entry hosts.
        detail: String,
    },
    /// The change is accepted, but some entry hosts did not confirm it in time.
    #[error("version {version} is accepted, but not confirmed by: {}", unconfirmed.join("; "))]
    #[diagnostic(
        code(cli::not_everywhere),
        help(
            "these entry hosts apply the version once they reach the table service or a peer; see `burdockvale status`"
        )
    )]
    NotConfirmedEverywhere {
        /// The accepted version.
        version: u64,
        /// Entry hosts that did not confirm it, each with the reason.
        unconfirmed: Vec<String>,
    },
    /// No entry host carried out the request, or, for `status`, at least one did not.
    #[error("the request was not carried out at: {}", details.join("; "))]
    #[diagnostic(
        code(cli::no_host),
        help("check --hosts and BURDOCKVALE_OPERATOR_KEY, or try again later")
    )]
    RequestFailed {
        /// Entry hosts that did not carry out the request, each with the reason.
        details: Vec<String>,
    },
}

/// An error in an asset register, with its position.
#[derive(Debug, thiserror::Error, Diagnostic)]
#[error("{message}")]
#[diagnostic(code(cli::register))]
pub struct RegisterError {
    /// What is wrong.
    pub message: String,
    /// Text of the register.
    #[source_code]
    pub source_text: NamedSource<String>,
    /// Position of the error.
    #[label("here")]
    pub span: SourceSpan,
    /// What to change.
    #[help]
    pub help: Option<String>,
}

impl CliError {
    /// Exit code of the program.
    pub fn exit_code(&self) -> u8 {
        match self {
            CliError::Usage { .. } => EXIT_USAGE,
            CliError::Document(_) | CliError::RefusedDocument { .. } | CliError::Register(_) => {
                EXIT_INVALID
            }
            CliError::Conflict { .. } => EXIT_CONFLICT,
            CliError::OutcomeUnknown { .. } | CliError::NotConfirmedEverywhere { .. } => {
                EXIT_UNCONFIRMED
            }
            CliError::Read { .. }
            | CliError::Write { .. }
            | CliError::Runtime(_)
            | CliError::RequestFailed { .. } => EXIT_FAILURE,
        }
    }

    /// Line and column of the error, both from 1.
    pub fn position(&self) -> Option<(usize, usize)> {
        match self {
            CliError::Document(err) => Some(err.position()),
            CliError::RefusedDocument { line, column, .. } => {
                Some((usize::try_from(*line).ok()?, usize::try_from(*column).ok()?))
            }
            CliError::Register(err) => {
                Some(line_and_column(err.source_text.inner(), err.span.offset()))
            }
            _ => None,
        }
    }

    /// Adds the fields that only this kind of error has to its JSON object.
    pub(crate) fn add_details(&self, error: &mut Value) {
        match self {
            CliError::Conflict { expected, current } => {
                error["expected"] = json!(expected);
                error["current"] = json!(current);
            }
            CliError::OutcomeUnknown {
                change, expected, ..
            } => {
                error["change"] = json!(change);
                error["expected"] = json!(expected);
            }
            CliError::NotConfirmedEverywhere {
                version,
                unconfirmed,
            } => {
                error["version"] = json!(version);
                error["missing"] = json!(unconfirmed);
            }
            _ => {}
        }
    }
}

/// Line and column of a byte offset, both from 1.
fn line_and_column(text: &str, offset: usize) -> (usize, usize) {
    let before = text.get(..offset).unwrap_or(text);
    let line_start = before.rfind('\n').map_or(0, |index| index + 1);
    let line = before.matches('\n').count() + 1;
    (line, before[line_start..].chars().count() + 1)
}
