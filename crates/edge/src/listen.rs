//! Listeners for callers, the readiness check and metrics.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use axum::Router;
use axum::extract::State as Shared;
use axum::routing::get;
use bv_drain::GracePhase;
use bv_platform::READY_PATH;
use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use metrics_exporter_prometheus::PrometheusHandle;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tracing::{debug, warn};

use crate::answer::Body;
use crate::edge::{ConnectionCountGuard, Edge};
use crate::guard::{GuardedStream, HeadGuard};
use crate::retries;
use crate::serve::serve;

/// Share of the file descriptors that callers' connections may use; each request needs up to two
/// more.
const CALLER_FILES_SHARE: f64 = 0.4;
/// Pause after a failed accept, so that a lack of descriptors does not become a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Smallest read buffer that the HTTP library accepts.
const MIN_HEAD_BUFFER_BYTES: usize = 8 << 10;
/// Time that data for a caller may stay unacknowledged.
const CALLER_UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(10);
/// Idle time after which keepalive probes are sent to a caller.
const CALLER_KEEPALIVE_TIME: Duration = Duration::from_secs(5);

/// Accepts callers until the phase is [`GracePhase::StopAccepting`]. Each change of the phase
/// closes the open connections as soon as they are idle.
pub(crate) async fn callers(
    edge: Arc<Edge>,
    listener: TcpListener,
    mut drain_rx: watch::Receiver<GracePhase>,
) {
    let max = (edge.settings.max_file_descriptors as f64 * CALLER_FILES_SHARE) as usize;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = drain_rx.wait_for(|phase| *phase >= GracePhase::StopAccepting) => return,
        };
        match accepted {
            // The connection is dropped before a request is read, so no request is lost.
            Ok(_) if edge.connections() >= max => crate::counters::refused("too_many_connections"),
            Ok((stream, peer)) => {
                let mut drain_rx = drain_rx.clone();
                drain_rx.borrow_and_update();
                tokio::spawn(connection(edge.clone(), stream, peer, drain_rx));
            }
            Err(err) => {
                warn!(error = %err, "listener: accepting a caller's connection failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection(
    edge: Arc<Edge>,
    stream: TcpStream,
    peer: SocketAddr,
    mut drain_rx: watch::Receiver<GracePhase>,
) {
    let _count_guard = ConnectionCountGuard::new(&edge);
    if let Err(err) = set_options(&stream) {
        debug!(peer = %peer, error = %err, "caller: socket options not set");
    }
    let limits = edge.state().in_force.table().map(|table| table.limits());
    let limits = limits.unwrap_or_default();
    let guard = HeadGuard::new();
    let service_guard = guard.clone();
    let service_edge = edge.clone();
    let service = service_fn(move |req| {
        let guard = service_guard.clone();
        let serving = serve(service_edge.clone(), guard.take_verdict(), req);
        async move {
            let response = serving.await;
            Ok::<_, Infallible>(response.map(|body| GuardedBody { body, guard }))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout.duration())
        .max_buf_size((limits.max_head.0 as usize * 2).max(MIN_HEAD_BUFFER_BYTES))
        .serve_connection(TokioIo::new(GuardedStream::new(stream, guard)), service);
    let mut connection = std::pin::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        _ = drain_rx.changed() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(err) = result {
        debug!(peer = %peer, error = %err, "caller: connection ended");
    }
}

fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(CALLER_KEEPALIVE_TIME))?;
    socket.set_tcp_user_timeout(Some(CALLER_UNACKNOWLEDGED_TIMEOUT))
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

/// Answers the load balancer's readiness check.
pub(crate) async fn readiness(edge: Arc<Edge>, listener: TcpListener) -> io::Result<()> {
    let router = Router::new().route(READY_PATH, get(ready)).with_state(edge);
    axum::serve(listener, router).await
}

async fn ready(Shared(edge): Shared<Arc<Edge>>) -> StatusCode {
    match edge.is_ready() {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Serves the metrics page.
pub(crate) async fn metrics(
    edge: Arc<Edge>,
    listener: TcpListener,
    handle: PrometheusHandle,
) -> io::Result<()> {
    let render = move || {
        retries::update_gauges(&edge);
        let handle = handle.clone();
        async move { Response::new(handle.render()) }
    };
    axum::serve(listener, Router::new().route("/metrics", get(render))).await
}
