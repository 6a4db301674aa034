//! Predicted times from the speeds and sizes of a pool.

use bv_types::{Millis, Tokens};

use crate::{PoolSpec, Request};

impl PoolSpec {
    /// Time to compute a prompt, in milliseconds.
    pub(crate) fn prefill_ms(&self, prompt: Tokens) -> f64 {
        self.prefill.millis_for(prompt.0 as f64)
    }

    /// Time to transfer the KV cache of a prompt, in milliseconds.
    pub(crate) fn transfer_ms(&self, prompt: Tokens) -> f64 {
        self.link
            .millis_for(prompt.0 as f64 * self.kv_per_token.0 as f64)
    }

    /// Time between tokens in a batch, in milliseconds.
    pub(crate) fn gap_ms(&self, batch: u32) -> f64 {
        self.token_gap_ms + self.token_gap_slope_ms * f64::from(batch.saturating_sub(1))
    }

    /// Time to generate the whole output in a batch.
    pub(crate) fn decode_time(&self, output: Tokens, batch: u32) -> Millis {
        ceil_millis(self.gap_ms(batch) * output.0 as f64)
    }

    /// Largest batch, up to the number of slots, that keeps the time between tokens within `gap`.
    pub(crate) fn max_batch(&self, gap: Millis) -> u32 {
        (1..=self.slots)
            .rev()
            .find(|batch| self.gap_ms(*batch) <= gap.0 as f64)
            .unwrap_or(0)
    }

    /// Time from the start of prefill to the first token on idle runners, without zone delays.
    pub(crate) fn service_time(&self, request: &Request) -> Millis {
        let gap = self.gap_ms(1);
        ceil_millis(self.prefill_ms(request.prompt) + self.transfer_ms(request.prompt) + gap)
    }
}

/// Rounds up to whole milliseconds.
pub(crate) fn ceil_millis(ms: f64) -> Millis {
    // The cast saturates: NaN becomes 0 and infinity the largest value.
    Millis(ms.ceil() as u64)
}
