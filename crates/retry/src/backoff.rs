//! Exponential backoff with full jitter.

use bv_types::Millis;
use fastrand::Rng;

/// Largest delay before the first retry; doubled for each further retry.
const BASE_DELAY: Millis = Millis(25);
/// Upper bound of the delay before any retry.
const MAX_DELAY: Millis = Millis(1_000);

/// Delays before retries, from a seeded generator.
#[derive(Debug, Clone)]
pub struct Backoff {
    rng: Rng,
}

impl Backoff {
    /// Creates a backoff whose random delays follow from `seed`.
    pub fn new(seed: u64) -> Self {
        Backoff {
            rng: Rng::with_seed(seed),
        }
    }

    /// Draws the delay before retry number `retry`, counted from 0, evenly from 0 to
    /// [`Backoff::longest`].
    pub fn delay(&mut self, retry: u32) -> Millis {
        Millis(self.rng.u64(..=Backoff::longest(retry).0))
    }

    /// Longest delay before retry number `retry`: 25 ms for the first one, doubled for each
    /// further one up to 1 s.
    pub fn longest(retry: u32) -> Millis {
        let factor = 1_u64.checked_shl(retry).unwrap_or(u64::MAX);
        Millis(BASE_DELAY.0.saturating_mul(factor)).min(MAX_DELAY)
    }
}
