//! Slots of the plain servers of one service, granted to the calls of all hosts in one order.
//!
//! The load: 64 to 76 hosts before 3 to 5 servers of 6 slots. When each host decides by reports that are
//! older than a call, servers reject 27 in 100 sends on a heavy day. One host, the dispatcher of the
//! service, keeps the order of the waiting calls and the slots in use. [`Dispatcher`] decides there,
//! [`Asking`] decides at the host of a call. Neither does I/O or reads a clock.

mod ask;
mod asking;
mod dispatcher;
mod pace;
mod returns;
mod servers;
mod waiting;

pub use ask::{Action, Ask, AskId, Decision, SendEnd, ServerReport};
pub use asking::{AskStep, Asking, RENEW_INTERVAL, REPLY_TIMEOUT, Reach, SILENCE};
pub use dispatcher::{Dispatcher, LEASE, Stats};
pub use pace::Pace;
pub use waiting::Waiting;

/// Most servers of one dispatcher. A service with more has several dispatchers, each with a part of the
/// servers.
pub const SERVERS_PER_DISPATCHER: usize = 16;

/// Number of dispatchers of a service with this many servers.
pub fn dispatcher_count(servers: usize) -> usize {
    servers.div_ceil(SERVERS_PER_DISPATCHER).max(1)
}
