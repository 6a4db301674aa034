//! Load that other hosts have at the engines.

use bv_types::{BackendId, HostId, Millis, Tokens};

use crate::host_groups::HostGroups;
use crate::queue::{QueuedCall, WaitingTokens, rank};
use crate::update_intervals;

/// Requests of one host at one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerLoad {
    /// The engine.
    pub server: BackendId,
    /// Requests in progress.
    pub requests: u32,
    /// Tokens that the engine prefills or keeps in memory for them.
    pub tokens: Tokens,
}

/// Load that one host reports for itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PeerLoad {
    /// Requests in progress, by engine.
    pub loads: Vec<ServerLoad>,
    /// Tokens of the requests that wait for capacity, by priority.
    pub waiting: Vec<WaitingTokens>,
    /// The first call in its queue, with times by the clock of the receiving host.
    pub first_waiting: Option<QueuedCall>,
    /// Engines that change their role on an order of the reporting host.
    pub engines_changing_role: Vec<BackendId>,
    /// Servers that refused the latest request of the reporting host.
    pub refusing: Vec<BackendId>,
}

#[derive(Debug, Clone)]
pub(crate) struct Peer {
    host: HostId,
    /// Start time of its process and sequence number of its latest message.
    message_seq: (u64, u64),
    received_at: Millis,
    pub load: PeerLoad,
}

/// Hosts that reported their load recently, sorted by id.
#[derive(Debug, Default)]
pub(crate) struct Peers(Vec<Peer>);

impl Peers {
    /// Stores a host's load and returns the one that it replaces; none if a newer message was
    /// received before.
    pub fn update(
        &mut self,
        now: Millis,
        host: HostId,
        message_seq: (u64, u64),
        load: PeerLoad,
    ) -> Option<PeerLoad> {
        let peer = Peer {
            host,
            message_seq,
            received_at: now,
            load,
        };
        match self.0.binary_search_by(|p| p.host.cmp(&peer.host)) {
            Ok(at) if self.0[at].message_seq >= message_seq => None,
            Ok(at) => Some(std::mem::replace(&mut self.0[at], peer).load),
            Err(at) => {
                self.0.insert(at, peer);
                Some(PeerLoad::default())
            }
        }
    }

    /// Records that a host is alive, without its load. Returns the load that no longer counts, since
    /// the host reports none to this one; none if `keeps_load`.
    pub fn record_presence(&mut self, now: Millis, host: &HostId, keeps_load: bool) -> PeerLoad {
        match self.0.binary_search_by(|p| p.host.cmp(host)) {
            Ok(at) => {
                let peer = &mut self.0[at];
                peer.received_at = peer.received_at.max(now);
                match keeps_load {
                    true => PeerLoad::default(),
                    false => std::mem::take(&mut peer.load),
                }
            }
            Err(at) => {
                let peer = Peer {
                    host: host.clone(),
                    message_seq: (0, 0),
                    received_at: now,
                    load: PeerLoad::default(),
                };
                self.0.insert(at, peer);
                PeerLoad::default()
            }
        }
    }

    /// Removes and returns the load of hosts that report none to this one.
    pub fn take_far_loads(&mut self, groups: &HostGroups) -> Vec<PeerLoad> {
        let far = self.0.iter_mut().filter(|peer| !groups.is_near(&peer.host));
        far.map(|peer| std::mem::take(&mut peer.load)).collect()
    }

    /// Removes hosts whose messages have stopped, and returns their load.
    pub fn expire(
        &mut self,
        now: Millis,
        hosts: usize,
        groups: Option<&HostGroups>,
    ) -> Vec<PeerLoad> {
        let is_expired = |peer: &mut Peer| {
            now >= peer.received_at + update_intervals::load_lifetime(hosts, groups, &peer.host)
        };
        let expired = self.0.extract_if(.., is_expired);
        expired.map(|peer| peer.load).collect()
    }

    /// Number of hosts whose first waiting call goes before `own`.
    pub fn calls_before(
        &self,
        now: Millis,
        hosts: usize,
        groups: Option<&HostGroups>,
        own: &QueuedCall,
    ) -> usize {
        let lifetime = update_intervals::waiting_lifetime(hosts, groups);
        let recent = self.0.iter().filter(|p| now < p.received_at + lifetime);
        let calls = recent.filter_map(|peer| peer.load.first_waiting);
        calls
            .filter(|call| rank(now, call) < rank(now, own))
            .count()
    }

    pub fn contains(&self, host: &HostId) -> bool {
        self.0.binary_search_by(|p| p.host.cmp(host)).is_ok()
    }

    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.0.iter()
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }
}
