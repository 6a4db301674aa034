//! Graceful stop on SIGTERM.

use std::sync::Arc;

use bv_drain::GracePhase;
use bv_types::Millis;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tracing::info;

use crate::edge::Edge;

/// Interval at which the end of the drain is checked.
const POLL_INTERVAL: Millis = Millis(50);

/// Waits until all requests are answered or the grace period ends, and closes callers' connections
/// in steps. `accepting` ends once the callers' listener is closed.
pub(crate) async fn drain(
    edge: &Arc<Edge>,
    drain_tx: &watch::Sender<GracePhase>,
    accepting: &JoinHandle<()>,
) {
    edge.stop();
    info!(
        in_progress = edge.in_progress(),
        connections = edge.connections(),
        "stop: reported as not ready, still serving open connections"
    );
    loop {
        tokio::time::sleep(POLL_INTERVAL.duration()).await;
        let is_idle = edge.in_progress() == 0 && edge.connections() == 0;
        // A shorter grace period may come into force meanwhile.
        let phase = match edge.stop().phase(edge.now()) {
            // An exit with an open listener resets the connections that arrive.
            GracePhase::CloseIdle if is_idle => GracePhase::StopAccepting,
            phase => phase,
        };
        // Connections with a request in progress close after its answer.
        if phase > *drain_tx.borrow() {
            drain_tx.send_replace(phase);
        }
        if phase == GracePhase::AnswerAll {
            edge.end_calls();
        }
        if (is_idle && accepting.is_finished()) || phase == GracePhase::Exit {
            break;
        }
    }
    info!(
        in_progress = edge.in_progress(),
        connections = edge.connections(),
        ms = (edge.now() - edge.stop().began()).0,
        "stop: process exits"
    );
}
