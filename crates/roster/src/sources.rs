//! Where a host gets the rows of the store from, and when it reads the store itself.
//!
//! A call to the store costs the same whichever host makes it, so the calls of many hosts that all
//! follow the same tables add up to a load that grows with their number. In a large installation
//! only one host of each availability zone, its reader, follows the tables; the others take the
//! changes from a reader, first of all from that of their own zone.
//!
//! Hosts that read the store report it to all others. A reader that the store does not answer follows
//! a host that reports, so that the hosts of its zone can stay with it. When no host reports any
//! more, or a host's rows become too old ([`AgeBounds`]), the hosts try the store one after the
//! other, each at a time that its place in the order of readers gives. The first one that is
//! answered reports that, and the others need not try. It reads on until a host before it in that
//! order reads the store again.

use std::net::SocketAddr;

use bv_types::Millis;

use crate::age_bounds::AgeBounds;
use crate::readers::{HostEntry, ReaderOrder, weight};
use crate::store_intervals::MAX_SELF_READING_HOSTS;

/// Readers of other zones that a host asks when the reader of its own zone fails.
const REMOTE_SOURCES: usize = 2;
/// Time for which a source is not asked after it did not answer; it doubles with each further time. A
/// host that restarts is back after some seconds.
const SILENT_AVOIDANCE: Millis = Millis(3_000);
/// Longest such time. The row of a dead host, which still names it a reader, expires only later.
const MAX_SILENT_AVOIDANCE: Millis = Millis(48_000);
/// The first such time until this host has followed a source: a reader that starts at the same time
/// may listen some tenths of a second later.
const FIRST_SILENT_AVOIDANCE: Millis = Millis(300);
/// Time for which a source is not asked after an outdated answer.
const OUTDATED_AVOIDANCE: Millis = Millis(1_000);
/// The same until this host has followed a source: readers that start at the same time have their
/// first rows some tenths of a second later.
const FIRST_OUTDATED_AVOIDANCE: Millis = Millis(200);

/// Time that a host which starts gives the store to return the list of hosts, before it reads the other
/// tables. The store can take 240 ms for an answer.
const HOST_LIST_WAIT: Millis = Millis(500);
/// Number of hosts up to which hosts that start do not wait for readers: together they make some
/// hundred calls.
const MAX_READING_AT_START: usize = 64;
/// Time that it gives a reader to provide the first rows, before it reads them itself: readers that start
/// with it need six pages for 3,000 servers.
const FIRST_ROWS_WAIT: Millis = Millis(2_000);
/// Longest wait for a reader that has the rows and no room for another reply.
const MAX_FIRST_WAIT: Millis = Millis(8_000);
/// Time over which hosts spread that get no rows from readers.
const FIRST_ROWS_SPREAD: Millis = Millis(4_000);

/// Another host of which rows can be asked.
#[derive(Debug, Clone)]
struct Peer {
    addr: SocketAddr,
    /// Place in the order of readers.
    place: usize,
    avoid_until: Millis,
    /// Times in a row that it did not answer.
    silences: u32,
}

/// Report of a host that it reads the store.
#[derive(Debug, Clone, Copy)]
struct Report {
    host: SocketAddr,
    received_at: Millis,
    /// When the store confirmed that host's rows.
    confirmed_at: Millis,
}

/// This host's own calls to the store.
#[derive(Debug, Clone, Copy, Default)]
struct OwnReading {
    /// When the store last confirmed the rows of all tables in answers to this host.
    confirmed_at: Option<Millis>,
    is_failing: bool,
    /// When the store first answered, while this host reads it without being a reader.
    substitute_since: Option<Millis>,
}

/// Chooses the source of a host's rows.
#[derive(Debug, Clone)]
pub struct SourceChoice {
    bounds: AgeBounds,
    /// Whether this host reads the store for others, or all hosts read it themselves.
    is_reader: bool,
    /// Whether the live hosts are known.
    is_known: bool,
    /// Whether another host has provided current rows since the start.
    has_followed: bool,
    /// Start of a host that reads the list of hosts before the other tables.
    started_at: Option<Millis>,
    /// When the live hosts were known.
    known_at: Option<Millis>,
    /// When a source last had no room for its reply to this host.
    busy_at: Millis,
    /// Place of this host in the order of readers.
    place: usize,
    /// All other hosts, sorted by address.
    peers: Vec<Peer>,
    /// Addresses of the readers to ask, in the order of preference.
    candidates: Vec<SocketAddr>,
    /// Hosts that read the store, sorted by address.
    reports: Vec<Report>,
    /// When the last host that reported stopped to read the store, if none does.
    reports_ended_at: Option<Millis>,
    /// When the store confirmed this host's rows, directly or through other hosts.
    confirmed_at: Millis,
    own_reading: OwnReading,
}

impl SourceChoice {
    /// A host that does not know the others yet, and reads the store.
    pub fn new(bounds: AgeBounds) -> Self {
        SourceChoice {
            bounds,
            is_reader: false,
            is_known: false,
            has_followed: false,
            started_at: None,
            known_at: None,
            busy_at: Millis::ZERO,
            place: 0,
            peers: Vec::new(),
            candidates: Vec::new(),
            reports: Vec::new(),
            reports_ended_at: None,
            confirmed_at: Millis::ZERO,
            own_reading: OwnReading::default(),
        }
    }

    /// The same for a host that starts now. It waits for the list of hosts and then, if it is no reader,
    /// for the rows of one, so that hosts that start together do not all read all tables.
    pub fn starting(bounds: AgeBounds, now: Millis) -> Self {
        SourceChoice {
            started_at: Some(now),
            ..SourceChoice::new(bounds)
        }
    }

    /// Records that the live hosts are known.
    pub fn record_hosts_known(&mut self, now: Millis) {
        self.known_at.get_or_insert(now);
    }

    /// Time until which this host waits for the first rows of another one; none if it does not wait.
    fn first_wait_until(&self) -> Option<Millis> {
        let list_until = self.started_at? + HOST_LIST_WAIT;
        let Some(known_at) = self.known_at else {
            return Some(list_until);
        };
        let hosts = self.peers.len() + 1;
        // A host that has begun to read goes on.
        let has_begun = known_at > list_until;
        if self.is_reader || self.has_followed || has_begun || hosts <= MAX_READING_AT_START {
            return None;
        }
        let spread = FIRST_ROWS_SPREAD.0 * self.place as u64 / hosts as u64;
        let from = known_at.max(self.busy_at);
        let longest = known_at + MAX_FIRST_WAIT;
        Some((from + FIRST_ROWS_WAIT + Millis(spread)).min(longest))
    }

    /// Records that a source has rows but no room for its reply now. A host that starts waits longer
    /// for it.
    pub fn record_busy(&mut self, now: Millis) {
        self.busy_at = now;
    }

    /// Sets the live hosts other than `own`. Sources that are still readers stay avoided.
    pub fn set_hosts(&mut self, own: &HostEntry, others: &[HostEntry]) {
        let order = ReaderOrder::new(own, others);
        self.is_known = true;
        self.is_reader = others.len() < MAX_SELF_READING_HOSTS
            || order.readers().iter().any(|host| host.id == own.id);
        let before = std::mem::take(&mut self.peers);
        for (place, host) in order.hosts().iter().enumerate() {
            if host.id == own.id {
                self.place = place;
                continue;
            }
            let known = before.binary_search_by_key(&host.addr, |peer| peer.addr);
            self.peers.push(match known {
                Ok(at) => Peer {
                    place,
                    ..before[at].clone()
                },
                Err(_) => Peer {
                    addr: host.addr,
                    place,
                    avoid_until: Millis::ZERO,
                    silences: 0,
                },
            });
        }
        self.peers.sort_by_key(|peer| peer.addr);
        self.candidates = match self.is_reader {
            true => Vec::new(),
            false => candidates(own, order.readers()),
        };
    }

    /// Whether this host follows the tables of the store even if other sources answer.
    pub fn is_reader(&self) -> bool {
        self.is_reader || !self.is_known
    }

    /// Sets the bounds on the age of the rows.
    pub fn set_bounds(&mut self, bounds: AgeBounds) {
        self.bounds = bounds;
    }

    /// Bounds on the age of the rows.
    pub fn bounds(&self) -> AgeBounds {
        self.bounds
    }

    /// Whether this host reads the tables of the store now.
    pub fn reads_store(&self, now: Millis) -> bool {
        if let Some(until) = self.first_wait_until() {
            return now >= until;
        }
        self.is_reader()
            || !self.has_followed
            || self.own_reading.substitute_since.is_some()
            || now >= self.takeover_at()
    }

    /// Time at which this host begins to read the store unless it learns something before.
    pub fn takeover_at(&self) -> Millis {
        if let Some(until) = self.first_wait_until() {
            return until;
        }
        let outdated_at = self.confirmed_at + self.bounds.max_age();
        let began = self
            .reports_ended_at
            .map_or(outdated_at, |ended| ended.min(outdated_at));
        // A quarter of the time is left to a reader that calls again.
        let all = self.bounds.takeover_time().0;
        let first = all / 4;
        let hosts = self.peers.len() as u64 + 1;
        began + Millis(first + (all - first) * self.place as u64 / hosts)
    }

    /// The host to ask for rows now.
    pub fn source(&self, now: Millis) -> Option<SocketAddr> {
        if !self.is_known || (self.is_reader && self.is_answered(now)) {
            return None;
        }
        let is_usable = |peer: &&Peer| now >= peer.avoid_until;
        let mut candidates = self.candidates.iter().filter_map(|addr| self.peer(*addr));
        let reporting = || {
            let reporting = self.reports.iter().filter_map(|r| self.peer(r.host));
            // The own place spreads the hosts over those that report.
            reporting
                .filter(is_usable)
                .min_by_key(|peer| (peer.place + self.place) % (self.peers.len() + 1))
        };
        let source = candidates.find(is_usable).or_else(reporting);
        source.map(|peer| peer.addr)
    }

    /// Records that a source answered, with the time since the store confirmed its rows. Returns
    /// whether the answer is current.
    pub fn record_answer(&mut self, now: Millis, source: SocketAddr, age: Millis) -> bool {
        self.confirm(now - age);
        if age > self.bounds.max_age() {
            self.record_outdated(now, source);
            return false;
        }
        if let Some(peer) = self.peer_mut(source) {
            peer.silences = 0;
        }
        self.has_followed |= !self.is_reader;
        true
    }

    /// Records that a source did not answer.
    pub fn record_silent(&mut self, now: Millis, source: SocketAddr) {
        let is_starting = self.started_at.is_some() && !self.has_followed;
        let first = match is_starting {
            true => FIRST_SILENT_AVOIDANCE,
            false => SILENT_AVOIDANCE,
        };
        if let Some(peer) = self.peer_mut(source) {
            let avoidance = Millis(first.0 << peer.silences.min(8));
            peer.avoid_until = now + avoidance.min(MAX_SILENT_AVOIDANCE);
            peer.silences += 1;
        }
    }

    /// Records that a source knows less than others, or has not reached the store for too long.
    pub fn record_outdated(&mut self, now: Millis, source: SocketAddr) {
        let avoidance = match self.has_followed {
            true => OUTDATED_AVOIDANCE,
            false => FIRST_OUTDATED_AVOIDANCE,
        };
        if let Some(peer) = self.peer_mut(source) {
            peer.avoid_until = peer.avoid_until.max(now + avoidance);
        }
    }

    /// Time at which a source that is avoided now may be asked again, if there is one.
    pub fn next_source_at(&self) -> Option<Millis> {
        let candidates = self.candidates.iter().filter_map(|addr| self.peer(*addr));
        candidates.map(|peer| peer.avoid_until).min()
    }

    /// Records that the store confirmed this host's rows at `at`, directly or through other hosts.
    /// Returns whether it had not confirmed them since.
    pub fn confirm(&mut self, at: Millis) -> bool {
        let is_newer = at > self.confirmed_at;
        self.confirmed_at = self.confirmed_at.max(at);
        is_newer
    }

    /// When the store confirmed this host's rows.
    pub fn confirmed_at(&self) -> Millis {
        self.confirmed_at
    }

    /// Records that the store answered this host; at `confirmed_at` its rows of all tables were the
    /// newest.
    pub fn record_store_answer(&mut self, now: Millis, confirmed_at: Millis) {
        self.confirm(confirmed_at);
        let own = &mut self.own_reading;
        own.is_failing = false;
        own.confirmed_at = own.confirmed_at.max(Some(confirmed_at));
        if !self.is_reader && self.has_followed {
            own.substitute_since.get_or_insert(now);
        }
        self.end_substitution();
    }

    /// Records that a call of this host to the store failed.
    pub fn record_store_failure(&mut self) {
        self.own_reading = OwnReading {
            is_failing: true,
            substitute_since: None,
            ..self.own_reading
        };
    }

    /// Records that this host no longer reads the store.
    pub fn record_reading_ended(&mut self) {
        self.own_reading = OwnReading::default();
    }

    /// What to report to the other hosts: the time since the store confirmed this host's rows, or
    /// `None` if this host does not read the store or is not answered, or if all hosts read it.
    pub fn own_report(&self, now: Millis) -> Option<Millis> {
        let confirmed_at = self.own_reading.confirmed_at?;
        let is_asked = self.peers.len() >= MAX_SELF_READING_HOSTS;
        (is_asked && self.is_answered(now)).then(|| now - confirmed_at)
    }

    /// Records what another host reported: the time since the store confirmed its rows if it reads
    /// the store. Returns whether the hosts that read it changed.
    pub fn record_report(&mut self, now: Millis, host: SocketAddr, age: Option<Millis>) -> bool {
        let max_age = self.bounds.max_age();
        let before = self.reports.len();
        let had_report = self.reports.iter().any(|r| r.host == host);
        self.reports
            .retain(|r| r.host != host && now <= r.received_at + max_age);
        if let Some(age) = age {
            let at = self.reports.partition_point(|r| r.host < host);
            let report = Report {
                host,
                received_at: now,
                confirmed_at: now - age,
            };
            self.reports.insert(at, report);
        }
        if !self.reports.is_empty() {
            self.reports_ended_at = None;
        } else if before > 0 {
            self.reports_ended_at = Some(now);
        }
        self.end_substitution();
        had_report != age.is_some() || self.reports.len() != before
    }

    /// Leaves the reading to a host that precedes this one in the order of readers, once the store
    /// has confirmed that host's rows after those of this host. An older report may be of a host
    /// that has stopped since.
    fn end_substitution(&mut self) {
        let Some(since) = self.own_reading.substitute_since else {
            return;
        };
        let precedes = |report: &Report| {
            let peer = self.peer(report.host);
            report.confirmed_at > since && peer.is_some_and(|peer| peer.place < self.place)
        };
        if self.is_reader || self.reports.iter().any(precedes) {
            self.own_reading.substitute_since = None;
        }
    }

    /// Whether the store answers this host's calls.
    fn is_answered(&self, now: Millis) -> bool {
        let own = &self.own_reading;
        let is_current = |at| now <= at + self.bounds.max_age();
        !own.is_failing && own.confirmed_at.is_some_and(is_current)
    }

    fn peer(&self, addr: SocketAddr) -> Option<&Peer> {
        let at = self.peers.binary_search_by_key(&addr, |peer| peer.addr);
        Some(&self.peers[at.ok()?])
    }

    fn peer_mut(&mut self, addr: SocketAddr) -> Option<&mut Peer> {
        let at = self.peers.binary_search_by_key(&addr, |peer| peer.addr);
        Some(&mut self.peers[at.ok()?])
    }
}

/// The readers that a host asks: those of its own zone, then some of other zones. Each host has its
/// own order, so that the hosts are spread over the readers.
fn candidates(own: &HostEntry, readers: &[&HostEntry]) -> Vec<SocketAddr> {
    let (mut near, mut far): (Vec<&HostEntry>, Vec<&HostEntry>) =
        readers.iter().partition(|host| host.zone == own.zone);
    for group in [&mut near, &mut far] {
        group.sort_by_key(|host| weight(own.id.as_str(), &host.id));
    }
    far.truncate(REMOTE_SOURCES);
    near.iter().chain(&far).map(|host| host.addr).collect()
}
