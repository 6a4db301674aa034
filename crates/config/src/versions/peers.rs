//! Questions to peers, their answers and what they advertise.

use bv_types::{Fingerprint, HostId, Millis, Version};

use super::{Action, Document, Notice, Versions};

/// Peers asked in place of a store that does not answer.
const FALLBACK_PEERS: usize = 2;
/// Time between two questions to the same peer.
const ASK_PAUSE: Millis = Millis(500);

/// The last question to a peer.
#[derive(Debug, Clone)]
pub(super) struct Question {
    pub peer: HostId,
    pub at: Millis,
    /// Whether it has not been answered. A peer is asked one question at a time, so that the time
    /// of the question belongs to the answer.
    pub open: bool,
}

/// What a peer advertised.
#[derive(Debug, Clone)]
pub(super) struct Advert {
    pub peer: HostId,
    pub version: Version,
    pub digest: Fingerprint,
    pub asked: Option<Millis>,
}

impl Versions {
    pub(super) fn ask(&mut self, now: Millis, peer: &HostId, out: &mut Vec<Action>) {
        match self.asked.binary_search_by(|asked| asked.peer.cmp(peer)) {
            Ok(index) => {
                let asked = &mut self.asked[index];
                if asked.open || now < asked.at + ASK_PAUSE {
                    return;
                }
                asked.at = now;
                asked.open = true;
            }
            Err(index) => {
                let asked = Question {
                    peer: peer.clone(),
                    at: now,
                    open: true,
                };
                self.asked.insert(index, asked);
            }
        }
        out.push(Action::AskPeer(peer.clone()));
    }

    /// When the peer was asked. The entry stays, so that the peer is not asked again at once.
    pub(super) fn close_question(&mut self, peer: &HostId) -> Option<Millis> {
        let index = self
            .asked
            .binary_search_by(|asked| asked.peer.cmp(peer))
            .ok()?;
        self.asked[index].open = false;
        Some(self.asked[index].at)
    }

    pub(super) fn ask_starting_peers(&mut self, now: Millis, out: &mut Vec<Action>) {
        let Some(start) = &self.start else {
            return;
        };
        let open: Vec<HostId> = start.to_ask(&self.peers).into_iter().cloned().collect();
        for peer in &open {
            self.ask(now, peer, out);
        }
    }

    pub(super) fn ask_newer_peers(&mut self, now: Millis, out: &mut Vec<Action>) {
        let own = self.version();
        let newest = self
            .adverts
            .iter()
            .filter(|advert| advert.version > own)
            // Of the newest, the one not asked for the longest time.
            .max_by_key(|advert| (advert.version, std::cmp::Reverse(advert.asked)))
            .map(|advert| advert.peer.clone());
        if let Some(peer) = newest {
            if let Some(advert) = self.adverts.iter_mut().find(|advert| advert.peer == peer) {
                advert.asked = Some(now);
            }
            self.ask(now, &peer, out);
        }
    }

    /// Asks some peers, each time others, because the store does not answer.
    pub(super) fn ask_fallback_peers(&mut self, now: Millis, out: &mut Vec<Action>) {
        for _ in 0..FALLBACK_PEERS.min(self.peers.len()) {
            let peer = self.peers[self.next_peer % self.peers.len()].clone();
            self.next_peer = self.next_peer.wrapping_add(1);
            self.ask(now, &peer, out);
        }
    }

    pub(super) fn set_peers(&mut self, mut peers: Vec<HostId>) {
        peers.sort();
        peers.dedup();
        self.adverts
            .retain(|advert| peers.binary_search(&advert.peer).is_ok());
        self.asked
            .retain(|asked| asked.open || peers.binary_search(&asked.peer).is_ok());
        self.peers = peers;
    }

    pub(super) fn peer_answer(
        &mut self,
        peer: HostId,
        document: Option<Document>,
        age: Option<Millis>,
        out: &mut Vec<Action>,
    ) {
        // The age counts from the question, because the answer may have been delayed.
        let asked = self.close_question(&peer);
        let confirmed_at = asked.zip(age).map(|(asked, age)| asked - age);
        if let Some(start) = &mut self.start {
            start.answered(peer, document, confirmed_at);
            return;
        }
        let Some(document) = document else {
            return;
        };
        let own = self.version();
        if document.version > own {
            self.put_in_force(document, confirmed_at, out);
        } else if document.version == own {
            self.confirmed_by_peer(document.version, document.digest(), confirmed_at, out);
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
            self.confirmed_by_peer(version, digest, confirmed_at, out);
        }
        match self.adverts.iter_mut().find(|advert| advert.peer == peer) {
            Some(advert) => {
                advert.version = version;
                advert.digest = digest;
            }
            None => self.adverts.push(Advert {
                peer,
                version,
                digest,
                asked: None,
            }),
        }
        if self.start.is_none() {
            self.ask_newer_peers(now, out);
        }
    }

    /// A peer has the same version in force; another digest does not confirm it, and the store
    /// decides at the next poll.
    pub(super) fn confirmed_by_peer(
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
        if self.diverged.replace((version, digest)) != Some((version, digest)) {
            out.push(Action::Notice(Notice::Diverged { version }));
        }
    }

    /// The highest version known to be in force anywhere.
    pub(super) fn known_version(&self) -> Version {
        self.adverts
            .iter()
            .map(|advert| advert.version)
            .fold(self.version(), Version::max)
    }
}
