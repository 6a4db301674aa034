//! Events, actions and the stored form of a lease.

use bv_types::{Fence, HostId, Incarnation, Millis, Version};
use serde::{Deserialize, Serialize};

/// A process that can hold a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// Entry host.
    pub host: HostId,
    /// Its process; another process of the same host is another holder.
    pub incarnation: Incarnation,
}

/// Body of a lease row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Who holds the lease.
    pub holder: Holder,
    /// Fencing number; higher for each new holder.
    pub fence: Fence,
    /// Duration of the lease.
    pub duration: Millis,
}

/// A lease row with its version; each renewal increases the version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredLease {
    /// Version of the row.
    pub version: Version,
    /// Content.
    pub row: LeaseRow,
}

/// A lease held by this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldLease {
    /// Fencing number of orders.
    pub fence: Fence,
    /// When the table service confirmed the acquisition.
    pub acquired: Millis,
    /// When the lease ends unless it is renewed.
    pub until: Millis,
}

/// Input of a [`Lease`](crate::Lease).
#[derive(Debug, Clone)]
pub enum Event {
    /// Whether this process should hold the lease.
    Want(bool),
    /// The table service answered a read.
    Read {
        /// Id from [`Action::Read`].
        read: u64,
        /// The row, or none.
        row: Option<StoredLease>,
    },
    /// The table service did not answer a read.
    ReadFailed {
        /// Id from [`Action::Read`].
        read: u64,
    },
    /// The table service answered a write, or did not.
    WriteEnded {
        /// Id from [`Action::Write`].
        write: u64,
        /// Result.
        result: WriteResult,
    },
    /// An engine reported a fencing number, which may be above those known here after a restore of
    /// the table.
    FenceSeen(Fence),
    /// Time has passed.
    Tick,
}

/// Result of a conditional write.
#[derive(Debug, Clone)]
pub enum WriteResult {
    /// The write took effect.
    Committed,
    /// The precondition was not met; the current row, or none.
    Conflict(Option<StoredLease>),
    /// The write did not take effect and will not.
    Unavailable,
    /// The write may have taken effect or may still do so.
    Unanswered,
}

/// Output of a [`Lease`](crate::Lease).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read the row; answer with [`Event::Read`] or [`Event::ReadFailed`].
    Read {
        /// Id of the read.
        read: u64,
    },
    /// Write the row; answer with [`Event::WriteEnded`].
    Write {
        /// Id of the write.
        write: u64,
        /// New version and content.
        stored: StoredLease,
        /// Version that the row must have; `None` if it must not exist.
        expected: Option<Version>,
    },
    /// This process has acquired the lease with this fencing number.
    Acquired(Fence),
    /// This process no longer holds the lease with this fencing number.
    Lost(Fence),
}
