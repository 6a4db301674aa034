//! Input events and output actions of a shard.

use bv_types::{AttemptId, BackendId, HostId, Incarnation, Millis, Pieces, Refusal};

use crate::Request;

/// Load report of a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Time at which the runner measured its load.
    pub at: Millis,
    /// Incarnation of the runner process.
    pub incarnation: Incarnation,
    /// Requests that occupy memory.
    pub running: u32,
    /// Requests queued in the engine.
    pub waiting: u32,
    /// Free memory, in pieces.
    pub free_pieces: Pieces,
    /// Whether the runner is leaving and must get no new work.
    pub leaving: bool,
}

/// A grant of the previous shard owner, reported by the entry host that uses it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Adoption {
    /// The granted request.
    pub request: Request,
    /// Prefill runner.
    pub prefill: BackendId,
    /// Decode runner.
    pub decode: BackendId,
    /// Whether decode has started.
    pub decoding: bool,
}

/// An input of the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A runner reported its load.
    Report {
        /// The runner.
        runner: BackendId,
        /// Its load.
        report: Report,
    },
    /// An entry host requests a pair of runners.
    Reserve(Request),
    /// The prefill of an attempt has ended; decode may start on [`Action::Proceed`].
    PrefillDone(AttemptId),
    /// An attempt has ended or its caller has disconnected.
    Release(AttemptId),
    /// An entry host reports a grant of the previous shard owner.
    Adopt(Adoption),
    /// An entry host process was declared dead.
    HostDead {
        /// The host.
        host: HostId,
        /// Incarnation of its process.
        incarnation: Incarnation,
    },
    /// An entry host process that was declared dead is alive.
    HostAlive {
        /// The host.
        host: HostId,
        /// Incarnation of its process.
        incarnation: Incarnation,
    },
    /// A runner is leaving and must get no new work.
    Leaving {
        /// The runner.
        runner: BackendId,
        /// Incarnation of its process.
        incarnation: Incarnation,
    },
    /// A runner does not answer; it gets no work until it reports again.
    RunnerFailed(BackendId),
    /// Periodic timer: grants and queued requests may have expired.
    Tick,
}

/// The pair of runners assigned to one attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// The attempt.
    pub attempt: AttemptId,
    /// Prefill runner.
    pub prefill: BackendId,
    /// Decode runner.
    pub decode: BackendId,
    /// Predicted time from the grant to the end of prefill.
    pub prefill_time: Millis,
    /// Predicted time from the grant to the first token.
    pub first_token: Millis,
    /// Whether the decode slot is reserved; otherwise decode waits for [`Action::Proceed`].
    pub slot_ready: bool,
}

/// An output of the state machine, which the driver must carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Prefill may start on the granted runner.
    Grant(Grant),
    /// Decode of this attempt may start. Sent after [`Event::PrefillDone`] once the slot is
    /// reserved, or at once for an attempt that this shard does not know.
    Proceed(AttemptId),
    /// The request is refused; it did not run.
    Deny {
        /// The attempt.
        attempt: AttemptId,
        /// Reason of the refusal.
        reason: Refusal,
    },
    /// The attempt must be cancelled at a runner.
    Cancel {
        /// The runner.
        runner: BackendId,
        /// The attempt.
        attempt: AttemptId,
    },
}
