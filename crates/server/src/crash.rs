//! Engine crashes and the requests that cause them.

use std::sync::Arc;

use bv_types::{BackendId, Fingerprint, Millis};
use tracing::warn;

use crate::open_attempt::address;
use crate::{Host, counters};

/// Time for a runner to show that it is alive.
const PROBE_TIMEOUT: Millis = Millis(300);

/// Finds out whether a runner to which a connection was lost has crashed.
///
/// A connection may also break while the engine runs on, and the requests there are not to blame.
pub(crate) fn connection_lost(host: &Arc<Host>, runner: &BackendId) {
    let in_flight = host.placement.in_flight(runner);
    let (host, runner) = (host.clone(), runner.clone());
    tokio::spawn(async move {
        let Some(addr) = address(&host, &runner) else {
            return;
        };
        let load = host.engines.load(addr);
        let answer = tokio::time::timeout(PROBE_TIMEOUT.duration(), load).await;
        if !matches!(answer, Ok(Ok(_))) {
            engine_crashed(&host, &runner, &in_flight);
        }
    });
}

/// Notes that a runner crashed with these requests in flight.
fn engine_crashed(_host: &Host, runner: &BackendId, in_flight: &[Fingerprint]) {
    warn!(%runner, in_flight = in_flight.len(), "model: engine crashed");
    counters::engine_crashed();
}

/// Whether requests with this content are refused because they crash engines.
pub(crate) fn is_convicted(_host: &Host, _fingerprint: &Fingerprint) -> bool {
    false
}
