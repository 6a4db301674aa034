//! Identity and address of a member.

use std::net::SocketAddr;

use bv_types::{Fingerprint, HostId, Incarnation};

/// A live process of an entry host.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// Entry host id.
    pub host: HostId,
    /// Start time of the process.
    pub incarnation: Incarnation,
    /// Address for other entry hosts, TCP and UDP.
    pub addr: SocketAddr,
}

impl Member {
    /// Digest of host and incarnation. The digest of a view is the sum of those of its members.
    pub(crate) fn digest(&self) -> u64 {
        let host = self.host.as_str().as_bytes();
        short_digest([host, &self.incarnation.0.to_le_bytes()])
    }
}

/// The first 8 bytes of a digest.
pub(crate) fn short_digest<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    let Fingerprint([a, b, c, d, e, f, g, h, ..]) = Fingerprint::digest(parts);
    u64::from_le_bytes([a, b, c, d, e, f, g, h])
}
