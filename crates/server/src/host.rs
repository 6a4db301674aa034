//! State and start-up of an entry host.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bv_store::{HttpTable, Table, TableSettings};
use bv_types::{BackendId, Clock, HostId, Incarnation, RequestId};
use miette::Diagnostic;
use tokio::net::{TcpListener, UdpSocket};
use tracing::info;

use crate::backend::BackendClient;
use crate::conf::Conf;
use crate::crash::Crashes;
use crate::leaving::Leaving;
use crate::limits::TeamLimits;
use crate::model::RetryBudget;
use crate::open_calls::{self, OpenCalls};
use crate::peers::Peers;
use crate::placement::Placement;
use crate::servers::Servers;
use crate::shutdown::ShutdownSignals;
use crate::{
    Settings, callers, conf, counters, leaving, limits, members, operate, orders, peers, placement,
    shutdown,
};

/// Failure to start.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum HostError {
    /// An address cannot be used.
    #[error("listening on {addr} for {clients}: {source}")]
    #[diagnostic(
        code(host::listen),
        help("choose a free address with the flag named in --help")
    )]
    Listen {
        /// Clients of the listener.
        clients: &'static str,
        /// The address.
        addr: SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
    /// A signal handler cannot be installed.
    #[error("installing the signal handler: {0}")]
    #[diagnostic(code(host::signal))]
    Signal(std::io::Error),
}

/// State shared by the parts of an entry host.
pub struct Host {
    /// Settings of the process.
    pub settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) incarnation: Incarnation,
    pub(crate) table: Arc<dyn Table>,
    pub(crate) conf: Conf,
    pub(crate) backends: BackendClient,
    pub(crate) peers: Peers,
    pub(crate) servers: Arc<Servers>,
    pub(crate) open_calls: OpenCalls,
    pub(crate) leaving: Leaving,
    pub(crate) placement: Placement,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) shutdown: ShutdownSignals,
    pub(crate) limits: TeamLimits,
    pub(crate) crashes: Crashes,
    sequence: AtomicU64,
}

impl Host {
    fn new(settings: Settings) -> Self {
        let clock = Clock::system();
        let table = HttpTable::new(TableSettings {
            addr: settings.store_addr,
            table: settings.store_table.clone(),
            key: settings.store_key.expose().to_owned(),
            timeout: settings.store_timeout_ms,
            bind_ip: settings.bind_ip,
        });
        let incarnation = Incarnation(clock.now().0);
        let seed = match settings.random_seed {
            0 => fastrand::u64(..),
            seed => seed,
        };
        let client = BackendClient::without_reuse(settings.bind_ip);
        Host {
            peers: Peers::new(&settings, incarnation),
            leaving: Leaving::default(),
            placement: Placement::new(&settings.policy),
            retry_budget: RetryBudget::default(),
            incarnation,
            servers: Arc::new(Servers::new(seed)),
            open_calls: OpenCalls::new(settings.host_id.clone(), incarnation, seed, client),
            table: Arc::new(table),
            conf: Conf::new(clock.clone(), !settings.seeds.is_empty()),
            backends: BackendClient::new(settings.bind_ip),
            shutdown: ShutdownSignals::default(),
            limits: TeamLimits::default(),
            crashes: Crashes::default(),
            sequence: AtomicU64::new(0),
            clock,
            settings,
        }
    }

    /// Reports to the ledger that a process of an entry host has ended, with all earlier processes
    /// of that host.
    pub fn host_dead(self: &Arc<Self>, host: HostId, incarnation: Incarnation) {
        open_calls::handle(self, bv_ledger::Event::HostDead { host, incarnation });
    }

    /// Sets the number of entry hosts that write to the table.
    pub fn set_committers(&self, hosts: usize) {
        self.open_calls.set_committers(hosts);
    }

    /// Replaces the list of leaving backend servers, which get no new work.
    pub fn set_leaving(&self, servers: Vec<BackendId>) {
        self.servers.set_leaving(servers);
    }

    /// Whether a backend server is leaving.
    pub fn is_leaving(&self, server: &BackendId) -> bool {
        self.servers.is_leaving(server)
    }

    /// Waits until the outcomes of all open calls are recorded or the drain limit has passed.
    pub async fn flush(&self) {
        self.open_calls.flush(self.settings.drain_limit_ms).await;
    }

    /// A new id for a caller's request.
    pub(crate) fn next_request(&self) -> RequestId {
        RequestId {
            host: self.settings.host_id.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
        }
    }
}

/// Runs an entry host until SIGTERM or SIGINT, then drains it.
///
/// # Errors
/// Fails if an address cannot be used.
pub async fn run(settings: Settings) -> Result<(), HostError> {
    let metrics = counters::install();
    let caller_listener = listen("callers", settings.caller_addr).await?;
    let operator_listener = listen("operators", settings.operator_addr).await?;
    let peer_listener = listen("peers", settings.peer_addr).await?;
    let peer_socket = listen_udp("peers", settings.peer_addr).await?;
    let host = Arc::new(Host::new(settings));
    host.peers.attach(&host);
    info!(
        host = %host.settings.host_id,
        incarnation = %host.incarnation,
        callers = %host.settings.caller_addr,
        "host: started"
    );
    tokio::spawn(peers::serve(host.clone(), peer_listener));
    tokio::spawn(leaving::run(host.clone()));
    tokio::spawn(members::run(host.clone()));
    tokio::spawn(peers::run_gossip(host.clone(), peer_socket));
    tokio::spawn(conf::run(host.clone()));
    tokio::spawn(limits::maintain(host.clone()));
    tokio::spawn(open_calls::run(host.clone()));
    tokio::spawn(placement::run(host.clone()));
    tokio::spawn(orders::run(host.clone()));
    tokio::spawn(operate::serve(host.clone(), operator_listener, metrics));
    let serving = tokio::spawn(callers::serve(host.clone(), caller_listener));
    shutdown::run(&host, serving).await?;
    info!("host: stopped");
    Ok(())
}

async fn listen(clients: &'static str, addr: SocketAddr) -> Result<TcpListener, HostError> {
    TcpListener::bind(addr)
        .await
        .map_err(|source| HostError::Listen {
            clients,
            addr,
            source,
        })
}

async fn listen_udp(clients: &'static str, addr: SocketAddr) -> Result<UdpSocket, HostError> {
    UdpSocket::bind(addr)
        .await
        .map_err(|source| HostError::Listen {
            clients,
            addr,
            source,
        })
}
