//! Events and actions of the ledger.

use bv_types::{HostId, Incarnation, Millis, Refusal, Version};
use smol_str::SmolStr;

use crate::{Answer, Reply};

/// A call of one caller at this host; the driver assigns increasing numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Identifies one read or write of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreOpId {
    /// The call that issued it.
    pub call: CallId,
    /// Position among the reads and writes of the call.
    pub number: u32,
}

/// Condition under which a write takes effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// The row does not exist.
    Absent,
    /// The row exists with this version.
    Version(Version),
}

/// A conditional write of one row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowWrite {
    /// Key of the row.
    pub key: SmolStr,
    /// Version after the write.
    pub version: Version,
    /// Content as JSON.
    pub body: String,
    /// Condition on the row before the write.
    pub precondition: Precondition,
    /// Time since the Unix epoch after which the table may delete the row.
    pub expires: Millis,
}

/// A row that the table returned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRow {
    /// Version.
    pub version: Version,
    /// Content as JSON.
    pub body: String,
}

/// Answer of the table to one read or write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreAnswer {
    /// The write took effect.
    Written,
    /// The precondition was not met; the current row, or none.
    Conflict(Option<StoredRow>),
    /// The write did not take effect and will not.
    NotWritten,
    /// Result of a read.
    Row(Option<StoredRow>),
    /// The read failed.
    ReadFailed,
}

/// Input of the ledger.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A caller sent a non-idempotent call.
    Arrive {
        /// The call; higher than all before.
        call: CallId,
        /// Key of its row.
        key: SmolStr,
        /// Time by which the caller must be answered.
        deadline: Millis,
        /// Time for which a resent call is recognised.
        resend_window: Millis,
    },
    /// The table answered.
    StoreAnswer {
        /// The read or write.
        op: StoreOpId,
        /// The answer.
        answer: StoreAnswer,
    },
    /// The table did not answer a write, which may have taken effect or may still do so.
    StoreUnanswered {
        /// The write.
        op: StoreOpId,
    },
    /// No backend server was reached and nothing was sent.
    DispatchRefused {
        /// The call.
        call: CallId,
        /// Whether another backend server can be tried.
        retry: bool,
        /// Reason given to the caller when no other is tried.
        refusal: Refusal,
    },
    /// The call failed after its first byte may have been sent.
    DispatchFailed {
        /// The call.
        call: CallId,
    },
    /// The backend server answered.
    Answered {
        /// The call.
        call: CallId,
        /// Its answer.
        answer: Answer,
    },
    /// The caller closed its connection.
    CallerDisconnected {
        /// The call.
        call: CallId,
    },
    /// An entry host process ended; this includes all of its earlier incarnations.
    HostDead {
        /// The entry host.
        host: HostId,
        /// Its latest process that is known to have ended.
        incarnation: Incarnation,
    },
    /// Time passed.
    Tick,
}

/// Output of the ledger.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Write a row, in a transaction of the host's [`GroupCommit`](crate::GroupCommit).
    Write {
        /// Id to report the answer with.
        op: StoreOpId,
        /// The write.
        write: RowWrite,
    },
    /// Remove a write that has not been sent and report [`StoreAnswer::NotWritten`]; ignore one
    /// that has been sent.
    Withdraw {
        /// The write.
        op: StoreOpId,
    },
    /// Read a row.
    Read {
        /// Id to report the answer with.
        op: StoreOpId,
        /// Key of the row.
        key: SmolStr,
    },
    /// Send the call to a backend server if [`Ledger::start`](crate::Ledger::start) allows it.
    Dispatch {
        /// The call.
        call: CallId,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// Answer the caller; at most once for each call.
    Reply {
        /// The call.
        call: CallId,
        /// The reply.
        reply: Reply,
    },
    /// The outcome of the call is recorded; its state can be dropped.
    Closed {
        /// The call.
        call: CallId,
    },
}
