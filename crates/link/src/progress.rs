//! Progress of an exchange, so that its time limit need not know the size of the answer.

use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bv_types::Millis;
use tokio::time::Instant;

/// Bytes that count as progress. A sender that trickles fewer in the time allowed for a stall counts as
/// stalled.
const MIN_STEP_BYTES: usize = 1 << 10;

/// No bytes, or too few, arrived in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("no progress for {limit} after {received} bytes")]
pub struct Stalled {
    /// Time that was allowed without progress.
    pub limit: Millis,
    /// Bytes that arrived before.
    pub received: u64,
}

/// Time limits of an exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StallLimits {
    /// Longest time until the first bytes of the answer.
    pub first: Millis,
    /// Longest time without progress from then on.
    pub stall: Millis,
}

/// When bytes of an answer last arrived. Clones share it.
///
/// An answer that keeps arriving is not given up, whatever its size, while a silent sender is noticed as
/// soon as one that sends nothing at all.
#[derive(Debug, Clone, Default)]
pub struct Progress(Arc<Mutex<Received>>);

#[derive(Debug, Default)]
struct Received {
    bytes: u64,
    /// Bytes since the last step.
    since_step: usize,
    first_at: Option<Instant>,
    step_at: Option<Instant>,
}

impl Progress {
    fn lock(&self) -> MutexGuard<'_, Received> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins another exchange on the same connection.
    pub fn restart(&self) {
        *self.lock() = Received::default();
    }

    /// Records that bytes arrived.
    pub fn record(&self, bytes: usize) {
        let mut received = self.lock();
        received.bytes += bytes as u64;
        received.since_step += bytes;
        let is_first = received.first_at.is_none();
        if is_first || received.since_step >= MIN_STEP_BYTES {
            let now = Instant::now();
            received.first_at.get_or_insert(now);
            received.step_at = Some(now);
            received.since_step = 0;
        }
    }

    /// Bytes that arrived in this exchange.
    pub fn bytes(&self) -> u64 {
        self.lock().bytes
    }

    /// Time since the first bytes of the answer arrived; none before.
    pub fn receiving_for(&self) -> Option<Millis> {
        let first_at = self.lock().first_at?;
        Some(Millis(first_at.elapsed().as_millis() as u64))
    }

    /// Completes when no answer is being received, or it has made no progress for `stall`.
    pub async fn stalled(&self, stall: Millis) {
        loop {
            let step_at = self.lock().step_at;
            let Some(until) = step_at.map(|at| at + stall.duration()) else {
                return;
            };
            if Instant::now() >= until {
                return;
            }
            tokio::time::sleep_until(until).await;
        }
    }

    /// Runs an exchange whose bytes are recorded here until it ends or stalls.
    ///
    /// # Errors
    /// No progress within `limits`.
    pub async fn watch<F: Future>(
        &self,
        limits: StallLimits,
        exchange: F,
    ) -> Result<F::Output, Stalled> {
        let began = Instant::now();
        let mut exchange = pin!(exchange);
        loop {
            let step_at = self.lock().step_at;
            let (until, limit) = match step_at {
                Some(at) => (at + limits.stall.duration(), limits.stall),
                None => (began + limits.first.duration(), limits.first),
            };
            tokio::select! {
                biased;
                output = &mut exchange => return Ok(output),
                () = tokio::time::sleep_until(until) => {}
            }
            let received = self.lock();
            if received.step_at == step_at {
                return Err(Stalled {
                    limit,
                    received: received.bytes,
                });
            }
        }
    }
}
