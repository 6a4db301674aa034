//! Events and actions of a shard.

use bv_types::{AttemptId, BackendId, HostId, Incarnation, Millis, Pieces, Refusal};

use crate::Request;

/// Load that a runner reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Time at which the runner took the counts.
    pub at: Millis,
    /// Process of the runner.
    pub incarnation: Incarnation,
    /// Requests that hold memory.
    pub running: u32,
    /// Requests that wait in the engine.
    pub waiting: u32,
    /// Unused memory.
    pub free_pieces: Pieces,
    /// Whether the runner leaves.
    pub leaving: bool,
}

/// A grant that an entry host holds from an earlier home.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Adoption {
    /// The request as it was granted.
    pub request: Request,
    /// Prefill runner.
    pub prefill: BackendId,
    /// Decode runner.
    pub decode: BackendId,
    /// Whether decode has started.
    pub decoding: bool,
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A runner reported its load.
    Report {
        /// The runner.
        runner: BackendId,
        /// Its load.
        report: Report,
    },
    /// An entry host asks for runners.
    Reserve(Request),
    /// The prefill of an attempt has ended; decode may start on [`Action::Proceed`].
    PrefillDone(AttemptId),
    /// An attempt has ended or its caller is gone.
    Release(AttemptId),
    /// An entry host reports a grant of an earlier home.
    Adopt(Adoption),
    /// An entry host process is dead.
    HostDead {
        /// The host.
        host: HostId,
        /// Its process.
        incarnation: Incarnation,
    },
    /// An entry host process that was declared dead is alive.
    HostAlive {
        /// The host.
        host: HostId,
        /// Its process.
        incarnation: Incarnation,
    },
    /// A runner leaves and must get no new work.
    Leaving {
        /// The runner.
        runner: BackendId,
        /// Its process.
        incarnation: Incarnation,
    },
    /// A runner does not answer; it gets no work until it reports again.
    RunnerFailed(BackendId),
    /// Time has passed.
    Tick,
}

/// A pair of runners for one attempt.
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

/// What the caller of the state machine must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Prefill may start.
    Grant(Grant),
    /// Decode may start.
    Proceed(AttemptId),
    /// The request is refused; it did not run.
    Deny {
        /// The attempt.
        attempt: AttemptId,
        /// Why.
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
