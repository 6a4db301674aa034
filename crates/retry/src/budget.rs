//! Retry budget of a group of backend servers.

use bv_types::Millis;

/// Retry tokens that each first attempt earns.
const TOKENS_PER_ATTEMPT: f64 = 0.1;
/// Retries per second that are allowed at any load.
const MIN_RETRIES_PER_SEC: f64 = 3.0;
/// Upper bound of the tokens saved from earlier first attempts.
const MAX_EARNED_TOKENS: f64 = 20.0;

/// Allows retries for a tenth of the first attempts, and at least 3 a second.
#[derive(Debug, Clone)]
pub struct Budget {
    earned_tokens: f64,
    minimum_tokens: f64,
    refilled_at: Millis,
}

impl Budget {
    /// Creates a budget that holds one second of the minimum rate.
    pub fn new(now: Millis) -> Self {
        Budget {
            earned_tokens: 0.0,
            minimum_tokens: MIN_RETRIES_PER_SEC,
            refilled_at: now,
        }
    }

    /// Counts the first attempt of a request.
    pub fn first_attempt(&mut self, now: Millis) {
        self.refill(now);
        self.earned_tokens = (self.earned_tokens + TOKENS_PER_ATTEMPT).min(MAX_EARNED_TOKENS);
    }

    /// Takes one retry from the budget; returns whether the budget allows it.
    pub fn take(&mut self, now: Millis) -> bool {
        self.refill(now);
        if self.earned_tokens < 1.0 && self.minimum_tokens < 1.0 {
            return false;
        }
        // Both are charged, so that the larger of the two allowances applies, not their sum.
        self.earned_tokens = (self.earned_tokens - 1.0).max(0.0);
        self.minimum_tokens = (self.minimum_tokens - 1.0).max(0.0);
        true
    }

    fn refill(&mut self, now: Millis) {
        let seconds = (now - self.refilled_at).0 as f64 / 1_000.0;
        self.minimum_tokens =
            (self.minimum_tokens + seconds * MIN_RETRIES_PER_SEC).min(MIN_RETRIES_PER_SEC);
        self.refilled_at = self.refilled_at.max(now);
    }
}
