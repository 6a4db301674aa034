//! Right to send one round of orders, acquired by a single conditional write.

use bv_types::{Fence, HostId, Millis, ServiceId, Version};

/// Minimum time between two rounds. An unanswered order may be carried out up to 12 s later, and
/// two holders must not alternate within the lease time of the engines.
pub const MIN_TERM_INTERVAL: Millis = Millis(16_000);
/// Time after sending the write within which orders may be sent under its term.
pub const TERM_SEND_WINDOW: Millis = Millis(600);

/// One round of orders, as recorded in its row in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Term {
    /// The host that sends the orders.
    pub holder: HostId,
    /// Fencing number; higher for each round.
    pub fence: Fence,
    /// The store's steady clock before the write.
    pub taken_at: Millis,
}

impl Term {
    /// The next round for `host`, or none while orders of an earlier one may still take effect.
    ///
    /// `earlier` is the time of the earlier round, and `replaced` the version of the row that the
    /// write replaces or, without a row, the newest version of the store. The fence is taken from
    /// it and not from the row, which may be damaged or gone. The write gets a later version, so no
    /// fence is above the version of its row, and each is above all fences before it.
    pub fn next(
        earlier: Option<Millis>,
        replaced: Version,
        host: &HostId,
        store_time: Millis,
    ) -> Option<Term> {
        if earlier.is_some_and(|at| store_time < at + MIN_TERM_INTERVAL) {
            return None;
        }
        Some(Term {
            holder: host.clone(),
            // No higher fence exists, so engines would refuse the orders.
            fence: Fence(replaced.0.checked_add(1)?),
            taken_at: store_time,
        })
    }
}

/// The row of a service's latest round, as read from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TermRow {
    /// Version of the row.
    pub version: Version,
    /// The round, or none if the row is damaged.
    pub term: Option<Term>,
}

/// Times of the latest rounds, as far as this host knows them.
#[derive(Debug, Default)]
pub struct RoundTimes {
    /// Sorted by service.
    seen: Vec<(ServiceId, SeenRow)>,
}

/// The latest state of a service's row.
#[derive(Debug, Clone, Copy)]
struct SeenRow {
    /// None if there is no row.
    version: Option<Version>,
    /// Time of the store's clock when this state was first read.
    first_read: Millis,
}

impl RoundTimes {
    /// Time of the latest round of a service, or none if there was no round yet. A round of unknown
    /// time counts as taken when its row was first read.
    pub fn latest(
        &mut self,
        service: &ServiceId,
        row: Option<&TermRow>,
        store_time: Millis,
    ) -> Option<Millis> {
        let version = row.map(|row| row.version);
        let found = self.position(service);
        if found.is_err() && version.is_none() {
            return None;
        }
        let known = found.ok().map(|at| self.seen[at].1);
        let known = known.filter(|seen| seen.version == version && seen.first_read <= store_time);
        let first_read = known.map_or(store_time, |seen| seen.first_read);
        self.set(service, version, first_read);
        let term = row.and_then(|row| row.term.as_ref());
        // The store's clock is steady, so no round was taken later than now.
        let taken_at = term
            .map(|term| term.taken_at)
            .filter(|at| *at <= store_time);
        Some(taken_at.unwrap_or(first_read))
    }

    /// Records a round of this host, whose row may be removed before it is read again.
    pub fn record_taken(&mut self, service: &ServiceId, taken_at: Millis) {
        self.set(service, None, taken_at);
    }

    fn set(&mut self, service: &ServiceId, version: Option<Version>, first_read: Millis) {
        let seen = SeenRow {
            version,
            first_read,
        };
        match self.position(service) {
            Ok(at) => self.seen[at].1 = seen,
            Err(at) => self.seen.insert(at, (service.clone(), seen)),
        }
    }

    fn position(&self, service: &ServiceId) -> Result<usize, usize> {
        self.seen.binary_search_by(|(id, _)| id.cmp(service))
    }
}
