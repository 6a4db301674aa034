//! What the hosts have in progress at the engines, told to each other by datagrams.
//!
//! Engines report their load with a lag of about a second; a host's own sends are known at once. Each
//! host tells all others whenever its own use changes, so that two hosts rarely choose the same room.

use std::net::SocketAddr;
use std::sync::Arc;

use bv_admit::{PeerUse, Use, Waiting};
use bv_platform::Table;
use bv_types::{BackendId, HostId, Millis, Tokens, Version};
use prost::Message;
use tokio::net::UdpSocket;
use tracing::debug;

use crate::edge::Edge;

/// Interval without changes; datagrams are lost at times.
const REFRESH: Millis = Millis(500);
/// Shortest time between two datagrams to a host.
const COALESCE: Millis = Millis(8);
/// The same for each other host, in microseconds: what a host sends and reads grows with the square
/// of this number.
const COALESCE_PER_HOST_US: u64 = 400;
/// Largest datagram; room for some hundred engines.
const MAX_DATAGRAM: usize = 16 << 10;
/// Pause after a failed read of the socket.
const ERROR_PAUSE: Millis = Millis(50);

#[derive(Clone, PartialEq, Message)]
struct Told {
    #[prost(string, tag = "1")]
    host: String,
    /// Start of the sender's process, in ms since the Unix epoch.
    #[prost(uint64, tag = "2")]
    incarnation: u64,
    #[prost(uint64, tag = "3")]
    sequence: u64,
    #[prost(message, repeated, tag = "4")]
    uses: Vec<ToldUse>,
    #[prost(uint64, tag = "5")]
    waiting_tokens: u64,
    #[prost(string, repeated, tag = "6")]
    changing: Vec<String>,
    /// Version of the newest change of the configuration that the sender knows.
    #[prost(uint64, tag = "7")]
    config_changed: u64,
    /// The same for the servers.
    #[prost(uint64, tag = "8")]
    servers_changed: u64,
    #[prost(message, optional, tag = "9")]
    head: Option<ToldHead>,
}

/// The first call in the sender's queue. Times are told as differences, since clocks differ.
#[derive(Clone, PartialEq, Message)]
struct ToldHead {
    #[prost(uint32, tag = "1")]
    priority: u32,
    /// Time since its arrival, in ms.
    #[prost(uint64, tag = "2")]
    age_ms: u64,
    /// Time after its arrival by which it must be placed to be on time, in ms.
    #[prost(uint64, tag = "3")]
    on_time_ms: u64,
    #[prost(uint64, tag = "4")]
    tokens: u64,
}

#[derive(Clone, PartialEq, Message)]
struct ToldUse {
    #[prost(string, tag = "1")]
    server: String,
    #[prost(uint32, tag = "2")]
    requests: u32,
    #[prost(uint64, tag = "3")]
    tokens: u64,
}

/// Tells the other hosts what this one has in progress.
pub(crate) async fn tell(edge: Arc<Edge>, socket: Arc<UdpSocket>) {
    let incarnation = edge.now().0;
    let mut sequence = 0;
    let mut last = PeerUse::default();
    let mut told_at = Millis::ZERO;
    loop {
        let change = edge.own_use.notified();
        // The refresh is only for lost datagrams.
        let _ = tokio::time::timeout(REFRESH.duration(), change).await;
        let hosts = edge.host_count() as u64;
        let pause = COALESCE + Millis(hosts * COALESCE_PER_HOST_US / 1_000);
        tokio::time::sleep(pause.duration()).await;
        let now = edge.now();
        let (current, others, changed) = {
            let mut state = edge.state();
            state.fleet.expire_peers(now);
            let others: Vec<SocketAddr> = state.hosts.others().to_vec();
            let current = PeerUse {
                uses: state.fleet.uses(),
                waiting: state.queue.tokens(),
                head: state.queue.head(now),
                changing: state.fleet.changing(now),
            };
            let known = &state.known;
            let changed = (known.config_changed.0, known.servers_changed.0);
            (current, others, changed)
        };
        if current == last && now < told_at + REFRESH {
            continue;
        }
        sequence += 1;
        let told = Told {
            host: edge.settings.host.to_string(),
            incarnation,
            sequence,
            uses: current.uses.iter().map(told_use).collect(),
            waiting_tokens: current.waiting.0,
            changing: current.changing.iter().map(BackendId::to_string).collect(),
            config_changed: changed.0,
            servers_changed: changed.1,
            head: current.head.map(|head| told_head(now, head)),
        };
        let datagram = told.encode_to_vec();
        for peer in others {
            if let Err(err) = socket.try_send_to(&datagram, peer) {
                debug!(peer = %peer, error = %err, "usage: not sent");
            }
        }
        last = current;
        told_at = now;
    }
}

fn told_use(part: &Use) -> ToldUse {
    ToldUse {
        server: part.server.to_string(),
        requests: part.requests,
        tokens: part.tokens.0,
    }
}

fn told_head(now: Millis, head: Waiting) -> ToldHead {
    ToldHead {
        priority: u32::from(head.priority),
        age_ms: (now - head.arrived).0,
        on_time_ms: (head.on_time_until - head.arrived).0,
        tokens: head.tokens.0,
    }
}

fn head_of(now: Millis, told: &ToldHead) -> Waiting {
    let arrived = now - Millis(told.age_ms);
    Waiting {
        priority: u8::try_from(told.priority).unwrap_or(u8::MAX),
        arrived,
        on_time_until: arrived + Millis(told.on_time_ms),
        tokens: Tokens(told.tokens),
    }
}

/// Takes over what other hosts tell.
pub(crate) async fn hear(edge: Arc<Edge>, socket: Arc<UdpSocket>) {
    let mut buf = vec![0; MAX_DATAGRAM];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((len, peer)) => {
                if let Err(err) = take_over(&edge, &buf[..len]) {
                    debug!(peer = %peer, error = %err, "usage: datagram ignored");
                }
            }
            Err(err) => {
                debug!(error = %err, "usage: read failed");
                tokio::time::sleep(ERROR_PAUSE.duration()).await;
            }
        }
    }
}

fn take_over(edge: &Edge, datagram: &[u8]) -> Result<(), Box<dyn std::error::Error>> {
    let told = Told::decode(datagram)?;
    let host: HostId = told.host.parse()?;
    let mut uses = Vec::with_capacity(told.uses.len());
    for part in told.uses {
        uses.push(Use {
            server: part.server.parse::<BackendId>()?,
            requests: part.requests,
            tokens: Tokens(part.tokens),
        });
    }
    let changing: Result<Vec<BackendId>, _> = told.changing.iter().map(|id| id.parse()).collect();
    let now = edge.now();
    let said = PeerUse {
        head: told.head.as_ref().map(|head| head_of(now, head)),
        uses,
        waiting: Tokens(told.waiting_tokens),
        changing: changing?,
    };
    let order = (told.incarnation, told.sequence);
    let mut state = edge.state();
    state.fleet.hear(now, host, order, said);
    let known = &mut state.known;
    known.hear(Version(told.config_changed), Version(told.servers_changed));
    let is_outpaced = known.is_outpaced(Table::Config) || known.is_outpaced(Table::Servers);
    drop(state);
    if is_outpaced {
        edge.news.notify_waiters();
    }
    edge.room.notify_waiters();
    Ok(())
}
