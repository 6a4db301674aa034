//! Ids, sizes, rates, the clock and reason codes, shared by all crates.

mod addr;
mod clock;
mod id;
mod reason;
mod size;

pub use addr::is_server_address;
pub use clock::{Clock, Millis};
pub use id::{
    AttemptId, BackendId, Fingerprint, HostId, Incarnation, ModelId, PoolId, RequestId, RouteId,
    ServiceId, TeamId, ZoneId,
};
pub use reason::{Refusal, RetryReason};
pub use size::{Bytes, Era, Fence, PIECE_TOKENS, Pieces, RatePerSec, Tokens, Version};

/// Error for text that cannot be parsed as a valid value.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{kind} {value:?} is invalid: {expected}")]
pub struct ParseError {
    /// Kind of value that was expected, such as "entry host id".
    pub kind: &'static str,
    /// The rejected text.
    pub value: String,
    /// Description of the allowed values.
    pub expected: &'static str,
}
