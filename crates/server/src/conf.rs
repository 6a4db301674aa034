//! Follows the configuration in the table service.

use std::sync::Arc;

use bv_config::Inventory;
use bv_store::Row;
use bv_types::{Millis, Version};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tracing::{info, warn};

use crate::{Host, counters};

/// Key of the configuration row.
pub(crate) const CONFIG_KEY: &str = "config/current";
const POLL: Millis = Millis(1_000);

/// Body of the configuration row.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ConfigRow {
    /// Id of the change that made this version.
    pub change: String,
    /// Inventory and rules in TOML.
    pub document: String,
}

/// A configuration in force.
#[derive(Debug, Clone)]
pub(crate) struct InForce {
    pub version: Version,
    pub row: ConfigRow,
    pub inventory: Arc<Inventory>,
}

/// The configuration in force, if any.
#[derive(Debug)]
pub(crate) struct Conf(watch::Sender<Option<InForce>>);

impl Default for Conf {
    fn default() -> Self {
        Conf(watch::Sender::new(None))
    }
}

impl Conf {
    /// The configuration in force.
    pub fn current(&self) -> Option<InForce> {
        self.0.borrow().clone()
    }

    /// Version of the configuration in force.
    pub fn version(&self) -> Option<Version> {
        self.0.borrow().as_ref().map(|current| current.version)
    }

    /// Puts a row in force unless its version is not higher than the current one.
    pub fn offer(&self, row: &Row) {
        let Some(next) = read_row(row) else {
            return;
        };
        let version = next.version;
        let changed = self.0.send_if_modified(|current| {
            let higher = current.as_ref().is_none_or(|c| c.version < version);
            if higher {
                *current = Some(next);
            }
            higher
        });
        if changed {
            counters::config_version(version.0);
            info!(%version, "conf: in force");
        }
    }
}

fn read_row(row: &Row) -> Option<InForce> {
    let body: ConfigRow = match serde_json::from_str(&row.body) {
        Ok(body) => body,
        Err(err) => {
            warn!(%err, "conf: the row is malformed");
            return None;
        }
    };
    match Inventory::parse(&body.document) {
        Ok(inventory) => Some(InForce {
            version: row.version,
            row: body,
            inventory: Arc::new(inventory),
        }),
        Err(err) => {
            warn!(version = %row.version, %err, "conf: the document is refused");
            None
        }
    }
}

/// Polls the table service until the process ends.
pub(crate) async fn follow(host: Arc<Host>) {
    loop {
        match host.table.get(CONFIG_KEY).await {
            Ok(Some(row)) => host.conf.offer(&row),
            Ok(None) => {}
            Err(err) => warn!(%err, "conf: poll failed"),
        }
        tokio::time::sleep(POLL.duration()).await;
    }
}
