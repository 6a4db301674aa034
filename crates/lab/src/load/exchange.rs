//! One HTTP exchange of a caller on its own connection.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpSocket, TcpStream};
use tokio_util::task::AbortOnDropHandle;

use crate::leak_detector::LeakDetector;

const OUTCOME_HEADER: &str = "x-burdockvale-outcome";
/// Time after a complete answer in which bytes of a second answer are detected.
const EXTRA_BYTES_WAIT: Duration = Duration::from_millis(3);
/// Receive buffer of a caller that stops reading; a large one would hide from the router that
/// nobody reads.
const NO_READ_BUFFER_BYTES: u32 = 4 << 10;
/// Time for which a caller that stops reading keeps its connection.
const NO_READ_CONNECTION_TIME: Duration = Duration::from_secs(25);
const NO_READ_POLL_INTERVAL: Duration = Duration::from_millis(100);
const PEEK_BYTES: usize = 64 << 10;

/// A complete HTTP answer.
#[derive(Debug)]
pub(crate) struct Answer {
    pub status: StatusCode,
    /// Value of the outcome header.
    pub outcome: Option<String>,
    pub body: Vec<u8>,
    /// Time until the first byte of the body.
    pub time_to_first_byte: Duration,
    /// Time until the end of the body.
    pub total_time: Duration,
    /// Whether more bytes followed the answer.
    pub has_extra_bytes: bool,
}

/// Why an exchange has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ExchangeError {
    /// The connection was not accepted; nothing was sent.
    Refused,
    /// The connection ended before the end of the answer.
    ConnectionLost,
}

/// Sends a request and reads the complete answer; times are measured from `start`.
pub(crate) async fn exchange(
    host: SocketAddr,
    req: Request<Full<Bytes>>,
    start: Instant,
) -> Result<Answer, ExchangeError> {
    let stream = TcpStream::connect(host)
        .await
        .map_err(|_| ExchangeError::Refused)?;
    let _ = stream.set_nodelay(true);
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|_| ExchangeError::Refused)?;
    let mut connection = AbortOnDropHandle::new(tokio::spawn(connection));
    let answer = sender
        .send_request(req)
        .await
        .map_err(|_| ExchangeError::ConnectionLost)?;
    let (parts, mut incoming) = answer.into_parts();
    let mut first = None;
    let mut body = Vec::new();
    while let Some(frame) = incoming.frame().await {
        let frame = frame.map_err(|_| ExchangeError::ConnectionLost)?;
        if let Ok(data) = frame.into_data() {
            first.get_or_insert_with(|| start.elapsed());
            body.extend_from_slice(&data);
        }
    }
    let total = start.elapsed();
    // hyper ends an idle connection with an error when bytes arrive without a request.
    let ended = tokio::time::timeout(EXTRA_BYTES_WAIT, &mut connection).await;
    Ok(Answer {
        status: parts.status,
        outcome: parts
            .headers
            .get(OUTCOME_HEADER)
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned),
        body,
        time_to_first_byte: first.unwrap_or(total),
        total_time: total,
        has_extra_bytes: matches!(
            ended,
            Ok(Ok(Err(err))) if err.to_string().contains("unexpected message")
        ),
    })
}

/// Sends a request and then reads nothing, like a device out of radio range.
///
/// The caller counts as disconnected from the moment its receive buffer stopped filling.
pub(crate) async fn send_without_reading(
    host: SocketAddr,
    head: String,
    body: String,
    leak_detector: &LeakDetector,
    nonce: &str,
) {
    let Ok(socket) = TcpSocket::new_v4() else {
        return;
    };
    let _ = socket.set_recv_buffer_size(NO_READ_BUFFER_BYTES);
    let Ok(mut stream) = socket.connect(host).await else {
        return;
    };
    if stream.write_all(head.as_bytes()).await.is_err()
        || stream.write_all(body.as_bytes()).await.is_err()
    {
        return;
    }
    let deadline = Instant::now() + NO_READ_CONNECTION_TIME;
    let mut buf = vec![0; PEEK_BYTES];
    let mut buffered = 0;
    while Instant::now() < deadline {
        // A peek waits for the first byte and then leaves all bytes in the receive buffer.
        let peeked = tokio::time::timeout(NO_READ_POLL_INTERVAL, stream.peek(&mut buf)).await;
        match peeked {
            Ok(Ok(0) | Err(_)) => break,
            Ok(Ok(count)) if count > buffered => {
                buffered = count;
                leak_detector.caller_disconnected(nonce);
            }
            // No engine memory is held any more: the answer ended or was cancelled.
            _ if buffered > 0 && !leak_detector.is_held(nonce) => break,
            _ => {}
        }
        tokio::time::sleep(NO_READ_POLL_INTERVAL).await;
    }
}
