//! Effects of membership events on the other parts of the host.

use std::sync::Arc;

use tokio::sync::broadcast::error::RecvError;
use tracing::warn;

use crate::peers::PeerEvent;
use crate::{Host, crash};

/// Passes membership events on until the process ends.
pub(crate) async fn run(host: Arc<Host>) {
    let mut events = host.peers.subscribe();
    loop {
        match events.recv().await {
            Ok(event) => handle(&host, event),
            Err(RecvError::Lagged(missed)) => warn!(missed, "members: events missed"),
            Err(RecvError::Closed) => return,
        }
    }
}

fn handle(host: &Arc<Host>, event: PeerEvent) {
    match event {
        PeerEvent::Joined(_) => {}
        PeerEvent::Dead(member) => {
            host.limits.host_dead(&member.host, member.incarnation);
            host.host_dead(member.host, member.incarnation);
        }
        // A host that leaves still records the outcomes of its calls.
        PeerEvent::Left(member) => host.limits.host_dead(&member.host, member.incarnation),
        PeerEvent::GossipUpdate { update, .. } => return crash::apply_gossip(host, &update),
        PeerEvent::DeclaredDead { .. } => return,
    }
    host.set_committers(host.peers.alive().len());
}
