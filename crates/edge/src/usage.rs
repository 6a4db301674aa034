//! Usage updates: datagrams in which each host reports its requests in progress to the other hosts.
//!
//! Engines report their load with a lag of about a second; a host's own sends are known at once.
//! Each host sends an update to all others of its zone whenever its own load changes, so that two
//! hosts rarely choose the same free capacity, and to those of other zones at the intervals of
//! [`update_intervals`]. The updates also carry what this host knows of requests that crash engines.

use std::net::SocketAddr;
use std::sync::Arc;

use bv_admit::{PeerLoad, QueuedCall, ServerLoad, WaitingTokens, host_digest};
use bv_blame::Report;
use bv_platform::Table;
use bv_types::{BackendId, Era, HostId, Millis, Tokens, Version};
use prost::Message;
use tokio::net::UdpSocket;
use tracing::debug;

use crate::counters::{self, ControlKind, Direction};
use crate::crash_reports::{
    ContentSurvival, EngineCrash, decode_report, encode_crash, encode_survival,
};
use crate::dispatch;
use crate::dispatch_messages::DispatchMessage;
use crate::edge::Edge;
use crate::quota_messages::{self, QuotaMessage};
use crate::state::State;
use crate::trials::{self, TrialMessage, TrialStep};

/// Largest number of hosts of other groups that are relayed at once.
const MAX_HEARD: usize = 128;
/// Largest datagram; enough for some hundred engines.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;
/// Pause after a failed read of the socket.
const ERROR_PAUSE: Millis = Millis(50);

#[derive(Clone, PartialEq, Message)]
pub(crate) struct UsageUpdate {
    #[prost(string, tag = "1")]
    pub host: String,
    /// Start of the sender's process, in ms since the Unix epoch.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    #[prost(message, repeated, tag = "4")]
    pub uses: Vec<EngineUse>,
    /// Tokens of all waiting calls.
    #[prost(uint64, tag = "5")]
    pub waiting_tokens: u64,
    /// Engines that change their role on an order of the sender.
    #[prost(string, repeated, tag = "6")]
    pub changing: Vec<String>,
    /// Version of the newest configuration change that the sender knows.
    #[prost(uint64, tag = "7")]
    pub config_changed: u64,
    /// Version of the newest server change that the sender knows.
    #[prost(uint64, tag = "8")]
    pub servers_changed: u64,
    #[prost(message, optional, tag = "9")]
    pub head: Option<QueueHead>,
    /// Time since the store confirmed the sender's rows, in ms; absent if the sender does not read
    /// the store for others, or is not answered.
    #[prost(uint64, optional, tag = "10")]
    pub store_age_ms: Option<u64>,
    /// Servers that refused the sender's latest request.
    #[prost(string, repeated, tag = "11")]
    pub refusing: Vec<String>,
    #[prost(message, repeated, tag = "12")]
    pub crashes: Vec<EngineCrash>,
    #[prost(message, repeated, tag = "13")]
    pub survivals: Vec<ContentSurvival>,
    /// Present in a datagram that carries no usage.
    #[prost(message, optional, tag = "14")]
    pub trial: Option<TrialMessage>,
    /// Present in a datagram that carries no usage.
    #[prost(message, optional, tag = "15")]
    pub quota: Option<QuotaMessage>,
    /// Present in a datagram that carries no usage.
    #[prost(message, optional, tag = "16")]
    pub dispatch: Option<DispatchMessage>,
    /// Present where hosts are divided into groups.
    #[prost(message, optional, tag = "17")]
    pub presence: Option<Presence>,
    /// Era of the versions.
    #[prost(uint64, tag = "18")]
    pub store_era: u64,
    /// Tokens of the waiting calls by priority; absent if all have the priority of `head`.
    #[prost(message, repeated, tag = "19")]
    pub waiting: Vec<PriorityTokens>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct PriorityTokens {
    #[prost(uint32, tag = "1")]
    priority: u32,
    #[prost(uint64, tag = "2")]
    tokens: u64,
}

/// What hosts in groups tell each other besides their load.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Presence {
    /// Whether the datagram says nothing about the sender's load.
    #[prost(bool, tag = "1")]
    pub has_no_load: bool,
    /// Whether the receiver relays to its group that the sender is alive.
    #[prost(bool, tag = "2")]
    pub is_relayed: bool,
    /// Digests of hosts of other groups that the sender heard lately.
    #[prost(fixed32, repeated, tag = "3")]
    pub heard: Vec<u32>,
}

/// The first call in the sender's queue. Times are sent as durations, since clocks differ.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct QueueHead {
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
pub(crate) struct EngineUse {
    #[prost(string, tag = "1")]
    server: String,
    #[prost(uint32, tag = "2")]
    requests: u32,
    #[prost(uint64, tag = "3")]
    tokens: u64,
}

pub(crate) fn send_to(socket: &UdpSocket, update: &UsageUpdate, receivers: &[SocketAddr]) {
    let datagram = update.encode_to_vec();
    let kind = control_kind(update);
    for peer in receivers {
        counters::control_message(kind, Direction::Sent, datagram.len());
        if let Err(err) = socket.try_send_to(&datagram, *peer) {
            debug!(peer = %peer, error = %err, "usage: sending the update to a peer failed");
        }
    }
}

fn control_kind(update: &UsageUpdate) -> ControlKind {
    match update {
        UsageUpdate { trial: Some(_), .. } => ControlKind::Trial,
        UsageUpdate { quota: Some(_), .. } => ControlKind::Quota,
        UsageUpdate {
            dispatch: Some(_), ..
        } => ControlKind::Dispatch,
        _ => ControlKind::Load,
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

/// Sends a message about a quota to one host.
pub(crate) fn send_quota(edge: &Edge, to: SocketAddr, message: QuotaMessage) {
    let Some(socket) = edge.datagrams.get() else {
        return;
    };
    let update = UsageUpdate {
        host: edge.settings.host.to_string(),
        quota: Some(message),
        ..UsageUpdate::default()
    };
    counters::quota_message("sent", update.encoded_len());
    send_to(socket, &update, &[to]);
}

/// Sends a message about the slots of a service to one host.
pub(crate) fn send_dispatch(edge: &Edge, to: SocketAddr, message: DispatchMessage) {
    let Some(socket) = edge.datagrams.get() else {
        return;
    };
    let update = UsageUpdate {
        host: edge.settings.host.to_string(),
        dispatch: Some(message),
        ..UsageUpdate::default()
    };
    send_to(socket, &update, &[to]);
}

pub(crate) fn encode_update(
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
        waiting_tokens: load.waiting.iter().map(|sum| sum.tokens).sum::<Tokens>().0,
        waiting: encode_waiting(&load.waiting),
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

pub(crate) fn with_report(update: UsageUpdate, report: &Report) -> UsageUpdate {
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

/// Sums of several priorities. A single one is told by the head of the queue.
fn encode_waiting(waiting: &[WaitingTokens]) -> Vec<PriorityTokens> {
    if waiting.len() < 2 {
        return Vec::new();
    }
    let encode = |sum: &WaitingTokens| PriorityTokens {
        priority: u32::from(sum.priority),
        tokens: sum.tokens.0,
    };
    waiting.iter().map(encode).collect()
}

fn decode_waiting(
    waiting: &[PriorityTokens],
    all: u64,
    head: Option<&QueueHead>,
) -> Vec<WaitingTokens> {
    let to_priority = |priority: u32| u8::try_from(priority).unwrap_or(u8::MAX);
    let decode = |sum: &PriorityTokens| WaitingTokens {
        priority: to_priority(sum.priority),
        tokens: Tokens(sum.tokens),
    };
    if !waiting.is_empty() || all == 0 {
        return waiting.iter().map(decode).collect();
    }
    // Calls whose priority is not told may go before any other.
    let priority = head.map_or(0, |head| to_priority(head.priority));
    vec![WaitingTokens {
        priority,
        tokens: Tokens(all),
    }]
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

/// Records which hosts are alive according to a datagram of a host.
fn receive_presence(state: &mut State, now: Millis, host: &HostId, presence: Option<&Presence>) {
    let (Some(presence), Some(groups)) = (presence, state.fleet.groups().cloned()) else {
        if presence.is_some() {
            state.fleet.record_presence(now, host);
        }
        return;
    };
    if presence.has_no_load {
        state.fleet.record_presence(now, host);
    }
    if presence.is_relayed && state.heard.len() < MAX_HEARD {
        state.heard.push(host_digest(host));
    }
    for digest in &presence.heard {
        let heard = groups.host(*digest).filter(|host| !groups.is_near(host));
        if let Some(host) = heard {
            state.fleet.record_presence(now, host);
        }
    }
}

fn apply_update(
    edge: &Edge,
    peer: SocketAddr,
    datagram: &[u8],
) -> Result<(), Box<dyn std::error::Error>> {
    let update = UsageUpdate::decode(datagram)?;
    let kind = control_kind(&update);
    counters::control_message(kind, Direction::Received, datagram.len());
    let report = decode_report(&update.crashes, &update.survivals);
    let host: HostId = update.host.parse()?;
    if let Some(message) = &update.dispatch {
        dispatch::receive(edge, peer, &host, message);
        return Ok(());
    }
    if let Some(message) = &update.trial {
        edge.state().crashes.receive(edge.now(), &report);
        trials::receive(edge, peer, &host, message);
        edge.trials_changed.notify_waiters();
        return Ok(());
    }
    if let Some(message) = &update.quota {
        quota_messages::receive(edge, peer, &host, message);
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
        waiting: decode_waiting(&update.waiting, update.waiting_tokens, update.head.as_ref()),
        engines_changing_role: changing?,
        refusing: refusing?,
    };
    let message_seq = (update.incarnation, update.sequence);
    let mut state = edge.state();
    receive_presence(&mut state, now, &host, update.presence.as_ref());
    match update.presence {
        Some(Presence {
            has_no_load: true, ..
        }) => {
            let changing = &peer_load.engines_changing_role;
            state.fleet.record_peer_role_changes(now, changing);
        }
        _ => state.fleet.update_peer(now, host, message_seq, peer_load),
    }
    state.crashes.receive(now, &report);
    let known = &mut state.known;
    known.record_reported(
        peer,
        Era(update.store_era),
        (
            Version(update.config_changed),
            Version(update.servers_changed),
        ),
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
