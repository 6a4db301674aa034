//! The bucket of one team at its owner, and the demand of the hosts that it is lent to.

use bv_types::{HostId, Millis};

use crate::bucket::{Bucket, Quota};

/// Time for which unmet demand of a host takes precedence over hosts that were granted more.
const UNMET_DEMAND_TIME: Millis = Millis(300);
/// Half-life of the count of units that a host was granted.
const GRANTED_HALF_LIFE_MS: f64 = 1_000.0;
/// Time after which the demand of a host that requests no allowance is removed.
const DEMAND_EXPIRY: Millis = Millis(5_000);

/// Recent demand of one host.
#[derive(Debug, Clone)]
struct Demand {
    host: HostId,
    /// Part of the host's latest request for an allowance that was not granted.
    unmet: f64,
    /// Granted units, decayed until `updated_at`.
    granted: f64,
    updated_at: Millis,
}

impl Demand {
    fn granted_at(&self, now: Millis) -> f64 {
        let age = (now - self.updated_at).0 as f64;
        self.granted * (-age / GRANTED_HALF_LIFE_MS).exp2()
    }

    fn unmet_at(&self, now: Millis) -> f64 {
        match now < self.updated_at + UNMET_DEMAND_TIME {
            true => self.unmet,
            false => 0.0,
        }
    }

    /// Units to leave in the bucket for this host while another host, which was recently granted
    /// `other_granted`, takes from it.
    fn reserved(&self, now: Millis, other_granted: f64) -> f64 {
        let deficit = (other_granted - self.granted_at(now)).max(0.0);
        deficit.min(self.unmet_at(now))
    }
}

/// What a host wants of a team's bucket.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Want {
    /// Smallest useful part: the cost of the first waiting request.
    pub least: u64,
    /// Cost of the requests that wait.
    pub waiting: u64,
    /// Cost of the requests that the host expects soon.
    pub ahead: u64,
}

/// Bucket of one team.
#[derive(Debug, Clone)]
pub(crate) struct Lender {
    bucket: Bucket,
    demands: Vec<Demand>,
}

impl Lender {
    pub fn new(level: f64, now: Millis) -> Self {
        Lender {
            bucket: Bucket::new(level, now),
            demands: Vec::new(),
        }
    }

    /// Units in the bucket.
    pub fn level(&self) -> f64 {
        self.bucket.level
    }

    /// Fills the bucket with a part of the quota, from 0 to 1.
    pub fn refill(&mut self, now: Millis, quota: Quota, part: f64) {
        let capacity = quota.capacity() * part;
        self.bucket.refill(now, quota.rate.get() * part, capacity);
    }

    /// Grants a host as much as the bucket and the demand of other hosts allow. What is only expected is
    /// granted from the upper half of the bucket, so that it is not kept from requests that wait.
    pub fn take(&mut self, now: Millis, capacity: f64, host: &HostId, want: Want) -> u64 {
        let before = self.granted(now, host);
        let others = self.demands.iter().filter(|demand| demand.host != *host);
        let reserved: f64 = others.map(|demand| demand.reserved(now, before)).sum();
        let available = (self.bucket.level - reserved).floor().max(0.0) as u64;
        let spare = (self.bucket.level - reserved - capacity / 2.0).max(0.0) as u64;
        let is_full = self.bucket.level >= capacity;
        let granted = match want.waiting.min(available) {
            // A request that costs more than the capacity could never run otherwise.
            part if part < want.least && is_full => want.least,
            part if part < want.least => 0,
            part => part + want.ahead.min(spare.saturating_sub(part)),
        };
        self.bucket.level -= granted as f64;
        let unmet = want.waiting.saturating_sub(granted) as f64;
        self.record_demand(now, host, unmet, before + granted as f64);
        granted
    }

    /// Takes back units that a host did not use; at most what it was granted recently.
    pub fn give_back(&mut self, now: Millis, host: &HostId, units: u64) {
        let Some(demand) = self.demands.iter_mut().find(|other| other.host == *host) else {
            return;
        };
        let granted = demand.granted_at(now);
        let returned = (units as f64).min(granted);
        demand.granted = granted - returned;
        demand.updated_at = demand.updated_at.max(now);
        self.bucket.level += returned;
    }

    /// Units that hosts wanted recently and were not granted.
    pub fn unmet(&self, now: Millis) -> f64 {
        self.demands.iter().map(|demand| demand.unmet_at(now)).sum()
    }

    /// Removes the demand of a host.
    pub fn forget(&mut self, host: &HostId) {
        self.demands.retain(|demand| demand.host != *host);
    }

    /// Units that a host was granted, decayed until now.
    fn granted(&self, now: Millis, host: &HostId) -> f64 {
        let demand = self.demands.iter().find(|demand| demand.host == *host);
        demand.map_or(0.0, |demand| demand.granted_at(now))
    }

    fn record_demand(&mut self, now: Millis, host: &HostId, unmet: f64, granted: f64) {
        self.demands
            .retain(|demand| demand.host != *host && now < demand.updated_at + DEMAND_EXPIRY);
        self.demands.push(Demand {
            host: host.clone(),
            unmet,
            granted,
            updated_at: now,
        });
    }
}
