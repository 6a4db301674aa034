//! Start and main loop of the process.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;

use bv_drain::GracePhase;
use bv_platform::{DecodeError, PlatformSettings, SETTINGS_VARIABLE, read_settings};
use miette::Diagnostic;
use tokio::net::{TcpListener, TcpSocket, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tracing::info;
use tracing_subscriber::EnvFilter;

use crate::edge::Edge;
use crate::{
    announce, catch_up, counters, crash_rows, dispatch, follow, listen, quota, reload, replies,
    roles, stop, subscribe, usage,
};

/// Port of the metrics endpoint; must match `deploy/system.toml`.
const METRICS_PORT: u16 = 9464;
/// Connections that may wait to be accepted; the kernel caps it. The default of 128 drops the SYN packets
/// of a burst, which are sent again only after a second.
const ACCEPT_QUEUE: u32 = 4_096;
/// Log lines that are buffered for a slow reader; further ones are dropped.
const QUEUED_LINES: usize = 4_000;
/// Threads for digests of large bodies. They share the host's processor time with the thread that runs
/// all tasks.
const DIGEST_THREADS: usize = 4;

/// The process cannot start or continue.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum EdgeError {
    /// The settings file cannot be read or is invalid.
    #[error("cannot load the settings: {0}")]
    #[diagnostic(code(edge::settings))]
    Settings(#[from] DecodeError),
    /// The environment variable with the path of the settings file is not set.
    #[error("{SETTINGS_VARIABLE} is not set")]
    #[diagnostic(
        code(edge::settings),
        help("set it to the path of the platform's settings file")
    )]
    NoSettings,
    /// An address cannot be listened on.
    #[error("cannot listen on {addr} for {what}: {source}")]
    #[diagnostic(code(edge::listen))]
    Listen {
        /// What the listener is for.
        what: &'static str,
        /// The address.
        addr: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The process could not be set up.
    #[error("cannot start the process: {0}")]
    #[diagnostic(code(edge::start))]
    Start(#[from] std::io::Error),
    /// Metrics could not be set up.
    #[error("cannot set up the metrics: {0}")]
    #[diagnostic(code(edge::metrics))]
    Metrics(#[from] metrics_exporter_prometheus::BuildError),
}

/// Help text of the command.
pub fn help() -> String {
    format!(
        "Usage: burdockvaled platform\n\n\
         Runs an entry host on the users' platform. It takes no options: the path of the platform's\n\
         settings file is in the environment variable {SETTINGS_VARIABLE}, and RUST_LOG sets which\n\
         log lines are written (default info). See docs/platform.md and docs/OPERATIONS.md."
    )
}

/// Runs the host until SIGTERM. Blocks the calling thread, on which all tasks run.
///
/// # Errors
/// The settings are missing or invalid, or an address cannot be listened on.
pub fn run() -> Result<(), EdgeError> {
    let path = std::env::var_os(SETTINGS_VARIABLE).ok_or(EdgeError::NoSettings)?;
    let path = PathBuf::from(path);
    let settings = read_settings(&path)?;
    let (writer, _flush_at_end) = tracing_appender::non_blocking::NonBlockingBuilder::default()
        .buffered_lines_limit(QUEUED_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    // Setting a second subscriber fails; that happens only in tests.
    let _ = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(writer)
        .json()
        .flatten_event(true)
        .try_init();
    tokio::runtime::Builder::new_current_thread()
        .max_blocking_threads(DIGEST_THREADS)
        .enable_all()
        .build()?
        .block_on(serve(path, settings))
}

async fn serve(path: PathBuf, settings: PlatformSettings) -> Result<(), EdgeError> {
    let metrics = counters::install()?;
    let ip = settings.ip;
    let peer_addr = settings.peer_addr();
    info!(
        host = %settings.host,
        zone = %settings.zone,
        store = %settings.store_addr,
        first_start = settings.is_first_start,
        version = env!("CARGO_PKG_VERSION"),
        "start"
    );
    let callers = bind("callers", settings.caller_addr)?;
    let ready = bind("readiness", settings.ready_addr)?;
    let peers = bind("peers", peer_addr)?;
    let datagrams = UdpSocket::bind(peer_addr)
        .await
        .map_err(|source| EdgeError::Listen {
            what: "datagrams of peers",
            addr: peer_addr,
            source,
        })?;
    let datagrams = Arc::new(datagrams);
    let metrics_listener = bind("metrics", metrics_addr(ip))?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let edge = Arc::new(Edge::new(settings));
    edge.datagrams.get_or_init(|| datagrams.clone());
    let (drain_tx, drain_rx) = watch::channel(GracePhase::Serving);
    tokio::spawn(follow::config(edge.clone()));
    tokio::spawn(follow::servers(edge.clone()));
    tokio::spawn(follow::hosts(edge.clone()));
    tokio::spawn(subscribe::follow(edge.clone()));
    tokio::spawn(subscribe::switch_reading(edge.clone()));
    tokio::spawn(follow::query_peers(edge.clone()));
    tokio::spawn(catch_up::catch_up(edge.clone()));
    tokio::spawn(roles::balance(edge.clone()));
    tokio::spawn(crash_rows::exchange(edge.clone()));
    tokio::spawn(dispatch::run(edge.clone()));
    tokio::spawn(quota::maintain(edge.clone()));
    tokio::spawn(announce::send_updates(edge.clone(), datagrams.clone()));
    tokio::spawn(usage::receive_updates(edge.clone(), datagrams));
    tokio::spawn(replies::listen(edge.clone(), peers));
    tokio::spawn(listen::readiness(edge.clone(), ready));
    tokio::spawn(listen::maintain_histograms(metrics.clone()));
    tokio::spawn(listen::metrics(edge.clone(), metrics_listener, metrics));
    let accepting = tokio::spawn(listen::callers(edge.clone(), callers, drain_rx));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => reload::reload(&path, &edge),
        }
    }
    // The file may have changed without a signal, and the process is killed by what it says now.
    reload::reload(&path, &edge);
    let reloading = reload::while_stopping(&path, &edge, &mut hangup);
    tokio::select! {
        () = stop::drain(&edge, &drain_tx, &accepting) => {}
        () = reloading => {}
    }
    Ok(())
}

fn metrics_addr(ip: IpAddr) -> SocketAddr {
    SocketAddr::new(ip, METRICS_PORT)
}

fn bind(what: &'static str, addr: SocketAddr) -> Result<TcpListener, EdgeError> {
    listen_on(addr).map_err(|source| EdgeError::Listen { what, addr, source })
}

fn listen_on(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(ACCEPT_QUEUE)
}
