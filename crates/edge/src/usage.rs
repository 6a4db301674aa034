//! Usage updates: datagrams in which each host reports its requests in progress to the other hosts.
//!
//! Engines report their load with a lag of about a second; a host's own sends are known at once.
//! Each host sends an update to all others of its zone whenever its own load changes, so that two
//! hosts rarely choose the same free capacity, and to those of other zones at the intervals of
//! [`update_intervals`]. The updates also carry what this host knows of requests that crash engines.

use std::net::SocketAddr;
use std::sync::Arc;

use bv_admit::{PeerLoad, QueuedCall, ServerLoad, update_intervals};
use bv_blame::Report;
use bv_platform::Table;
use bv_types::{BackendId, Era, HostId, Millis, Tokens, Version};
use prost::Message;
use tokio::net::UdpSocket;
use tracing::debug;

use crate::crash_reports::{
    ContentSurvival, EngineCrash, decode_report, encode_crash, encode_survival,
};
use crate::edge::Edge;
use crate::trials::{self, TrialMessage, TrialStep};

/// Interval at which an unchanged update is sent again, since datagrams can be lost.
const REFRESH_INTERVAL: Millis = Millis(500);
/// Minimum time between two updates, with [`COALESCE_PER_HOST_US`] added for each host of this zone;
/// changes within it are sent together.
const COALESCE_TIME: Millis = Millis(8);
/// Increase of that time for each host, in microseconds: what the hosts of a zone send and read grows
/// with the square of their number.
const COALESCE_PER_HOST_US: u64 = 400;
/// Largest datagram; enough for some hundred engines.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;
/// Pause after a failed read of the socket.
const ERROR_PAUSE: Millis = Millis(50);

#[derive(Clone, PartialEq, Message)]
struct UsageUpdate {
    #[prost(string, tag = "1")]
    host: String,
    /// Start of the sender's process, in ms since the Unix epoch.
    #[prost(uint64, tag = "2")]
    incarnation: u64,
    #[prost(uint64, tag = "3")]
    sequence: u64,
    #[prost(message, repeated, tag = "4")]
    uses: Vec<EngineUse>,
    #[prost(uint64, tag = "5")]
    waiting_tokens: u64,
    /// Engines that change their role on an order of the sender.
    #[prost(string, repeated, tag = "6")]
    changing: Vec<String>,
    /// Version of the newest configuration change that the sender knows.
    #[prost(uint64, tag = "7")]
    config_changed: u64,
    /// Version of the newest server change that the sender knows.
    #[prost(uint64, tag = "8")]
    servers_changed: u64,
    #[prost(message, optional, tag = "9")]
    head: Option<QueueHead>,
    /// Time since the store confirmed the sender's rows, in ms; absent if the sender does not read
    /// the store for others, or is not answered.
    #[prost(uint64, optional, tag = "10")]
    store_age_ms: Option<u64>,
    /// Servers that refused the sender's latest request.
    #[prost(string, repeated, tag = "11")]
    refusing: Vec<String>,
    #[prost(message, repeated, tag = "12")]
    crashes: Vec<EngineCrash>,
    #[prost(message, repeated, tag = "13")]
    survivals: Vec<ContentSurvival>,
    /// Present in a datagram that carries no usage.
    #[prost(message, optional, tag = "14")]
    trial: Option<TrialMessage>,
    /// Era of the versions.
    #[prost(uint64, tag = "18")]
    store_era: u64,
}

/// The first call in the sender's queue. Times are sent as durations, since clocks differ.
#[derive(Clone, PartialEq, Message)]
struct QueueHead {
    #[prost(uint32, tag = "1")]
    priority: u32,
    /// Time since the arrival of the call, in ms.
    #[prost(uint64, tag = "2")]
    age_ms: u64,
    /// Time after the arrival by which the call must be placed to be on time, in ms.
    #[prost(uint64, tag = "3")]
    on_time_ms: u64,
    #[prost(uint64, tag = "4")]
    tokens: u64,
}

#[derive(Clone, PartialEq, Message)]
struct EngineUse {
    #[prost(string, tag = "1")]
    server: String,
    #[prost(uint32, tag = "2")]
    requests: u32,
    #[prost(uint64, tag = "3")]
    tokens: u64,
}

/// What was sent last to a group of hosts.
#[derive(Debug, Default)]
struct LastSent {
    load: PeerLoad,
    reads_store: bool,
    /// News of crashes that other hosts wait for.
    crash_news: u64,
    at: Millis,
}

impl LastSent {
    /// Whether the group is to be told the current load. `interval` is the minimum time between two
    /// updates; whether a call waits is told sooner, since other hosts leave capacity to it, and so
    /// is whether this host reads the store and that an engine has crashed.
    fn is_due(
        &self,
        now: Millis,
        load: &PeerLoad,
        (reads_store, crash_news): (bool, u64),
        interval: Millis,
    ) -> bool {
        let is_waiting_changed = load.first_waiting.is_some() != self.load.first_waiting.is_some();
        is_waiting_changed
            || reads_store != self.reads_store
            || crash_news != self.crash_news
            || (*load != self.load && now >= self.at + interval)
            || now >= self.at + interval.max(REFRESH_INTERVAL)
    }
}

/// Sends this host's usage to the other hosts.
pub(crate) async fn send_updates(edge: Arc<Edge>, socket: Arc<UdpSocket>) {
    let incarnation = edge.now().0;
    let mut sequence = 0;
    let mut last_near = LastSent::default();
    let mut last_remote = LastSent::default();
    let mut blocks_due = Millis::ZERO;
    loop {
        let change = edge.own_load_changed.notified();
        // Without a change the update is sent again all the same, in case a datagram was lost.
        let _ = tokio::time::timeout(REFRESH_INTERVAL.duration(), change).await;
        let (near, remote) = edge.state().hosts.addresses_by_zone(&edge.settings.zone);
        let pause = COALESCE_TIME + Millis(near.len() as u64 * COALESCE_PER_HOST_US / 1_000);
        tokio::time::sleep(pause.duration()).await;
        let now = edge.now();
        edge.end_rests(now);
        edge.update_blocks(now);
        let load = own_load(&edge, now);
        let store_age = edge.state().sources.own_report(now);
        let reads_store = store_age.is_some();
        let crash_news = edge.state().crashes.urgent_news();
        let remote_interval = update_intervals::remote_interval(near.len() + remote.len() + 1);
        let mut receivers = Vec::new();
        if last_near.is_due(now, &load, (reads_store, crash_news), Millis::ZERO) {
            receivers.extend(near);
            last_near = LastSent {
                load: load.clone(),
                reads_store,
                crash_news,
                at: now,
            };
        }
        if last_remote.is_due(now, &load, (reads_store, crash_news), remote_interval) {
            receivers.extend(remote);
            last_remote = LastSent {
                load: load.clone(),
                reads_store,
                crash_news,
                at: now,
            };
        }
        if !receivers.is_empty() {
            sequence += 1;
            let report = edge.state().crashes.report(now);
            let update = encode_update(&edge, now, (incarnation, sequence), &load, store_age);
            send_to(&socket, &with_report(update, &report), &receivers);
        }
        // A host that was cut off or has started again missed the reports of the crashes.
        if now >= blocks_due {
            blocks_due = now + REFRESH_INTERVAL;
            let report = edge.state().crashes.report_blocks(now);
            let peer = edge.state().hosts.peer(fastrand::usize(..));
            if let Some(peer) = peer.filter(|_| !report.is_empty()) {
                sequence += 1;
                let update = encode_update(&edge, now, (incarnation, sequence), &load, store_age);
                send_to(&socket, &with_report(update, &report), &[peer]);
            }
        }
    }
}

fn send_to(socket: &UdpSocket, update: &UsageUpdate, receivers: &[SocketAddr]) {
    let datagram = update.encode_to_vec();
    for peer in receivers {
        if let Err(err) = socket.try_send_to(&datagram, *peer) {
            debug!(peer = %peer, error = %err, "usage: sending the update to a peer failed");
        }
    }
}

/// Sends a message about a trial to one host, with what this host knows of crashes.
pub(crate) fn send_trial(edge: &Edge, to: SocketAddr, message: TrialMessage) {
    let Some(socket) = edge.datagrams.get() else {
        return;
    };
    let now = edge.now();
    let report = {
        let mut state = edge.state();
        let mut report = state.crashes.report(now);
        if message.kind() == TrialStep::Refuse {
            report
                .crashes
                .extend(state.crashes.report_blocks(now).crashes);
        }
        report
    };
    let update = UsageUpdate {
        host: edge.settings.host.to_string(),
        trial: Some(message),
        ..UsageUpdate::default()
    };
    send_to(socket, &with_report(update, &report), &[to]);
}

/// Load that this host reports to the others.
fn own_load(edge: &Edge, now: Millis) -> PeerLoad {
    let mut state = edge.state();
    state.fleet.expire_peers(now);
    PeerLoad {
        loads: state.fleet.own_loads(),
        waiting_tokens: state.queue.tokens(),
        first_waiting: state.queue.first(now),
        engines_changing_role: state.fleet.engines_changing_role(now),
        refusing: state.fleet.refusing(now),
    }
}

fn encode_update(
    edge: &Edge,
    now: Millis,
    (incarnation, sequence): (u64, u64),
    load: &PeerLoad,
    store_age: Option<Millis>,
) -> UsageUpdate {
    let (era, config_changed, servers_changed) = edge.state().known.newest_changes();
    UsageUpdate {
        host: edge.settings.host.to_string(),
        incarnation,
        sequence,
        uses: load.loads.iter().map(encode_use).collect(),
        waiting_tokens: load.waiting_tokens.0,
        changing: load
            .engines_changing_role
            .iter()
            .map(BackendId::to_string)
            .collect(),
        refusing: load.refusing.iter().map(BackendId::to_string).collect(),
        config_changed: config_changed.0,
        servers_changed: servers_changed.0,
        store_era: era.0,
        head: load.first_waiting.map(|call| encode_head(now, call)),
        store_age_ms: store_age.map(|age| age.0),
        ..UsageUpdate::default()
    }
}

fn with_report(update: UsageUpdate, report: &Report) -> UsageUpdate {
    UsageUpdate {
        crashes: report.crashes.iter().map(encode_crash).collect(),
        survivals: report.survivals.iter().map(encode_survival).collect(),
        ..update
    }
}

fn encode_use(load: &ServerLoad) -> EngineUse {
    EngineUse {
        server: load.server.to_string(),
        requests: load.requests,
        tokens: load.tokens.0,
    }
}

fn encode_head(now: Millis, call: QueuedCall) -> QueueHead {
    QueueHead {
        priority: u32::from(call.priority),
        age_ms: (now - call.arrived).0,
        on_time_ms: (call.on_time_until - call.arrived).0,
        tokens: call.tokens.0,
    }
}

fn decode_head(now: Millis, head: &QueueHead) -> QueuedCall {
    let arrived = now - Millis(head.age_ms);
    QueuedCall {
        priority: u8::try_from(head.priority).unwrap_or(u8::MAX),
        arrived,
        on_time_until: arrived + Millis(head.on_time_ms),
        tokens: Tokens(head.tokens),
    }
}

/// Receives and applies the usage updates of other hosts.
pub(crate) async fn receive_updates(edge: Arc<Edge>, socket: Arc<UdpSocket>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((len, peer)) => {
                if let Err(err) = apply_update(&edge, peer, &buf[..len]) {
                    debug!(peer = %peer, error = %err, "usage: unreadable datagram ignored");
                }
            }
            Err(err) => {
                debug!(error = %err, "usage: reading from the socket failed");
                tokio::time::sleep(ERROR_PAUSE.duration()).await;
            }
        }
    }
}

fn apply_update(
    edge: &Edge,
    peer: SocketAddr,
    datagram: &[u8],
) -> Result<(), Box<dyn std::error::Error>> {
    let update = UsageUpdate::decode(datagram)?;
    let report = decode_report(&update.crashes, &update.survivals);
    let host: HostId = update.host.parse()?;
    if let Some(message) = &update.trial {
        edge.state().crashes.receive(edge.now(), &report);
        trials::receive(edge, peer, &host, message);
        edge.trials_changed.notify_waiters();
        return Ok(());
    }
    let mut loads = Vec::with_capacity(update.uses.len());
    for engine_use in update.uses {
        loads.push(ServerLoad {
            server: engine_use.server.parse::<BackendId>()?,
            requests: engine_use.requests,
            tokens: Tokens(engine_use.tokens),
        });
    }
    let changing: Result<Vec<BackendId>, _> = update.changing.iter().map(|id| id.parse()).collect();
    let refusing: Result<Vec<BackendId>, _> = update.refusing.iter().map(|id| id.parse()).collect();
    let now = edge.now();
    let peer_load = PeerLoad {
        first_waiting: update.head.as_ref().map(|head| decode_head(now, head)),
        loads,
        waiting_tokens: Tokens(update.waiting_tokens),
        engines_changing_role: changing?,
        refusing: refusing?,
    };
    let message_seq = (update.incarnation, update.sequence);
    let mut state = edge.state();
    state.fleet.update_peer(now, host, message_seq, peer_load);
    state.crashes.receive(now, &report);
    let known = &mut state.known;
    known.record_reported(
        Era(update.store_era),
        Version(update.config_changed),
        Version(update.servers_changed),
    );
    let is_behind = known.is_behind(Table::Config) || known.is_behind(Table::Servers);
    let store_age = update.store_age_ms.map(Millis);
    let are_readers_changed = state.sources.record_report(now, peer, store_age);
    drop(state);
    if are_readers_changed {
        edge.sources_changed.notify_waiters();
    }
    if is_behind {
        edge.newer_version_reported.notify_waiters();
    }
    edge.capacity_changed.notify_waiters();
    if !report.is_empty() {
        edge.trials_changed.notify_waiters();
    }
    Ok(())
}
