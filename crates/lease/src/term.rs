//! Right to send one round of orders, acquired by a single conditional write.

use bv_types::{Era, Fence, HostId, Millis, ServiceId, Version};

/// Minimum time between two rounds. An unanswered order may be carried out up to 12 s later, and
/// two holders must not alternate within the lease time of the engines.
pub const MIN_TERM_INTERVAL: Millis = Millis(16_000);
/// Time after sending the write within which orders may be sent under its term.
pub const TERM_SEND_WINDOW: Millis = Millis(600);

/// Bits of a fence that hold a version; the bits above hold the era. At 1,200 writes a second 2^40
/// versions last for 29 years, and 8,191 eras leave fences exact as JSON numbers, which many decoders
/// read as doubles of 53 bits.
const VERSION_BITS: u32 = 40;

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
    /// it and not from the row, which may be damaged or gone. The write gets a later version, so that
    /// in one era no fence is above the version of its row, and each is above all fences before it.
    /// Versions of different eras repeat, so the era of `replaced` is the upper part of the fence.
    pub fn next(
        earlier: Option<Millis>,
        replaced: (Era, Version),
        host: &HostId,
        store_time: Millis,
    ) -> Option<Term> {
        if earlier.is_some_and(|at| store_time < at + MIN_TERM_INTERVAL) {
            return None;
        }
        Some(Term {
            holder: host.clone(),
            // No higher fence exists, so engines would refuse the orders.
            fence: fence(replaced)?,
            taken_at: store_time,
        })
    }
}

/// The fence above all fences of earlier eras and of versions up to this one; none if there is no
/// number for it.
fn fence((era, version): (Era, Version)) -> Option<Fence> {
    let next = version.0.checked_add(1)?;
    if era == Era(0) {
        return Some(Fence(next));
    }
    let fits = next < 1 << VERSION_BITS && era.0 < 1 << (u64::BITS - VERSION_BITS);
    fits.then_some(Fence((era.0 << VERSION_BITS) | next))
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
    /// Latest era of the store.
    era: Era,
    /// Time of the store's clock when that era was first seen; none in era 0. The store may have lost
    /// the row of a round that was taken until then.
    era_seen_at: Option<Millis>,
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
    /// Records the era of the store. In a new era, a round that the store has lost counts as taken now.
    pub fn observe_era(&mut self, era: Era, store_time: Millis) {
        // A clock that was set back must not hold up all rounds.
        let is_ahead = self.era_seen_at.is_some_and(|at| at > store_time);
        if era > self.era || (era == self.era && is_ahead) {
            self.era = era;
            self.era_seen_at = Some(store_time);
        }
    }

    /// Time of the latest round of a service, or none if there was no round yet. A round of unknown
    /// time counts as taken when its row was first read, and one that a restored store may have lost
    /// when its era was first seen.
    pub fn latest(
        &mut self,
        service: &ServiceId,
        row: Option<&TermRow>,
        (era, store_time): (Era, Millis),
    ) -> Option<Millis> {
        self.observe_era(era, store_time);
        let latest = self.latest_known(service, row, store_time);
        latest.max(self.era_seen_at)
    }

    fn latest_known(
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
