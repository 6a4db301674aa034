//! A caller's connection.

use std::convert::Infallible;
use std::io;
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bv_drain::GracePhase;
use bv_listen::FIRST_REQUEST_TIMEOUT;
use bv_types::{Millis, Refusal};
use bytes::Bytes;
use http::{Request, header};
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tracing::debug;

use crate::answer::{Body, Failure, UnreadBody};
use crate::counters;
use crate::edge::{ConnectionCountGuard, Edge};
use crate::guard::{GuardedStream, HeadGuard, Wait};
use crate::serve::{BODY_TIMEOUT, serve};

/// Smallest read buffer that the HTTP library accepts.
const MIN_HEAD_BUFFER_BYTES: usize = 8 << 10;
/// Time that data for a caller may stay unacknowledged.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(10);
/// Idle time after which keepalive probes are sent to a caller.
const KEEPALIVE_TIME: Duration = Duration::from_secs(5);
/// Longest silence of a caller that is still sending a request that was refused.
const LINGER_SILENCE: Millis = Millis(2_000);
/// Longest time for reading what a caller sends on a connection that has no room.
const REFUSED_LINGER_TIMEOUT: Millis = Millis(1_000);
/// Time limit for writing a refusal to a caller that sent no complete head.
const REFUSAL_WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// Why the HTTP library no longer serves a connection.
enum End {
    Closed(hyper::Result<()>),
    /// No request has begun within the idle timeout, or before the host stops.
    Idle,
    /// The head of a request is not complete in time.
    SlowHead,
    /// The head of a request is not complete, and the process ends.
    HostEnds,
    /// There is no memory for the head of a request beside the others.
    NoMemory,
}

/// Serves a caller's connection until it ends.
pub(crate) async fn connection(
    edge: Arc<Edge>,
    _count_guard: ConnectionCountGuard,
    mut stream: TcpStream,
    peer: SocketAddr,
    mut drain_rx: watch::Receiver<GracePhase>,
) {
    if let Err(err) = set_options(&stream) {
        debug!(peer = %peer, error = %err, "caller: socket options not set");
    }
    let guard = HeadGuard::new(edge.memory.clone());
    loop {
        let service_guard = guard.clone();
        let service_edge = edge.clone();
        let service = service_fn(move |req: Request<Incoming>| {
            let guard = service_guard.clone();
            let verdict = guard.take_verdict();
            guard.set_version(req.version());
            let serving = serve(service_edge.clone(), peer.ip(), verdict, req);
            async move {
                let response = serving.await;
                if response.extensions().get::<UnreadBody>().is_some() {
                    guard.set_unread_body();
                }
                Ok::<_, Infallible>(response.map(|body| GuardedBody { body, guard }))
            }
        });
        let limits = edge.state().in_force.table().map(|table| table.limits());
        let max_head = limits.unwrap_or_default().max_head.0 as usize;
        let io = TokioIo::new(GuardedStream::new(stream, guard.clone()));
        let mut connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(None)
            .max_buf_size(max_head.saturating_mul(2).max(MIN_HEAD_BUFFER_BYTES))
            .serve_connection(io, service);
        let end = run(&edge, &guard, &mut connection, &mut drain_rx).await;
        let parts = connection.into_parts();
        stream = parts.io.into_inner().into_inner();
        let has_read_bytes = !parts.read_buf.is_empty();
        // The connection may stay open for seconds while the rest of a refused request is read.
        drop(parts.read_buf);
        match end {
            // A request that arrives at this moment is still served.
            End::Idle if !has_read_bytes && has_unread_bytes(&stream) => {}
            End::Idle => return,
            End::SlowHead => {
                refuse_head(&mut stream, Failure::refused(Refusal::ReadTimeout)).await;
                return linger(&mut stream, BODY_TIMEOUT).await;
            }
            End::NoMemory => {
                refuse_head(&mut stream, Failure::refused(Refusal::NoMemory)).await;
                return linger(&mut stream, BODY_TIMEOUT).await;
            }
            End::HostEnds => {
                refuse_head(&mut stream, Failure::refused(Refusal::ShuttingDown)).await;
                return linger(&mut stream, BODY_TIMEOUT).await;
            }
            End::Closed(Ok(())) if guard.has_unread_body() => {
                return linger(&mut stream, BODY_TIMEOUT).await;
            }
            End::Closed(Ok(())) => return,
            End::Closed(Err(err)) => {
                debug!(peer = %peer, error = %err, "caller: connection ended");
                if guard.ends_at_close() {
                    // Otherwise an answer that was broken off looks complete.
                    return reset(&stream);
                }
                return linger(&mut stream, BODY_TIMEOUT).await;
            }
        }
    }
}

/// Runs the connection until it ends or has to be ended. Limits are those in force during each wait.
async fn run<C: Served>(
    edge: &Edge,
    guard: &HeadGuard,
    connection: &mut C,
    drain_rx: &mut watch::Receiver<GracePhase>,
) -> End {
    let mut wait = guard.wait();
    let mut since = edge.now();
    let mut is_draining = false;
    let mut is_shut_down = false;
    loop {
        if guard.wait() != wait {
            wait = guard.wait();
            since = edge.now();
        }
        let (end_at, end) = match wait {
            Wait::Answer => (None, End::Idle),
            Wait::Request(0) if is_draining => (Some(since + FIRST_REQUEST_TIMEOUT), End::Idle),
            Wait::Request(_) if is_draining => return End::Idle,
            Wait::Request(_) => (Some(edge.state().idle_timeouts.close_at(since)), End::Idle),
            Wait::Head(_) => (Some(since + edge.head_timeout()), End::SlowHead),
        };
        if end_at.is_some_and(|at| at <= edge.now()) {
            return end;
        }
        if guard.lacks_memory() && matches!(wait, Wait::Head(_)) {
            return End::NoMemory;
        }
        // Before the head is complete, the library would close the connection without an answer.
        if is_draining && wait == Wait::Answer && !is_shut_down {
            is_shut_down = true;
            connection.shut_down();
        }
        let timer = async {
            match end_at {
                Some(at) => tokio::time::sleep((at - edge.now()).duration()).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            result = &mut *connection => return End::Closed(result),
            () = guard.wait_changed() => {}
            changed = drain_rx.changed(), if !is_draining => {
                is_draining = changed.is_ok();
            }
            () = edge.wait_for_end(), if matches!(wait, Wait::Head(_)) => return End::HostEnds,
            () = timer => {}
        }
    }
}

/// A connection that the HTTP library serves.
trait Served: Future<Output = hyper::Result<()>> + Unpin {
    /// Closes the connection after the answer in progress.
    fn shut_down(&mut self);
}

impl<S, B> Served for http1::Connection<TokioIo<GuardedStream<TcpStream>>, S>
where
    S: hyper::service::HttpService<Incoming, ResBody = B> + Unpin,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    B: HttpBody + Unpin + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    Self: Future<Output = hyper::Result<()>> + Unpin,
{
    fn shut_down(&mut self) {
        Pin::new(self).graceful_shutdown();
    }
}

fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(KEEPALIVE_TIME))?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}

fn has_unread_bytes(stream: &TcpStream) -> bool {
    let mut buf = [MaybeUninit::uninit()];
    SockRef::from(stream)
        .peek(&mut buf)
        .is_ok_and(|bytes| bytes > 0)
}

/// Answers the first request of a connection that has no room, then closes it. The request is not
/// read, so it does not run.
pub(crate) async fn refuse_connection(mut stream: TcpStream, failure: Failure) {
    // Callers do not expect an answer before they have sent a request.
    let mut buf = [0];
    let peeking = tokio::time::timeout(FIRST_REQUEST_TIMEOUT.duration(), stream.peek(&mut buf));
    if matches!(peeking.await, Ok(Ok(1..))) {
        write_refusal(&mut stream, failure).await;
        linger(&mut stream, REFUSED_LINGER_TIMEOUT).await;
    }
}

/// Answers a request whose head is not complete.
async fn refuse_head(stream: &mut TcpStream, failure: Failure) {
    counters::refused(failure.code());
    write_refusal(stream, failure).await;
}

/// Writes a refusal to a connection that the HTTP library does not serve.
async fn write_refusal(stream: &mut TcpStream, failure: Failure) {
    let response = failure.response();
    let (status, code) = (failure.status(), failure.code());
    let retry_after = response.headers().get(header::RETRY_AFTER);
    let retry_after = retry_after
        .and_then(|value| value.to_str().ok())
        .map_or_else(String::new, |value| format!("retry-after: {value}\r\n"));
    let text = format!(
        "HTTP/1.1 {status}\r\nconnection: close\r\n{retry_after}content-length: {}\r\n\r\n{code}",
        code.len()
    );
    // The caller may be gone, or may not read.
    let writing = stream.write_all(text.as_bytes());
    let _ = tokio::time::timeout(REFUSAL_WRITE_TIMEOUT, writing).await;
}

/// Lets the connection end with a reset.
fn reset(stream: &TcpStream) {
    if let Err(err) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        debug!(error = %err, "caller: connection not reset");
    }
}

/// Reads what a caller still sends before its connection is closed. Closing with unread bytes resets
/// the connection, and the caller may lose the answer.
async fn linger(stream: &mut TcpStream, timeout: Millis) {
    if SockRef::from(&*stream).shutdown(Shutdown::Write).is_err() {
        return;
    }
    let mut buf = [0; 4 << 10];
    let reading = async {
        loop {
            let read = tokio::time::timeout(LINGER_SILENCE.duration(), stream.read(&mut buf));
            if !matches!(read.await, Ok(Ok(1..))) {
                return;
            }
        }
    };
    let _ = tokio::time::timeout(timeout.duration(), reading).await;
}

/// A response body. When it is dropped, the guard starts to check the next request of the
/// connection.
struct GuardedBody {
    body: Body,
    guard: HeadGuard,
}

impl Drop for GuardedBody {
    fn drop(&mut self) {
        self.guard.expect_head();
    }
}

impl HttpBody for GuardedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let frame = std::pin::pin!(self.body.frame());
        std::future::Future::poll(frame, cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
