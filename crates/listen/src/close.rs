//! The end of a listener.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bv_types::Millis;
use socket2::{SockFilter, SockRef};
use tokio::net::{TcpListener, TcpStream};
use tracing::warn;

/// Time for handshakes in progress to complete before the listener is closed.
pub const HANDSHAKE_TIMEOUT: Millis = Millis(200);
/// Further time for connections in the queue while accepting them fails.
const RETRY_TIMEOUT: Millis = Millis(1_000);
/// Pause after a failed accept, such as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Classic BPF program that drops the first packet of each new connection: SYN without ACK in the
/// flags, byte 13 of the TCP header.
const DROP_NEW: [SockFilter; 5] = [
    SockFilter::new(0x30, 0, 0, 13),          // load byte
    SockFilter::new(0x54, 0, 0, 0x12),        // and SYN|ACK
    SockFilter::new(0x15, 1, 0, 0x02),        // jump if equal to SYN
    SockFilter::new(0x06, 0, 0, 0xffff_ffff), // accept
    SockFilter::new(0x06, 0, 0, 0),           // drop
];

/// Closes a listener after passing each connection that is already established to `take`.
///
/// Closing a listener resets the connections in its accept queue, also those whose request has been
/// sent. A filter therefore keeps new ones out first: their callers send the SYN again after a
/// second and are then refused. Takes [`HANDSHAKE_TIMEOUT`], and up to a second more while connections
/// cannot be accepted.
///
/// # Errors
/// The listener cannot be taken out of the runtime's event loop, or connections cannot be accepted, as
/// when file descriptors run out; those in its queue are reset.
pub async fn close(
    listener: TcpListener,
    mut take: impl FnMut(TcpStream, SocketAddr),
) -> io::Result<()> {
    if let Err(err) = SockRef::from(&listener).attach_filter(&DROP_NEW) {
        warn!(%err, "listener: new connections cannot be kept out while it is closed");
    }
    let accepting = async {
        loop {
            match listener.accept().await {
                Ok((stream, peer)) => take(stream, peer),
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            }
        }
    };
    // Ends by the timeout alone.
    let _ = tokio::time::timeout(HANDSHAKE_TIMEOUT.duration(), accepting).await;
    // The event loop may not have reported the last connections.
    let listener = listener.into_std()?;
    let give_up_at = Instant::now() + RETRY_TIMEOUT.duration();
    loop {
        match listener.accept() {
            Ok((stream, peer)) => {
                stream.set_nonblocking(true)?;
                take(TcpStream::from_std(stream)?, peer);
            }
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(err) if Instant::now() >= give_up_at => return Err(err),
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}
