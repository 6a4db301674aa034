//! Reads of the store, and repair of a store that has an older document.

use bv_types::{Millis, Version};

use super::start::StoreAnswer;
use super::{Action, Document, Notice, Versions, WriteResult};

impl Versions {
    pub(super) fn store_read(
        &mut self,
        now: Millis,
        read: u64,
        sent: Millis,
        document: Option<Document>,
        out: &mut Vec<Action>,
    ) {
        if self.poll_in_progress == Some(read) {
            self.poll_in_progress = None;
        }
        self.set_store_up(true, out);
        if let Some(start) = &mut self.start {
            start.store = StoreAnswer::Row(document.clone(), sent);
        } else {
            self.reconcile_row(now, read, sent, document.as_ref(), out);
        }
        self.change_row_read(now, read, document.as_ref(), out);
    }

    pub(super) fn read_failed(&mut self, now: Millis, read: u64, out: &mut Vec<Action>) {
        if self.poll_in_progress == Some(read) {
            self.poll_in_progress = None;
            self.set_store_up(false, out);
            match &mut self.start {
                Some(start) => start.store = StoreAnswer::Failed,
                None => self.query_fallback_peers(now, out),
            }
        }
        self.change_read_failed(now, read);
    }

    pub(super) fn set_store_up(&mut self, up: bool, out: &mut Vec<Action>) {
        if self.store_up == up {
            return;
        }
        self.store_up = up;
        out.push(Action::Notice(match up {
            true => Notice::StoreAvailable,
            false => Notice::StoreUnavailable,
        }));
    }

    /// Reconciles the document in force with the row: confirms the document, replaces it with the
    /// row, or writes it back. `call` is the id of the read or write that returned the row, and
    /// `sent` is the time at which it was sent.
    pub(super) fn reconcile_row(
        &mut self,
        now: Millis,
        call: u64,
        sent: Millis,
        row: Option<&Document>,
        out: &mut Vec<Action>,
    ) {
        let own = self.version();
        let stored = row.map_or(Version(0), |row| row.version);
        if stored < own {
            // A call sent before the current document came into force may return an older row
            // although the store has the current one.
            if call >= self.first_call_since_current {
                self.repair(now, row, out);
            }
            return;
        }
        let Some(row) = row else {
            return;
        };
        let same = self
            .current
            .as_ref()
            .is_some_and(|own| own.digest() == row.digest());
        if same {
            self.freshness.confirm(sent);
            return;
        }
        if stored == own {
            if call < self.first_call_since_current {
                return;
            }
            self.report_divergence(row, out);
        }
        self.put_in_force(row.clone(), Some(sent), out);
    }

    pub(super) fn repair(&mut self, now: Millis, row: Option<&Document>, out: &mut Vec<Action>) {
        let Some(document) = self.current.clone() else {
            return;
        };
        if self.repair_in_progress.is_some() {
            return;
        }
        let write = self.new_call(now);
        self.repair_in_progress = Some(write);
        out.push(Action::Notice(Notice::Repair {
            stored: row.map_or(Version(0), |row| row.version),
            own: document.version,
        }));
        out.push(Action::WriteStore {
            write,
            document,
            expected: row.map(|row| row.version),
        });
    }

    pub(super) fn repair_ended(
        &mut self,
        now: Millis,
        write: u64,
        sent: Millis,
        result: WriteResult,
        out: &mut Vec<Action>,
    ) {
        self.repair_in_progress = None;
        match result {
            WriteResult::Committed if write >= self.first_call_since_current => {
                self.freshness.confirm(sent);
            }
            WriteResult::Conflict(row) => self.reconcile_row(now, write, sent, row.as_ref(), out),
            // The next poll determines whether the repair is still needed.
            WriteResult::Committed | WriteResult::Unavailable | WriteResult::Unanswered => {}
        }
    }

    pub(super) fn report_divergence(&mut self, row: &Document, out: &mut Vec<Action>) {
        let divergence = (row.version, row.digest());
        if self.last_divergence.replace(divergence) != Some(divergence) {
            out.push(Action::Notice(Notice::Diverged {
                version: row.version,
            }));
        }
    }
}
