//! Which hosts read the tables of the store, and where the other hosts get the rows from.
//!
//! A call to the store costs the same whichever host makes it, so the calls of many hosts that all
//! follow the same tables add up to a load that grows with their number. In a large installation
//! only one host of each availability zone, its reader, follows the tables; the others take the
//! changes from a reader, first of all from that of their own zone.
//!
//! Nobody appoints the readers. Each host derives them from its list of live hosts by rendezvous
//! hashing. Hosts with different lists may ask a host that is no reader; it answers with what it
//! has, and the age of that decides. A host whose sources are all silent or outdated calls the store
//! itself, so the loss of all readers costs calls but no information.

use std::net::SocketAddr;

use bv_types::{Fingerprint, HostId, Millis, ZoneId};

use crate::store_intervals::{self, MAX_SELF_READING_HOSTS};

/// Readers of other zones that a host asks when the reader of its own zone fails.
const REMOTE_SOURCES: usize = 2;
/// Time for which a source is not asked after it did not answer; it doubles with each further time. A
/// host that restarts is back after some seconds.
const SILENT_AVOIDANCE: Millis = Millis(3_000);
/// Longest such time. The row of a dead host, which still names it a reader, expires only later.
const MAX_SILENT_AVOIDANCE: Millis = Millis(48_000);
/// Time for which a source is not asked after an outdated answer.
const OUTDATED_AVOIDANCE: Millis = Millis(1_000);
/// Time for which a slow call may delay the store's confirmation of a reader's rows beyond the longest
/// wait of that call.
const CALL_SLACK: Millis = Millis(1_500);
/// Time without a current answer of any source after which the host reads the store itself.
const MAX_SILENCE: Millis = Millis(1_500);

/// A live host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostEntry {
    /// Id of the host.
    pub id: HostId,
    /// Its availability zone, if known.
    pub zone: Option<ZoneId>,
    /// Its address for other hosts.
    pub addr: SocketAddr,
}

/// Where a host gets the rows of the store from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// Its own calls to the store.
    Store,
    /// Another host.
    Host(SocketAddr),
}

#[derive(Debug, Clone)]
struct Candidate {
    addr: SocketAddr,
    avoid_until: Millis,
    /// Times in a row that it did not answer.
    silences: u32,
}

/// Chooses the source of a host's rows.
#[derive(Debug, Clone, Default)]
pub struct SourceChoice {
    /// Whether this host reads the store for others, or all hosts read it themselves.
    is_reader: bool,
    /// Number of live hosts.
    hosts: usize,
    /// When a source last gave a current answer.
    answered_at: Millis,
    /// Whether a source gave a current answer, and none has failed for too long since.
    has_source: bool,
    /// Readers in the order of preference.
    candidates: Vec<Candidate>,
    is_known: bool,
}

impl SourceChoice {
    /// Sets the live hosts other than `own`. Sources that are still readers stay avoided.
    pub fn set_hosts(&mut self, own: &HostEntry, others: &[HostEntry]) {
        let ranked = readers(own, others);
        self.is_known = true;
        self.hosts = others.len() + 1;
        self.is_reader =
            others.len() < MAX_SELF_READING_HOSTS || ranked.iter().any(|host| host.id == own.id);
        let before = std::mem::take(&mut self.candidates);
        if self.is_reader {
            return;
        }
        let (mut near, mut far): (Vec<&HostEntry>, Vec<&HostEntry>) =
            ranked.into_iter().partition(|host| host.zone == own.zone);
        // Each host has its own order, so that the hosts are spread over the readers.
        for group in [&mut near, &mut far] {
            group.sort_by_key(|host| weight(own.id.as_str(), &host.id));
        }
        far.truncate(REMOTE_SOURCES);
        self.candidates = near
            .iter()
            .chain(&far)
            .map(|host| {
                let known = before.iter().find(|other| other.addr == host.addr);
                known.cloned().unwrap_or(Candidate {
                    addr: host.addr,
                    avoid_until: Millis::ZERO,
                    silences: 0,
                })
            })
            .collect();
    }

    /// Whether this host follows the tables of the store even if other sources answer.
    pub fn is_reader(&self) -> bool {
        self.is_reader || !self.is_known
    }

    /// Whether this host reads the tables of the store now.
    pub fn reads_store(&self, now: Millis) -> bool {
        !self.has_source || self.current(now) == Source::Store
    }

    /// Age up to which the rows of a source count as current.
    pub fn max_age(&self) -> Millis {
        store_intervals::change_wait(self.hosts) + CALL_SLACK
    }

    /// The source to use now.
    pub fn current(&self, now: Millis) -> Source {
        let usable = self.candidates.iter().find(|c| now >= c.avoid_until);
        usable.map_or(Source::Store, |c| Source::Host(c.addr))
    }

    /// Records that a source answered, with the time since the store confirmed its rows. Returns
    /// whether the answer is current.
    pub fn record_answer(&mut self, now: Millis, source: SocketAddr, age: Millis) -> bool {
        if age > self.max_age() {
            self.record_outdated(now, source);
            return false;
        }
        if let Some(candidate) = self.candidate(source) {
            candidate.silences = 0;
        }
        self.answered_at = now;
        self.has_source = true;
        true
    }

    /// Records that a source did not answer.
    pub fn record_silent(&mut self, now: Millis, source: SocketAddr) {
        if let Some(candidate) = self.candidate(source) {
            let avoidance = Millis(SILENT_AVOIDANCE.0 << candidate.silences.min(8));
            candidate.avoid_until = now + avoidance.min(MAX_SILENT_AVOIDANCE);
            candidate.silences += 1;
        }
        self.drop_source(now);
    }

    /// Records that a source knows less than others, or has not reached the store for too long.
    pub fn record_outdated(&mut self, now: Millis, source: SocketAddr) {
        if let Some(candidate) = self.candidate(source) {
            candidate.avoid_until = candidate.avoid_until.max(now + OUTDATED_AVOIDANCE);
        }
        self.drop_source(now);
    }

    /// The next source is asked before the store: it usually answers within milliseconds.
    fn drop_source(&mut self, now: Millis) {
        if now >= self.answered_at + MAX_SILENCE {
            self.has_source = false;
        }
    }

    fn candidate(&mut self, source: SocketAddr) -> Option<&mut Candidate> {
        self.candidates.iter_mut().find(|c| c.addr == source)
    }
}

/// The readers among all hosts: the one with the highest weight of each zone. Hosts without a known
/// zone form a group of their own.
fn readers<'a>(own: &'a HostEntry, others: &'a [HostEntry]) -> Vec<&'a HostEntry> {
    let mut ranked: Vec<(&Option<ZoneId>, Fingerprint, &HostEntry)> = others
        .iter()
        .chain([own])
        .map(|host| (&host.zone, weight("reader", &host.id), host))
        .collect();
    ranked.sort_by(|a, b| (a.0, b.1).cmp(&(b.0, a.1)));
    ranked
        .chunk_by(|a, b| a.0 == b.0)
        .map(|zone| zone[0].2)
        .collect()
}

fn weight(key: &str, host: &HostId) -> Fingerprint {
    Fingerprint::digest([key.as_bytes(), host.as_str().as_bytes()])
}
