//! The version in force at one host, as a state machine without I/O.

mod apply;
mod changes;
mod document;
mod event;
mod freshness;
mod peers;
mod start;
mod store;

use bv_types::{Fingerprint, HostId, Millis, Version};

pub use apply::APPLY_LIMIT;
pub use document::{Change, Document, KEPT_CHANGES};
pub use event::{Action, Event, NotWritten, Notice, Outcome, WriteResult};
pub use freshness::STALE_AFTER;

use apply::Pending;
use freshness::Freshness;
use peers::{Advert, Question};
use start::Start;

/// Shortest time between two polls of the store.
const MIN_POLL: Millis = Millis(1_000);
/// Reads a second that all hosts together may cause by polling.
const POLLS_PER_S: u64 = 70;

/// Time between two polls of the store when `hosts` hosts poll it.
pub fn poll_interval(hosts: usize) -> Millis {
    MIN_POLL.max(Millis(hosts as u64 * 1_000 / POLLS_PER_S))
}

/// Whether a host should receive work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// It has a configuration that is confirmed, or sees peers.
    Ready,
    /// It has no configuration yet.
    NoConfiguration,
    /// Its configuration is stale and it sees no peer.
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
/// assert_eq!(actions, [Action::InForce(document)]);
/// assert_eq!(versions.version(), Version(3));
/// ```
#[derive(Debug, Clone)]
pub struct Versions {
    current: Option<Document>,
    /// Reads with an id below this one were sent before the current document came into force.
    current_from_read: u64,
    start: Option<Start>,
    freshness: Freshness,
    peers: Vec<HostId>,
    next_peer: usize,
    adverts: Vec<Advert>,
    /// Last question to each peer, sorted by peer.
    asked: Vec<Question>,
    store_up: bool,
    poll: Option<u64>,
    next_poll: Millis,
    repair: Option<u64>,
    pending: Vec<Pending>,
    next_id: u64,
    /// Calls of the store in progress and when they were sent, in ascending order of id.
    sent: Vec<(u64, Millis)>,
    diverged: Option<(Version, Fingerprint)>,
}

impl Versions {
    /// A freshly started host. `seeded` tells whether other hosts are known to exist, so that
    /// the host waits for membership to find one.
    pub fn new(seeded: bool) -> Self {
        Versions {
            current: None,
            current_from_read: 0,
            start: Some(Start::new(seeded)),
            freshness: Freshness::default(),
            peers: Vec::new(),
            next_peer: 0,
            adverts: Vec::new(),
            asked: Vec::new(),
            store_up: true,
            poll: None,
            next_poll: Millis::ZERO,
            repair: None,
            pending: Vec::new(),
            next_id: 0,
            sent: Vec::new(),
            diverged: None,
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

    /// Processes an event and returns what to do.
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
                self.close_question(&peer);
                if let Some(start) = &mut self.start {
                    start.failed(peer);
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
        self.notice_freshness(now, &mut out);
        out
    }

    /// Id of a call of the store that is sent now.
    fn new_call(&mut self, now: Millis) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        self.sent.push((id, now));
        id
    }

    /// When the call was sent. An answer confirms a document as of then, since it may have been
    /// under way for long.
    fn end_call(&mut self, id: u64) -> Option<Millis> {
        let index = self.sent.binary_search_by_key(&id, |(id, _)| *id).ok()?;
        Some(self.sent.remove(index).1)
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        if now >= self.next_poll && self.poll.is_none() {
            let read = self.new_call(now);
            self.poll = Some(read);
            self.next_poll = now + poll_interval(self.peers.len() + 1);
            out.push(Action::ReadStore { read });
        }
        self.ask_starting_peers(now, out);
        self.ask_newer_peers(now, out);
        self.tick_changes(now, out);
    }

    fn put_in_force(
        &mut self,
        document: Document,
        confirmed_at: Option<Millis>,
        out: &mut Vec<Action>,
    ) {
        self.freshness.replace(confirmed_at);
        self.current_from_read = self.next_id;
        self.current = Some(document.clone());
        out.push(Action::InForce(document));
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

    fn notice_freshness(&mut self, now: Millis, out: &mut Vec<Action>) {
        if self.current.is_none() {
            return;
        }
        match self.freshness.changed(now) {
            Some(true) => out.push(Action::Notice(Notice::Stale)),
            Some(false) => out.push(Action::Notice(Notice::Fresh)),
            None => {}
        }
    }
}
