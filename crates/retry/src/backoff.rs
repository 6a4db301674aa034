//! Exponential backoff with full jitter.

use bv_types::Millis;
use fastrand::Rng;

const BASE: Millis = Millis(25);
const CAP: Millis = Millis(1_000);

/// Delays before retries, from a seeded generator.
#[derive(Debug, Clone)]
pub struct Backoff {
    rng: Rng,
}

impl Backoff {
    /// Delays drawn from this seed.
    pub fn new(seed: u64) -> Self {
        Backoff {
            rng: Rng::with_seed(seed),
        }
    }

    /// Delay before a retry, counted from 0: up to 25 ms, doubling to 1 s.
    pub fn delay(&mut self, retry: u32) -> Millis {
        Millis(self.rng.u64(..=Backoff::longest(retry).0))
    }

    /// The longest delay before a retry.
    pub fn longest(retry: u32) -> Millis {
        let factor = 1_u64.checked_shl(retry).unwrap_or(u64::MAX);
        Millis(BASE.0.saturating_mul(factor)).min(CAP)
    }
}
