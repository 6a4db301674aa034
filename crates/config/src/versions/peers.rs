//! Document requests to peers, their answers and their version advertisements.

use bv_types::{Fingerprint, HostId, Millis, Version};

use super::{Action, Document, Notice, Versions};

/// Number of peers queried after each failed poll of the store.
const FALLBACK_PEERS: usize = 2;
/// Shortest interval between two requests to the same peer.
const MIN_PEER_REQUEST_INTERVAL: Millis = Millis(500);

/// The last request to a peer for its document.
#[derive(Debug, Clone)]
pub(super) struct PeerRequest {
    pub peer: HostId,
    pub sent_at: Millis,
    /// Whether the answer is outstanding. Each peer has at most one request in progress, so that an
    /// answer belongs to the request at `sent_at`.
    pub in_progress: bool,
}

/// The version that a peer last advertised.
#[derive(Debug, Clone)]
pub(super) struct Advertisement {
    pub peer: HostId,
    pub version: Version,
    pub digest: Fingerprint,
    pub queried_at: Option<Millis>,
}

impl Versions {
    pub(super) fn query_peer(&mut self, now: Millis, peer: &HostId, out: &mut Vec<Action>) {
        match self
            .peer_requests
            .binary_search_by(|request| request.peer.cmp(peer))
        {
            Ok(index) => {
                let request = &mut self.peer_requests[index];
                if request.in_progress || now < request.sent_at + MIN_PEER_REQUEST_INTERVAL {
                    return;
                }
                request.sent_at = now;
                request.in_progress = true;
            }
            Err(index) => {
                let request = PeerRequest {
                    peer: peer.clone(),
                    sent_at: now,
                    in_progress: true,
                };
                self.peer_requests.insert(index, request);
            }
        }
        out.push(Action::QueryPeer(peer.clone()));
    }

    /// Marks the request to a peer as finished and returns when it was sent. The entry stays, so
    /// that [`MIN_PEER_REQUEST_INTERVAL`] holds for the next request.
    pub(super) fn finish_peer_request(&mut self, peer: &HostId) -> Option<Millis> {
        let index = self
            .peer_requests
            .binary_search_by(|request| request.peer.cmp(peer))
            .ok()?;
        self.peer_requests[index].in_progress = false;
        Some(self.peer_requests[index].sent_at)
    }

    pub(super) fn query_start_peers(&mut self, now: Millis, out: &mut Vec<Action>) {
        let Some(start) = &self.start else {
            return;
        };
        let to_query: Vec<HostId> = start
            .peers_to_query(&self.peers)
            .into_iter()
            .cloned()
            .collect();
        for peer in &to_query {
            self.query_peer(now, peer, out);
        }
    }

    pub(super) fn query_newer_peer(&mut self, now: Millis, out: &mut Vec<Action>) {
        let own = self.version();
        let newest = self
            .advertisements
            .iter()
            .filter(|advertisement| advertisement.version > own)
            // Among peers with the newest version, prefers the least recently queried one.
            .max_by_key(|advertisement| {
                (
                    advertisement.version,
                    std::cmp::Reverse(advertisement.queried_at),
                )
            })
            .map(|advertisement| advertisement.peer.clone());
        if let Some(peer) = newest {
            if let Some(advertisement) = self
                .advertisements
                .iter_mut()
                .find(|advertisement| advertisement.peer == peer)
            {
                advertisement.queried_at = Some(now);
            }
            self.query_peer(now, &peer, out);
        }
    }

    /// Queries the next peers in rotation after a failed poll of the store.
    pub(super) fn query_fallback_peers(&mut self, now: Millis, out: &mut Vec<Action>) {
        for _ in 0..FALLBACK_PEERS.min(self.peers.len()) {
            let peer = self.peers[self.next_peer % self.peers.len()].clone();
            self.next_peer = self.next_peer.wrapping_add(1);
            self.query_peer(now, &peer, out);
        }
    }

    pub(super) fn set_peers(&mut self, mut peers: Vec<HostId>) {
        peers.sort();
        peers.dedup();
        self.advertisements
            .retain(|advertisement| peers.binary_search(&advertisement.peer).is_ok());
        self.peer_requests
            .retain(|request| request.in_progress || peers.binary_search(&request.peer).is_ok());
        self.peers = peers;
    }

    pub(super) fn peer_answer(
        &mut self,
        peer: HostId,
        document: Option<Document>,
        age: Option<Millis>,
        out: &mut Vec<Action>,
    ) {
        // The age counts from when the request was sent, because the answer may have been delayed.
        let sent_at = self.finish_peer_request(&peer);
        let confirmed_at = sent_at.zip(age).map(|(sent_at, age)| sent_at - age);
        if let Some(start) = &mut self.start {
            start.record_answer(peer, document, confirmed_at);
            return;
        }
        let Some(document) = document else {
            return;
        };
        let own = self.version();
        if document.version > own {
            self.put_in_force(document, confirmed_at, out);
        } else if document.version == own {
            self.compare_with_peer(document.version, document.digest(), confirmed_at, out);
        }
    }

    pub(super) fn advertised(
        &mut self,
        now: Millis,
        peer: HostId,
        version: Version,
        digest: Fingerprint,
        age: Option<Millis>,
        out: &mut Vec<Action>,
    ) {
        if self.peers.binary_search(&peer).is_err() {
            return;
        }
        if self.start.is_none() && version == self.version() {
            let confirmed_at = age.map(|age| now - age);
            self.compare_with_peer(version, digest, confirmed_at, out);
        }
        match self
            .advertisements
            .iter_mut()
            .find(|advertisement| advertisement.peer == peer)
        {
            Some(advertisement) => {
                advertisement.version = version;
                advertisement.digest = digest;
            }
            None => self.advertisements.push(Advertisement {
                peer,
                version,
                digest,
                queried_at: None,
            }),
        }
        if self.start.is_none() {
            self.query_newer_peer(now, out);
        }
    }

    /// Compares the document in force with that of a peer that has the same version in force. An
    /// equal digest confirms the document; a different one is reported, and the next poll takes
    /// over the store's document.
    pub(super) fn compare_with_peer(
        &mut self,
        version: Version,
        digest: Fingerprint,
        confirmed_at: Option<Millis>,
        out: &mut Vec<Action>,
    ) {
        let Some(own) = &self.current else {
            return;
        };
        if own.digest() == digest {
            if let Some(at) = confirmed_at {
                self.freshness.confirm(at);
            }
            return;
        }
        if self.last_divergence.replace((version, digest)) != Some((version, digest)) {
            out.push(Action::Notice(Notice::Diverged { version }));
        }
    }

    /// The highest version known to be in force anywhere.
    pub(super) fn known_version(&self) -> Version {
        self.advertisements
            .iter()
            .map(|advertisement| advertisement.version)
            .fold(self.version(), Version::max)
    }
}
