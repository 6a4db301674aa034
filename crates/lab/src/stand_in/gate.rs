//! Controls the connections of a stand-in: accepts, refuses, closes and delays them.

use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use axum::body::Body;
use axum::extract::Request;
use bv_types::ZoneId;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

const REBIND_INTERVAL: Duration = Duration::from_millis(50);
/// Largest deviation of a delay from its mean, as a share of the mean.
const DELAY_VARIATION: f64 = 0.2;

/// Zones of the entry hosts by source address, and the delay between zones.
#[derive(Debug, Default)]
pub struct Zones {
    delay_ms: f64,
    hosts: Mutex<Vec<(IpAddr, ZoneId)>>,
}

impl Zones {
    /// Creates an empty set of hosts with a one-way delay of `delay_ms` between zones.
    pub fn new(delay_ms: f64) -> Self {
        Zones {
            delay_ms,
            hosts: Mutex::default(),
        }
    }

    /// Sets the zone of connections from this address.
    pub fn add(&self, ip: IpAddr, zone: ZoneId) {
        let mut hosts = self.hosts.lock().unwrap_or_else(|err| err.into_inner());
        hosts.retain(|(known, _)| *known != ip);
        hosts.push((ip, zone));
    }

    /// The zone of a source address.
    pub fn zone_of(&self, ip: IpAddr) -> Option<ZoneId> {
        let hosts = self.hosts.lock().unwrap_or_else(|err| err.into_inner());
        hosts
            .iter()
            .find(|(known, _)| *known == ip)
            .map(|(_, zone)| zone.clone())
    }

    /// One-way delay between two zones, with a random variation; zero if a zone is unknown.
    pub fn delay(&self, from: Option<&ZoneId>, to: Option<&ZoneId>) -> Duration {
        match (from, to) {
            (Some(from), Some(to)) if from != to => {
                let factor = 1.0 + DELAY_VARIATION * (2.0 * fastrand::f64() - 1.0);
                Duration::from_secs_f64(self.delay_ms * factor / 1000.0)
            }
            _ => Duration::ZERO,
        }
    }
}

/// Lets a handler close its connection before or during its answer.
#[derive(Debug, Clone)]
pub(crate) struct ConnectionCloser(pub CancellationToken);

/// Controls the connections of one stand-in.
#[derive(Debug)]
pub struct Gate {
    zones: Arc<Zones>,
    zone: Option<ZoneId>,
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Debug)]
struct State {
    open: bool,
    connections: CancellationToken,
}

impl Default for Gate {
    fn default() -> Self {
        Gate::new(Arc::default(), None)
    }
}

impl Gate {
    /// An open gate for a stand-in in this zone.
    pub fn new(zones: Arc<Zones>, zone: Option<ZoneId>) -> Self {
        let state = State {
            open: true,
            connections: CancellationToken::new(),
        };
        Gate {
            zones,
            zone,
            state: Mutex::new(state),
            changed: Notify::new(),
        }
    }

    /// The zone of the stand-in.
    pub fn zone(&self) -> Option<&ZoneId> {
        self.zone.as_ref()
    }

    /// Refuses new connections; existing ones continue.
    pub fn close(&self) {
        self.set_open(false);
    }

    /// Accepts connections again.
    pub fn open(&self) {
        self.set_open(true);
    }

    /// Closes every existing connection.
    pub fn disconnect_all(&self) {
        let mut state = self.lock();
        state.connections.cancel();
        state.connections = CancellationToken::new();
    }

    fn set_open(&self, open: bool) {
        self.lock().open = open;
        self.changed.notify_waiters();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|err| err.into_inner())
    }

    async fn wait_open(&self, open: bool) {
        loop {
            let changed = self.changed.notified();
            if self.lock().open == open {
                return;
            }
            changed.await;
        }
    }

    /// Serves until the runtime ends. While the gate is closed, the port has no listener.
    pub async fn serve(self: Arc<Self>, listener: TcpListener, router: axum::Router) {
        let Ok(addr) = listener.local_addr() else {
            return;
        };
        let mut listener = listener;
        loop {
            self.accept(&listener, &router).await;
            drop(listener);
            self.wait_open(true).await;
            listener = rebind(addr).await;
        }
    }

    async fn accept(self: &Arc<Self>, listener: &TcpListener, router: &axum::Router) {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.wait_open(false) => return,
            };
            if let Ok((stream, peer)) = accepted {
                tokio::spawn(self.clone().serve_connection(stream, peer, router.clone()));
            }
        }
    }

    async fn serve_connection(
        self: Arc<Self>,
        stream: TcpStream,
        peer: SocketAddr,
        router: axum::Router,
    ) {
        let _ = stream.set_nodelay(true);
        let closed = self.lock().connections.child_token();
        let from = self.zones.zone_of(peer.ip());
        let token = closed.clone();
        let service = service_fn(move |mut req: hyper::Request<Incoming>| {
            req.extensions_mut().insert(ConnectionCloser(token.clone()));
            // The delays of both directions are applied before the request; a stream of events only
            // starts later and keeps its spacing.
            let delay = self.zones.delay(from.as_ref(), self.zone.as_ref()) * 2;
            let router = TowerToHyperService::new(router.clone());
            async move {
                if !delay.is_zero() {
                    tokio::time::sleep(delay).await;
                }
                let req: Request = req.map(Body::new);
                let answer = hyper::service::Service::call(&router, req).await;
                Ok::<_, Infallible>(answer.unwrap_or_else(|err| match err {}))
            }
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service);
        tokio::select! {
            _ = connection => {}
            () = closed.cancelled() => {}
        }
    }
}

async fn rebind(addr: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(addr).await {
            Ok(listener) => return listener,
            Err(_) => tokio::time::sleep(REBIND_INTERVAL).await,
        }
    }
}
