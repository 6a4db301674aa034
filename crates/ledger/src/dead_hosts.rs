//! Processes of entry hosts that are known to have ended.

use bv_types::{HostId, Incarnation};

/// The highest ended incarnation of each host, sorted by host.
#[derive(Debug, Default)]
pub(crate) struct DeadHosts(Vec<(HostId, Incarnation)>);

impl DeadHosts {
    pub fn add(&mut self, host: HostId, incarnation: Incarnation) {
        match self.0.binary_search_by(|(known, _)| known.cmp(&host)) {
            Ok(index) => self.0[index].1 = self.0[index].1.max(incarnation),
            Err(index) => self.0.insert(index, (host, incarnation)),
        }
    }

    pub fn contains(&self, host: &HostId, incarnation: Incarnation) -> bool {
        match self.0.binary_search_by(|(known, _)| known.cmp(host)) {
            Ok(index) => incarnation <= self.0[index].1,
            Err(_) => false,
        }
    }
}
