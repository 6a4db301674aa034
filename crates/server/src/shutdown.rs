//! Graceful shutdown of the process.

use std::sync::Arc;

use bv_drain::{Action, Event, Limits};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::{JoinHandle, JoinSet};
use tokio_util::sync::CancellationToken;
use tracing::{info, warn};

use crate::{Host, HostError};

/// Phases that other parts of the host observe, each entered once.
#[derive(Debug, Default)]
pub(crate) struct ShutdownSignals {
    /// The host is no longer ready, but still accepts connections.
    pub lame_duck: CancellationToken,
    /// The host accepts no connections.
    pub closing: CancellationToken,
}

/// Waits for a signal, then goes through the phases until the process may end. `serving` ends
/// once the callers' listener is closed and all requests have finished.
pub(crate) async fn run(host: &Arc<Host>, mut serving: JoinHandle<()>) -> Result<(), HostError> {
    let mut term = signal(SignalKind::terminate()).map_err(HostError::Signal)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(HostError::Signal)?;
    let mut phases = bv_drain::Shutdown::new(Limits {
        lame_duck: host.settings.lame_duck_ms,
        drain: host.settings.drain_limit_ms,
        flush: host.settings.drain_limit_ms,
    });
    let mut is_serving = true;
    // Leave and flush run as tasks, so that the loop can enforce their limits.
    let mut work = JoinSet::new();
    loop {
        let event = tokio::select! {
            () = wait_for_signal(&mut term, &mut interrupt) => Event::Stop,
            () = sleep_until(host, &phases) => Event::Tick,
            Some(Ok(done)) = work.join_next() => done,
            _ = &mut serving, if is_serving => {
                is_serving = false;
                Event::Drained
            }
        };
        let mut actions = phases.handle(host.clock.now(), event);
        if actions.contains(&Action::CloseListener) && !is_serving {
            // The listener's task ended earlier, after a failure.
            actions.extend(phases.handle(host.clock.now(), Event::Drained));
        }
        for action in actions {
            if let Action::Exit { drained } = action {
                log_result(drained);
                return Ok(());
            }
            perform(host, action, &mut work);
        }
    }
}

async fn wait_for_signal(term: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
}

async fn sleep_until(host: &Host, phases: &bv_drain::Shutdown) {
    match phases.wake_at() {
        Some(at) => tokio::time::sleep((at - host.clock.now()).duration()).await,
        None => std::future::pending().await,
    }
}

fn perform(host: &Arc<Host>, action: Action, work: &mut JoinSet<Event>) {
    let host = host.clone();
    match action {
        Action::NotReady => {
            info!("shutdown: reporting not ready");
            host.shutdown.lame_duck.cancel();
        }
        Action::CloseListener => {
            info!("shutdown: closing the callers' listener");
            host.shutdown.closing.cancel();
        }
        Action::Leave => {
            info!("shutdown: announcing the departure to the other entry hosts");
            work.spawn(async move {
                host.peers.leave().await;
                Event::Left
            });
        }
        Action::Flush => {
            work.spawn(async move {
                host.flush().await;
                Event::Flushed
            });
        }
        Action::Exit { .. } => {}
    }
}

fn log_result(drained: bool) {
    match drained {
        true => info!("shutdown: all requests finished"),
        false => warn!("shutdown: the drain limit passed with requests in progress"),
    }
}
