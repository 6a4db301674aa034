//! State machine, without I/O, that tracks the configuration version in force at one host.

mod apply;
mod changes;
mod document;
mod event;
mod freshness;
mod peers;
mod start;
mod store;

use bv_types::{Fingerprint, HostId, Millis, Version};

pub use apply::APPLY_TIMEOUT;
pub use document::{Change, Document, KEPT_CHANGES};
pub use event::{Action, Event, NotWritten, Notice, Outcome, WriteResult};
pub use freshness::STALE_AFTER;

use apply::Pending;
use freshness::Freshness;
use peers::{Advertisement, PeerRequest};
use start::Start;

/// Shortest interval between two polls of the store.
const MIN_POLL_INTERVAL: Millis = Millis(1_000);
/// Largest total rate of polls of the store by all hosts.
const MAX_POLLS_PER_S: u64 = 70;

/// Interval between two polls of the store when `hosts` hosts poll it.
pub fn poll_interval(hosts: usize) -> Millis {
    MIN_POLL_INTERVAL.max(Millis(hosts as u64 * 1_000 / MAX_POLLS_PER_S))
}

/// Whether a host should receive work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// Its configuration is confirmed, or it has live peers.
    Ready,
    /// It has no configuration yet.
    NoConfiguration,
    /// Its configuration is stale and it has no live peers.
    StaleAlone,
}

/// Tracks the configuration in force at one host.
///
/// ```
/// use bv_config::{Action, Document, Event, Versions};
/// use bv_types::{Millis, Version};
///
/// let mut versions = Versions::new(false);
/// let actions = versions.handle(Millis(0), Event::Tick);
/// assert_eq!(actions, [Action::ReadStore { read: 0 }]);
///
/// let document = Document::new(Version(3), "change-a".into(), "name = \"x\"".into(), vec![]);
/// let read = Event::StoreRead { read: 0, document: Some(document.clone()) };
/// let actions = versions.handle(Millis(5), read);
/// assert_eq!(actions, [Action::PutInForce(document)]);
/// assert_eq!(versions.version(), Version(3));
/// ```
#[derive(Debug, Clone)]
pub struct Versions {
    current: Option<Document>,
    /// Store calls with a lower id were sent before the current document came into force.
    first_call_since_current: u64,
    start: Option<Start>,
    freshness: Freshness,
    peers: Vec<HostId>,
    next_peer: usize,
    advertisements: Vec<Advertisement>,
    /// Last request to each peer, sorted by peer.
    peer_requests: Vec<PeerRequest>,
    store_up: bool,
    /// Id of the poll of the store, if one is in progress.
    poll_in_progress: Option<u64>,
    next_poll: Millis,
    /// Id of the write that repairs the row, if one is in progress.
    repair_in_progress: Option<u64>,
    pending: Vec<Pending>,
    next_id: u64,
    /// Store calls in progress by ascending id, with the time at which they were sent.
    calls_in_progress: Vec<(u64, Millis)>,
    /// Version and digest of the last reported divergence, so that it is reported only once.
    last_divergence: Option<(Version, Fingerprint)>,
}

impl Versions {
    /// Creates the state of a starting host. With `has_seed_hosts`, addresses of other hosts are
    /// configured, and this host first waits for membership to find one of them.
    pub fn new(has_seed_hosts: bool) -> Self {
        Versions {
            current: None,
            first_call_since_current: 0,
            start: Some(Start::new(has_seed_hosts)),
            freshness: Freshness::default(),
            peers: Vec::new(),
            next_peer: 0,
            advertisements: Vec::new(),
            peer_requests: Vec::new(),
            store_up: true,
            poll_in_progress: None,
            next_poll: Millis::ZERO,
            repair_in_progress: None,
            pending: Vec::new(),
            next_id: 0,
            calls_in_progress: Vec::new(),
            last_divergence: None,
        }
    }

    /// The document in force.
    pub fn current(&self) -> Option<&Document> {
        self.current.as_ref()
    }

    /// The version in force; 0 if none.
    pub fn version(&self) -> Version {
        self.current
            .as_ref()
            .map_or(Version(0), |document| document.version)
    }

    /// Time since the document in force was confirmed by the store, directly or through peers.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.freshness.age(now)
    }

    /// Whether the configuration has not been confirmed for [`STALE_AFTER`].
    pub fn is_stale(&self, now: Millis) -> bool {
        self.freshness.is_stale(now)
    }

    /// Whether the host should receive work.
    pub fn readiness(&self, now: Millis) -> Readiness {
        if self.current.is_none() {
            return Readiness::NoConfiguration;
        }
        match self.is_stale(now) && self.peers.is_empty() {
            true => Readiness::StaleAlone,
            false => Readiness::Ready,
        }
    }

    /// Processes an event and returns the resulting actions.
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut out),
            Event::StoreRead { read, document } => {
                if let Some(sent) = self.end_call(read) {
                    self.store_read(now, read, sent, document, &mut out);
                }
            }
            Event::ReadFailed { read } => {
                if self.end_call(read).is_some() {
                    self.read_failed(now, read, &mut out);
                }
            }
            Event::WriteEnded { write, result } => {
                if let Some(sent) = self.end_call(write) {
                    self.write_ended(now, write, sent, result, &mut out);
                }
            }
            Event::PeerAnswer {
                peer,
                document,
                age,
            } => self.peer_answer(peer, document, age, &mut out),
            Event::PeerFailed { peer } => {
                self.finish_peer_request(&peer);
                if let Some(start) = &mut self.start {
                    start.record_failure(peer);
                }
            }
            Event::Advertised {
                peer,
                version,
                digest,
                age,
            } => self.advertised(now, peer, version, digest, age, &mut out),
            Event::Peers(peers) => self.set_peers(peers),
            Event::Apply {
                change,
                expected,
                text,
            } => self.apply(now, change, expected, text, &mut out),
        }
        self.try_start(now, &mut out);
        self.report_freshness(now, &mut out);
        out
    }

    /// Allocates the id of a store call and records that it is sent now.
    fn new_call(&mut self, now: Millis) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        self.calls_in_progress.push((id, now));
        id
    }

    /// Ends a store call and returns when it was sent. Its answer confirms a document as of that
    /// time, since the answer may have been delayed.
    fn end_call(&mut self, id: u64) -> Option<Millis> {
        let index = self
            .calls_in_progress
            .binary_search_by_key(&id, |(id, _)| *id)
            .ok()?;
        Some(self.calls_in_progress.remove(index).1)
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        if now >= self.next_poll && self.poll_in_progress.is_none() {
            let read = self.new_call(now);
            self.poll_in_progress = Some(read);
            self.next_poll = now + poll_interval(self.peers.len() + 1);
            out.push(Action::ReadStore { read });
        }
        self.query_start_peers(now, out);
        self.query_newer_peer(now, out);
        self.advance_changes(now, out);
    }

    fn put_in_force(
        &mut self,
        document: Document,
        confirmed_at: Option<Millis>,
        out: &mut Vec<Action>,
    ) {
        self.freshness.replace(confirmed_at);
        self.first_call_since_current = self.next_id;
        self.current = Some(document.clone());
        out.push(Action::PutInForce(document));
    }

    fn try_start(&mut self, now: Millis, out: &mut Vec<Action>) {
        let Some(start) = &mut self.start else {
            return;
        };
        let Some(chosen) = start.decide(now, &self.peers) else {
            return;
        };
        self.start = None;
        if let Some(document) = chosen.document {
            self.put_in_force(document, chosen.confirmed_at, out);
        }
    }

    fn report_freshness(&mut self, now: Millis, out: &mut Vec<Action>) {
        if self.current.is_none() {
            return;
        }
        match self.freshness.take_change(now) {
            Some(true) => out.push(Action::Notice(Notice::Stale)),
            Some(false) => out.push(Action::Notice(Notice::Fresh)),
            None => {}
        }
    }
}
