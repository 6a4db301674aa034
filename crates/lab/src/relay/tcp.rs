//! Connections through the relay.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::Relay;

const PIECE_BYTES: usize = 16 << 10;
/// Pieces on their way in one direction.
const MAX_PIECES: usize = 256;
const CUT_POLL: Duration = Duration::from_millis(50);

/// Accepts connections to one host's public address.
pub(super) async fn accept(relay: Arc<Relay>, to: usize, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, source)) => {
                tokio::spawn(connect(relay.clone(), to, stream, source));
            }
            Err(_) => tokio::time::sleep(CUT_POLL).await,
        }
    }
}

async fn connect(relay: Arc<Relay>, to: usize, near: TcpStream, source: SocketAddr) {
    let from = relay
        .ports
        .iter()
        .position(|port| port.bind_ip == source.ip());
    let Some(from) = from else {
        return;
    };
    // A connection is set up by packets in both directions.
    wait_joined(&relay, from, to).await;
    wait_joined(&relay, to, from).await;
    tokio::time::sleep(relay.delay(from, to) * 2).await;
    let Ok(far) = dial(&relay, from, to).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let there = pump(relay.clone(), (from, to), near_read, far_write);
    let back = pump(relay.clone(), (to, from), far_read, near_write);
    tokio::join!(there, back);
}

async fn dial(relay: &Relay, from: usize, to: usize) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(relay.ports[from].bind_ip, 0))?;
    socket.connect(relay.ports[to].host).await
}

async fn wait_joined(relay: &Relay, from: usize, to: usize) {
    while relay.is_cut(from, to) {
        tokio::time::sleep(CUT_POLL).await;
    }
}

/// Copies one direction; each piece arrives after its delay and never before an earlier one.
async fn pump(
    relay: Arc<Relay>,
    (from, to): (usize, usize),
    mut read: impl AsyncRead + Unpin,
    mut write: impl AsyncWrite + Unpin,
) {
    let (tx, mut rx) = mpsc::channel::<(Instant, Vec<u8>)>(MAX_PIECES);
    let reader = async {
        let mut buf = vec![0; PIECE_BYTES];
        while let Ok(len) = read.read(&mut buf).await {
            let due = Instant::now() + relay.delay(from, to);
            if len == 0 || tx.send((due, buf[..len].to_vec())).await.is_err() {
                break;
            }
        }
        drop(tx);
        // The writer ends once it has written what is on its way.
        std::future::pending::<()>().await;
    };
    let writer = async {
        while let Some((due, piece)) = rx.recv().await {
            tokio::time::sleep_until(due).await;
            wait_joined(&relay, from, to).await;
            if write.write_all(&piece).await.is_err() {
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
