//! Exchange of rows between hosts, for a host that cannot read the store.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bv_platform::{Row, Rows};
use bv_types::{Millis, Version};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use tracing::{debug, info};

use crate::edge::Edge;
use crate::follow::log_applied_config;

/// Timeout of a query to another host; hosts are at most 10 ms apart.
const QUERY_TIMEOUT: Duration = Duration::from_millis(400);
/// Largest message; enough for all rows at the planned size of the system.
const MAX_MESSAGE_BYTES: usize = 4 << 20;
/// Time within which a peer's query must arrive and be answered.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Query for rows: states the versions that the querying host has, so that only newer rows are
/// sent.
#[derive(Clone, PartialEq, Message)]
struct RowsQuery {
    #[prost(uint64, tag = "1")]
    config_version: u64,
    #[prost(uint64, tag = "2")]
    servers_version: u64,
}

/// Row of a server.
#[derive(Clone, PartialEq, Message)]
struct ServerRow {
    #[prost(string, tag = "1")]
    key: String,
    #[prost(bytes = "bytes", tag = "2")]
    value: Bytes,
}

/// Rows that the querying host does not have.
#[derive(Clone, PartialEq, Message)]
struct RowsReply {
    /// Version of the store up to which the sender knows the configuration.
    #[prost(uint64, tag = "1")]
    config_version: u64,
    /// Time since the store confirmed the configuration, in ms.
    #[prost(uint64, tag = "2")]
    config_age_ms: u64,
    /// The operator's configuration row, if it is newer than the querying host's.
    #[prost(bytes = "bytes", optional, tag = "3")]
    config: Option<Bytes>,
    /// Version of the store up to which the sender knows the servers.
    #[prost(uint64, tag = "4")]
    servers_version: u64,
    /// All servers, if they are newer than the querying host's.
    #[prost(message, repeated, tag = "5")]
    servers: Vec<ServerRow>,
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_MESSAGE_BYTES)
        .new_codec()
}

/// Answers queries of other hosts.
pub(crate) async fn listen(edge: Arc<Edge>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let edge = edge.clone();
                tokio::spawn(async move {
                    let answering = tokio::time::timeout(ANSWER_TIMEOUT, answer(&edge, stream));
                    if let Ok(Err(err)) = answering.await {
                        debug!(peer = %peer, error = %err, "peer: answering a query failed");
                    }
                });
            }
            Err(err) => {
                debug!(error = %err, "peer: accept failed");
                tokio::time::sleep(QUERY_TIMEOUT).await;
            }
        }
    }
}

async fn answer(edge: &Edge, stream: TcpStream) -> io::Result<()> {
    let mut framed = Framed::new(stream, codec());
    let Some(frame) = framed.next().await else {
        return Ok(());
    };
    let query = RowsQuery::decode(frame?)?;
    let reply = reply(edge, &query);
    framed.send(Bytes::from(reply.encode_to_vec())).await
}

fn reply(edge: &Edge, query: &RowsQuery) -> RowsReply {
    let now = edge.now();
    let state = edge.state();
    let known = &state.known;
    let version = |version: Option<Version>| version.map_or(0, |version| version.0);
    let config_version = version(known.config_read_up_to);
    let servers_version = version(known.servers_read_up_to);
    let row = |(key, value): &(smol_str::SmolStr, Bytes)| ServerRow {
        key: key.to_string(),
        value: value.clone(),
    };
    RowsReply {
        config_version,
        config_age_ms: state
            .in_force
            .time_since_confirmed(now)
            .unwrap_or(Millis::MAX)
            .0,
        config: known
            .config
            .clone()
            .filter(|_| config_version > query.config_version),
        servers_version,
        servers: match servers_version > query.servers_version {
            true => known.servers.iter().map(row).collect(),
            false => Vec::new(),
        },
    }
}

/// Queries a host for rows newer than this host's and applies them.
pub(crate) async fn fetch(edge: &Edge, peer: SocketAddr) -> io::Result<()> {
    let query = {
        let state = edge.state();
        RowsQuery {
            config_version: state.known.config_read_up_to.map_or(0, |v| v.0),
            servers_version: state.known.servers_read_up_to.map_or(0, |v| v.0),
        }
    };
    let querying = async {
        let mut framed = Framed::new(TcpStream::connect(peer).await?, codec());
        framed.send(Bytes::from(query.encode_to_vec())).await?;
        let frame = framed.next().await.ok_or(io::ErrorKind::UnexpectedEof)?;
        io::Result::Ok(RowsReply::decode(frame?)?)
    };
    let reply = tokio::time::timeout(QUERY_TIMEOUT, querying).await??;
    apply_reply(edge, peer, &query, reply);
    Ok(())
}

fn apply_reply(edge: &Edge, peer: SocketAddr, query: &RowsQuery, reply: RowsReply) {
    let now = edge.now();
    let mut state = edge.state();
    let mut applied = None;
    if let Some(body) = reply.config {
        match state.apply_config_row(body) {
            Ok(result) => {
                applied = Some(result);
                state.known.config_read_up_to = Some(Version(reply.config_version));
            }
            Err(err) => {
                info!(peer = %peer, error = %err, "configuration: unreadable row of peer ignored")
            }
        }
    }
    if state.in_force.table().is_some() {
        state.in_force.confirm(now - Millis(reply.config_age_ms));
    }
    let is_newer = reply.servers_version > query.servers_version;
    if is_newer
        && state
            .known
            .servers_read_up_to
            .is_none_or(|v| v.0 < reply.servers_version)
    {
        let rows = Rows {
            rows: reply.servers.into_iter().map(to_row).collect(),
            version: Version(reply.servers_version),
            store_time: Millis::ZERO,
        };
        state.replace_servers(now, &rows);
        info!(
            peer = %peer,
            version = reply.servers_version,
            servers = rows.rows.len(),
            "servers: taken over from a peer"
        );
    }
    drop(state);
    if let Some(result) = applied {
        log_applied_config(edge, result, "peer");
    }
}

fn to_row(row: ServerRow) -> Row {
    Row {
        key: row.key.into(),
        value: Some(row.value),
        version: Version(0),
    }
}
