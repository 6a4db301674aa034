//! Addresses of servers.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Whether a server can be reached at an address: it has a port, and its IP address is that of one
/// host.
pub fn is_server_address(addr: SocketAddr) -> bool {
    let ip = addr.ip();
    let is_broadcast = ip == IpAddr::V4(Ipv4Addr::BROADCAST);
    addr.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !is_broadcast
}
