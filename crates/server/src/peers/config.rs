//! Fetches the configuration from peers.

use std::sync::Arc;

use bv_store::Row;
use bv_types::{HostId, Millis, Version};
use bv_wire::GetConfig;
use bv_wire::frame::Body;
use serde_json::json;
use tracing::debug;

use crate::Host;
use crate::conf::CONFIG_KEY;

const FETCH_TIMEOUT: Millis = Millis(2_000);

/// Asks one peer for its configuration and offers it to this host.
pub(super) async fn fetch(host: &Arc<Host>, peer: &HostId) {
    let asked = Body::GetConfig(GetConfig {});
    let config = match host.peers.call(peer, asked, FETCH_TIMEOUT).await {
        Ok(Body::Config(config)) if config.version > 0 => config,
        Ok(_) => return,
        Err(err) => {
            debug!(%err, "peers: fetching the configuration failed");
            return;
        }
    };
    host.conf.offer(&Row {
        key: CONFIG_KEY.into(),
        version: Version(config.version),
        body: json!({"change": config.change, "document": config.document}).to_string(),
    });
}

/// Asks all live peers if no configuration is in force.
pub(super) async fn fetch_first(host: &Arc<Host>) {
    if host.conf.current().is_some() {
        return;
    }
    for member in host.peers.alive() {
        if member.host != host.settings.host_id {
            fetch(host, &member.host).await;
        }
    }
}
