//! Model of the table service: a transaction applies all of its conditional writes or none.

use bv_ledger::{Precondition, RowBody, RowResult, RowWrite, StoredRow, TransactionResult};
use bv_types::Version;

/// Keys and rows in the order of their first write.
#[derive(Debug, Default)]
pub struct ModelTable(Vec<(String, StoredRow)>);

impl ModelTable {
    pub fn get(&self, key: &str) -> Option<StoredRow> {
        let found = self.0.iter().find(|(known, _)| known == key);
        found.map(|(_, row)| row.clone())
    }

    pub fn body(&self, key: &str) -> Option<RowBody> {
        self.get(key).and_then(|row| RowBody::parse(&row.body))
    }

    pub fn put(&mut self, key: &str, version: Version, body: String) {
        let row = StoredRow { version, body };
        match self.0.iter_mut().find(|(known, _)| known == key) {
            Some((_, known)) => *known = row,
            None => self.0.push((key.to_owned(), row)),
        }
    }

    pub fn delete(&mut self, key: &str) {
        self.0.retain(|(known, _)| known != key);
    }

    pub fn transact(&mut self, writes: &[RowWrite]) -> TransactionResult {
        let results: Vec<RowResult> = writes.iter().map(|write| self.check(write)).collect();
        if results
            .iter()
            .any(|result| *result != RowResult::PreconditionMet)
        {
            return TransactionResult::Refused(results);
        }
        for write in writes {
            self.put(&write.key, write.version, write.body.clone());
        }
        TransactionResult::Committed
    }

    fn check(&self, write: &RowWrite) -> RowResult {
        let row = self.get(&write.key);
        let is_met = match (write.precondition, &row) {
            (Precondition::Absent, None) => true,
            (Precondition::Version(version), Some(row)) => row.version == version,
            _ => false,
        };
        match is_met {
            true => RowResult::PreconditionMet,
            false => RowResult::Conflict(row),
        }
    }
}
