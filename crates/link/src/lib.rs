//! HTTP/1.1 client connections without a pool: the caller decides whether to reuse a connection.
//!
//! A [`Channel`] is one connection. Dropping it closes the connection immediately, even in the middle
//! of an answer. This crate retries nothing.

mod channel;
mod collect;
mod final_head;
mod heads;
mod memory;
mod progress;

pub use channel::{
    Channel, ConnectError, ConnectOptions, SendCause, SendFailure, UNACKNOWLEDGED_TIMEOUT, connect,
    is_unacknowledged,
};
pub use collect::{CollectError, collect, collect_with_progress};
pub use final_head::HeadError;
pub use heads::{ClosedEarly, EndlessHeads, is_endless_heads};
pub use memory::{InboundLimits, InboundMemory, Sender, Share, bytes_while_read};
pub use progress::{Progress, StallLimits, Stalled};
