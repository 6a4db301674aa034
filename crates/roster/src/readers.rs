//! Which hosts read the tables of the store for the others.
//!
//! Nobody appoints the readers. Each host derives them from its list of live hosts by rendezvous
//! hashing. Hosts with different lists may ask a host that is no reader; it answers with what it
//! has, and the age of that decides.

use std::net::SocketAddr;

use bv_types::{Fingerprint, HostId, ZoneId};

/// A live host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostEntry {
    /// Id of the host.
    pub id: HostId,
    /// Its availability zone, if known.
    pub zone: Option<ZoneId>,
    /// Its address for other hosts.
    pub addr: SocketAddr,
}

/// Order in which hosts take over the reading of the store: the readers, one of each zone, and then
/// all other hosts.
#[derive(Debug, Clone, Default)]
pub(crate) struct ReaderOrder<'a> {
    /// All hosts in that order.
    hosts: Vec<&'a HostEntry>,
    /// Number of readers at its begin.
    readers: usize,
}

impl<'a> ReaderOrder<'a> {
    /// The order of these hosts. The reader of a zone is the host with the highest weight. Hosts
    /// without a known zone form a group of their own.
    pub fn new(own: &'a HostEntry, others: &'a [HostEntry]) -> Self {
        let mut ranked: Vec<(&Option<ZoneId>, Fingerprint, &HostEntry)> = others
            .iter()
            .chain([own])
            .map(|host| (&host.zone, weight("reader", &host.id), host))
            .collect();
        ranked.sort_by(|a, b| (a.0, b.1).cmp(&(b.0, a.1)));
        let mut hosts = Vec::with_capacity(ranked.len());
        let mut rest = Vec::with_capacity(ranked.len());
        for zone in ranked.chunk_by(|a, b| a.0 == b.0) {
            hosts.push(zone[0].2);
            rest.extend_from_slice(&zone[1..]);
        }
        let readers = hosts.len();
        rest.sort_by_key(|(_, weight, _)| *weight);
        hosts.extend(rest.iter().map(|(_, _, host)| *host));
        ReaderOrder { hosts, readers }
    }

    /// The readers.
    pub fn readers(&self) -> &[&'a HostEntry] {
        &self.hosts[..self.readers]
    }

    /// All hosts, the readers first.
    pub fn hosts(&self) -> &[&'a HostEntry] {
        &self.hosts
    }
}

pub(crate) fn weight(key: &str, host: &HostId) -> Fingerprint {
    Fingerprint::digest([key.as_bytes(), host.as_str().as_bytes()])
}
