//! Reads and writes the configuration row, and requests configurations from peers.

use std::sync::Arc;

use bv_config::{Action, Document, Event, WriteResult};
use bv_store::{Refused, Row, StoreError, Transacted, Write};
use bv_types::{HostId, Millis, Version};
use bv_wire::GetConfig;
use bv_wire::frame::Body;
use tracing::debug;

use super::{CONFIG_KEY, row};
use crate::Host;

const TICK_INTERVAL: Millis = Millis(100);
const PEER_TIMEOUT: Millis = Millis(2_000);

/// Runs the queued actions, and passes the live peers and ticks to the state machine, until the
/// process ends.
pub(crate) async fn run(host: Arc<Host>) {
    let queue = host
        .conf
        .action_queue
        .lock()
        .ok()
        .and_then(|mut queue| queue.take());
    let Some(mut queue) = queue else {
        return;
    };
    let mut ticks = tokio::time::interval(TICK_INTERVAL.duration());
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            Some(action) = queue.recv() => drop(tokio::spawn(run_action(host.clone(), action))),
            _ = ticks.tick() => {
                host.conf.handle(Event::Peers(peers(&host)));
                host.conf.handle(Event::Tick);
            }
        }
    }
}

fn peers(host: &Host) -> Vec<HostId> {
    let alive = host.peers.alive().into_iter().map(|member| member.host);
    alive
        .filter(|peer| *peer != host.settings.host_id)
        .collect()
}

async fn run_action(host: Arc<Host>, action: Action) {
    let event = match action {
        Action::ReadStore { read } => read_store(&host, read).await,
        Action::WriteStore {
            write,
            document,
            expected,
        } => Event::WriteEnded {
            write,
            result: write_store(&host, &document, expected).await,
        },
        Action::QueryPeer(peer) => request_from_peer(&host, peer).await,
        // `Conf::handle` has already carried these out.
        Action::PutInForce(_) | Action::Reply { .. } | Action::Notice(_) => return,
    };
    host.conf.handle(event);
}

async fn read_store(host: &Host, read: u64) -> Event {
    match host.table.get(CONFIG_KEY).await {
        Ok(None) => Event::StoreRead {
            read,
            document: None,
        },
        Ok(Some(row)) => match host.conf.read_row(&row) {
            Some(document) => Event::StoreRead {
                read,
                document: Some(document),
            },
            None => Event::ReadFailed { read },
        },
        Err(err) => {
            debug!(%err, "conf: reading the configuration row failed");
            Event::ReadFailed { read }
        }
    }
}

async fn write_store(host: &Host, document: &Document, expected: Option<Version>) -> WriteResult {
    let write = Write {
        row: row::to_row(document),
        condition: expected.into(),
        expires: None,
    };
    match host.table.transact(&[write]).await {
        Ok(Transacted::Committed) => WriteResult::Committed,
        Ok(Transacted::Refused(refused)) => match refused.into_iter().next() {
            Some(Refused::Conflict(row)) => conflict(host, row),
            Some(Refused::Unaffected) | None => WriteResult::Unavailable,
        },
        Err(err @ StoreError::Unavailable { .. }) => {
            debug!(%err, "conf: writing the configuration row failed");
            WriteResult::Unavailable
        }
        Err(err @ StoreError::Unanswered { .. }) => {
            debug!(%err, "conf: a write of the configuration row was not confirmed");
            WriteResult::Unanswered
        }
    }
}

fn conflict(host: &Host, row: Option<Row>) -> WriteResult {
    let Some(row) = row else {
        return WriteResult::Conflict(None);
    };
    match host.conf.read_row(&row) {
        Some(document) => WriteResult::Conflict(Some(document)),
        // The row is malformed; the write did not take effect.
        None => WriteResult::Unavailable,
    }
}

async fn request_from_peer(host: &Host, peer: HostId) -> Event {
    let request = Body::GetConfig(GetConfig {});
    let config = match host.peers.call(&peer, request, PEER_TIMEOUT).await {
        Ok(Body::Config(config)) => config,
        Ok(_) => return Event::PeerFailed { peer },
        Err(err) => {
            debug!(%err, "conf: requesting the configuration from a peer failed");
            return Event::PeerFailed { peer };
        }
    };
    let age = config.age_ms.map(Millis);
    match row::from_wire(config) {
        None => Event::PeerAnswer {
            peer,
            document: None,
            age,
        },
        Some(document) => match host.conf.validated(document) {
            None => Event::PeerFailed { peer },
            document => Event::PeerAnswer {
                peer,
                document,
                age,
            },
        },
    }
}
