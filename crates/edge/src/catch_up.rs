//! Catching up of a reader whose link to the store is slower than that of another reader.

use std::sync::Arc;

use bv_platform::Table;
use bv_types::Millis;
use tracing::info;

use crate::counters;
use crate::edge::Edge;
use crate::follow::PEER_QUERY_INTERVAL;
use crate::peers;

/// Time for which another host may have a newer configuration before this one, a reader, asks it for that. Hosts with links of the same rate get an answer of the store within some milliseconds.
const CATCH_UP_DELAY: Millis = Millis(60);

/// Queries the host that first reported a newer configuration while this host, a reader, has not got it yet.
/// On a slow link the store's answer takes longer than the patch that another host sends. Other hosts follow
/// a reader; when all hosts start, hundreds of them would ask the one that reports first. Servers are not
/// waited for: their rows are small, and a reader pauses between two reads of them.
pub(crate) async fn catch_up(edge: Arc<Edge>) {
    loop {
        let reported = edge.newer_version_reported.notified();
        if !is_behind(&edge) {
            reported.await;
            continue;
        }
        tokio::time::sleep(CATCH_UP_DELAY.duration()).await;
        let reporter = edge.state().known.reporter();
        let Some(peer) = reporter.filter(|_| is_behind(&edge)) else {
            continue;
        };
        match peers::fetch_without_hosts(&edge, peer).await {
            Ok(()) => counters::peer_call(true),
            Err(err) => {
                counters::peer_call(false);
                info!(source = %peer, error = %err, "rows: host with a newer change does not answer");
            }
        }
        if is_behind(&edge) {
            tokio::time::sleep(PEER_QUERY_INTERVAL.duration()).await;
        }
    }
}

/// Whether this host is a reader and another one reported a newer configuration.
fn is_behind(edge: &Edge) -> bool {
    let state = edge.state();
    let is_reader = state.hosts.count().is_some() && state.sources.is_reader();
    is_reader && state.known.is_behind(Table::Config)
}
