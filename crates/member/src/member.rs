//! One entry host as others see it.

use std::net::SocketAddr;

use bv_types::{HostId, Incarnation};

/// A live process of an entry host.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// Entry host id.
    pub host: HostId,
    /// Start of the process.
    pub incarnation: Incarnation,
    /// Address for other entry hosts, TCP and UDP.
    pub addr: SocketAddr,
}
