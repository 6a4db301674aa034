//! Groups of hosts in large availability zones, so that what a host tells others of its load does not
//! grow with the number of hosts.
//!
//! Load: in a zone of 75 hosts whose load changes all the time, each host sent 26 updates a second to 74
//! others, and received as many from each of them. Hosts therefore tell their load to the others of
//! their group only. The engines of the zone are dealt to the groups as well, and a host prefers
//! those of its own group, so that hosts that rarely hear of each other's load rarely choose the same
//! engine. Nobody appoints the groups: each host derives them from its list of live hosts.

use std::net::SocketAddr;

use bv_roster::HostEntry;
use bv_types::{BackendId, HostId, ZoneId};

/// Number of hosts up to which a zone is not divided.
pub const MAX_UNDIVIDED_ZONE: usize = 32;
/// Usual number of hosts in a group.
const GROUP_SIZE: usize = 16;

/// Digest of a host id, by which presence is relayed between groups.
pub type HostDigest = u32;

/// The groups of all hosts, as one host sees them. A zone that is not divided is one group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostGroups {
    zone: Option<ZoneId>,
    /// Number of groups of this host's zone.
    zone_groups: usize,
    /// Number of this host's group.
    own: usize,
    /// The other hosts of this host's group, sorted by id.
    near: Vec<(HostId, SocketAddr)>,
    /// The hosts of each other group, of all zones.
    far: Vec<Vec<SocketAddr>>,
    /// All other hosts, sorted by digest.
    by_digest: Vec<(HostDigest, HostId)>,
}

impl HostGroups {
    /// The groups of these hosts; none if no zone has more than [`MAX_UNDIVIDED_ZONE`] hosts.
    pub fn new(own: &HostEntry, others: &[HostEntry]) -> Option<Self> {
        let mut hosts: Vec<&HostEntry> = others.iter().chain([own]).collect();
        hosts.sort_by(|a, b| (&a.zone, &a.id).cmp(&(&b.zone, &b.id)));
        let zones = || hosts.chunk_by(|a, b| a.zone == b.zone);
        if zones().all(|zone| zone.len() <= MAX_UNDIVIDED_ZONE) {
            return None;
        }
        let mut groups = HostGroups {
            zone: own.zone.clone(),
            zone_groups: 1,
            own: 0,
            near: Vec::new(),
            far: Vec::new(),
            by_digest: others
                .iter()
                .map(|host| (host_digest(&host.id), host.id.clone()))
                .collect(),
        };
        groups.by_digest.sort_unstable();
        for zone in zones() {
            let count = group_count(zone.len());
            let mut members = vec![Vec::new(); count];
            for host in zone {
                members[group_of(host.id.as_str(), count)].push(*host);
            }
            if zone[0].zone == own.zone {
                groups.zone_groups = count;
                groups.own = group_of(own.id.as_str(), count);
                let near = members.swap_remove(groups.own);
                groups.near = near
                    .into_iter()
                    .filter(|host| host.id != own.id)
                    .map(|host| (host.id.clone(), host.addr))
                    .collect();
            }
            let addresses = |group: Vec<&HostEntry>| group.iter().map(|host| host.addr).collect();
            let far = members.into_iter().filter(|group| !group.is_empty());
            groups.far.extend(far.map(addresses));
        }
        Some(groups)
    }

    /// Addresses of the other hosts of this host's group.
    pub fn near(&self) -> impl Iterator<Item = SocketAddr> {
        self.near.iter().map(|(_, addr)| *addr)
    }

    /// Number of other hosts of this host's group.
    pub fn near_count(&self) -> usize {
        self.near.len()
    }

    /// Whether a host belongs to this host's group.
    pub fn is_near(&self, host: &HostId) -> bool {
        self.near.binary_search_by(|(id, _)| id.cmp(host)).is_ok()
    }

    /// Addresses of the hosts of each other group.
    pub fn far(&self) -> &[Vec<SocketAddr>] {
        &self.far
    }

    /// The host with this digest; none if two have it.
    pub fn host(&self, digest: HostDigest) -> Option<&HostId> {
        let at = self.by_digest.partition_point(|(known, _)| *known < digest);
        let mut found = self.by_digest[at..]
            .iter()
            .take_while(|(known, _)| *known == digest);
        let (_, host) = found.next()?;
        found.next().is_none().then_some(host)
    }

    /// Whether an engine of this host's zone was dealt to another group.
    pub fn is_of_other_group(&self, engine: &BackendId, zone: &ZoneId) -> bool {
        self.zone.as_ref() == Some(zone) && group_of(engine.as_str(), self.zone_groups) != self.own
    }
}

/// Number of groups of a zone with this many hosts.
fn group_count(hosts: usize) -> usize {
    match hosts <= MAX_UNDIVIDED_ZONE {
        true => 1,
        false => hosts.div_ceil(GROUP_SIZE),
    }
}

/// The group that a host or an engine belongs to, by a rendezvous hash: when the number of groups
/// changes by one, few move.
fn group_of(id: &str, groups: usize) -> usize {
    let key = hash(id);
    let groups = 0..groups;
    groups
        .max_by_key(|group| mix(key ^ mix(*group as u64 + 1)))
        .unwrap_or(0)
}

/// Digest of a host's id.
pub fn host_digest(host: &HostId) -> HostDigest {
    (mix(hash(host.as_str())) >> 32) as HostDigest
}

/// FNV-1a: a placement computes it for each engine of the zone, for which SHA-256 is too slow.
fn hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

/// The finalizer of SplitMix64.
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
