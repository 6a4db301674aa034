//! Rows, conditional writes, their results, and the trait of a table.

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
    /// Version; increases with each write.
    pub version: Version,
    /// Content as text, usually JSON.
    pub body: String,
}

/// Condition under which a write takes effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// The row does not exist.
    Absent,
    /// The row exists with this version.
    Version(Version),
}

impl From<Option<Version>> for Condition {
    /// Converts the expected version of a row; `None` means that the row must not exist.
    fn from(expected: Option<Version>) -> Self {
        expected.map_or(Condition::Absent, Condition::Version)
    }
}

/// A conditional write of one row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// The row after the write.
    pub row: Row,
    /// Condition on the row before the write.
    pub condition: Condition,
    /// Time since the Unix epoch after which the row may be deleted.
    pub expires: Option<Millis>,
}

/// Result of a transaction that the table service answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Transacted {
    /// Every write took effect.
    Committed,
    /// No write took effect; holds one entry for each write, in the order of the writes.
    Refused(Vec<Refused>),
}

/// Why one write of a refused transaction did not take effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refused {
    /// The service reported no failed condition for this write; it may be sent again.
    Unaffected,
    /// The condition did not hold; holds the current row, or `None` if there is no row.
    Conflict(Option<Row>),
}

/// Failure of a call to the table service.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The call did not take effect and will not take effect later.
    #[error("{operation} at table service {peer}: unavailable: {detail}")]
    Unavailable {
        /// The operation that failed.
        operation: &'static str,
        /// Address of the table service.
        peer: SmolStr,
        /// Description of the failure.
        detail: String,
    },
    /// The outcome is not known; a write may have taken effect or may still do so.
    #[error("{operation} at table service {peer}: unanswered: {detail}")]
    Unanswered {
        /// The operation that failed.
        operation: &'static str,
        /// Address of the table service.
        peer: SmolStr,
        /// Description of the failure.
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
    /// Fails if the service cannot be reached, does not answer in time, or answers with an error or
    /// a malformed row.
    fn get<'a>(&'a self, key: &'a str) -> TableFuture<'a, Option<Row>>;

    /// Writes at most [`MAX_TRANSACTION_ROWS`] rows with distinct keys; either all writes take
    /// effect or none.
    ///
    /// # Errors
    /// [`StoreError::Unavailable`] if nothing was written, [`StoreError::Unanswered`] if it is not
    /// known whether the rows were written.
    fn transact<'a>(&'a self, writes: &'a [Write]) -> TableFuture<'a, Transacted>;
}
