//! Entry hosts as child processes.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Empty;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use rustix::process::{Pid, Signal};

use crate::{Deployment, LabError};

/// Key for the table service stand-in.
pub const STORE_KEY: &str = "lab-store-key-0123456789";
/// Key for the operators' listener.
pub const OPERATOR_KEY: &str = "lab-operator-key-0123456789";
/// Key shared by the entry hosts.
pub const CLUSTER_KEY: &str = "lab-cluster-key-0123456789";
/// Time limit for a started host to become ready.
const READY_TIMEOUT_S: u64 = 20;
const READY_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Settings of one entry host process.
#[derive(Debug, Clone)]
pub struct HostSpec {
    /// Entry host id.
    pub id: String,
    /// Availability zone.
    pub zone: String,
    /// Address for callers.
    pub caller_addr: SocketAddr,
    /// Address for operators.
    pub operator_addr: SocketAddr,
    /// Address for other entry hosts.
    pub peer_addr: SocketAddr,
    /// Address of the table service.
    pub store_addr: SocketAddr,
    /// Peer addresses of other entry hosts.
    pub seeds: Vec<SocketAddr>,
    /// Address by which other entry hosts reach this one, if not the peer address.
    pub peer_advertise: Option<SocketAddr>,
    /// Local address of outgoing connections; the stand-ins derive the host's zone from it.
    pub bind_ip: IpAddr,
    /// Time in ms for which a draining host still accepts connections, if not the default.
    pub lame_duck_ms: Option<u64>,
    /// Placement policy.
    pub policy: String,
}

/// First port for entry hosts. The range lies below the system's ephemeral ports, because outgoing
/// connections may take one of those between the choice of a port and the start of the host.
const FIRST_PORT: u16 = 10_000;
/// Ports per process; tests in parallel processes rarely try the same ones.
const PORTS_PER_PROCESS: u16 = 200;
const PORT_RANGES: u32 = 100;
static PORTS_USED: AtomicU16 = AtomicU16::new(0);

/// An address on `ip` with a port that is free for TCP and UDP and that no other host of this
/// process received.
fn free_addr(purpose: &'static str, ip: IpAddr) -> Result<SocketAddr, LabError> {
    let range = (std::process::id() % PORT_RANGES) as u16;
    let first = FIRST_PORT + range * PORTS_PER_PROCESS;
    let mut result = Err(std::io::ErrorKind::AddrInUse.into());
    for _ in 0..PORTS_PER_PROCESS {
        let port = first + PORTS_USED.fetch_add(1, Ordering::Relaxed) % PORTS_PER_PROCESS;
        let addr = SocketAddr::new(ip, port);
        result = TcpListener::bind(addr)
            .and(UdpSocket::bind(addr))
            .map(|_| addr);
        if result.is_ok() {
            break;
        }
    }
    result.map_err(|source| LabError::Listen { purpose, source })
}

impl HostSpec {
    /// Settings with free loopback ports; hosts are distributed over the zones in rotation.
    ///
    /// # Errors
    /// Fails if no port is free.
    pub async fn new(
        index: usize,
        deployment: &Deployment,
        policy: &str,
    ) -> Result<Self, LabError> {
        let zones = &deployment.inventory.zones;
        let zone = &zones[index % zones.len()].id;
        let last_octet = u8::try_from(index + 1).unwrap_or(u8::MAX);
        let bind_ip = IpAddr::V4(Ipv4Addr::new(127, 0, 1, last_octet));
        deployment.zones.add(bind_ip, zone.clone());
        Ok(HostSpec {
            id: format!("host-{index}"),
            zone: zone.to_string(),
            caller_addr: free_addr("callers", bind_ip)?,
            operator_addr: free_addr("operators", bind_ip)?,
            peer_addr: free_addr("peers", bind_ip)?,
            store_addr: deployment.store_addr,
            seeds: Vec::new(),
            peer_advertise: None,
            bind_ip,
            lame_duck_ms: None,
            policy: policy.to_owned(),
        })
    }
}

/// A running entry host; it is killed when dropped.
#[derive(Debug)]
pub struct HostProcess {
    /// Settings of the process.
    pub spec: HostSpec,
    child: Child,
}

impl HostProcess {
    /// Starts `burdockvaled` from the directory of the running program; tests run in its
    /// subdirectory `deps`.
    ///
    /// # Errors
    /// Fails if the program cannot be started.
    pub fn start(spec: HostSpec) -> Result<Self, LabError> {
        let path = daemon_path();
        let mut command = Command::new(&path);
        if let Some(addr) = spec.peer_advertise {
            command.args(["--peer-advertise", &addr.to_string()]);
        }
        if let Some(ms) = spec.lame_duck_ms {
            command.args(["--lame-duck-ms", &ms.to_string()]);
        }
        let child = command
            .args(["--bind-ip", &spec.bind_ip.to_string()])
            .args(["--host-id", &spec.id, "--zone", &spec.zone])
            .args(["--caller-addr", &spec.caller_addr.to_string()])
            .args(["--operator-addr", &spec.operator_addr.to_string()])
            .args(["--peer-addr", &spec.peer_addr.to_string()])
            .args(["--store-addr", &spec.store_addr.to_string()])
            .args(["--seeds", &join(&spec.seeds)])
            .args(["--policy", &spec.policy])
            .env("BURDOCKVALE_OPERATOR_KEY", OPERATOR_KEY)
            .env("BURDOCKVALE_CLUSTER_KEY", CLUSTER_KEY)
            .env("BURDOCKVALE_STORE_KEY", STORE_KEY)
            .env("BURDOCKVALE_LOG_FILTER", log_filter())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .spawn()
            .map_err(|source| LabError::Spawn { path, source })?;
        Ok(HostProcess { spec, child })
    }

    /// Process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Exit status, once the process has ended.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Sends a signal to the process unless it has ended.
    pub fn signal(&mut self, signal: Signal) {
        // After the child is reaped its process id may belong to another process.
        if self.has_ended() {
            return;
        }
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        if let Some(pid) = pid {
            let _ = rustix::process::kill_process(pid, signal);
        }
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until the host is ready.
    ///
    /// # Errors
    /// Fails after 20 s.
    pub async fn wait_ready(&self) -> Result<(), LabError> {
        wait_ready(&self.spec).await
    }
}

pub(crate) async fn wait_ready(spec: &HostSpec) -> Result<(), LabError> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let target = format!("http://{}/readyz", spec.operator_addr);
    let poll = async {
        loop {
            if let Ok(uri) = target.parse()
                && let Ok(answer) = client.get(uri).await
                && answer.status().is_success()
            {
                return;
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(READY_TIMEOUT_S), poll)
        .await
        .map_err(|_| LabError::NotReady {
            host: spec.id.clone(),
            seconds: READY_TIMEOUT_S,
        })
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn join(addrs: &[SocketAddr]) -> String {
    let texts: Vec<String> = addrs.iter().map(ToString::to_string).collect();
    texts.join(",")
}

fn daemon_path() -> PathBuf {
    let mut path = std::env::current_exe().unwrap_or_default();
    path.pop();
    // Test programs run from the subdirectory `deps` of the directory with the daemon.
    if path.ends_with("deps") {
        path.pop();
    }
    path.join("burdockvaled")
}

fn log_filter() -> String {
    std::env::var("BURDOCKVALE_LOG_FILTER").unwrap_or_else(|_| "warn".to_owned())
}
