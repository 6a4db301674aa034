//! Choice of the host that owns a resource which all hosts share.

use std::net::SocketAddr;

use bv_types::{Fingerprint, HostId};

use crate::edge::Edge;

impl Edge {
    /// The host that owns the resource with this key; none if it is this one.
    ///
    /// It is chosen by a rendezvous hash among the hosts that this one hears, so hosts with the same
    /// view choose the same owner, and those with different views may choose several.
    pub fn owner(&self, key: &[u8]) -> Option<SocketAddr> {
        let weight = |host: &HostId| Fingerprint::digest([key, host.as_str().as_bytes()]).0;
        let state = self.state();
        let others = state.hosts.others().iter();
        let heard = others.filter(|host| state.fleet.hears(&host.id));
        let best = heard.max_by_key(|host| weight(&host.id))?;
        (weight(&best.id) > weight(&self.settings.host)).then_some(best.addr)
    }
}
