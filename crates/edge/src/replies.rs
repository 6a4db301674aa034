//! Replies to other hosts that ask for the store's rows.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bv_delta::History;
use bv_platform::Table;
use bv_roster::Extent;
use bv_types::{Era, Fingerprint, Millis, Version};
use bytes::{Buf, Bytes};
use futures_util::StreamExt;
use prost::Message;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::FramedRead;
use tracing::{debug, warn};

use crate::counters::{self, ControlKind, Direction};
use crate::edge::Edge;
use crate::hosts::Hosts;
use crate::peers::{QUERY_TIMEOUT, codec};
use crate::row_messages::{HostMessage, PatchMessage, RowsQuery, RowsReply};
use crate::shared_replies::{Reply, ReplyBytes};
use crate::state::State;

/// Largest query; it has a few numbers.
const MAX_QUERY_BYTES: usize = 1 << 10;
/// Longest wait for changes that a host grants another one.
const MAX_WAIT: Millis = Millis(5_000);
/// Time without a query after which a connection is closed.
const IDLE_TIMEOUT: Millis = Millis(10_000);
/// Difference of the ages of two hosts' rows from which a confirmation is passed on.
const MIN_AGE_DIFFERENCE: Millis = Millis(100);
/// Longest time in which no part of an answer can be sent.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Size up to which replies do not count towards the budget: with 100 followers these hold 0.4 MB.
const UNCOUNTED_BYTES: usize = 4 << 10;
/// Longest time for which a query waits for its part of the budget; the querying host waits for the
/// whole reply at most 400 ms.
const TURN_WAIT: Millis = Millis(150);

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
    let (rd, mut wr) = stream.into_split();
    let mut queries = FramedRead::new(rd, codec(MAX_QUERY_BYTES));
    loop {
        let reading = tokio::time::timeout(IDLE_TIMEOUT.duration(), queries.next());
        let Some(frame) = reading.await? else {
            return Ok(());
        };
        let frame = frame?;
        counters::control_message(ControlKind::RowsQuery, Direction::Received, frame.len());
        let query = RowsQuery::decode(frame)?;
        wait_for_news(edge, &query).await;
        let (reply, _bytes) = admitted_reply(edge, &query).await;
        reply.count();
        let mut frame = reply.into_frame()?;
        while frame.has_remaining() {
            // Dropping the connection lets a follower that reads too slowly ask again.
            tokio::time::timeout(SEND_TIMEOUT, wr.write_buf(&mut frame)).await??;
        }
    }
}

/// The reply to a query, with its part of the budget for replies; without rows if the budget has no room for
/// them in time.
async fn admitted_reply<'a>(edge: &'a Edge, query: &RowsQuery) -> (Reply, Option<ReplyBytes<'a>>) {
    let reply = reply(edge, query);
    let size = reply.size();
    if size <= UNCOUNTED_BYTES {
        return (reply, None);
    }
    if let Some(bytes) = edge.replies.try_admit(size) {
        return (reply, Some(bytes));
    }
    // Rows of other versions would be held for each query that waits.
    drop(reply);
    if let Some(bytes) = edge.replies.admit(size, TURN_WAIT).await {
        let reply = self::reply(edge, query);
        if reply.size() <= size + UNCOUNTED_BYTES {
            return (reply, Some(bytes));
        }
    }
    counters::answer_given_up("rows_busy");
    (Reply::busy(), None)
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
    known.config.newest_change() > (Era(query.era), Version(query.config_version))
        || known.servers.newest_change() > (Era(query.era), Version(query.servers_version))
        || needs_hosts(state, query)
}

fn needs_hosts(state: &State, query: &RowsQuery) -> bool {
    query.accepts_changes
        && state.hosts.count().is_some()
        && state.hosts.digest() != query.hosts_digest
}

fn reply(edge: &Edge, query: &RowsQuery) -> Reply {
    let now = edge.now();
    let mut state = edge.state();
    let (era, config_changed, _) = state.known.newest_changes();
    let versions = (query.config_version, query.servers_version);
    let (config, servers) = state.known.since(Era(query.era), versions);
    let mut head = RowsReply {
        age_ms: state.rows_age(now).unwrap_or(Millis::MAX).0,
        config_changed: config_changed.0,
        era: era.0,
        expiry_grace_ms: state.roster.grace_left(now).0,
        store_time_ms: state.store_clock.store_time(now).map_or(0, |time| time.0),
        hosts_digest: state.hosts.digest(),
        ..RowsReply::default()
    };
    let mut reply = Reply::default();
    if needs_hosts(&state, query) {
        let (base, digest) = (query.hosts_digest, state.hosts.digest());
        let changes = state.host_lists.changes_since(base);
        match changes.filter(|_| query.accepts_host_changes) {
            Some(changes) => {
                head.hosts_base = base;
                reply.hosts = edge.replies.host_changes(base, digest, &changes);
            }
            None => {
                let hosts = || host_messages(edge, &state.hosts);
                reply.hosts = edge.replies.hosts(digest, hosts);
            }
        }
    }
    if let Some(config) = config {
        head.config_version = config.newest_stated.0;
        head.config_lag = config.newest_stated.0.saturating_sub(config.up_to.0);
        let row = config
            .rows
            .into_iter()
            .find(|row| row.key == Table::CONFIG_KEY);
        if let Some(content) = row.and_then(|row| row.value) {
            set_config(&mut head, &mut state.known.config_history, query, content);
        }
    }
    if let Some(servers) = servers {
        head.servers_version = servers.newest_stated.0;
        head.servers_lag = servers.newest_stated.0.saturating_sub(servers.up_to.0);
        head.has_gap = servers.has_gap;
        let known = &state.known;
        let revision = known.servers_revision;
        match servers.extent {
            Extent::After(after) if query.accepts_changes => {
                if !servers.rows.is_empty() {
                    let rows = || servers.rows;
                    reply.rows = edge.replies.changed_servers(revision, after, rows);
                }
            }
            Extent::After(_) if servers.rows.is_empty() => {}
            Extent::After(_) | Extent::Whole => {
                let all = || known.servers.rows().all();
                reply.rows = edge.replies.all_servers(revision, all);
                head.has_all_servers = true;
            }
        }
    }
    reply.set_head(head);
    reply
}

/// Sets the configuration in the form that the querying host understands and that is the shortest.
fn set_config(head: &mut RowsReply, history: &mut History, query: &RowsQuery, content: Bytes) {
    let is_newest = history.newest().is_some_and(|newest| *newest == content);
    if !query.accepts_patches || !is_newest {
        head.config = Some(content);
        return;
    }
    let base: Option<[u8; 16]> = query.config_digest.as_ref().try_into().ok();
    let patches = base.and_then(|base| history.since(Fingerprint(base)));
    if let Some(patches) = patches.filter(|patches| !patches.is_empty()) {
        head.config_patches = patches.iter().map(PatchMessage::from).collect();
        return;
    }
    match history.compressed() {
        Ok(Some(compressed)) => head.config_compressed = Some(compressed),
        Ok(None) => head.config = Some(content),
        Err(err) => {
            warn!(error = %err, "rows: configuration sent without compression");
            head.config = Some(content);
        }
    }
}

fn host_messages(edge: &Edge, hosts: &Hosts) -> Vec<HostMessage> {
    let own = edge.own_entry();
    let all = hosts.others().iter().chain([&own]);
    all.map(HostMessage::from).collect()
}
