//! Closing of listeners without resetting connections.

mod close;

use bv_types::Millis;

pub use close::{HANDSHAKE_TIMEOUT, close};

/// Time that a new connection has for its first request while a host stops.
pub const FIRST_REQUEST_TIMEOUT: Millis = Millis(1_000);
