//! Retry budget of model calls.

use std::sync::{Mutex, PoisonError};

use bv_types::Millis;

/// Retries earned by each first attempt.
const RETRIES_PER_ATTEMPT: f64 = 0.1;
/// Retries earned each second, so that light traffic can be retried.
const MIN_RETRIES_PER_SEC: f64 = 3.0;
/// Largest number of unused retries.
const MAX_SAVED_RETRIES: f64 = 30.0;

/// A token bucket that is filled by first attempts and over time.
#[derive(Debug)]
pub(crate) struct RetryBudget(Mutex<Bucket>);

#[derive(Debug)]
struct Bucket {
    retries: f64,
    filled_at: Millis,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget(Mutex::new(Bucket {
            retries: MIN_RETRIES_PER_SEC,
            // The first fill then earns nothing for elapsed time: `Millis` subtraction stops at 0.
            filled_at: Millis::MAX,
        }))
    }
}

impl RetryBudget {
    /// Counts a first attempt.
    pub fn first_attempt(&self, now: Millis) {
        self.fill(now, RETRIES_PER_ATTEMPT);
    }

    /// Takes a retry from the budget; false if none is left.
    pub fn take(&self, now: Millis) -> bool {
        self.fill(now, 0.0);
        let mut bucket = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let allowed = bucket.retries >= 1.0;
        if allowed {
            bucket.retries -= 1.0;
        }
        allowed
    }

    fn fill(&self, now: Millis, earned: f64) {
        let mut bucket = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let elapsed = (now - bucket.filled_at).0 as f64 / 1000.0;
        bucket.filled_at = now;
        let retries = bucket.retries + earned + elapsed * MIN_RETRIES_PER_SEC;
        bucket.retries = retries.min(MAX_SAVED_RETRIES);
    }
}
