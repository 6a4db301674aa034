//! The other live hosts, according to their rows in the store.

use std::net::SocketAddr;

use bv_platform::{HostRow, Rows};
use bv_roster::{HostEntry, store_intervals};
use bv_types::{Era, Fingerprint, HostId, Millis, ZoneId};
use bytes::Bytes;

/// Live hosts, without this one.
#[derive(Debug, Clone, Default)]
pub(crate) struct Hosts {
    /// `None` until the rows were read; sorted by id.
    others: Option<Vec<HostEntry>>,
    /// Digest of all live hosts, this one included.
    digest: u64,
}

impl Hosts {
    /// Reads the rows of all hosts; unreadable rows are ignored.
    pub fn read(own: &HostEntry, rows: &Rows) -> Self {
        let count = recent_count(rows);
        let live = rows.rows.iter().filter_map(|row| {
            let host = HostRow::decode(row.value.as_ref()?).ok()?;
            let entry = HostEntry {
                id: HostId::try_from(row.key.clone()).ok()?,
                zone: host.zone,
                addr: host.peer_addr,
            };
            let is_live = store_intervals::is_row_live(count, host.written_at, rows.store_time);
            is_live.then_some(entry)
        });
        Hosts::from_entries(own, live)
    }

    /// The hosts among these entries, which may include this one.
    pub fn from_entries(own: &HostEntry, entries: impl Iterator<Item = HostEntry>) -> Self {
        // At its own address, a host would only ask itself.
        let is_other = |entry: &HostEntry| entry.id != own.id && entry.addr != own.addr;
        let mut others: Vec<HostEntry> = entries.filter(is_other).collect();
        others.sort_by(|a, b| a.id.cmp(&b.id));
        let digest = digest(own, &others);
        Hosts {
            others: Some(others),
            digest,
        }
    }

    /// Number of live hosts including this one; `None` before they are known.
    pub fn count(&self) -> Option<usize> {
        self.others.as_ref().map(|others| others.len() + 1)
    }

    /// Digest of all live hosts, the same on hosts with the same list; 0 before they are known.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The other hosts.
    pub fn others(&self) -> &[HostEntry] {
        self.others.as_deref().unwrap_or_default()
    }

    /// Addresses of the other hosts of this zone, and of those of other zones.
    pub fn addresses_by_zone(&self, own: &ZoneId) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let (near, remote): (Vec<&HostEntry>, Vec<&HostEntry>) = self
            .others()
            .iter()
            .partition(|host| host.zone.as_ref() == Some(own));
        let addresses = |hosts: Vec<&HostEntry>| hosts.iter().map(|host| host.addr).collect();
        (addresses(near), addresses(remote))
    }

    /// The host to query in the given round; successive rounds go through all hosts.
    pub fn peer(&self, round: usize) -> Option<SocketAddr> {
        let others = self.others();
        let at = round.checked_rem(others.len())?;
        Some(others[at].addr)
    }
}

/// Hosts that were known before the store was restored from an older copy.
///
/// The copy lacks the rows of hosts that started since, and those that it has are older by the lost
/// time, so that they may have expired. Without these hosts the others would divide the retry budget
/// among fewer hosts. Each host writes its row again within seconds.
#[derive(Debug, Default)]
pub(crate) struct RestoredHosts {
    /// Era in which the rows of hosts were read last.
    era: Option<Era>,
    kept: Vec<HostEntry>,
    keep_until: Millis,
}

impl RestoredHosts {
    /// Adds the hosts that are kept to those of the rows that were read in `era`.
    pub fn complete(
        &mut self,
        now: Millis,
        own: &HostEntry,
        before: &Hosts,
        (era, read): (Era, Hosts),
    ) -> Hosts {
        if self.era.replace(era).is_some_and(|known| known < era) {
            self.kept = before.others().to_vec();
            let hosts = before.count().unwrap_or_default();
            self.keep_until = now + store_intervals::row_lifetime(hosts);
        }
        if now >= self.keep_until {
            self.kept.clear();
        }
        let missing = |kept: &&HostEntry| !read.others().iter().any(|host| host.id == kept.id);
        let missing: Vec<HostEntry> = self.kept.iter().filter(missing).cloned().collect();
        match missing.is_empty() {
            true => read,
            false => Hosts::from_entries(own, read.others().iter().cloned().chain(missing)),
        }
    }
}

/// Number of rows that were written recently. Rows of hosts that are gone for good stay in the table.
pub(crate) fn recent_count(rows: &Rows) -> usize {
    let is_recent = |body: &Bytes| {
        // The lifetime of rows is longest with many hosts.
        HostRow::decode(body).is_ok_and(|host| {
            store_intervals::is_row_live(usize::MAX, host.written_at, rows.store_time)
        })
    };
    let bodies = rows.rows.iter().filter_map(|row| row.value.as_ref());
    bodies.filter(|body| is_recent(body)).count()
}

fn digest(own: &HostEntry, others: &[HostEntry]) -> u64 {
    let mut lines: Vec<String> = others
        .iter()
        .chain([own])
        .map(|host| {
            let zone = host.zone.as_ref().map_or("", |zone| zone.as_str());
            format!("{} {zone} {}", host.id, host.addr)
        })
        .collect();
    lines.sort_unstable();
    let Fingerprint([a, b, c, d, e, f, g, h, ..]) =
        Fingerprint::digest(lines.iter().map(String::as_bytes));
    u64::from_le_bytes([a, b, c, d, e, f, g, h])
}
