//! Entry hosts as child processes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Empty;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

use crate::deployment::listen;
use crate::{Deployment, LabError};

/// Key for the table service stand-in.
pub const STORE_KEY: &str = "lab-store-key-0123456789";
/// Key for the operators' listener.
pub const OPERATOR_KEY: &str = "lab-operator-key-0123456789";
/// Key shared by the entry hosts.
pub const CLUSTER_KEY: &str = "lab-cluster-key-0123456789";
const READY_LIMIT_S: u64 = 20;
const READY_POLL: Duration = Duration::from_millis(100);

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
    /// Placement policy.
    pub policy: String,
}

impl HostSpec {
    /// Settings with free loopback ports; hosts are spread over the zones.
    ///
    /// # Errors
    /// Fails if no port is free.
    pub async fn new(
        index: usize,
        deployment: &Deployment,
        policy: &str,
    ) -> Result<Self, LabError> {
        let zones = &deployment.inventory.zones;
        // The listeners are held until all three ports are chosen, so that they differ.
        let (_callers, caller_addr) = listen("callers").await?;
        let (_operators, operator_addr) = listen("operators").await?;
        let (_peers, peer_addr) = listen("peers").await?;
        Ok(HostSpec {
            id: format!("host-{index}"),
            zone: zones[index % zones.len()].id.to_string(),
            caller_addr,
            operator_addr,
            peer_addr,
            store_addr: deployment.store_addr,
            seeds: Vec::new(),
            policy: policy.to_owned(),
        })
    }
}

/// A running entry host; it is killed when dropped.
#[derive(Debug)]
pub struct HostProcess {
    /// Its settings.
    pub spec: HostSpec,
    child: Child,
}

impl HostProcess {
    /// Starts `burdockvaled` from the directory of the running program.
    ///
    /// # Errors
    /// Fails if the program cannot be started.
    pub fn start(spec: HostSpec) -> Result<Self, LabError> {
        let path = daemon_path();
        let child = Command::new(&path)
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

    /// Waits until the host is ready.
    ///
    /// # Errors
    /// Fails after 20 s.
    pub async fn wait_ready(&self) -> Result<(), LabError> {
        let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
        let target = format!("http://{}/readyz", self.spec.operator_addr);
        let poll = async {
            loop {
                if let Ok(uri) = target.parse()
                    && let Ok(answer) = client.get(uri).await
                    && answer.status().is_success()
                {
                    return;
                }
                tokio::time::sleep(READY_POLL).await;
            }
        };
        tokio::time::timeout(Duration::from_secs(READY_LIMIT_S), poll)
            .await
            .map_err(|_| LabError::NotReady {
                host: self.spec.id.clone(),
                seconds: READY_LIMIT_S,
            })
    }
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
    // Test programs run from a subdirectory of the one that holds the daemon.
    if path.ends_with("deps") {
        path.pop();
    }
    path.join("burdockvaled")
}

fn log_filter() -> String {
    std::env::var("BURDOCKVALE_LOG_FILTER").unwrap_or_else(|_| "warn".to_owned())
}
