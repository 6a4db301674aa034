//! Known backend servers and whether they may receive work.

use bv_types::{BackendId, Millis, ServiceId};

use crate::entry::{Registration, ServerState};

/// Time after the recovery of the store during which entries that expired in its outage stay
/// usable, as their servers register again. The platform states about two seconds for that. The
/// grace is a little shorter because no work may be sent to a server later than two seconds after
/// the store recorded that it leaves.
pub const EXPIRY_GRACE: Millis = Millis(1_800);

/// Effect of a row on the use of its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A server that was not usable became usable.
    Joined,
    /// The server leaves or was removed.
    Left,
    /// The row is missing; the server is used until the grace after the store's outage ends.
    InGrace,
    /// Nothing changed for new work.
    Unchanged,
    /// The row is older than the known state.
    Stale,
}

#[derive(Debug, Clone)]
struct KnownServer {
    entry: Registration,
    /// Time from which the server counts as removed, while its row is missing.
    removed_at: Option<Millis>,
}

impl KnownServer {
    fn is_usable(&self, now: Millis) -> bool {
        self.entry.state == ServerState::Ready && self.removed_at.is_none_or(|at| now < at)
    }
}

/// Backend servers, sorted by id.
///
/// Leaving is final for a process: a late report of the same process does not undo it.
#[derive(Debug, Default)]
pub struct Roster {
    servers: Vec<KnownServer>,
    /// End of the grace period after the latest outage of the store.
    grace_until: Millis,
}

impl Roster {
    /// Records that the store answers again after an outage.
    pub fn store_recovered(&mut self, now: Millis) {
        self.grace_until = now + EXPIRY_GRACE;
    }

    /// Applies a row.
    pub fn put(&mut self, now: Millis, entry: Registration) -> Outcome {
        let at = match self.find(&entry.id) {
            Ok(at) => at,
            Err(at) => {
                let usable = entry.state == ServerState::Ready;
                let removed_at = None;
                self.servers.insert(at, KnownServer { entry, removed_at });
                return match usable {
                    true => Outcome::Joined,
                    false => Outcome::Left,
                };
            }
        };
        let known = &mut self.servers[at];
        let same_process = known.entry.started_at == entry.started_at;
        if same_process && entry.sequence < known.entry.sequence {
            return Outcome::Stale;
        }
        // A server that registers again sends a newer report; the same report is an outdated read.
        if same_process && entry.sequence == known.entry.sequence && known.removed_at.is_some() {
            return Outcome::Stale;
        }
        if !same_process && entry.started_at < known.entry.started_at {
            return Outcome::Stale;
        }
        if same_process && known.entry.state == ServerState::Leaving {
            return Outcome::Stale;
        }
        let was_usable = known.is_usable(now);
        known.entry = entry;
        known.removed_at = None;
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
        let known = &mut self.servers[at];
        let was_usable = known.is_usable(now);
        if now < self.grace_until && known.entry.state == ServerState::Ready {
            known.removed_at = Some(known.removed_at.unwrap_or(self.grace_until));
            return Outcome::InGrace;
        }
        known.removed_at = Some(known.removed_at.unwrap_or(now).min(now));
        match was_usable {
            true => Outcome::Left,
            false => Outcome::Unchanged,
        }
    }

    /// Applies all rows of the store; known servers that are not in `entries` count as missing.
    pub fn replace(&mut self, now: Millis, entries: Vec<Registration>) {
        let missing: Vec<BackendId> = self
            .servers
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

    /// Drops the records of servers that were removed at least `keep` ago.
    pub fn forget(&mut self, now: Millis, keep: Millis) {
        self.servers
            .retain(|known| known.removed_at.is_none_or(|at| now < at + keep));
    }

    /// The server, if it may receive new work.
    pub fn usable(&self, now: Millis, id: &BackendId) -> Option<&Registration> {
        let at = self.find(id).ok()?;
        let known = &self.servers[at];
        known.is_usable(now).then_some(&known.entry)
    }

    /// Servers of a service that may receive new work.
    pub fn of_service<'a>(
        &'a self,
        now: Millis,
        service: &'a ServiceId,
    ) -> impl Iterator<Item = &'a Registration> {
        self.servers
            .iter()
            .filter(move |known| known.entry.service == *service && known.is_usable(now))
            .map(|known| &known.entry)
    }

    /// Number of servers that may receive new work.
    pub fn usable_count(&self, now: Millis) -> usize {
        self.servers.iter().filter(|k| k.is_usable(now)).count()
    }

    fn find(&self, id: &BackendId) -> Result<usize, usize> {
        self.servers
            .binary_search_by(|known| known.entry.id.cmp(id))
    }
}
