//! TCP connections through the relay.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::Relay;

const CHUNK_BYTES: usize = 16 << 10;
/// Largest number of chunks in flight in one direction.
const MAX_CHUNKS_IN_FLIGHT: usize = 256;
/// Interval between checks of a partition, and pause after a failed accept.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Accepts connections at one host's public address.
pub(super) async fn accept(relay: Arc<Relay>, to: usize, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, source)) => {
                tokio::spawn(connect(relay.clone(), to, stream, source));
            }
            Err(_) => tokio::time::sleep(POLL_INTERVAL).await,
        }
    }
}

async fn connect(relay: Arc<Relay>, to: usize, inbound: TcpStream, source: SocketAddr) {
    let from = relay
        .endpoints
        .iter()
        .position(|endpoint| endpoint.bind_ip == source.ip());
    let Some(from) = from else {
        return;
    };
    // The TCP handshake needs packets in both directions.
    wait_healed(&relay, from, to).await;
    wait_healed(&relay, to, from).await;
    tokio::time::sleep(relay.delay(from, to) * 2).await;
    let Ok(outbound) = dial(&relay, from, to).await else {
        return;
    };
    let _ = inbound.set_nodelay(true);
    let _ = outbound.set_nodelay(true);
    let (inbound_read, inbound_write) = inbound.into_split();
    let (outbound_read, outbound_write) = outbound.into_split();
    let forward = copy_delayed(relay.clone(), (from, to), inbound_read, outbound_write);
    let backward = copy_delayed(relay.clone(), (to, from), outbound_read, inbound_write);
    tokio::join!(forward, backward);
}

async fn dial(relay: &Relay, from: usize, to: usize) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(relay.endpoints[from].bind_ip, 0))?;
    socket.connect(relay.endpoints[to].host_addr).await
}

async fn wait_healed(relay: &Relay, from: usize, to: usize) {
    while relay.is_partitioned(from, to) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Copies one direction; each chunk is delivered after its delay and in order.
async fn copy_delayed(
    relay: Arc<Relay>,
    (from, to): (usize, usize),
    mut read: impl AsyncRead + Unpin,
    mut write: impl AsyncWrite + Unpin,
) {
    let (tx, mut rx) = mpsc::channel::<(Instant, Vec<u8>)>(MAX_CHUNKS_IN_FLIGHT);
    let reader = async {
        let mut buf = vec![0; CHUNK_BYTES];
        while let Ok(len) = read.read(&mut buf).await {
            let due = Instant::now() + relay.delay(from, to);
            if len == 0 || tx.send((due, buf[..len].to_vec())).await.is_err() {
                break;
            }
        }
        drop(tx);
        // Never completes, so that the writer delivers the chunks in flight and then ends the copy.
        std::future::pending::<()>().await;
    };
    let writer = async {
        while let Some((due, chunk)) = rx.recv().await {
            tokio::time::sleep_until(due).await;
            wait_healed(&relay, from, to).await;
            if write.write_all(&chunk).await.is_err() {
                break;
            }
        }
        let _ = write.shutdown().await;
    };
    tokio::select! {
        () = reader => {}
        () = writer => {}
    }
}
