//! A single HTTP/1.1 connection.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bv_types::Millis;
use bytes::Bytes;
use http::{Request, Response, Version};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::final_head::{HeadError, check_head};
use crate::heads::{AnswerExpected, BoundedHeads};

/// Idle time after which keepalive probes are sent. With [`KEEPALIVE_INTERVAL`] a silent peer is
/// detected within two seconds if [`ConnectOptions::unacknowledged`] is at most that long. The
/// probes alone would take three seconds.
const KEEPALIVE_IDLE: Duration = Duration::from_millis(1_000);
/// Time between two keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Number of unanswered probes after which the connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// Time for which data to a backend server may stay unacknowledged. The kernel also applies it to a
/// full receive window, so it is longer than a sound server may stop reading, and no longer than the
/// keepalive probes take.
pub const UNACKNOWLEDGED_TIMEOUT: Millis = Millis(2_000);

/// Size of the read buffer of a connection, and with it of the longest head of an answer and of all
/// informational heads before it. The library's default of 400 KB is too much for some hundred connections on which bytes arrive without
/// end.
const MAX_READ_BUFFER_BYTES: usize = 32 << 10;

/// Options for opening a connection.
#[derive(Debug, Clone, Copy)]
pub struct ConnectOptions {
    /// Time within which the connection must be open.
    pub timeout: Millis,
    /// Time after which the connection is closed if sent data is not acknowledged, or the peer's receive
    /// window stays full.
    pub unacknowledged: Millis,
}

/// The connection could not be opened; no part of a request was sent.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The peer did not answer in time.
    #[error("connect to {peer}: no answer within {timeout}")]
    Timeout {
        /// Address of the peer.
        peer: SocketAddr,
        /// The time limit.
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

/// A request that was not answered.
#[derive(Debug, thiserror::Error)]
#[error("request to {peer}: {source}")]
pub struct SendFailure {
    /// Address of the peer.
    pub peer: SocketAddr,
    /// Whether no byte of the request was written.
    pub unsent: bool,
    /// The cause.
    pub source: SendCause,
}

/// Why a request was not answered.
#[derive(Debug, thiserror::Error)]
pub enum SendCause {
    /// The connection broke, or what came is no head of an answer.
    #[error(transparent)]
    Connection(#[from] hyper::Error),
    /// The head is not that of a final answer.
    #[error(transparent)]
    Head(#[from] HeadError),
}

/// Whether a connection ended because the peer did not acknowledge data in time, rather than by an
/// action of the peer.
pub fn is_unacknowledged(err: &hyper::Error) -> bool {
    let mut cause = std::error::Error::source(err);
    while let Some(err) = cause {
        if let Some(err) = err.downcast_ref::<io::Error>() {
            return err.kind() == io::ErrorKind::TimedOut;
        }
        cause = err.source();
    }
    false
}

/// An open connection; closed when dropped.
#[derive(Debug)]
pub struct Channel {
    peer: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    answer_expected: AnswerExpected,
    task: AbortHandle,
}

/// Opens a connection.
///
/// # Errors
/// Fails if the peer does not answer in time or refuses, or if a local limit is reached.
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
    let answer_expected = AnswerExpected::default();
    let stream = BoundedHeads::new(stream, peer, MAX_READ_BUFFER_BYTES, answer_expected.clone());
    let handshake = http1::Builder::new()
        .max_buf_size(MAX_READ_BUFFER_BYTES)
        .handshake(TokioIo::new(stream));
    let (sender, connection) = handshake
        .await
        .map_err(|source| ConnectError::Handshake { peer, source })?;
    // An error of the connection is also returned to the request in progress, which reports it.
    let task = tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(Channel {
        peer,
        sender,
        answer_expected,
        task: task.abort_handle(),
    })
}

fn set_options(stream: &TcpStream, options: ConnectOptions) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(options.unacknowledged.duration()))
}

impl Channel {
    /// Address of the peer.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Whether a request can be sent now: the last answer was read completely and the peer has sent
    /// nothing since.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Waits until the connection can take a request.
    ///
    /// # Errors
    /// Fails if the connection is closed.
    pub async fn ready(&mut self) -> Result<(), SendFailure> {
        let peer = self.peer;
        self.sender.ready().await.map_err(|source| SendFailure {
            peer,
            unsent: true,
            source: source.into(),
        })
    }

    /// Sends a request and waits for the head of its final answer. The answer has the version of this
    /// library, whichever the peer states: by HTTP/1.0 the end of the connection to a caller would be the end
    /// of its answer.
    ///
    /// # Errors
    /// Fails if the connection breaks or the answer is malformed. The connection is not to be used again then.
    pub async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendFailure> {
        self.ready().await?;
        let peer = self.peer;
        self.answer_expected.set();
        let sending = self.sender.try_send_request(req).await;
        let mut response = sending.map_err(|mut err| {
            let unsent = err.take_message().is_some();
            SendFailure {
                peer,
                unsent,
                source: err.into_error().into(),
            }
        })?;
        check_head(&response).map_err(|err| SendFailure {
            peer,
            unsent: false,
            source: err.into(),
        })?;
        *response.version_mut() = Version::HTTP_11;
        Ok(response)
    }
}

impl Drop for Channel {
    fn drop(&mut self) {
        self.task.abort();
    }
}
