//! Engine crashes and the requests that cause them.

use bv_types::{BackendId, Fingerprint};
use tracing::warn;

use crate::{Host, counters};

/// Notes that the connection to a runner was lost while attempts were in flight there.
pub(crate) fn engine_crashed(host: &Host, runner: &BackendId) {
    let in_flight = host.placement.in_flight(runner);
    warn!(%runner, in_flight = in_flight.len(), "model: lost the engine");
    counters::engine_crashed();
}

/// Whether requests with this content are refused because they crash engines.
pub(crate) fn is_convicted(_host: &Host, _fingerprint: &Fingerprint) -> bool {
    false
}
