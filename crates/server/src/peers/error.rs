//! Failures of calls between entry hosts.

use std::fmt;

use bv_types::{HostId, Millis, ParseError};
use bv_wire::CodecError;

/// A call to a peer failed.
#[derive(Debug, thiserror::Error)]
#[error("peer {peer}: {step}: {cause}")]
pub(crate) struct PeerError {
    /// The peer.
    pub peer: HostId,
    /// The step that failed.
    pub step: PeerStep,
    /// Why it failed.
    pub cause: PeerCause,
}

/// Steps of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PeerStep {
    /// Looking up the peer among the live hosts, or waiting for its connection.
    Find,
    /// Opening a connection.
    Connect,
    /// Exchanging the first frames.
    Hello,
    /// Sending the call and waiting for its answer; the peer may have acted on the call.
    Answer,
}

impl fmt::Display for PeerStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            PeerStep::Find => "looking up",
            PeerStep::Connect => "connecting",
            PeerStep::Hello => "greeting",
            PeerStep::Answer => "waiting for the answer",
        })
    }
}

/// Why a step failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PeerCause {
    /// The peer is not in the list of live hosts.
    #[error("not a live entry host")]
    NotAlive,
    /// Another host answers at the peer's address.
    #[error("entry host {0} answers at this address")]
    OtherHost(HostId),
    /// The peer does not hold the cluster key or does not speak the protocol.
    #[error("the first frame is not a hello with the cluster key")]
    NotAdmitted,
    /// The peer's id is not valid.
    #[error(transparent)]
    Id(#[from] ParseError),
    /// The connection closed.
    #[error("the connection closed")]
    Closed,
    /// The time for the call passed.
    #[error("no answer within {0}")]
    Timeout(Millis),
    /// The connection failed or carried a malformed frame.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// A socket operation failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}
