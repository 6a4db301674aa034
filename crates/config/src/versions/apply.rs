//! Progress of one operator's change.

use std::sync::Arc;

use bv_types::{Millis, Version};
use smol_str::SmolStr;

use super::{Document, KEPT_CHANGES, Outcome};

/// Time after which an undecided change is reported to the operator as unknown.
pub const APPLY_TIMEOUT: Millis = Millis(10_000);
/// Time after which a change is given up if none of its writes can have taken effect, so that the
/// operator can use another entry host.
pub(super) const FIRST_WRITE_TIMEOUT: Millis = Millis(4_000);
/// Time for which a row below the expected version counts as a lagging read and is read again.
pub(super) const READ_LAG_TIMEOUT: Millis = Millis(2_000);
/// Delay before the row is read again.
const RETRY_DELAY: Millis = Millis(200);

/// Current step of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Step {
    /// Waits for the read with this id.
    Reading(u64),
    /// Waits for the write with this id.
    Writing(u64),
    /// Waits until this time to read again.
    Paused(Millis),
}

/// A change whose outcome is not known yet.
#[derive(Debug, Clone)]
pub(super) struct Pending {
    pub change_id: SmolStr,
    pub expected: Version,
    pub text: Arc<str>,
    pub step: Step,
    /// The document of the first write. Retries write it unchanged, so that a delayed first write
    /// and its retry have the same effect.
    pub written: Option<Document>,
    pub deadline: Millis,
    /// Time at which the change is given up if no write can have taken effect.
    pub first_write_deadline: Millis,
    /// Time until which a row below the expected version counts as a lagging read.
    pub read_lag_deadline: Millis,
    /// Whether a write was sent whose result is unknown.
    pub in_doubt: bool,
}

/// The next step of a pending change after the row was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Evaluation {
    /// The outcome is known.
    Decided(Outcome),
    /// The row has the expected version; the change can be written.
    Write,
    /// The row does not decide the change; read it again after [`RETRY_DELAY`].
    Retry,
}

impl Pending {
    /// Whether this host has sent no write of this change that can have taken effect.
    pub fn is_unwritten(&self) -> bool {
        !self.in_doubt && !matches!(self.step, Step::Writing(_))
    }

    /// Whether a deadline of this change has passed.
    pub fn is_expired(&self, now: Millis) -> bool {
        now >= self.deadline || (self.is_unwritten() && now >= self.first_write_deadline)
    }

    pub fn pause(&mut self, now: Millis) {
        self.step = Step::Paused(now + RETRY_DELAY);
    }

    /// Determines the next step of the change. `row` is the row in the store, `own` the document in
    /// force at this host and `known` the highest version known to be in force at any host.
    pub fn evaluate(
        &self,
        now: Millis,
        row: Option<&Document>,
        own: Option<&Document>,
        known: Version,
    ) -> Evaluation {
        let stored = row.map_or(Version(0), |row| row.version);
        // Both documents were accepted by the store; the newer one lists more recent changes.
        let newest = own.filter(|own| own.version > stored).or(row);
        if let Some(version) = newest.and_then(|newest| newest.version_of(&self.change_id)) {
            return Evaluation::Decided(Outcome::Accepted(version));
        }
        let newest_version = newest.map_or(Version(0), |newest| newest.version);
        if newest_version > self.expected {
            // A document lists only the last `KEPT_CHANGES` change ids, so the id of an accepted
            // change may have been discarded.
            let id_discarded = newest_version.0 - self.expected.0 > KEPT_CHANGES as u64;
            return Evaluation::Decided(match self.in_doubt && id_discarded {
                true => Outcome::Unknown,
                false => Outcome::Conflict(newest_version),
            });
        }
        if stored < known {
            // A newer document has not reached this host yet, the read lags, or the store was
            // restored from an older copy, which must be repaired first.
            return Evaluation::Retry;
        }
        if stored == self.expected {
            return Evaluation::Write;
        }
        match self.in_doubt || now < self.read_lag_deadline {
            true => Evaluation::Retry,
            false => Evaluation::Decided(Outcome::Conflict(stored)),
        }
    }
}
