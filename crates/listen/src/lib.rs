//! Closing of listeners without resetting connections.

mod close;

pub use close::{HANDSHAKE_TIMEOUT, close};
