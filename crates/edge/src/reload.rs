//! Reading the settings file again while the process runs.

use std::path::Path;

use bv_platform::read_settings;
use bv_types::Millis;
use tokio::signal::unix::Signal;
use tracing::{info, warn};

use crate::edge::Edge;

/// Interval at which a process that stops reads the file again. The file may change without a signal, and
/// a shorter grace period leaves less time for the calls in progress.
const STOPPING_INTERVAL: Millis = Millis(250);

/// Reads the settings file and puts its bounds in force. Other changes take effect at the next start, since
/// addresses and memory are taken at the start.
pub(crate) fn reload(path: &Path, edge: &Edge) {
    let settings = match read_settings(path) {
        Ok(settings) => settings,
        Err(err) => {
            warn!(error = %err, "reload: settings file cannot be read or is invalid");
            return;
        }
    };
    for setting in edge.settings.changed_for_restart(&settings) {
        info!(
            setting,
            "reload: setting changed, it takes effect at the next start"
        );
    }
    let before = edge.bounds();
    edge.set_bounds(settings.bounds);
    let after = edge.bounds();
    match before == after {
        true => info!("reload: bounds unchanged"),
        false => info!(?before, ?after, "reload: bounds in force"),
    }
}

/// Reads the settings file again until the process ends. Does not complete.
pub(crate) async fn while_stopping(path: &Path, edge: &Edge, hangup: &mut Signal) {
    loop {
        tokio::select! {
            _ = hangup.recv() => reload(path, edge),
            () = tokio::time::sleep(STOPPING_INTERVAL.duration()) => {
                // Only a change is logged.
                let changed = read_settings(path).is_ok_and(|settings| {
                    settings.bounds.grace_period < edge.bounds().grace_period
                });
                if changed {
                    reload(path, edge);
                }
            }
        }
    }
}
