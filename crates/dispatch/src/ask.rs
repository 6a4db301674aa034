//! What hosts and the dispatcher tell each other.

use bv_types::{BackendId, HostId, Millis, TeamId, ZoneId};

/// Identifies a call of a host. Repeated asks for one call carry the same id.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct AskId {
    /// The host.
    pub host: HostId,
    /// The call, unique among those of the host's processes.
    pub call: u64,
}

/// A call that needs a slot. Points in time are those of the dispatcher's clock.
#[derive(Debug, Clone, PartialEq)]
pub struct Ask {
    /// The call.
    pub id: AskId,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Team of the caller; calls without a team share as one.
    pub team: Option<TeamId>,
    /// Zone of the asking host, if known.
    pub zone: Option<ZoneId>,
    /// When the call arrived at its host.
    pub arrived: Millis,
    /// When its answer is late for the route's objective.
    pub on_time_until: Millis,
    /// When its answer is of no use.
    pub deadline: Millis,
    /// Servers that it was sent to before, or that its host may not send to.
    pub tried: Vec<BackendId>,
    /// Digest by which a call that returns after a refusal is recognised.
    pub key: u64,
    /// When this ask was sent, by the clock of its host; repeated in the reply.
    pub sent_at: Millis,
}

/// Decision about a call.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// The call may be sent to the server.
    Grant {
        /// The server.
        server: BackendId,
        /// Time until the grant ends, from the ask.
        lease: Millis,
    },
    /// The call waits for a slot.
    Queued {
        /// Predicted wait.
        wait: Millis,
    },
    /// The call cannot be answered by its deadline.
    Refused {
        /// Time until a slot is likely to be free for it.
        retry_after: Millis,
    },
}

/// A decision that a host is told.
#[derive(Debug, Clone, PartialEq)]
pub struct Action {
    /// The call.
    pub id: AskId,
    /// [`Ask::sent_at`] of the newest ask for it.
    pub sent_at: Millis,
    /// What was decided.
    pub decision: Decision,
}

/// How the send of a granted call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendEnd {
    /// The server answered.
    Answered {
        /// Time between the send and the answer.
        took: Millis,
    },
    /// The server stated that it did not run the call.
    Rejected,
    /// The connection was refused or broke, or there was no answer.
    Failed,
    /// The grant was not used.
    Unused,
}

/// Load that a server reported.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerReport {
    /// Calls that it ran.
    pub running: u32,
    /// Calls that waited there.
    pub waiting: u32,
    /// How long work took there, in percent of the usual time, if it reports it.
    pub pace: Option<u32>,
}
