//! Rows from other hosts, for a host that the store refuses.

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
use crate::follow::note_offer;

/// Longest time for a question to another host; hosts are at most 10 ms apart.
const ASK_TIMEOUT: Duration = Duration::from_millis(400);
/// Largest message: all rows of the planned size.
const MAX_MESSAGE: usize = 4 << 20;
/// Time within which a peer's question must arrive.
const QUESTION_TIMEOUT: Duration = Duration::from_secs(2);

/// What a host knows, so that only newer rows are sent.
#[derive(Clone, PartialEq, Message)]
struct Question {
    #[prost(uint64, tag = "1")]
    config_version: u64,
    #[prost(uint64, tag = "2")]
    servers_version: u64,
}

/// A server's row.
#[derive(Clone, PartialEq, Message)]
struct ServerRow {
    #[prost(string, tag = "1")]
    key: String,
    #[prost(bytes = "bytes", tag = "2")]
    value: Bytes,
}

/// Rows that the asking host does not have.
#[derive(Clone, PartialEq, Message)]
struct Reply {
    /// Version of the store up to which the configuration is known.
    #[prost(uint64, tag = "1")]
    config_version: u64,
    /// Time since the store confirmed the configuration, in ms.
    #[prost(uint64, tag = "2")]
    config_age_ms: u64,
    /// The operator's row, if it is newer than the asking host's.
    #[prost(bytes = "bytes", optional, tag = "3")]
    config: Option<Bytes>,
    /// Version of the store up to which the servers are known.
    #[prost(uint64, tag = "4")]
    servers_version: u64,
    /// All servers, if they are newer than the asking host's.
    #[prost(message, repeated, tag = "5")]
    servers: Vec<ServerRow>,
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_MESSAGE)
        .new_codec()
}

/// Answers other hosts.
pub(crate) async fn listen(edge: Arc<Edge>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let edge = edge.clone();
                tokio::spawn(async move {
                    let answering = tokio::time::timeout(QUESTION_TIMEOUT, answer(&edge, stream));
                    if let Ok(Err(err)) = answering.await {
                        debug!(peer = %peer, error = %err, "peer: question not answered");
                    }
                });
            }
            Err(err) => {
                debug!(error = %err, "peer: accept failed");
                tokio::time::sleep(ASK_TIMEOUT).await;
            }
        }
    }
}

async fn answer(edge: &Edge, stream: TcpStream) -> io::Result<()> {
    let mut framed = Framed::new(stream, codec());
    let Some(frame) = framed.next().await else {
        return Ok(());
    };
    let question = Question::decode(frame?)?;
    let reply = reply(edge, &question);
    framed.send(Bytes::from(reply.encode_to_vec())).await
}

fn reply(edge: &Edge, question: &Question) -> Reply {
    let now = edge.now();
    let state = edge.state();
    let known = &state.known;
    let version = |version: Option<Version>| version.map_or(0, |version| version.0);
    let config_version = version(known.config_version);
    let servers_version = version(known.servers_version);
    let row = |(key, value): &(smol_str::SmolStr, Bytes)| ServerRow {
        key: key.to_string(),
        value: value.clone(),
    };
    Reply {
        config_version,
        config_age_ms: state.in_force.age(now).unwrap_or(Millis::MAX).0,
        config: known
            .config
            .clone()
            .filter(|_| config_version > question.config_version),
        servers_version,
        servers: match servers_version > question.servers_version {
            true => known.servers.iter().map(row).collect(),
            false => Vec::new(),
        },
    }
}

/// Asks a host for rows newer than this host's and takes them over.
pub(crate) async fn ask(edge: &Edge, peer: SocketAddr) -> io::Result<()> {
    let question = {
        let state = edge.state();
        Question {
            config_version: state.known.config_version.map_or(0, |v| v.0),
            servers_version: state.known.servers_version.map_or(0, |v| v.0),
        }
    };
    let asking = async {
        let mut framed = Framed::new(TcpStream::connect(peer).await?, codec());
        framed.send(Bytes::from(question.encode_to_vec())).await?;
        let frame = framed.next().await.ok_or(io::ErrorKind::UnexpectedEof)?;
        io::Result::Ok(Reply::decode(frame?)?)
    };
    let reply = tokio::time::timeout(ASK_TIMEOUT, asking).await??;
    take_over(edge, peer, &question, reply);
    Ok(())
}

fn take_over(edge: &Edge, peer: SocketAddr, question: &Question, reply: Reply) {
    let now = edge.now();
    let mut state = edge.state();
    let mut applied = None;
    if let Some(body) = reply.config {
        match state.offer_config(body) {
            Ok(offer) => {
                applied = Some(offer);
                state.known.config_version = Some(Version(reply.config_version));
            }
            Err(err) => info!(peer = %peer, error = %err, "configuration: peer's row ignored"),
        }
    }
    if state.in_force.table().is_some() {
        state.in_force.confirm(now - Millis(reply.config_age_ms));
    }
    let is_newer = reply.servers_version > question.servers_version;
    if is_newer
        && state
            .known
            .servers_version
            .is_none_or(|v| v.0 < reply.servers_version)
    {
        let rows = Rows {
            rows: reply.servers.into_iter().map(row_of).collect(),
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
    if let Some(offer) = applied {
        note_offer(edge, offer, "peer");
    }
}

fn row_of(row: ServerRow) -> Row {
    Row {
        key: row.key.into(),
        value: Some(row.value),
        version: Version(0),
    }
}
