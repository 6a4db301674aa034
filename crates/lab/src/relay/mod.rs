//! Relay between entry hosts: delay by zone, loss, duplication, reordering and cuts.

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
const MAX_BINDS: u32 = 50;

/// What the relay does to traffic between hosts.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RelayFaults {
    /// Share of datagrams lost.
    pub loss: f64,
    /// Share of datagrams delivered twice.
    pub duplicates: f64,
    /// Share of datagrams held back behind later ones.
    pub reordered: f64,
    /// Largest added delay; each datagram and piece of a connection gets a random part.
    pub added_delay: Duration,
}

/// Relay with one public address a host.
#[derive(Debug)]
pub struct Relay {
    ports: Vec<Port>,
    zones: Arc<Zones>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct Port {
    /// Where other hosts send to.
    public: SocketAddr,
    /// Where the host listens.
    host: SocketAddr,
    bind_ip: IpAddr,
    zone: Option<ZoneId>,
    udp: UdpSocket,
}

#[derive(Debug, Default)]
struct State {
    faults: RelayFaults,
    /// Pairs of sender and receiver without traffic in this direction.
    cuts: Vec<(usize, usize)>,
}

impl Relay {
    /// Starts a relay for these hosts.
    ///
    /// # Errors
    /// Fails if no port is free.
    pub async fn start(specs: &[HostSpec], zones: Arc<Zones>) -> Result<Arc<Self>, LabError> {
        let mut ports = Vec::new();
        let mut listeners = Vec::new();
        for spec in specs {
            let (listener, udp, public) = bind().await?;
            ports.push(Port {
                public,
                host: spec.peer_addr,
                bind_ip: spec.bind_ip,
                zone: zones.zone_of(spec.bind_ip),
                udp,
            });
            listeners.push(listener);
        }
        let relay = Arc::new(Relay {
            ports,
            zones,
            state: Mutex::default(),
        });
        for (index, listener) in listeners.into_iter().enumerate() {
            tokio::spawn(udp::forward(relay.clone(), index));
            tokio::spawn(tcp::accept(relay.clone(), index, listener));
        }
        Ok(relay)
    }

    /// Address that other hosts use for this one.
    pub fn addr(&self, index: usize) -> SocketAddr {
        self.ports[index].public
    }

    /// Sets the faults; the default undoes them.
    pub fn set_faults(&self, faults: RelayFaults) {
        self.lock().faults = faults;
    }

    /// Stops the traffic from one host to another.
    pub fn partition(&self, from: usize, to: usize) {
        self.lock().cuts.push((from, to));
    }

    /// Undoes one cut of this direction.
    pub fn heal(&self, from: usize, to: usize) {
        let mut state = self.lock();
        let place = state.cuts.iter().position(|cut| *cut == (from, to));
        if let Some(place) = place {
            state.cuts.swap_remove(place);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|err| err.into_inner())
    }

    fn faults(&self) -> RelayFaults {
        self.lock().faults
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        self.lock().cuts.contains(&(from, to))
    }

    /// Delay of one datagram or piece of a connection.
    fn delay(&self, from: usize, to: usize) -> Duration {
        let zones = (self.ports[from].zone.as_ref(), self.ports[to].zone.as_ref());
        let added = self.faults().added_delay.mul_f64(fastrand::f64());
        self.zones.delay(zones.0, zones.1) + added
    }
}

async fn bind() -> Result<(TcpListener, UdpSocket, SocketAddr), LabError> {
    let mut last = None;
    for _ in 0..MAX_BINDS {
        let (listener, addr) = crate::deployment::listen("relay").await?;
        match UdpSocket::bind(addr).await {
            Ok(udp) => return Ok((listener, udp, addr)),
            Err(err) => last = Some(err),
        }
    }
    Err(LabError::Listen {
        part: "relay",
        source: last.unwrap_or_else(|| std::io::ErrorKind::AddrInUse.into()),
    })
}
