//! Placement and admission, decided by each host from its own sends.
//!
//! [`Fleet`] tracks what a host has in progress at each backend server, the load that the servers
//! reported last, and their health. From these it decides where to send a call and whether its
//! answer can still arrive in time, also during bursts and with slow, full or failing servers.
//! Reports are up to a second old, so a host relies on its own sends first, and the weight of a
//! report decreases with its age.

mod announced;
mod call;
mod fleet;
mod fleet_peers;
mod health;
mod host_groups;
mod model;
mod peers;
mod queue;
mod server;
pub mod update_intervals;
mod update_plan;

pub use announced::{
    AllResting, AnnouncedChange, Announcement, Announcements, Block, Instance, MAX_INSTANCES,
    MAX_REST,
};
pub use call::{CallRequest, Choice};
pub use fleet::{Fleet, SendId, SendOutcome, Work};
pub use health::{Fault, Health};
pub use host_groups::{HostDigest, HostGroups, MAX_UNDIVIDED_ZONE, host_digest};
pub use model::{ModelPlan, ModelRequest};
pub use peers::{PeerLoad, ServerLoad};
pub use queue::{Queue, QueuedCall, Ticket, WaitingTokens};
pub use server::Report;
pub use update_plan::{News, Receivers, Recipients, UpdatePlan};

/// Why a request cannot be placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementError {
    /// No backend server of the service is known, or all of them were tried.
    NoServer,
    /// No engine has free capacity now.
    NoCapacity,
    /// The answer is predicted after the deadline.
    TooLate {
        /// Time after which a retry is likely to be placed.
        retry_after: bv_types::Millis,
    },
}
