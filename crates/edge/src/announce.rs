//! The task that reports this host's load to the other hosts.

use std::net::SocketAddr;
use std::sync::Arc;

use bv_admit::update_intervals::REFRESH_INTERVAL;
use bv_admit::{News, PeerLoad, Receivers, Recipients, UpdatePlan};
use bv_types::Millis;
use prost::Message;
use tokio::net::UdpSocket;

use crate::edge::Edge;
use crate::usage::{Presence, UsageUpdate, encode_update, send_to, with_report};

/// Minimum time between two updates, with [`COALESCE_PER_HOST_US`] added for each host of this zone;
/// changes within it are sent together.
const COALESCE_TIME: Millis = Millis(8);
/// Increase of that time for each host, in microseconds: what the hosts of a zone send and read grows
/// with the square of their number.
const COALESCE_PER_HOST_US: u64 = 400;
/// Bytes of the headers of UDP and IPv4.
const TRANSPORT_BYTES: usize = 28;

/// Sends this host's usage to the other hosts.
pub(crate) async fn send_updates(edge: Arc<Edge>, socket: Arc<UdpSocket>) {
    let incarnation = edge.now().0;
    let mut sequence = 0;
    let mut plan = UpdatePlan::new(fastrand::usize(..));
    let mut blocks_due = Millis::ZERO;
    loop {
        let change = edge.own_load_changed.notified();
        // Without a change the update is sent again all the same, in case a datagram was lost.
        let _ = tokio::time::timeout(REFRESH_INTERVAL.duration(), change).await;
        let (groups, (near, remote)) = {
            let state = edge.state();
            let addresses = state.hosts.addresses_by_zone(&edge.settings.zone);
            (state.fleet.groups().cloned(), addresses)
        };
        let told = groups.as_ref().map_or(near.len(), |g| g.near_count());
        let pause = COALESCE_TIME + Millis(told as u64 * COALESCE_PER_HOST_US / 1_000);
        tokio::time::sleep(pause.duration()).await;
        let now = edge.now();
        edge.end_rests(now);
        edge.update_blocks(now);
        let store_age = edge.state().sources.own_report(now);
        let news = News {
            load: own_load(&edge, now),
            reads_store: store_age.is_some(),
            crash_news: edge.state().crashes.urgent_news(),
        };
        let recipients = match &groups {
            Some(groups) => Recipients::Groups(groups),
            None => Recipients::Zones {
                near: &near,
                remote: &remote,
            },
        };
        let receivers = plan.receivers(now, recipients, &news);
        if !receivers.is_empty() {
            sequence += 1;
            let report = edge.state().crashes.report(now);
            let update = encode_update(&edge, now, (incarnation, sequence), &news.load, store_age);
            let update = with_report(update, &report);
            match groups {
                Some(_) => {
                    let bytes = send_in_groups(&edge, &socket, update, &receivers);
                    plan.record_sent(now, bytes);
                }
                None => send_to(&socket, &update, &receivers.load),
            }
        }
        // A host that was cut off or has started again missed the reports of the crashes.
        if now >= blocks_due {
            blocks_due = now + REFRESH_INTERVAL;
            let report = edge.state().crashes.report_blocks(now);
            let peer = edge.state().hosts.peer(fastrand::usize(..));
            if let Some(peer) = peer.filter(|_| !report.is_empty()) {
                sequence += 1;
                let seq = (incarnation, sequence);
                let mut update = encode_update(&edge, now, seq, &news.load, store_age);
                if groups.is_some() {
                    update = without_load(update, Presence::default());
                }
                send_to(&socket, &with_report(update, &report), &[peer]);
            }
        }
    }
}

/// Sends an update to hosts in groups. Returns the bytes that went to the own group, headers of the
/// transport included.
fn send_in_groups(
    edge: &Edge,
    socket: &UdpSocket,
    update: UsageUpdate,
    receivers: &Receivers,
) -> usize {
    let is_group_told = !receivers.load.is_empty() || !receivers.presence.is_empty();
    let heard = match is_group_told {
        true => std::mem::take(&mut edge.state().heard),
        false => Vec::new(),
    };
    let news = Presence {
        heard,
        ..Presence::default()
    };
    let full = UsageUpdate {
        presence: Some(news.clone()),
        ..update.clone()
    };
    let size = |update: &UsageUpdate| update.encoded_len() + TRANSPORT_BYTES;
    let mut bytes = 0;
    if !receivers.load.is_empty() {
        send_to(socket, &full, &receivers.load);
        bytes += size(&full) * receivers.load.len();
    }
    let near = edge.state().fleet.groups().cloned();
    let is_near = |addr: &&SocketAddr| near.as_ref().is_some_and(|g| g.near().any(|a| a == **addr));
    let near: Vec<SocketAddr> = receivers.presence.iter().filter(is_near).copied().collect();
    if !near.is_empty() {
        let short = without_load(update.clone(), news);
        send_to(socket, &short, &near);
        bytes += size(&short) * near.len();
    }
    if receivers.presence.len() > near.len() {
        let short = without_load(update.clone(), Presence::default());
        let far = receivers
            .presence
            .iter()
            .filter(|addr| !near.contains(addr));
        send_to(socket, &short, &far.copied().collect::<Vec<_>>());
    }
    if !receivers.relayed_presence.is_empty() {
        let relayed = Presence {
            is_relayed: true,
            ..Presence::default()
        };
        send_to(
            socket,
            &without_load(update, relayed),
            &receivers.relayed_presence,
        );
    }
    bytes
}

/// The update for hosts that need not know the load.
fn without_load(update: UsageUpdate, presence: Presence) -> UsageUpdate {
    UsageUpdate {
        uses: Vec::new(),
        waiting_tokens: 0,
        waiting: Vec::new(),
        head: None,
        refusing: Vec::new(),
        presence: Some(Presence {
            has_no_load: true,
            ..presence
        }),
        ..update
    }
}

/// Load that this host reports to the others.
fn own_load(edge: &Edge, now: Millis) -> PeerLoad {
    let mut state = edge.state();
    state.fleet.expire_peers(now);
    PeerLoad {
        loads: state.fleet.own_loads(),
        waiting: state.queue.tokens_by_priority(),
        first_waiting: state.queue.first(now),
        engines_changing_role: state.fleet.engines_changing_role(now),
        refusing: state.fleet.refusing(now),
    }
}
