//! Graceful shutdown of the process.

use std::sync::Arc;

use bv_drain::{Action, Event, Limits};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use tracing::{info, warn};

use crate::{Host, HostError};

/// Phases that other parts of the host observe, each entered once.
#[derive(Debug, Default)]
pub(crate) struct Shutdown {
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
    });
    let mut is_serving = true;
    loop {
        let mut next = tokio::select! {
            () = stop(&mut term, &mut interrupt) => Some(Event::Stop),
            () = sleep_until(host, &phases) => Some(Event::Tick),
            _ = &mut serving, if is_serving => {
                is_serving = false;
                Some(Event::Drained)
            }
        };
        while let Some(event) = next.take() {
            for action in phases.handle(host.clock.now(), event) {
                if let Action::Exit { drained } = action {
                    report(drained);
                    return Ok(());
                }
                next = carry_out(host, action).await;
                if action == Action::CloseListener && !is_serving {
                    // The listener's task has failed before.
                    next = Some(Event::Drained);
                }
            }
        }
    }
}

async fn stop(term: &mut Signal, interrupt: &mut Signal) {
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

async fn carry_out(host: &Arc<Host>, action: Action) -> Option<Event> {
    match action {
        Action::NotReady => {
            info!("shutdown: not ready");
            host.shutdown.lame_duck.cancel();
            None
        }
        Action::CloseListener => {
            info!("shutdown: closing the listener");
            host.shutdown.closing.cancel();
            None
        }
        Action::Leave => {
            info!("shutdown: leaving");
            host.peers.leave().await;
            Some(Event::Left)
        }
        Action::Flush => {
            host.flush().await;
            Some(Event::Flushed)
        }
        Action::Exit { .. } => None,
    }
}

fn report(drained: bool) {
    match drained {
        true => info!("shutdown: all requests finished"),
        false => warn!("shutdown: the drain limit passed with requests in progress"),
    }
}
