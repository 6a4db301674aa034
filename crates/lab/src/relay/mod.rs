//! Relay between entry hosts: delay by zone, loss, duplication, reordering and partitions.

mod tcp;
mod udp;

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bv_types::ZoneId;
use tokio::net::{TcpListener, UdpSocket};

use crate::stand_in::Zones;
use crate::{HostSpec, LabError};

/// Attempts to find a port that is free for both TCP and UDP.
const MAX_BIND_ATTEMPTS: u32 = 50;

/// Faults that the relay applies to all traffic between hosts.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RelayFaults {
    /// Share of datagrams lost.
    pub loss: f64,
    /// Share of datagrams delivered twice.
    pub duplicates: f64,
    /// Share of datagrams delivered after later ones.
    pub reordered: f64,
    /// Largest additional delay; each datagram and chunk of a connection gets a random part of it.
    pub added_delay: Duration,
}

/// Relay with one public address per host.
#[derive(Debug)]
pub struct Relay {
    endpoints: Vec<Endpoint>,
    zones: Arc<Zones>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct Endpoint {
    /// Address that other hosts send to.
    public_addr: SocketAddr,
    /// Address on which the host listens.
    host_addr: SocketAddr,
    bind_ip: IpAddr,
    zone: Option<ZoneId>,
    udp: UdpSocket,
}

#[derive(Debug, Default)]
struct State {
    faults: RelayFaults,
    /// Pairs of sender and receiver without traffic in this direction.
    partitions: Vec<(usize, usize)>,
}

impl Relay {
    /// Starts a relay for these hosts.
    ///
    /// # Errors
    /// Fails if no port is free.
    pub async fn start(specs: &[HostSpec], zones: Arc<Zones>) -> Result<Arc<Self>, LabError> {
        let mut endpoints = Vec::new();
        let mut listeners = Vec::new();
        for spec in specs {
            let (listener, udp, public_addr) = bind().await?;
            endpoints.push(Endpoint {
                public_addr,
                host_addr: spec.peer_addr,
                bind_ip: spec.bind_ip,
                zone: zones.zone_of(spec.bind_ip),
                udp,
            });
            listeners.push(listener);
        }
        let relay = Arc::new(Relay {
            endpoints,
            zones,
            state: Mutex::default(),
        });
        for (index, listener) in listeners.into_iter().enumerate() {
            tokio::spawn(udp::forward(relay.clone(), index));
            tokio::spawn(tcp::accept(relay.clone(), index, listener));
        }
        Ok(relay)
    }

    /// Public address of a host, which the other hosts use.
    pub fn addr(&self, index: usize) -> SocketAddr {
        self.endpoints[index].public_addr
    }

    /// Sets the faults; the default value removes them.
    pub fn set_faults(&self, faults: RelayFaults) {
        self.lock().faults = faults;
    }

    /// Blocks the traffic from one host to another: datagrams are lost, connections stall.
    pub fn partition(&self, from: usize, to: usize) {
        self.lock().partitions.push((from, to));
    }

    /// Undoes one partition in this direction.
    pub fn heal(&self, from: usize, to: usize) {
        let mut state = self.lock();
        let index = state.partitions.iter().position(|pair| *pair == (from, to));
        if let Some(index) = index {
            state.partitions.swap_remove(index);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|err| err.into_inner())
    }

    fn faults(&self) -> RelayFaults {
        self.lock().faults
    }

    fn is_partitioned(&self, from: usize, to: usize) -> bool {
        self.lock().partitions.contains(&(from, to))
    }

    /// Delay of one datagram or of one chunk of a connection.
    fn delay(&self, from: usize, to: usize) -> Duration {
        let zones = (
            self.endpoints[from].zone.as_ref(),
            self.endpoints[to].zone.as_ref(),
        );
        let added = self.faults().added_delay.mul_f64(fastrand::f64());
        self.zones.delay(zones.0, zones.1) + added
    }
}

async fn bind() -> Result<(TcpListener, UdpSocket, SocketAddr), LabError> {
    let mut last = None;
    for _ in 0..MAX_BIND_ATTEMPTS {
        let (listener, addr) = crate::deployment::listen("relay").await?;
        match UdpSocket::bind(addr).await {
            Ok(udp) => return Ok((listener, udp, addr)),
            Err(err) => last = Some(err),
        }
    }
    Err(LabError::Listen {
        purpose: "relay",
        source: last.unwrap_or_else(|| std::io::ErrorKind::AddrInUse.into()),
    })
}
