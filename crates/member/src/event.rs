//! Input and output of the state machine.

use std::net::SocketAddr;

use bv_types::{HostId, Incarnation};

use crate::{GossipUpdate, Member, Message};

/// Input of [`Membership`](crate::Membership).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A message arrived.
    Packet(Message),
    /// Time has passed; expected about every 50 ms.
    Tick,
    /// This process shuts down and leaves the membership.
    Leave,
    /// This host has a gossip update to send.
    AddGossipUpdate(GossipUpdate),
}

/// Output of [`Membership`](crate::Membership), to be carried out in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message to an address.
    Send {
        /// The receiver.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// A member is live, for the first time or again.
    Joined(Member),
    /// A member did not answer a probe; it still counts as live.
    Suspected(Member),
    /// A member is dead, or a newer process has replaced it.
    Dead(Member),
    /// A member announced its departure.
    Left(Member),
    /// A gossip update from another host is new here.
    GossipUpdate {
        /// The host that sent it.
        from: HostId,
        /// The update, with times by the local clock.
        update: GossipUpdate,
    },
    /// Another host had declared this process dead; this host has refuted it.
    DeclaredDead {
        /// The host that reported it.
        by: HostId,
    },
    /// A process with this host's id and a higher incarnation exists; other hosts ignore this one.
    Superseded {
        /// Incarnation of the other process.
        by: Incarnation,
    },
}
