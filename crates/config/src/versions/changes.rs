//! Events that advance an operator's [`Pending`] change.

use std::sync::Arc;

use bv_types::{Millis, Version};
use smol_str::SmolStr;

use super::apply::{
    APPLY_TIMEOUT, Evaluation, FIRST_WRITE_TIMEOUT, Pending, READ_LAG_TIMEOUT, Step,
};
use super::{Action, Document, NotWritten, Outcome, Versions, WriteResult};

impl Versions {
    pub(super) fn apply(
        &mut self,
        now: Millis,
        change_id: SmolStr,
        expected: Version,
        text: Arc<str>,
        out: &mut Vec<Action>,
    ) {
        if self.start.is_some() {
            let outcome = Outcome::NotWritten(NotWritten::Starting);
            out.push(Action::Reply {
                change: change_id,
                outcome,
            });
            return;
        }
        if self
            .pending
            .iter()
            .any(|pending| pending.change_id == change_id)
        {
            // A single reply answers the first request and its repetitions.
            return;
        }
        let read = self.new_call(now);
        self.pending.push(Pending {
            change_id,
            expected,
            text,
            step: Step::Reading(read),
            written: None,
            deadline: now + APPLY_TIMEOUT,
            first_write_deadline: now + FIRST_WRITE_TIMEOUT,
            read_lag_deadline: now + READ_LAG_TIMEOUT,
            in_doubt: false,
        });
        out.push(Action::ReadStore { read });
    }

    pub(super) fn advance_changes(&mut self, now: Millis, out: &mut Vec<Action>) {
        let (expired, undecided): (Vec<Pending>, Vec<Pending>) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|pending| pending.is_expired(now));
        self.pending = undecided;
        for pending in expired {
            let outcome = match pending.is_unwritten() {
                true => Outcome::NotWritten(NotWritten::StoreUnavailable),
                false => Outcome::Unknown,
            };
            out.push(Action::Reply {
                change: pending.change_id,
                outcome,
            });
        }
        for index in 0..self.pending.len() {
            if let Step::Paused(until) = self.pending[index].step
                && now >= until
            {
                let read = self.new_call(now);
                self.pending[index].step = Step::Reading(read);
                out.push(Action::ReadStore { read });
            }
        }
    }

    pub(super) fn change_row_read(
        &mut self,
        now: Millis,
        read: u64,
        row: Option<&Document>,
        out: &mut Vec<Action>,
    ) {
        let step = Step::Reading(read);
        if let Some(index) = self.pending.iter().position(|pending| pending.step == step) {
            self.evaluate_change(now, index, row, out);
        }
    }

    pub(super) fn change_read_failed(&mut self, now: Millis, read: u64) {
        let step = Step::Reading(read);
        if let Some(pending) = self.pending.iter_mut().find(|pending| pending.step == step) {
            pending.pause(now);
        }
    }

    pub(super) fn write_ended(
        &mut self,
        now: Millis,
        write: u64,
        sent: Millis,
        result: WriteResult,
        out: &mut Vec<Action>,
    ) {
        if self.repair_in_progress == Some(write) {
            self.repair_ended(now, write, sent, result, out);
            return;
        }
        let step = Step::Writing(write);
        let Some(index) = self.pending.iter().position(|pending| pending.step == step) else {
            // The change has already been reported as unknown; the next poll reads the row.
            return;
        };
        match result {
            WriteResult::Committed => self.committed(index, sent, out),
            WriteResult::Conflict(row) => {
                self.reconcile_row(now, write, sent, row.as_ref(), out);
                self.evaluate_change(now, index, row.as_ref(), out);
            }
            WriteResult::Unavailable => self.pending[index].pause(now),
            WriteResult::Unanswered => {
                self.pending[index].in_doubt = true;
                self.pending[index].pause(now);
            }
        }
    }

    fn committed(&mut self, index: usize, sent: Millis, out: &mut Vec<Action>) {
        let pending = self.pending.remove(index);
        let Some(document) = pending.written else {
            return;
        };
        let version = document.version;
        if version > self.version() {
            self.put_in_force(document, Some(sent), out);
        }
        out.push(Action::Reply {
            change: pending.change_id,
            outcome: Outcome::Accepted(version),
        });
    }

    fn evaluate_change(
        &mut self,
        now: Millis,
        index: usize,
        row: Option<&Document>,
        out: &mut Vec<Action>,
    ) {
        let known = self.known_version();
        let own = self.current.as_ref();
        match self.pending[index].evaluate(now, row, own, known) {
            Evaluation::Decided(outcome) => {
                let change = self.pending.remove(index).change_id;
                out.push(Action::Reply { change, outcome });
            }
            Evaluation::Retry => self.pending[index].pause(now),
            Evaluation::Write => self.write_change(now, index, row, out),
        }
    }

    fn write_change(
        &mut self,
        now: Millis,
        index: usize,
        row: Option<&Document>,
        out: &mut Vec<Action>,
    ) {
        let write = self.new_call(now);
        let pending = &mut self.pending[index];
        let document = match &pending.written {
            Some(document) => document.clone(),
            None => Document::after(row, pending.change_id.clone(), pending.text.clone()),
        };
        pending.written = Some(document.clone());
        pending.step = Step::Writing(write);
        out.push(Action::WriteStore {
            write,
            document,
            expected: row.map(|row| row.version),
        });
    }
}
