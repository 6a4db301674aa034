//! The backend servers that are known, sorted by id.

use bv_types::{BackendId, Millis, ServiceId};

use crate::entry::{Entry, State};

/// Time after the store's return within which entries that lapsed during its outage come back.
/// The platform states about two seconds; a little less, because work may not be sent to a server
/// later than two seconds after the store recorded its leaving.
pub const LAPSE_GRACE: Millis = Millis(1_800);

/// Effect of a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A server that was not usable became usable.
    Joined,
    /// The server leaves or is gone.
    Left,
    /// The server is missing, and is used until the grace after an outage is over.
    Lapsed,
    /// Nothing changed for new work.
    Unchanged,
    /// The row is older than what is known.
    Stale,
}

#[derive(Debug, Clone)]
struct Known {
    entry: Entry,
    /// Time from which the server counts as gone, while its row is missing.
    gone_at: Option<Millis>,
}

impl Known {
    fn is_usable(&self, now: Millis) -> bool {
        self.entry.state == State::Ready && self.gone_at.is_none_or(|at| now < at)
    }
}

/// Backend servers by id.
///
/// Leaving is final for one process: a late report of the same process does not undo it.
#[derive(Debug, Default)]
pub struct Roster {
    known: Vec<Known>,
    /// End of the grace after the latest outage of the store.
    grace_until: Millis,
}

impl Roster {
    /// Records that the store answers again after an outage.
    pub fn store_recovered(&mut self, now: Millis) {
        self.grace_until = now + LAPSE_GRACE;
    }

    /// Takes a row over.
    pub fn put(&mut self, now: Millis, entry: Entry) -> Outcome {
        let at = match self.find(&entry.id) {
            Ok(at) => at,
            Err(at) => {
                let usable = entry.state == State::Ready;
                let gone_at = None;
                self.known.insert(at, Known { entry, gone_at });
                return match usable {
                    true => Outcome::Joined,
                    false => Outcome::Left,
                };
            }
        };
        let known = &mut self.known[at];
        let same_process = known.entry.started_at == entry.started_at;
        if same_process && entry.sequence < known.entry.sequence {
            return Outcome::Stale;
        }
        // A server that is back has reported since; the same report again is an outdated read.
        if same_process && entry.sequence == known.entry.sequence && known.gone_at.is_some() {
            return Outcome::Stale;
        }
        if !same_process && entry.started_at < known.entry.started_at {
            return Outcome::Stale;
        }
        if same_process && known.entry.state == State::Leaving {
            return Outcome::Stale;
        }
        let was_usable = known.is_usable(now);
        known.entry = entry;
        known.gone_at = None;
        match (was_usable, known.is_usable(now)) {
            (false, true) => Outcome::Joined,
            (true, false) => Outcome::Left,
            _ => Outcome::Unchanged,
        }
    }

    /// Records that a row is missing.
    pub fn remove(&mut self, now: Millis, id: &BackendId) -> Outcome {
        let Ok(at) = self.find(id) else {
            return Outcome::Unchanged;
        };
        let known = &mut self.known[at];
        let was_usable = known.is_usable(now);
        if now < self.grace_until && known.entry.state == State::Ready {
            known.gone_at = Some(known.gone_at.unwrap_or(self.grace_until));
            return Outcome::Lapsed;
        }
        known.gone_at = Some(known.gone_at.unwrap_or(now).min(now));
        match was_usable {
            true => Outcome::Left,
            false => Outcome::Unchanged,
        }
    }

    /// Takes over all rows of the store: those that are not in `entries` are missing.
    pub fn replace(&mut self, now: Millis, entries: Vec<Entry>) {
        let missing: Vec<BackendId> = self
            .known
            .iter()
            .filter(|known| !entries.iter().any(|entry| entry.id == known.entry.id))
            .map(|known| known.entry.id.clone())
            .collect();
        for id in &missing {
            self.remove(now, id);
        }
        for entry in entries {
            self.put(now, entry);
        }
    }

    /// Forgets servers that have been gone for `keep`.
    pub fn forget(&mut self, now: Millis, keep: Millis) {
        self.known
            .retain(|known| known.gone_at.is_none_or(|at| now < at + keep));
    }

    /// The server, if it may receive new work.
    pub fn usable(&self, now: Millis, id: &BackendId) -> Option<&Entry> {
        let at = self.find(id).ok()?;
        let known = &self.known[at];
        known.is_usable(now).then_some(&known.entry)
    }

    /// Servers of a service that may receive new work.
    pub fn of_service<'a>(
        &'a self,
        now: Millis,
        service: &'a ServiceId,
    ) -> impl Iterator<Item = &'a Entry> {
        self.known
            .iter()
            .filter(move |known| known.entry.service == *service && known.is_usable(now))
            .map(|known| &known.entry)
    }

    /// Number of servers that may receive new work.
    pub fn usable_count(&self, now: Millis) -> usize {
        self.known.iter().filter(|k| k.is_usable(now)).count()
    }

    fn find(&self, id: &BackendId) -> Result<usize, usize> {
        self.known.binary_search_by(|known| known.entry.id.cmp(id))
    }
}
