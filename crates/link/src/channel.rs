//! One connection.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bv_types::Millis;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Idle time after which a connection is probed; with [`PROBE_INTERVAL`] and [`PROBES`] a silent
/// one is noticed within two seconds.
const PROBE_AFTER: Duration = Duration::from_millis(1_000);
const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);
const PROBES: u32 = 2;

/// How a connection is opened.
#[derive(Debug, Clone, Copy)]
pub struct ConnectOptions {
    /// Longest time until it is open.
    pub timeout: Millis,
    /// Longest time that sent data may stay unacknowledged.
    pub unacknowledged: Millis,
}

/// A connection could not be opened. Nothing was sent.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// No answer in time.
    #[error("connect to {peer}: no answer within {timeout}")]
    Timeout {
        /// Address of the peer.
        peer: SocketAddr,
        /// The time that was given.
        timeout: Millis,
    },
    /// The connection was refused, or a local limit was reached.
    #[error("connect to {peer}: {source}")]
    Refused {
        /// Address of the peer.
        peer: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The HTTP handshake failed.
    #[error("HTTP handshake with {peer}: {source}")]
    Handshake {
        /// Address of the peer.
        peer: SocketAddr,
        /// The cause.
        source: hyper::Error,
    },
}

/// A request got no answer.
#[derive(Debug, thiserror::Error)]
#[error("request to {peer}: {source}")]
pub struct SendFailure {
    /// Address of the peer.
    pub peer: SocketAddr,
    /// Whether not a single byte of the request was written.
    pub unsent: bool,
    /// The cause.
    pub source: hyper::Error,
}

/// An open connection; closed when dropped.
#[derive(Debug)]
pub struct Channel {
    peer: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

/// Opens a connection.
///
/// # Errors
/// The peer does not answer in time or refuses.
pub async fn connect(peer: SocketAddr, options: ConnectOptions) -> Result<Channel, ConnectError> {
    let opening = tokio::time::timeout(options.timeout.duration(), TcpStream::connect(peer));
    let stream = match opening.await {
        Ok(Ok(stream)) => stream,
        Ok(Err(source)) => return Err(ConnectError::Refused { peer, source }),
        Err(_) => {
            return Err(ConnectError::Timeout {
                peer,
                timeout: options.timeout,
            });
        }
    };
    set_options(&stream, options).map_err(|source| ConnectError::Refused { peer, source })?;
    let handshake = http1::Builder::new().handshake(TokioIo::new(stream));
    let (sender, connection) = handshake
        .await
        .map_err(|source| ConnectError::Handshake { peer, source })?;
    // The result of the connection also reaches the request in progress, which reports it.
    let task = tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(Channel {
        peer,
        sender,
        task: task.abort_handle(),
    })
}

fn set_options(stream: &TcpStream, options: ConnectOptions) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(options.unacknowledged.duration()))
}

impl Channel {
    /// Address of the peer.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Whether a request can be sent now: the last answer was read whole and the peer has sent
    /// nothing since.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Waits until the connection can take a request.
    ///
    /// # Errors
    /// The connection is closed.
    pub async fn ready(&mut self) -> Result<(), SendFailure> {
        let peer = self.peer;
        self.sender.ready().await.map_err(|source| SendFailure {
            peer,
            unsent: true,
            source,
        })
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    /// The connection broke or the answer is malformed.
    pub async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendFailure> {
        self.ready().await?;
        let peer = self.peer;
        self.sender.try_send_request(req).await.map_err(|mut err| {
            let unsent = err.take_message().is_some();
            SendFailure {
                peer,
                unsent,
                source: err.into_error(),
            }
        })
    }
}

impl Drop for Channel {
    fn drop(&mut self) {
        self.task.abort();
    }
}
