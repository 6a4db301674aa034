//! Raw backend servers, which return fixed bytes or refuse connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bv_lab::Deployment;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const CONFIG_KEY: &str = "config/current";
/// Wait until a new configuration is in force: entry hosts poll it every second.
const CONFIG_POLL_WAIT: Duration = Duration::from_millis(2_500);

/// A server that answers each connection with fixed bytes and closes it.
pub struct RawServer {
    pub addr: SocketAddr,
    requests: Arc<AtomicU64>,
}

impl RawServer {
    pub async fn start(response: Vec<u8>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let requests = Arc::new(AtomicU64::new(0));
        let counter = requests.clone();
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let mut buf = [0; 4_096];
                if stream.read(&mut buf).await.unwrap_or(0) > 0 {
                    counter.fetch_add(1, Ordering::Relaxed);
                    let _ = stream.write_all(&response).await;
                }
            }
        });
        RawServer { addr, requests }
    }

    pub fn requests(&self) -> u64 {
        self.requests.load(Ordering::Relaxed)
    }
}

/// An address at which connections are refused.
pub async fn refusing_addr() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

/// Replaces the addresses of the deployment's servers and waits until the entry hosts use them.
pub async fn set_servers(deployment: &Deployment, addrs: &[SocketAddr]) {
    let (version, body) = deployment.table.row(CONFIG_KEY).unwrap();
    let row: Value = serde_json::from_str(&body).unwrap();
    let mut document = row["document"].as_str().unwrap().to_owned();
    for (server, addr) in deployment.inventory.servers.iter().zip(addrs) {
        document = document.replace(&server.addr.to_string(), &addr.to_string());
    }
    let row = json!({"change": "servers", "document": document}).to_string();
    deployment.table.put(CONFIG_KEY, version + 1, &row);
    tokio::time::sleep(CONFIG_POLL_WAIT).await;
}
