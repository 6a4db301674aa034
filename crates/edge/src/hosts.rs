//! The other live hosts, according to their rows in the store.

use std::net::SocketAddr;

use bv_platform::{HostRow, Rows};
use bv_roster::store_intervals;
use bv_types::HostId;

/// Live hosts, without this one.
#[derive(Debug, Clone, Default)]
pub(crate) struct Hosts {
    /// `None` until the rows were read.
    others: Option<Vec<SocketAddr>>,
}

impl Hosts {
    /// Reads the rows of all hosts; unreadable rows are ignored.
    pub fn read(own: &HostId, rows: &Rows) -> Self {
        let is_other = |key: &str| key != own.as_str();
        let lifetime = store_intervals::row_lifetime(rows.rows.len());
        let others = rows.rows.iter().filter(|row| is_other(&row.key));
        let live = others.filter_map(|row| {
            let host = HostRow::decode(row.value.as_ref()?).ok()?;
            (host.written_at + lifetime > rows.store_time).then_some(host.peer_addr)
        });
        Hosts {
            others: Some(live.collect()),
        }
    }

    /// Number of live hosts including this one; `None` before they are known.
    pub fn count(&self) -> Option<usize> {
        self.others.as_ref().map(|others| others.len() + 1)
    }

    /// Addresses of the other hosts.
    pub fn others(&self) -> &[SocketAddr] {
        self.others.as_deref().unwrap_or_default()
    }

    /// The host to query in the given round; successive rounds go through all hosts.
    pub fn peer(&self, round: usize) -> Option<SocketAddr> {
        let others = self.others();
        let at = round.checked_rem(others.len())?;
        Some(others[at])
    }
}
