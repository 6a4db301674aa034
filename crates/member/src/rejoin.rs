//! Pings to seeds and dead members, to join and to heal partitions.

use std::net::SocketAddr;

use bv_types::Millis;
use fastrand::Rng;

use crate::table::Table;
use crate::timing::{JOIN_PERIOD, REJOIN_PERIOD};

/// Schedule of pings to hosts that are not live members and so are not probed.
#[derive(Debug)]
pub(crate) struct RejoinPings {
    seeds: Vec<SocketAddr>,
    next_at: Millis,
}

impl RejoinPings {
    /// Creates the schedule; seeds with this host's own address are left out.
    pub fn new(mut seeds: Vec<SocketAddr>, own: SocketAddr, now: Millis) -> Self {
        seeds.retain(|addr| *addr != own);
        RejoinPings {
            seeds,
            next_at: now,
        }
    }

    /// Addresses to ping now: all seeds while no member is known, else one seed that is not a
    /// live member or one dead member.
    pub fn due(&mut self, now: Millis, table: &Table, rng: &mut Rng) -> Vec<SocketAddr> {
        if now < self.next_at {
            return Vec::new();
        }
        let alone = table.alive().next().is_none();
        let period = if alone { JOIN_PERIOD } else { REJOIN_PERIOD };
        self.next_at = now + period;
        let mut missing: Vec<SocketAddr> = table.dead().map(|e| e.member.addr).collect();
        missing.extend(&self.seeds);
        missing.retain(|addr| !table.has_live_addr(*addr));
        missing.sort_unstable();
        missing.dedup();
        let mut addrs = if alone {
            self.seeds.clone()
        } else {
            Vec::new()
        };
        addrs.extend(rng.choice(missing));
        addrs.sort_unstable();
        addrs.dedup();
        addrs
    }
}
