//! What other hosts have in progress at the engines.

use bv_types::{BackendId, HostId, Millis, Tokens};

use crate::queue::{Waiting, rank};

/// Time after which a host that is not heard no longer counts. Its streams end with its process, and
/// a live host is heard twice a second.
const PEER_LIFETIME: Millis = Millis(1_600);
/// Time for which the waiting call of a host that is not heard again counts; a live host is heard
/// twice a second.
const HEAD_LIFETIME: Millis = Millis(700);

/// Requests of one host at one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerLoad {
    /// The engine.
    pub server: BackendId,
    /// Requests in progress.
    pub requests: u32,
    /// Tokens that they read or keep.
    pub tokens: Tokens,
}

/// What one host says of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PeerLoad {
    /// Requests in progress.
    pub uses: Vec<ServerLoad>,
    /// Tokens of the requests that wait for room.
    pub waiting: Tokens,
    /// The call that gets the next room there, in times of the host that was told.
    pub head: Option<Waiting>,
    /// Engines that change their role on an order of this host.
    pub changing: Vec<BackendId>,
}

#[derive(Debug, Clone)]
pub(crate) struct Peer {
    host: HostId,
    /// Start of its process and number of its message.
    order: (u64, u64),
    heard: Millis,
    pub said: PeerLoad,
}

/// Hosts that were heard lately, sorted by id.
#[derive(Debug, Default)]
pub(crate) struct Peers(Vec<Peer>);

impl Peers {
    /// Takes a message over and returns what it replaces; none if a newer one is known.
    pub fn hear(
        &mut self,
        now: Millis,
        host: HostId,
        order: (u64, u64),
        said: PeerLoad,
    ) -> Option<PeerLoad> {
        let peer = Peer {
            host,
            order,
            heard: now,
            said,
        };
        match self.0.binary_search_by(|p| p.host.cmp(&peer.host)) {
            Ok(at) if self.0[at].order >= order => None,
            Ok(at) => Some(std::mem::replace(&mut self.0[at], peer).said),
            Err(at) => {
                self.0.insert(at, peer);
                Some(PeerLoad::default())
            }
        }
    }

    /// Forgets hosts that are silent, and returns what they said.
    pub fn expire(&mut self, now: Millis) -> Vec<PeerLoad> {
        let is_silent = |peer: &mut Peer| now >= peer.heard + PEER_LIFETIME;
        let silent = self.0.extract_if(.., is_silent);
        silent.map(|peer| peer.said).collect()
    }

    /// Hosts whose waiting call goes before `own`.
    pub fn heads_before(&self, now: Millis, own: &Waiting) -> usize {
        let heard = self.0.iter().filter(|p| now < p.heard + HEAD_LIFETIME);
        let heads = heard.filter_map(|peer| peer.said.head);
        heads
            .filter(|head| rank(now, head) < rank(now, own))
            .count()
    }

    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.0.iter()
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }
}
