//! The bucket of one team at its owner, and the demand of the hosts that it is lent to.

use bv_types::{HostId, Millis};

use crate::bucket::{Bucket, Quota};

/// Time for which unmet demand of a host takes precedence over hosts that were granted more.
const UNMET_DEMAND_TIME: Millis = Millis(300);
/// Half-life of the count of units that a host was granted.
const GRANTED_HALF_LIFE_MS: f64 = 1_000.0;
/// Time after which the demand of a host that requests no allowance is removed.
const DEMAND_EXPIRY: Millis = Millis(5_000);

/// Time without a request after which a host may be cut off. Hosts with demand ask every 250 ms.
const SILENT_AFTER: Millis = Millis(300);
/// Time after which a host that is cut off is no longer heard, with up to 350 hosts, so that the bucket is
/// filled with a smaller part of the quota.
const SILENT_UNTIL: Millis = Millis(3_500);
/// Part of the tolerance that silent hosts may use, so that the bucket of a team below its quota is not
/// emptied for hosts that have no demand.
const SILENT_TOLERANCE: f64 = 0.3;

/// Recent demand of one host.
#[derive(Debug, Clone)]
struct Demand {
    host: HostId,
    /// Part of the host's latest request for an allowance that was not granted.
    unmet: f64,
    /// Granted units, decayed until `updated_at`.
    granted: f64,
    updated_at: Millis,
    /// When the host last asked, and its rate of granted units per second before that.
    asked_at: Millis,
    rate: f64,
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

    /// Units that the host may have spent without asking: hosts that do not reach the owner go on at the
    /// rate of their latest grants. What it did before its latest request is an unbiased sample.
    fn unasked(&self, now: Millis) -> f64 {
        let age = now - self.asked_at;
        match (SILENT_AFTER..SILENT_UNTIL).contains(&age) {
            true => self.rate * age.0 as f64 / 1000.0,
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
    /// Units that are kept from the bucket, since silent hosts may spend them without asking.
    kept: f64,
}

impl Lender {
    pub fn new(level: f64, now: Millis) -> Self {
        Lender {
            bucket: Bucket::new(level, now),
            demands: Vec::new(),
            kept: 0.0,
        }
    }

    /// Units in the bucket.
    pub fn level(&self) -> f64 {
        self.bucket.level
    }

    /// Fills the bucket with a part of the quota, from 0 to 1.
    fn refill(&mut self, now: Millis, quota: Quota, part: f64) {
        let capacity = quota.capacity() * part;
        let kept = self.to_keep(now, quota);
        self.bucket.level += std::mem::replace(&mut self.kept, kept) - kept;
        self.bucket.refill(now, quota.rate.get() * part, capacity);
    }

    /// Units that silent hosts may have spent, beyond those that the tolerance covers.
    fn to_keep(&self, now: Millis, quota: Quota) -> f64 {
        let unasked: f64 = self.demands.iter().map(|demand| demand.unasked(now)).sum();
        (unasked - quota.tolerance * SILENT_TOLERANCE).max(0.0)
    }

    /// Fills the bucket, and grants a host as much of it as it and the demand of other hosts allow. What is only expected is
    /// granted from the upper half of the bucket, so that it is not kept from requests that wait.
    pub fn take(
        &mut self,
        now: Millis,
        (quota, part): (Quota, f64),
        host: &HostId,
        want: Want,
    ) -> u64 {
        if let Some(demand) = self.demands.iter_mut().find(|other| other.host == *host) {
            demand.asked_at = now;
        }
        self.refill(now, quota, part);
        let capacity = quota.capacity() * part;
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
        self.record_demand(now, host, unmet, (before, granted as f64));
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

    /// Removes the demand of hosts.
    pub fn forget(&mut self, is_gone: impl Fn(&HostId) -> bool) {
        self.demands.retain(|demand| !is_gone(&demand.host));
    }

    /// Counts as spent what is kept for hosts that were forgotten.
    pub fn spend_kept(&mut self, now: Millis, quota: Quota) {
        self.kept = self.kept.min(self.to_keep(now, quota));
    }

    /// Units that a host was granted, decayed until now.
    fn granted(&self, now: Millis, host: &HostId) -> f64 {
        let demand = self.demands.iter().find(|demand| demand.host == *host);
        demand.map_or(0.0, |demand| demand.granted_at(now))
    }

    fn record_demand(
        &mut self,
        now: Millis,
        host: &HostId,
        unmet: f64,
        (before, granted): (f64, f64),
    ) {
        self.demands
            .retain(|demand| demand.host != *host && now < demand.updated_at + DEMAND_EXPIRY);
        self.demands.push(Demand {
            host: host.clone(),
            unmet,
            granted: before + granted,
            updated_at: now,
            asked_at: now,
            rate: before * std::f64::consts::LN_2 * 1_000.0 / GRANTED_HALF_LIFE_MS,
        });
    }
}
