//! Reads and writes rows of the ledger in the table service.

use bv_ledger::{Precondition, RowResult, RowWrite, StoreAnswer, StoredRow, TransactionResult};
use bv_store::{Condition, Refused, Row, StoreError, Table, Transacted, Write};
use bv_types::RetryReason;
use tracing::debug;

use crate::counters;

/// Reads one row.
pub(crate) async fn read(table: &dyn Table, key: &str) -> StoreAnswer {
    match table.get(key).await {
        Ok(row) => StoreAnswer::Row(row.map(to_stored)),
        Err(err) => {
            record_failure(&err);
            StoreAnswer::ReadFailed
        }
    }
}

/// Writes rows in one transaction.
pub(crate) async fn transact(table: &dyn Table, rows: &[RowWrite]) -> TransactionResult {
    let writes: Vec<Write> = rows.iter().map(to_write).collect();
    counters::transaction(writes.len());
    match table.transact(&writes).await {
        Ok(Transacted::Committed) => TransactionResult::Committed,
        Ok(Transacted::Refused(rows)) => {
            TransactionResult::Refused(rows.into_iter().map(row_result).collect())
        }
        Err(err) => {
            record_failure(&err);
            match err {
                StoreError::Unavailable { .. } => TransactionResult::Unavailable,
                StoreError::Unanswered { .. } => TransactionResult::Unanswered,
            }
        }
    }
}

fn record_failure(err: &StoreError) {
    debug!(%err, "ledger: call to the table service failed");
    counters::retried(match err {
        StoreError::Unavailable { .. } => RetryReason::StoreUnavailable,
        StoreError::Unanswered { .. } => RetryReason::StoreUnanswered,
    });
}

fn to_write(row: &RowWrite) -> Write {
    Write {
        row: Row {
            key: row.key.clone(),
            version: row.version,
            body: row.body.clone(),
        },
        condition: match row.precondition {
            Precondition::Absent => Condition::Absent,
            Precondition::Version(version) => Condition::Version(version),
        },
        expires: Some(row.expires),
    }
}

fn row_result(row: Refused) -> RowResult {
    match row {
        Refused::Unaffected => RowResult::PreconditionMet,
        Refused::Conflict(row) => RowResult::Conflict(row.map(to_stored)),
    }
}

fn to_stored(row: Row) -> StoredRow {
    StoredRow {
        version: row.version,
        body: row.body,
    }
}
