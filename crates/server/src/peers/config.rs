//! Fetches the configuration from peers.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use bv_store::Row;
use bv_types::{HostId, Millis, Version};
use bv_wire::GetConfig;
use bv_wire::frame::Body;
use serde_json::json;
use tracing::debug;

use crate::Host;
use crate::conf::CONFIG_KEY;

const FETCH_TIMEOUT: Millis = Millis(2_000);
/// Pause after a fetch that did not bring the version.
const FETCH_PAUSE: Millis = Millis(250);

/// Asks one peer for its configuration and offers it to this host.
async fn fetch(host: &Arc<Host>, peer: &HostId) {
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

/// Fetches the configuration if the peer has a higher version; one fetch runs at a time. Each
/// message of the peer repeats its version, so a failed fetch is repeated by the next one.
pub(super) fn fetch_newer(host: &Arc<Host>, peer: &HostId, version: Version) {
    if !is_newer(host, version) || host.peers.fetching.swap(true, Ordering::Relaxed) {
        return;
    }
    let (host, peer) = (host.clone(), peer.clone());
    tokio::spawn(async move {
        fetch(&host, &peer).await;
        if is_newer(&host, version) {
            tokio::time::sleep(FETCH_PAUSE.duration()).await;
        }
        host.peers.fetching.store(false, Ordering::Relaxed);
    });
}

fn is_newer(host: &Host, version: Version) -> bool {
    Some(version) > host.conf.version()
}
