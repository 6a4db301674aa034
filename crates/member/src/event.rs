//! Input and output of the state machine.

use std::net::SocketAddr;

use bv_types::{HostId, Incarnation};

use crate::{Member, Message, Rumour};

/// Input of [`Membership`](crate::Membership).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A message arrived.
    Packet(Message),
    /// Time has passed; expected about every 50 ms.
    Tick,
    /// This process leaves.
    Leave,
    /// A rumour of this host.
    AddRumour(Rumour),
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
    /// A member did not answer; it still counts as live.
    Suspected(Member),
    /// A member is dead, or a newer process has replaced it.
    Dead(Member),
    /// A member said that it leaves.
    Left(Member),
    /// A rumour of another host is news.
    Rumour {
        /// Who told it.
        from: HostId,
        /// The rumour, with times by the local clock.
        rumour: Rumour,
    },
    /// Another host had declared this process dead; it has been told otherwise.
    DeclaredDead {
        /// Who said so.
        by: HostId,
    },
    /// A process with this host's id and a higher incarnation exists; this one is ignored.
    Superseded {
        /// The other process.
        by: Incarnation,
    },
}
