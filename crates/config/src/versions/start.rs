//! Choice of the first document at a starting host from the store and its peers.

use bv_types::{HostId, Millis};

use super::Document;

/// Number of peers whose answers a starting host waits for; all peers if there are fewer. Once the
/// store has answered, the host starts with fewer answers if all peers were tried.
const START_PEER_COUNT: usize = 2;
/// Longest wait for membership to find the first peer.
const PEER_DISCOVERY_TIMEOUT: Millis = Millis(3_000);

/// The store's latest answer to a starting host.
#[derive(Debug, Clone)]
pub(super) enum StoreAnswer {
    /// No answer yet.
    Pending,
    /// The last read failed.
    Failed,
    /// The row, or none, as of this time.
    Row(Option<Document>, Millis),
}

/// Answers gathered by a starting host.
#[derive(Debug, Clone)]
pub(super) struct Start {
    /// Whether addresses of other hosts are configured; if not, the store alone decides.
    has_seed_hosts: bool,
    started_at: Option<Millis>,
    pub store: StoreAnswer,
    /// Peers that answered, with their documents and when these were confirmed, sorted by id.
    answers: Vec<(HostId, Option<Document>, Option<Millis>)>,
    /// Peers whose last request failed, sorted.
    failed_peers: Vec<HostId>,
}

/// The document with which a host starts.
pub(super) struct StartChoice {
    /// The newest document, if any was found.
    pub document: Option<Document>,
    /// When it was confirmed by the store.
    pub confirmed_at: Option<Millis>,
}

impl Start {
    pub fn new(has_seed_hosts: bool) -> Self {
        Start {
            has_seed_hosts,
            started_at: None,
            store: StoreAnswer::Pending,
            answers: Vec::new(),
            failed_peers: Vec::new(),
        }
    }

    pub fn record_answer(
        &mut self,
        peer: HostId,
        document: Option<Document>,
        confirmed_at: Option<Millis>,
    ) {
        self.failed_peers.retain(|failed| *failed != peer);
        match self
            .answers
            .binary_search_by(|(known, ..)| known.cmp(&peer))
        {
            Ok(index) => self.answers[index] = (peer, document, confirmed_at),
            Err(index) => self.answers.insert(index, (peer, document, confirmed_at)),
        }
    }

    pub fn record_failure(&mut self, peer: HostId) {
        if let Err(index) = self.failed_peers.binary_search(&peer) {
            self.failed_peers.insert(index, peer);
        }
    }

    /// Peers to query next: those that have not answered, with failed ones last.
    pub fn peers_to_query<'a>(&self, peers: &'a [HostId]) -> Vec<&'a HostId> {
        let missing = START_PEER_COUNT.saturating_sub(self.answers.len());
        let mut unanswered: Vec<&HostId> = peers
            .iter()
            .filter(|peer| !self.has_answered(peer))
            .collect();
        unanswered.sort_by_key(|peer| self.failed_peers.binary_search(peer).is_ok());
        unanswered.truncate(missing);
        unanswered
    }

    fn has_answered(&self, peer: &HostId) -> bool {
        self.answers
            .binary_search_by(|(known, ..)| known.cmp(peer))
            .is_ok()
    }

    /// The document to start with, once enough sources have answered.
    pub fn decide(&mut self, now: Millis, peers: &[HostId]) -> Option<StartChoice> {
        let started_at = *self.started_at.get_or_insert(now);
        if peers.is_empty() && self.has_seed_hosts && now < started_at + PEER_DISCOVERY_TIMEOUT {
            return None;
        }
        let needed = START_PEER_COUNT.min(peers.len());
        let answered = self.answers.len();
        let tried = peers
            .iter()
            .filter(|peer| self.has_answered(peer) || self.failed_peers.binary_search(peer).is_ok())
            .count();
        let enough = match &self.store {
            StoreAnswer::Pending => false,
            StoreAnswer::Failed => answered >= needed.max(1) && self.newest().is_some(),
            // Unreachable peers must not keep the host from starting.
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

    fn choose(&self) -> StartChoice {
        let from_peer = self.newest();
        let (stored, read_at) = match &self.store {
            StoreAnswer::Row(row, at) => (row.clone(), Some(*at)),
            StoreAnswer::Pending | StoreAnswer::Failed => (None, None),
        };
        let peer_document = from_peer.and_then(|(_, document, _)| document.as_ref());
        match (stored, peer_document) {
            (Some(stored), Some(other)) if other.version > stored.version => StartChoice {
                document: Some(other.clone()),
                confirmed_at: from_peer.and_then(|(.., at)| *at),
            },
            (Some(stored), _) => StartChoice {
                document: Some(stored),
                confirmed_at: read_at,
            },
            (None, other) => StartChoice {
                document: other.cloned(),
                confirmed_at: from_peer.and_then(|(.., at)| *at),
            },
        }
    }
}
