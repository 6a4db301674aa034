//! Known backend servers and whether they may receive work.

use bv_types::{BackendId, Millis, ServiceId};

use crate::entry::{Registration, ServerState};

/// Time after the recovery of the store during which registrations that expired in its outage stay
/// usable, as their servers register again. The platform states about two seconds for that. The
/// grace is a little shorter because no work may be sent to a server later than two seconds after
/// the store recorded that it leaves.
pub const EXPIRY_GRACE: Millis = Millis(1_800);

/// Effect of a row on the use of its server. The names of the variants are written to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RowEffect {
    /// A server that was not usable became usable.
    Joined,
    /// The server leaves or was removed.
    Left,
    /// The row is missing; the server is used until the grace period after the store's outage ends.
    Lapsed,
    /// Nothing changed for new work.
    Unchanged,
    /// The row is older than the known state.
    Stale,
}

#[derive(Debug, Clone)]
struct KnownServer {
    registration: Registration,
    /// Time from which the server counts as removed, while its row is missing or hidden.
    removed_at: Option<Millis>,
    /// Whether an invalid row of another writer stands in place of the server's row.
    is_hidden: bool,
    /// Whether the row is missing since the store was restored from a copy without it.
    is_lost: bool,
}

impl KnownServer {
    fn is_usable(&self, now: Millis) -> bool {
        self.registration.state == ServerState::Ready && self.removed_at.is_none_or(|at| now < at)
    }
}

/// Backend servers, sorted by id.
///
/// Leaving is final for a process: a late report of the same process does not undo it.
#[derive(Debug, Default)]
pub struct Roster {
    servers: Vec<KnownServer>,
    /// Servers that were removed before this host learned their registration, and when.
    unknown_removed: Vec<(BackendId, Millis)>,
    /// End of the grace period after the latest outage of the store.
    grace_until: Millis,
}

impl Roster {
    /// Records that the store answers again after an outage.
    pub fn store_recovered(&mut self, now: Millis) {
        self.grace_until = now + EXPIRY_GRACE;
    }

    /// Time left of the grace period after the latest outage of the store.
    pub fn grace_left(&self, now: Millis) -> Millis {
        self.grace_until - now
    }

    /// Extends the grace period to at least `left` from now, as another host observed it.
    pub fn extend_grace(&mut self, now: Millis, left: Millis) {
        self.grace_until = self.grace_until.max(now + left.min(EXPIRY_GRACE));
    }

    /// Applies a row of the table that a restored store shows first. A server that was removed, and of
    /// which only the removal is known here, may be shown as it was before; it counts when it writes
    /// its row again.
    pub fn put_restored(&mut self, now: Millis, registration: Registration) -> RowEffect {
        let is_removed = |(id, _): &(BackendId, Millis)| *id == registration.id;
        match self.unknown_removed.iter().any(is_removed) {
            true => RowEffect::Stale,
            false => self.put(now, registration),
        }
    }

    /// Applies a row.
    pub fn put(&mut self, now: Millis, registration: Registration) -> RowEffect {
        let at = match self.find(&registration.id) {
            Ok(at) => at,
            Err(at) => {
                self.unknown_removed
                    .retain(|(id, _)| *id != registration.id);
                let usable = registration.state == ServerState::Ready;
                let known = KnownServer {
                    registration,
                    removed_at: None,
                    is_hidden: false,
                    is_lost: false,
                };
                self.servers.insert(at, known);
                return match usable {
                    true => RowEffect::Joined,
                    false => RowEffect::Left,
                };
            }
        };
        let known = &mut self.servers[at];
        let same_process = known.registration.started_at == registration.started_at;
        if same_process && registration.sequence < known.registration.sequence {
            return RowEffect::Stale;
        }
        // A server that registers again sends a newer report; the same report is an outdated read. A
        // server whose row was hidden, or that the store lost, may write the same report again.
        if same_process
            && registration.sequence == known.registration.sequence
            && known.removed_at.is_some()
            && !known.is_hidden
            && !known.is_lost
        {
            return RowEffect::Stale;
        }
        if !same_process && registration.started_at < known.registration.started_at {
            return RowEffect::Stale;
        }
        if same_process && known.registration.state == ServerState::Leaving {
            return RowEffect::Stale;
        }
        let was_usable = known.is_usable(now);
        known.registration = registration;
        known.removed_at = None;
        known.is_hidden = false;
        known.is_lost = false;
        match (was_usable, known.is_usable(now)) {
            (false, true) => RowEffect::Joined,
            (true, false) => RowEffect::Left,
            _ => RowEffect::Unchanged,
        }
    }

    /// Records that a row is missing.
    pub fn remove(&mut self, now: Millis, id: &BackendId) -> RowEffect {
        let Ok(at) = self.find(id) else {
            self.unknown_removed.retain(|(other, _)| other != id);
            self.unknown_removed.push((id.clone(), now));
            return RowEffect::Unchanged;
        };
        let known = &mut self.servers[at];
        let was_usable = known.is_usable(now);
        known.is_lost = false;
        if known.is_hidden {
            // The row that is missing was not the server's own.
            known.is_hidden = false;
            return RowEffect::Unchanged;
        }
        if now < self.grace_until && known.registration.state == ServerState::Ready {
            known.removed_at = Some(known.removed_at.unwrap_or(self.grace_until));
            return RowEffect::Lapsed;
        }
        known.removed_at = Some(known.removed_at.unwrap_or(now).min(now));
        match was_usable {
            true => RowEffect::Left,
            false => RowEffect::Unchanged,
        }
    }

    /// Records that a row is missing since the store was restored from a copy. The copy may be of a time
    /// before the server registered, so the same report makes it usable again. A server that was removed
    /// before stays removed.
    pub fn lose(&mut self, now: Millis, id: &BackendId) -> RowEffect {
        let at = self.find(id).ok();
        let was_present = at.is_some_and(|at| {
            let known = &self.servers[at];
            known.removed_at.is_none() || known.is_hidden || known.is_lost
        });
        let effect = self.remove(now, id);
        if let (Some(at), true) = (at, was_present) {
            self.servers[at].is_lost = true;
        }
        effect
    }

    /// Records that an invalid row stands in place of the server's row. The server is not used until
    /// it writes its own row again.
    pub fn hide(&mut self, now: Millis, id: &BackendId) -> RowEffect {
        let Ok(at) = self.find(id) else {
            return RowEffect::Unchanged;
        };
        let known = &mut self.servers[at];
        let was_usable = known.is_usable(now);
        known.is_hidden |= known.removed_at.is_none();
        known.removed_at = Some(known.removed_at.unwrap_or(now).min(now));
        match was_usable {
            true => RowEffect::Left,
            false => RowEffect::Unchanged,
        }
    }

    /// Applies all rows of the store; known servers that are not in `registrations` count as
    /// missing.
    pub fn replace(&mut self, now: Millis, registrations: Vec<Registration>) {
        let missing: Vec<BackendId> = self
            .servers
            .iter()
            .filter(|known| {
                !registrations
                    .iter()
                    .any(|registration| registration.id == known.registration.id)
            })
            .map(|known| known.registration.id.clone())
            .collect();
        for id in &missing {
            self.remove(now, id);
        }
        for registration in registrations {
            self.put(now, registration);
        }
    }

    /// Drops the records of servers that were removed at least `retention` ago.
    pub fn forget(&mut self, now: Millis, retention: Millis) {
        self.servers
            .retain(|known| known.removed_at.is_none_or(|at| now < at + retention));
        self.unknown_removed.retain(|(_, at)| now < *at + retention);
    }

    /// The server, if it may receive new work.
    pub fn usable(&self, now: Millis, id: &BackendId) -> Option<&Registration> {
        let at = self.find(id).ok()?;
        let known = &self.servers[at];
        known.is_usable(now).then_some(&known.registration)
    }

    /// Servers of a service that may receive new work.
    pub fn of_service<'a>(
        &'a self,
        now: Millis,
        service: &'a ServiceId,
    ) -> impl Iterator<Item = &'a Registration> {
        self.servers
            .iter()
            .filter(move |known| known.registration.service == *service && known.is_usable(now))
            .map(|known| &known.registration)
    }

    /// Number of servers that may receive new work.
    pub fn usable_count(&self, now: Millis) -> usize {
        self.servers.iter().filter(|k| k.is_usable(now)).count()
    }

    fn find(&self, id: &BackendId) -> Result<usize, usize> {
        self.servers
            .binary_search_by(|known| known.registration.id.cmp(id))
    }
}
