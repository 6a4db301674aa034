//! What a freshly started host must hear before it puts a document in force.

use bv_types::{HostId, Millis};

use super::Document;

/// Peers that a starting host asks.
const START_PEERS: usize = 2;
/// Time for membership to find the first peer.
const DISCOVERY: Millis = Millis(3_000);

/// The store's latest answer to a starting host.
#[derive(Debug, Clone)]
pub(super) enum StoreAnswer {
    /// None yet.
    Open,
    /// It did not answer.
    Failed,
    /// The row, or none, as of this time.
    Row(Option<Document>, Millis),
}

/// Answers gathered by a starting host.
#[derive(Debug, Clone)]
pub(super) struct Start {
    /// Whether peers are known to exist; without, the store alone decides.
    seeded: bool,
    since: Option<Millis>,
    pub store: StoreAnswer,
    /// Peers that answered, with their documents and when those were confirmed, sorted by id.
    answers: Vec<(HostId, Option<Document>, Option<Millis>)>,
    /// Peers that did not answer, sorted.
    failed: Vec<HostId>,
}

/// What a starting host puts in force.
pub(super) struct Chosen {
    /// The newest document, if any was found.
    pub document: Option<Document>,
    /// When it was confirmed by the store.
    pub confirmed_at: Option<Millis>,
}

impl Start {
    pub fn new(seeded: bool) -> Self {
        Start {
            seeded,
            since: None,
            store: StoreAnswer::Open,
            answers: Vec::new(),
            failed: Vec::new(),
        }
    }

    pub fn answered(
        &mut self,
        peer: HostId,
        document: Option<Document>,
        confirmed_at: Option<Millis>,
    ) {
        self.failed.retain(|failed| *failed != peer);
        match self
            .answers
            .binary_search_by(|(known, ..)| known.cmp(&peer))
        {
            Ok(index) => self.answers[index] = (peer, document, confirmed_at),
            Err(index) => self.answers.insert(index, (peer, document, confirmed_at)),
        }
    }

    pub fn failed(&mut self, peer: HostId) {
        if let Err(index) = self.failed.binary_search(&peer) {
            self.failed.insert(index, peer);
        }
    }

    /// Peers that have not answered yet; those that failed come last.
    pub fn to_ask<'a>(&self, peers: &'a [HostId]) -> Vec<&'a HostId> {
        let missing = START_PEERS.saturating_sub(self.answers.len());
        let mut open: Vec<&HostId> = peers
            .iter()
            .filter(|peer| !self.has_answered(peer))
            .collect();
        open.sort_by_key(|peer| self.failed.binary_search(peer).is_ok());
        open.truncate(missing);
        open
    }

    fn has_answered(&self, peer: &HostId) -> bool {
        self.answers
            .binary_search_by(|(known, ..)| known.cmp(peer))
            .is_ok()
    }

    /// The document to start with, once enough has been heard.
    pub fn decide(&mut self, now: Millis, peers: &[HostId]) -> Option<Chosen> {
        let since = *self.since.get_or_insert(now);
        if peers.is_empty() && self.seeded && now < since + DISCOVERY {
            return None;
        }
        let needed = START_PEERS.min(peers.len());
        let answered = self.answers.len();
        let tried = peers
            .iter()
            .filter(|peer| self.has_answered(peer) || self.failed.binary_search(peer).is_ok())
            .count();
        let enough = match &self.store {
            StoreAnswer::Open => false,
            StoreAnswer::Failed => answered >= needed.max(1) && self.newest().is_some(),
            // Peers that do not answer must not keep the host from starting.
            StoreAnswer::Row(..) => answered >= needed || tried == peers.len(),
        };
        enough.then(|| self.choose())
    }

    fn newest(&self) -> Option<&(HostId, Option<Document>, Option<Millis>)> {
        self.answers
            .iter()
            .filter(|(_, document, _)| document.is_some())
            .max_by_key(|(_, document, _)| document.as_ref().map(|document| document.version))
    }

    fn choose(&self) -> Chosen {
        let from_peer = self.newest();
        let (stored, read_at) = match &self.store {
            StoreAnswer::Row(row, at) => (row.clone(), Some(*at)),
            StoreAnswer::Open | StoreAnswer::Failed => (None, None),
        };
        let peer_version = from_peer.and_then(|(_, document, _)| document.as_ref());
        match (stored, peer_version) {
            (Some(stored), Some(other)) if other.version > stored.version => Chosen {
                document: Some(other.clone()),
                confirmed_at: from_peer.and_then(|(.., at)| *at),
            },
            (Some(stored), _) => Chosen {
                document: Some(stored),
                confirmed_at: read_at,
            },
            (None, other) => Chosen {
                document: other.cloned(),
                confirmed_at: from_peer.and_then(|(.., at)| *at),
            },
        }
    }
}
