//! Graceful stop on SIGTERM.

use std::sync::Arc;

use bv_drain::GracePhase;
use bv_types::Millis;
use tokio::sync::watch;
use tracing::info;

use crate::edge::Edge;

/// Interval at which the end of the drain is checked.
const POLL_INTERVAL: Millis = Millis(50);

/// Waits until all requests are answered or the grace period ends, and closes callers' connections
/// in steps.
pub(crate) async fn drain(edge: &Arc<Edge>, drain_tx: &watch::Sender<GracePhase>) {
    let grace = edge.stop();
    info!(
        in_progress = edge.in_progress(),
        connections = edge.connections(),
        "stop: reported as not ready, still serving open connections"
    );
    loop {
        tokio::time::sleep(POLL_INTERVAL.duration()).await;
        let phase = grace.phase(edge.now());
        // Connections with a request in progress close after its answer.
        if phase > *drain_tx.borrow() {
            drain_tx.send_replace(phase);
        }
        if phase == GracePhase::AnswerAll {
            edge.end_calls();
        }
        let is_idle = edge.in_progress() == 0 && edge.connections() == 0;
        if (is_idle && phase >= GracePhase::CloseIdle) || phase == GracePhase::Exit {
            break;
        }
    }
    info!(
        in_progress = edge.in_progress(),
        connections = edge.connections(),
        ms = (edge.now() - grace.began()).0,
        "stop: process exits"
    );
}
