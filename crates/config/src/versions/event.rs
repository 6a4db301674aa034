//! Events and actions of [`Versions`](super::Versions).

use std::sync::Arc;

use bv_types::{Fingerprint, HostId, Millis, Version};
use smol_str::SmolStr;

use super::Document;

/// An input to the state machine.
#[derive(Debug, Clone)]
pub enum Event {
    /// The store answered a read with the row, or with none.
    StoreRead {
        /// Id from [`Action::ReadStore`].
        read: u64,
        /// The document in the row.
        document: Option<Document>,
    },
    /// The store did not answer a read, or the row is not usable.
    ReadFailed {
        /// Id from [`Action::ReadStore`].
        read: u64,
    },
    /// A write ended, with or without an answer of the store.
    WriteEnded {
        /// Id from [`Action::WriteStore`].
        write: u64,
        /// Result.
        result: WriteResult,
    },
    /// A peer sent its document.
    PeerAnswer {
        /// The peer.
        peer: HostId,
        /// Its document in force.
        document: Option<Document>,
        /// Time since the peer's document was confirmed; `None` if never.
        age: Option<Millis>,
    },
    /// A peer did not answer.
    PeerFailed {
        /// The peer.
        peer: HostId,
    },
    /// A peer advertised the version it has in force.
    Advertised {
        /// The peer.
        peer: HostId,
        /// Its version.
        version: Version,
        /// Digest of its document.
        digest: Fingerprint,
        /// Time since its document was confirmed; `None` if never. Includes an allowance for the
        /// time in transit; without it, two hosts cut off from the store could confirm each
        /// other's document forever.
        age: Option<Millis>,
    },
    /// The live peers, without this host.
    Peers(Vec<HostId>),
    /// An operator requests a change; the text has been validated.
    Apply {
        /// Id of the change.
        change: SmolStr,
        /// Version that the change replaces; 0 for none.
        expected: Version,
        /// New text.
        text: Arc<str>,
    },
    /// Periodic timer.
    Tick,
}

/// Result of a conditional write.
#[derive(Debug, Clone)]
pub enum WriteResult {
    /// The write took effect.
    Committed,
    /// The condition did not hold; contains the current row.
    Conflict(Option<Document>),
    /// The write did not take effect and will not.
    Unavailable,
    /// The write may have taken effect or may still do so.
    Unanswered,
}

/// Work for the caller of the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read the row; answer with [`Event::StoreRead`] or [`Event::ReadFailed`].
    ReadStore {
        /// Id of the read.
        read: u64,
    },
    /// Write the row; answer with [`Event::WriteEnded`].
    WriteStore {
        /// Id of the write.
        write: u64,
        /// New content.
        document: Document,
        /// Version that the row must have; `None` if it must not exist.
        expected: Option<Version>,
    },
    /// Request the document of a peer; answer with [`Event::PeerAnswer`] or [`Event::PeerFailed`].
    QueryPeer(HostId),
    /// Put the document in force and advertise it.
    PutInForce(Document),
    /// Send the outcome of a change to the operator.
    Reply {
        /// Id of the change.
        change: SmolStr,
        /// Outcome.
        outcome: Outcome,
    },
    /// Count and log a state change.
    Notice(Notice),
}

/// Outcome of an operator's change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The change was accepted as this version.
    Accepted(Version),
    /// Another version than the expected one is current; the change is not in force and will not
    /// be.
    Conflict(Version),
    /// The change was not written.
    NotWritten(NotWritten),
    /// The change may be in force or come into force; repeat it with the same change id.
    Unknown,
}

/// Why a change was not written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotWritten {
    /// The host has not yet read the store and its peers.
    Starting,
    /// The store did not answer.
    StoreUnavailable,
}

/// A change of state that operators should see.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Notice {
    /// The store does not answer.
    StoreUnavailable,
    /// The store answers again.
    StoreAvailable,
    /// The configuration has not been confirmed for [`STALE_AFTER`](super::STALE_AFTER).
    Stale,
    /// The configuration is confirmed again.
    Fresh,
    /// The store has an older version or none; this host writes its own document back.
    Repair {
        /// Version in the store; 0 if the row is missing.
        stored: Version,
        /// Version written back.
        own: Version,
    },
    /// Two documents with the same version differ; the store's is used.
    Diverged {
        /// Their version.
        version: Version,
    },
}
