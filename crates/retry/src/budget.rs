//! Retry budget of a group of backend servers.

use bv_types::Millis;

/// Tokens added by each first attempt.
const PER_ATTEMPT: f64 = 0.1;
/// Retries a second that are allowed whatever the load.
const MIN_PER_SEC: f64 = 3.0;
/// Largest number of retries saved up from earlier first attempts.
const MAX_SAVED: f64 = 20.0;

/// Allows retries for a tenth of the first attempts, and at least 3 a second.
#[derive(Debug, Clone)]
pub struct Budget {
    earned: f64,
    floor: f64,
    at: Millis,
}

impl Budget {
    /// A budget that starts with one second of the smallest rate.
    pub fn new(now: Millis) -> Self {
        Budget {
            earned: 0.0,
            floor: MIN_PER_SEC,
            at: now,
        }
    }

    /// Counts the first attempt of a request.
    pub fn first_attempt(&mut self, now: Millis) {
        self.refill(now);
        self.earned = (self.earned + PER_ATTEMPT).min(MAX_SAVED);
    }

    /// Takes one retry if the budget allows it.
    pub fn take(&mut self, now: Millis) -> bool {
        self.refill(now);
        if self.earned < 1.0 && self.floor < 1.0 {
            return false;
        }
        // Both are charged, so that the larger of the two allowances applies, not their sum.
        self.earned = (self.earned - 1.0).max(0.0);
        self.floor = (self.floor - 1.0).max(0.0);
        true
    }

    fn refill(&mut self, now: Millis) {
        let seconds = (now - self.at).0 as f64 / 1_000.0;
        self.floor = (self.floor + seconds * MIN_PER_SEC).min(MIN_PER_SEC);
        self.at = self.at.max(now);
    }
}
