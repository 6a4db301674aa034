//! Placement and admission, decided by each host from its own sends.
//!
//! [`Fleet`] keeps what a host has in progress at each backend server, what the servers reported
//! last, and how they behaved. It answers the load of bursts, slow, full and failing servers: where
//! to send a call, and whether its answer can still arrive in time. Reports are up to a second old,
//! so a host's own sends count first and reports fade.

mod call;
mod fleet;
mod health;
mod model;
mod peers;
mod queue;
mod server;

pub use call::{CallRequest, Choice};
pub use fleet::{Ended, Fleet, SendId, Work};
pub use health::{Fault, Health};
pub use model::{ModelPlan, ModelRequest};
pub use peers::{PeerLoad, ServerLoad};
pub use queue::{Queue, Ticket, Waiting};
pub use server::Report;

/// Why a request is not placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// No backend server of the service is known or left to try.
    NoServer,
    /// No engine has room now.
    NoCapacity,
    /// The answer is predicted after the deadline.
    TooLate {
        /// Time after which a place is likely.
        retry_after: bv_types::Millis,
    },
}
