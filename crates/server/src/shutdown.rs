//! Graceful shutdown of the process.

use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;
use tracing::info;

use crate::{HostError, Settings};

/// Phases of a shutdown, each entered once.
#[derive(Debug, Default)]
pub(crate) struct Shutdown {
    /// The host is no longer ready, but still accepts connections.
    pub lame_duck: CancellationToken,
    /// The host accepts no connections.
    pub closing: CancellationToken,
}

impl Shutdown {
    /// Waits for a signal, then enters the phases.
    pub async fn on_signal(&self, settings: &Settings) -> Result<(), HostError> {
        let mut term = signal(SignalKind::terminate()).map_err(HostError::Signal)?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(HostError::Signal)?;
        tokio::select! {
            _ = term.recv() => {}
            _ = interrupt.recv() => {}
        }
        info!("shutdown: not ready");
        self.lame_duck.cancel();
        tokio::time::sleep(settings.lame_duck_ms.duration()).await;
        info!("shutdown: closing the listener");
        self.closing.cancel();
        Ok(())
    }
}
