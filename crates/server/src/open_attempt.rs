//! Attempts that hold engine memory, and their cancellation.

use std::net::SocketAddr;
use std::sync::Arc;

use bv_types::{AttemptId, BackendId, Millis, RetryReason};
use tracing::{debug, warn};

use crate::{Host, counters};

/// Time between cancels until one is acknowledged.
const CANCEL_INTERVAL: Millis = Millis(250);
/// Time for one cancel.
const CANCEL_TIMEOUT: Millis = Millis(1_000);
/// Cancels sent before an unreachable engine is given up: at least 10 minutes at `CANCEL_INTERVAL`.
const MAX_CANCELS: u32 = 2_400;

/// An attempt at one or two runners; dropping it unfinished cancels it there.
pub(crate) struct OpenAttempt {
    host: Arc<Host>,
    attempt: AttemptId,
    runners: Vec<BackendId>,
}

impl OpenAttempt {
    pub fn new(host: &Arc<Host>, attempt: AttemptId) -> Self {
        OpenAttempt {
            host: host.clone(),
            attempt,
            runners: Vec::new(),
        }
    }

    /// Records that the attempt is sent to a runner.
    pub fn sent_to(&mut self, runner: &BackendId) {
        self.runners.push(runner.clone());
    }

    /// Records that the attempt no longer holds memory at any runner.
    pub fn finish(&mut self) {
        self.runners.clear();
    }
}

impl Drop for OpenAttempt {
    fn drop(&mut self) {
        for runner in self.runners.drain(..) {
            cancel(&self.host, runner, self.attempt.clone());
        }
    }
}

/// Cancels an attempt at a runner until the runner acknowledges.
///
/// A runner that has restarted acknowledges an attempt that it does not know, so the cancels also
/// end when its incarnation changes.
pub(crate) fn cancel(host: &Arc<Host>, runner: BackendId, attempt: AttemptId) {
    let host = host.clone();
    tokio::spawn(async move {
        for _ in 0..MAX_CANCELS {
            let Some(addr) = address(&host, &runner) else {
                debug!(%runner, "model: attempt not cancelled, its runner left the inventory");
                return;
            };
            let abort = host.backends.abort(addr, &attempt);
            match tokio::time::timeout(CANCEL_TIMEOUT.duration(), abort).await {
                Ok(Ok(())) => return,
                Ok(Err(err)) => debug!(%err, %attempt, "model: cancel failed"),
                Err(_) => debug!(%runner, %attempt, "model: cancel not acknowledged in time"),
            }
            counters::retried(RetryReason::CancelRepeated);
            tokio::time::sleep(CANCEL_INTERVAL.duration()).await;
        }
        warn!(%runner, %attempt, "model: cancel was never acknowledged");
    });
}

/// Address of a runner in the configuration in force.
pub(crate) fn address(host: &Host, runner: &BackendId) -> Option<SocketAddr> {
    let inventory = host.conf.current()?.inventory;
    inventory.runner(runner).map(|runner| runner.addr)
}
