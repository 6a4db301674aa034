//! Rows, conditional writes and their results.

use std::future::Future;
use std::pin::Pin;

use bv_types::{Millis, Version};
use smol_str::SmolStr;

/// Largest number of rows in one transaction.
pub const MAX_TRANSACTION_ROWS: usize = 100;

/// A row of the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Key.
    pub key: SmolStr,
    /// Version; grows with each write.
    pub version: Version,
    /// Content as text, usually JSON.
    pub body: String,
}

/// What must hold for a write to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// The row does not exist.
    Absent,
    /// The row exists with this version.
    Version(Version),
}

impl From<Option<Version>> for Condition {
    /// The row has this version, or does not exist.
    fn from(expected: Option<Version>) -> Self {
        expected.map_or(Condition::Absent, Condition::Version)
    }
}

/// A conditional write of one row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// The row after the write.
    pub row: Row,
    /// What must hold before it.
    pub condition: Condition,
    /// Time since the Unix epoch after which the row may be deleted.
    pub expires: Option<Millis>,
}

/// Result of a transaction that was answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Transacted {
    /// Every write took effect.
    Committed,
    /// No write took effect; one entry for each write.
    Refused(Vec<Refused>),
}

/// Why one write of a refused transaction did not take effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refused {
    /// The condition of this write held; it may be sent again.
    Unaffected,
    /// The condition did not hold; the row as it is, or none.
    Conflict(Option<Row>),
}

/// Failure of a call to the table service.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The call did not take effect and will not.
    #[error("{step} at table service {peer}: unavailable: {detail}")]
    Unavailable {
        /// The step that failed.
        step: &'static str,
        /// The table service.
        peer: SmolStr,
        /// What happened.
        detail: String,
    },
    /// No answer; a write may have taken effect or may still do so.
    #[error("{step} at table service {peer}: unanswered: {detail}")]
    Unanswered {
        /// The step that failed.
        step: &'static str,
        /// The table service.
        peer: SmolStr,
        /// What happened.
        detail: String,
    },
}

/// Future returned by [`Table`].
pub type TableFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, StoreError>> + Send + 'a>>;

/// The platform's table service.
pub trait Table: Send + Sync {
    /// Reads a row with strong consistency.
    ///
    /// # Errors
    /// Fails if the service does not answer.
    fn get<'a>(&'a self, key: &'a str) -> TableFuture<'a, Option<Row>>;

    /// Writes at most [`MAX_TRANSACTION_ROWS`] rows with distinct keys, all or none.
    ///
    /// # Errors
    /// [`StoreError::Unavailable`] if nothing was written, [`StoreError::Unanswered`] if that is
    /// not known.
    fn transact<'a>(&'a self, writes: &'a [Write]) -> TableFuture<'a, Transacted>;
}
