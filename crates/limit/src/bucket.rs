//! Token bucket, filled at a rate up to a capacity.

use bv_types::{Millis, RatePerSec};

/// Units that may be spent, in the unit of the limit.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Bucket {
    /// Below 0 after a request that costs more than the capacity.
    pub level: f64,
    refilled_at: Millis,
}

impl Bucket {
    pub fn new(level: f64, now: Millis) -> Self {
        Bucket {
            level,
            refilled_at: now,
        }
    }

    /// Adds what was earned since the last call. A capacity that was lowered holds at once.
    pub fn refill(&mut self, now: Millis, rate: f64, capacity: f64) {
        let added = rate * (now - self.refilled_at).0 as f64 / 1000.0;
        self.level = (self.level + added).min(capacity);
        self.refilled_at = self.refilled_at.max(now);
    }
}

/// Rate and burst of a limit over all hosts, in units of cost.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// Units per second.
    pub rate: RatePerSec,
    /// Units that may be spent at once beyond the rate.
    pub burst: f64,
    /// Units by which all hosts together may exceed rate and burst in a window, while some do not reach
    /// others.
    pub tolerance: f64,
}

/// Shortest time at the rate that a bucket holds: hosts that were refused ask again only after
/// `CLOSED_TIME`, and what is earned meanwhile must not be lost.
const MIN_CAPACITY_MS: f64 = 300.0;

impl Quota {
    /// What the bucket holds at most.
    pub(crate) fn capacity(&self) -> f64 {
        let least = self.rate.get() * MIN_CAPACITY_MS / 1000.0;
        self.burst.max(least).max(1.0)
    }
}
