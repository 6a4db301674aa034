//! What a host knows of the other hosts' load.

use std::sync::Arc;

use bv_types::{BackendId, HostId, Millis, Tokens, ZoneId};

use crate::fleet::Fleet;
use crate::host_groups::HostGroups;
use crate::peers::{Peer, PeerLoad, ServerLoad};
use crate::queue::QueuedCall;
use crate::update_intervals;

/// Time, beyond the interval of the reports, for which an engine gets no requests after another host
/// reported that the engine changes its role.
const ROLE_CHANGE_TTL: Millis = Millis(1_200);
/// Time, beyond the interval of the reports, for which a server counts as refusing after another host
/// reported it.
const REFUSING_TTL: Millis = Millis(1_000);
/// Time after which a waiting call moves one host forward in the admission order of the hosts.
const ADMISSION_STEP_TIME: Millis = Millis(100);

impl Fleet {
    /// Sets the number of other hosts that should report their load.
    pub fn expect_peers(&mut self, count: usize) {
        self.expected_peers = count;
    }

    /// Sets the groups of the hosts; none if no zone is divided.
    pub fn set_groups(&mut self, groups: Option<HostGroups>) {
        if let Some(groups) = &groups {
            for load in self.peers.take_far_loads(groups) {
                self.add_peer_load(&load.loads, -1.0);
            }
        }
        self.groups = groups.map(Arc::new);
    }

    /// Groups of the hosts; none if no zone is divided.
    pub fn groups(&self) -> Option<&Arc<HostGroups>> {
        self.groups.as_ref()
    }

    /// Records that another host is alive and reports no load in its message, or that a third host
    /// has heard it.
    pub fn record_presence(&mut self, now: Millis, host: &HostId) {
        let is_near = |groups: &Arc<HostGroups>| groups.is_near(host);
        let keeps_load = self.groups.as_ref().is_none_or(is_near);
        let load = self.peers.record_presence(now, host, keeps_load);
        self.add_peer_load(&load.loads, -1.0);
    }

    /// Records that these engines change their role on an order of another host.
    pub fn record_peer_role_changes(&mut self, now: Millis, engines: &[BackendId]) {
        let interval = update_intervals::remote_interval(self.expected_peers + 1);
        for engine in engines {
            self.server_or_insert(engine).changing_until = now + interval + ROLE_CHANGE_TTL;
        }
    }

    /// Whether an engine of this host's zone was dealt to another group of hosts.
    pub(crate) fn is_of_other_group(&self, engine: &BackendId, zone: &ZoneId) -> bool {
        let groups = self.groups.as_ref();
        groups.is_some_and(|groups| groups.is_of_other_group(engine, zone))
    }

    /// Number of other hosts that choose among the same engines first.
    pub(crate) fn competing_peers(&self) -> usize {
        let groups = self.groups.as_ref();
        groups.map_or(self.expected_peers, |groups| groups.near_count())
    }

    /// Whether another host reports its load.
    pub fn hears(&self, host: &HostId) -> bool {
        self.peers.contains(host)
    }

    /// Number of other hosts that should report their load and do not.
    pub fn missing_peers(&self) -> usize {
        self.expected_peers.saturating_sub(self.peers.len())
    }

    /// Records the load that another host reported. `message_seq` is the start time of its process
    /// and the sequence number of the message; a message that is not newer than the last one is
    /// ignored.
    pub fn update_peer(
        &mut self,
        now: Millis,
        host: HostId,
        message_seq: (u64, u64),
        load: PeerLoad,
    ) {
        let (loads, changing) = (load.loads.clone(), load.engines_changing_role.clone());
        let refusing = load.refusing.clone();
        let Some(before) = self.peers.update(now, host, message_seq, load) else {
            return;
        };
        self.add_peer_load(&before.loads, -1.0);
        self.add_peer_load(&loads, 1.0);
        let interval = update_intervals::remote_interval(self.expected_peers + 1);
        self.record_peer_role_changes(now, &changing);
        for id in refusing {
            self.server_or_insert(&id).peer_refusing_until = now + interval + REFUSING_TTL;
        }
    }

    /// Removes the load of hosts whose messages have stopped.
    pub fn expire_peers(&mut self, now: Millis) {
        let groups = self.groups.clone();
        let hosts = self.expected_peers + 1;
        for expired in self.peers.expire(now, hosts, groups.as_deref()) {
            self.add_peer_load(&expired.loads, -1.0);
        }
    }

    /// Number of other hosts whose waiting call is admitted before `own`. `first_for` is the time
    /// for which `own` has been the first call of this host. For each `ADMISSION_STEP_TIME` of it,
    /// one host less is counted, since the hosts before this one may not use the capacity.
    pub fn peers_before(&self, now: Millis, own: &QueuedCall, first_for: Millis) -> usize {
        let skipped = (first_for.0 / ADMISSION_STEP_TIME.0) as usize;
        let hosts = self.expected_peers + 1;
        self.peers
            .calls_before(now, hosts, self.groups.as_deref(), own)
            .saturating_sub(skipped)
    }

    /// Number of other hosts that have calls waiting for capacity.
    pub fn waiting_peer_count(&self) -> usize {
        let peers = self.peers.iter();
        let waits = |peer: &&Peer| peer.load.waiting.iter().any(|sum| sum.tokens.0 > 0);
        peers.filter(waits).count()
    }

    /// Tokens of the calls of this priority or a more urgent one that wait for capacity at other hosts;
    /// less urgent ones do not go before a call of this priority. Where only the own group reports
    /// them, the other groups are taken to have as many.
    pub fn peer_waiting_tokens(&self, priority: u8) -> Tokens {
        let sums = self.peers.iter().flat_map(|peer| &peer.load.waiting);
        let before = sums.filter(|sum| sum.priority <= priority);
        let reported: Tokens = before.map(|sum| sum.tokens).sum();
        let reporting = self.competing_peers().max(1) as u64;
        Tokens(reported.0.saturating_mul(self.expected_peers.max(1) as u64) / reporting)
    }

    pub(crate) fn expected_peers(&self) -> usize {
        self.expected_peers
    }

    /// Whether the load of all other hosts is known. Hosts of other groups do not report theirs.
    pub(crate) fn all_peers_known(&self) -> bool {
        self.groups.is_none() && self.peers.len() >= self.expected_peers
    }

    /// Adds (`sign` 1) or subtracts (`sign` -1) the load of one host. The numbers are whole, so the
    /// sums stay exact.
    fn add_peer_load(&mut self, loads: &[ServerLoad], sign: f64) {
        for load in loads {
            let peers = &mut self.server_or_insert(&load.server).peers;
            peers.requests += sign * f64::from(load.requests);
            peers.tokens += sign * load.tokens.0 as f64;
        }
    }
}
