//! HTTP/1.1 client connections whose reuse is decided by the caller.
//!
//! A [`Channel`] is one connection. Dropping it closes the connection at once, also in the middle of
//! an answer; nothing is sent again by this crate.

mod channel;
mod collect;

pub use channel::{Channel, ConnectError, ConnectOptions, SendFailure, connect};
pub use collect::{CollectError, collect};
