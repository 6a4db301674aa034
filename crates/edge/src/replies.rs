//! Replies to other hosts that ask for the store's rows.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bv_platform::{Row, Table};
use bv_roster::{Extent, HostEntry};
use bv_types::{Millis, Version};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::{FramedRead, FramedWrite};
use tracing::debug;

use crate::counters::{self, ControlKind, Direction};
use crate::edge::Edge;
use crate::hosts::Hosts;
use crate::peers::{
    HostMessage, MAX_ANSWER_BYTES, QUERY_TIMEOUT, RowsQuery, RowsReply, ServerRow, codec,
};
use crate::state::State;

/// Largest query; it has a few numbers.
const MAX_QUERY_BYTES: usize = 1 << 10;
/// Longest wait for changes that a host grants another one.
const MAX_WAIT: Millis = Millis(5_000);
/// Time without a query after which a connection is closed.
const IDLE_TIMEOUT: Millis = Millis(10_000);
/// Difference of the ages of two hosts' rows from which a confirmation is passed on.
const MIN_AGE_DIFFERENCE: Millis = Millis(100);
/// Time within which an answer must be sent.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Answers queries of other hosts.
pub(crate) async fn listen(edge: Arc<Edge>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let edge = edge.clone();
                tokio::spawn(async move {
                    if let Err(err) = answer_queries(&edge, stream).await {
                        debug!(peer = %peer, error = %err, "peer: answering a query failed");
                    }
                });
            }
            Err(err) => {
                debug!(error = %err, "peer: accept failed");
                tokio::time::sleep(QUERY_TIMEOUT.duration()).await;
            }
        }
    }
}

async fn answer_queries(edge: &Edge, stream: TcpStream) -> io::Result<()> {
    let (rd, wr) = stream.into_split();
    let mut queries = FramedRead::new(rd, codec(MAX_QUERY_BYTES));
    let mut answers = FramedWrite::new(wr, codec(MAX_ANSWER_BYTES));
    loop {
        let reading = tokio::time::timeout(IDLE_TIMEOUT.duration(), queries.next());
        let Some(frame) = reading.await? else {
            return Ok(());
        };
        let frame = frame?;
        counters::control_message(ControlKind::RowsQuery, Direction::Received, frame.len());
        let query = RowsQuery::decode(frame)?;
        wait_for_news(edge, &query).await;
        let reply = reply(edge, &query);
        reply.count(Direction::Sent);
        let sending = answers.send(Bytes::from(reply.encode_to_vec()));
        tokio::time::timeout(SEND_TIMEOUT, sending).await??;
    }
}

/// Waits until this host knows something newer than the query states, the store has confirmed its
/// rows again, or the wait is over.
async fn wait_for_news(edge: &Edge, query: &RowsQuery) {
    let arrived = edge.now();
    let until = arrived + Millis(query.wait_ms).min(MAX_WAIT);
    let confirmed_at = query.age_ms.map(|age| arrived - Millis(age));
    loop {
        let changed = edge.rows_changed.notified();
        let now = edge.now();
        let is_due = {
            let state = edge.state();
            let is_confirmed = confirmed_at
                .is_some_and(|at| state.sources.confirmed_at() > at + MIN_AGE_DIFFERENCE);
            has_news(&state, query) || is_confirmed
        };
        if now >= until || is_due {
            return;
        }
        // At the end of the wait the answer says that there is nothing newer.
        let _ = tokio::time::timeout((until - now).duration(), changed).await;
    }
}

fn has_news(state: &State, query: &RowsQuery) -> bool {
    let known = &state.known;
    known.config.newest_change().0 > query.config_version
        || known.servers.newest_change().0 > query.servers_version
        || needs_hosts(state, query)
}

fn needs_hosts(state: &State, query: &RowsQuery) -> bool {
    query.accepts_changes
        && state.hosts.count().is_some()
        && state.hosts.digest() != query.hosts_digest
}

fn reply(edge: &Edge, query: &RowsQuery) -> RowsReply {
    let now = edge.now();
    let state = edge.state();
    let known = &state.known;
    let config = known.config.since(to_position(query.config_version));
    let servers = known.servers.since(to_position(query.servers_version));
    let hosts = match needs_hosts(&state, query) {
        true => host_messages(edge, &state.hosts),
        false => Vec::new(),
    };
    let mut reply = RowsReply {
        age_ms: state.rows_age(now).unwrap_or(Millis::MAX).0,
        config_changed: known.config.newest_change().0,
        expiry_grace_ms: state.roster.grace_left(now).0,
        store_time_ms: state.store_clock.store_time(now).map_or(0, |time| time.0),
        hosts,
        hosts_digest: state.hosts.digest(),
        ..RowsReply::default()
    };
    if let Some(config) = config {
        reply.config_version = config.newest_stated.0;
        reply.config_lag = config.newest_stated.0.saturating_sub(config.up_to.0);
        let row = config
            .rows
            .into_iter()
            .find(|row| row.key == Table::CONFIG_KEY);
        reply.config = row.and_then(|row| row.value);
    }
    if let Some(servers) = servers {
        reply.servers_version = servers.newest_stated.0;
        reply.servers_lag = servers.newest_stated.0.saturating_sub(servers.up_to.0);
        reply.has_gap = servers.has_gap;
        match servers.extent {
            Extent::After(_) if query.accepts_changes => {
                reply.changes = servers.rows.into_iter().map(to_message).collect();
            }
            Extent::After(_) if servers.rows.is_empty() => {}
            Extent::After(_) | Extent::Whole => {
                let all = known.servers.rows().all();
                reply.servers = all.into_iter().map(to_message).collect();
                reply.has_all_servers = true;
            }
        }
    }
    reply
}

/// Position that a query states; 0 before the table was read.
fn to_position(version: u64) -> Option<Version> {
    (version > 0).then_some(Version(version))
}

fn host_messages(edge: &Edge, hosts: &Hosts) -> Vec<HostMessage> {
    let own = edge.own_entry();
    let to_message = |host: &HostEntry| HostMessage {
        id: host.id.to_string(),
        zone: host
            .zone
            .as_ref()
            .map(|zone| zone.to_string())
            .unwrap_or_default(),
        addr: host.addr.to_string(),
    };
    hosts
        .others()
        .iter()
        .chain([&own])
        .map(to_message)
        .collect()
}

fn to_message(row: Row) -> ServerRow {
    ServerRow {
        key: row.key.to_string(),
        value: row.value,
        version: row.version.0,
    }
}
