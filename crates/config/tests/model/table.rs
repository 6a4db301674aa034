//! The table service as one row, with a log of all changes that it accepted.

use bv_config::{Document, WriteResult};
use bv_types::{Fingerprint, Version};

/// A change that the table accepted.
pub struct Accepted {
    pub document: Document,
    /// Digest of the document that it replaced.
    pub base: Option<Fingerprint>,
    /// Whether the store was restored from an older copy while the write was in transit.
    pub crossed_restore: bool,
}

#[derive(Default)]
pub struct Table {
    pub row: Option<Document>,
    /// Earlier contents of the row, the latest last.
    past: Vec<Option<Document>>,
    /// Changes in the order in which they were accepted.
    pub log: Vec<Accepted>,
    /// When the store last returned each document, in milliseconds, as the answer to a read or a
    /// write.
    pub last_returned: Vec<(Fingerprint, u64)>,
    /// Number of restores of the row to an older copy.
    pub restores: u64,
}

impl Table {
    /// The row as it was `lag` writes ago.
    pub fn read(&self, lag: usize) -> Option<Document> {
        match lag {
            0 => self.row.clone(),
            lag => match self.past.len().checked_sub(lag) {
                Some(index) => self.past[index].clone(),
                None => self.row.clone(),
            },
        }
    }

    /// Writes the row if it has the expected version. `restores` is the number of restores at the
    /// time at which the write was sent.
    pub fn write(
        &mut self,
        document: &Document,
        expected: Option<Version>,
        restores: u64,
    ) -> WriteResult {
        if self.row.as_ref().map(|row| row.version) != expected {
            return WriteResult::Conflict(self.row.clone());
        }
        let base = self.row.as_ref().map(Document::digest);
        let known = self
            .log
            .iter()
            .any(|accepted| accepted.document.digest() == document.digest());
        if !known {
            self.log.push(Accepted {
                document: document.clone(),
                base,
                crossed_restore: restores != self.restores,
            });
        }
        self.past.push(self.row.replace(document.clone()));
        WriteResult::Committed
    }

    /// Restores the row to its content `writes` writes ago.
    pub fn restore(&mut self, writes: usize) {
        let old = self.read(writes);
        self.restores += 1;
        self.past.push(std::mem::replace(&mut self.row, old));
    }

    /// Records that the store returned this document at `now_ms`.
    pub fn record_returned(&mut self, document: Option<&Document>, now_ms: u64) {
        let Some(digest) = document.map(Document::digest) else {
            return;
        };
        match self
            .last_returned
            .iter_mut()
            .find(|(known, _)| *known == digest)
        {
            Some((_, at_ms)) => *at_ms = now_ms,
            None => self.last_returned.push((digest, now_ms)),
        }
    }

    pub fn accepted(&self, digest: Fingerprint) -> Option<&Accepted> {
        self.log
            .iter()
            .find(|accepted| accepted.document.digest() == digest)
    }
}
