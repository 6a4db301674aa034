//! Graceful stop on SIGTERM.

use std::sync::Arc;

use bv_types::Millis;
use tokio::sync::watch;
use tracing::info;

use crate::edge::Edge;

/// Time after the signal until idle connections are closed. The load balancer checks readiness once
/// a second and stops sending callers after two failed checks. Requests that are read later could
/// not be finished within the grace period.
const IDLE_CLOSE_DELAY: Millis = Millis(3_200);
/// Time before the end of the grace period at which the process exits in any case.
const END_MARGIN: Millis = Millis(300);
/// Time before the exit from which on no connection is accepted: the longest deadline of a plain
/// call, so that every request that was read is also answered.
const LAST_ACCEPT_MARGIN: Millis = Millis(1_500);
/// Interval at which the end of the drain is checked.
const POLL_INTERVAL: Millis = Millis(50);

/// Phase of the graceful stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum DrainPhase {
    /// Connections stay open.
    Serving,
    /// Open connections close as soon as they are idle; new ones serve one request.
    CloseIdle,
    /// No connection is accepted; the remaining ones close as soon as they are idle.
    StopAccepting,
}

/// Waits until all requests are answered or the grace period ends, and closes callers' connections
/// in steps.
pub(crate) async fn drain(edge: &Arc<Edge>, drain_tx: &watch::Sender<DrainPhase>) {
    let began = edge.now();
    edge.stop();
    info!(
        in_progress = edge.in_progress(),
        connections = edge.connections(),
        "stop: reported as not ready, still serving open connections"
    );
    let grace = edge.settings.grace_period;
    let close_idle_at = began + IDLE_CLOSE_DELAY;
    let exit_at = began + (grace - END_MARGIN);
    let stop_accepting_at = (exit_at - LAST_ACCEPT_MARGIN).max(close_idle_at);
    loop {
        tokio::time::sleep(POLL_INTERVAL.duration()).await;
        let now = edge.now();
        let is_idle = edge.in_progress() == 0 && edge.connections() == 0;
        // Connections with a request in progress close after its answer.
        let phase = match now {
            now if now >= stop_accepting_at => DrainPhase::StopAccepting,
            now if now >= close_idle_at => DrainPhase::CloseIdle,
            _ => DrainPhase::Serving,
        };
        if phase > *drain_tx.borrow() {
            drain_tx.send_replace(phase);
        }
        if (is_idle && now >= began + IDLE_CLOSE_DELAY) || now >= exit_at {
            break;
        }
    }
    info!(
        in_progress = edge.in_progress(),
        connections = edge.connections(),
        ms = (edge.now() - began).0,
        "stop: process exits"
    );
}
