//! An operator's change on its way to the store.

use std::sync::Arc;

use bv_types::{Millis, Version};
use smol_str::SmolStr;

use super::{Document, KEPT_CHANGES, Outcome};

/// Time after which an undecided change is reported to the operator.
pub const APPLY_LIMIT: Millis = Millis(10_000);
/// Time after which a change that was not written is given up, so that an operator can turn to
/// another entry host.
pub(super) const UNWRITTEN_LIMIT: Millis = Millis(4_000);
/// Time for which a row below the expected version is read again.
pub(super) const BEHIND_LIMIT: Millis = Millis(2_000);
/// Pause before the store is asked again.
const RETRY_PAUSE: Millis = Millis(200);

/// Step of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Step {
    /// Waits for the row.
    Reading(u64),
    /// Waits for the result of the write.
    Writing(u64),
    /// Waits to read again.
    Paused(Millis),
}

/// A change that has not been decided.
#[derive(Debug, Clone)]
pub(super) struct Pending {
    pub change: SmolStr,
    pub expected: Version,
    pub text: Arc<str>,
    pub step: Step,
    /// The document as written. It is written again unchanged, so that a late first write and its
    /// repetition are the same.
    pub written: Option<Document>,
    pub until: Millis,
    /// End of the time for a first write.
    pub unwritten_until: Millis,
    /// Time until which a row below the expected version is taken for a lagging read.
    pub behind_until: Millis,
    /// Whether a write was sent whose effect is not known.
    pub in_doubt: bool,
}

/// What the row means for a pending change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Verdict {
    /// The outcome is known.
    Decided(Outcome),
    /// The row has the expected version: write.
    Write,
    /// The row does not decide; read it again later.
    Again,
}

impl Pending {
    /// Whether no write of this change can have taken effect through this host.
    pub fn is_unwritten(&self) -> bool {
        !self.in_doubt && !matches!(self.step, Step::Writing(_))
    }

    /// Whether the time for this change has passed.
    pub fn is_late(&self, now: Millis) -> bool {
        now >= self.until || (self.is_unwritten() && now >= self.unwritten_until)
    }

    pub fn pause(&mut self, now: Millis) {
        self.step = Step::Paused(now + RETRY_PAUSE);
    }

    /// Judges a row. `own` is the document in force at this host and `known` the highest version
    /// known to be in force anywhere.
    pub fn judge(
        &self,
        now: Millis,
        row: Option<&Document>,
        own: Option<&Document>,
        known: Version,
    ) -> Verdict {
        let stored = row.map_or(Version(0), |row| row.version);
        // Both were accepted by the store, and the newer one shows more of the past.
        let newest = own.filter(|own| own.version > stored).or(row);
        if let Some(version) = newest.and_then(|newest| newest.version_of(&self.change)) {
            return Verdict::Decided(Outcome::Accepted(version));
        }
        let reached = newest.map_or(Version(0), |newest| newest.version);
        if reached > self.expected {
            // Older change ids than the kept ones cannot show whether the change was accepted.
            let forgotten = reached.0 - self.expected.0 > KEPT_CHANGES as u64;
            return Verdict::Decided(match self.in_doubt && forgotten {
                true => Outcome::Unknown,
                false => Outcome::Conflict(reached),
            });
        }
        if stored < known {
            // A newer document is on its way here, the read lags, or the store has an older copy,
            // which is repaired first.
            return Verdict::Again;
        }
        if stored == self.expected {
            return Verdict::Write;
        }
        match self.in_doubt || now < self.behind_until {
            true => Verdict::Again,
            false => Verdict::Decided(Outcome::Conflict(stored)),
        }
    }
}
