//! Stand-in for the platform's load balancer, which chooses the entry host of each connection.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};

/// One entry host as the balancer sees it.
#[derive(Debug)]
struct Target {
    addr: SocketAddr,
    ready: AtomicBool,
    /// The host is draining and its process has not ended.
    draining: AtomicBool,
}

/// Entry hosts and whether they are ready.
#[derive(Debug, Default)]
pub struct Balancer(Vec<Target>);

impl Balancer {
    /// A balancer over these addresses for callers; all hosts count as ready.
    pub fn new(addrs: impl IntoIterator<Item = SocketAddr>) -> Self {
        let target = |addr| Target {
            addr,
            ready: AtomicBool::new(true),
            draining: AtomicBool::new(false),
        };
        Balancer(addrs.into_iter().map(target).collect())
    }

    /// Records whether a host passed its last health check.
    pub fn set_ready(&self, index: usize, ready: bool) {
        self.0[index].ready.store(ready, Ordering::Relaxed);
    }

    /// Sets whether a host is draining.
    pub fn set_draining(&self, index: usize, draining: bool) {
        self.0[index].draining.store(draining, Ordering::Relaxed);
    }

    pub(crate) fn addr(&self, index: usize) -> SocketAddr {
        self.0[index].addr
    }

    pub(crate) fn draining(&self, index: usize) -> bool {
        self.0[index].draining.load(Ordering::Relaxed)
    }

    /// A random ready host other than `last`; any other host if none is ready, and host 0 if there
    /// is no other.
    pub(crate) fn choose(&self, rng: &mut fastrand::Rng, last: Option<usize>) -> usize {
        let others: Vec<usize> = (0..self.0.len())
            .filter(|index| Some(*index) != last)
            .collect();
        let ready = |index: &usize| self.0[*index].ready.load(Ordering::Relaxed);
        let preferred: Vec<usize> = others.iter().copied().filter(ready).collect();
        rng.choice(preferred)
            .or_else(|| rng.choice(others))
            .unwrap_or_default()
    }
}
