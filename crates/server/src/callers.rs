//! Listener for callers.

use std::convert::Infallible;
use std::error::Error;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::routing::post;
use bv_listen::FIRST_REQUEST_TIMEOUT;
use bv_types::Refusal;
use hyper::Version;
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tower::ServiceExt;
use tracing::{debug, warn};

use crate::begun_head::{HeadWatch, WatchedStream};
use crate::http_limits::{HEAD_TIMEOUT, HttpLimits};
use crate::{Host, counters, model, plain};

const HTTP_LIMITS: HttpLimits = HttpLimits {
    streams: 100,
    probe_after: KEEPALIVE_IDLE,
    probe_timeout: USER_TIMEOUT,
};
/// Idle time after which a silent caller is probed.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Time after which the connection of a caller that acknowledges nothing is closed.
const USER_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a failed accept, such as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
const BUSY_ANSWER: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
    x-burdockvale-outcome: not-run\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// Address of the connection that carries a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PeerAddr(pub SocketAddr);

/// The open connections of callers.
#[derive(Debug, Clone, Default)]
struct Connections {
    tasks: TaskTracker,
    /// Whether they are to close after the requests that have begun to arrive.
    shut_down: CancellationToken,
}

/// Serves callers until the host closes, then lets requests in progress finish.
pub(crate) async fn serve(host: Arc<Host>, listener: TcpListener) {
    let router = Router::new()
        .route("/v1/chat/completions", post(model::chat))
        .fallback(plain::call)
        .with_state(host.clone());
    let connections = Connections::default();
    let permits = Arc::new(Semaphore::new(host.settings.max_connections));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = host.shutdown.closing.cancelled() => break,
        };
        let (stream, addr) = match accepted {
            Ok(accepted) => accepted,
            Err(err) => {
                warn!(%err, "callers: accept failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        match permits.clone().try_acquire_owned() {
            Ok(permit) => spawn_connection(&host, &router, &connections, stream, addr, permit),
            Err(_) => refuse(stream),
        }
    }
    let closed = bv_listen::close(listener, |stream, addr| {
        if let Ok(permit) = permits.clone().try_acquire_owned() {
            spawn_connection(&host, &router, &connections, stream, addr, permit);
        }
    });
    if let Err(err) = closed.await {
        warn!(%err, "callers: connections were reset with the listener");
    }
    // The shutdown closes connections that have received nothing yet.
    tokio::time::sleep(FIRST_REQUEST_TIMEOUT.duration()).await;
    connections.shut_down.cancel();
    connections.tasks.close();
    connections.tasks.wait().await;
}

fn spawn_connection(
    host: &Arc<Host>,
    router: &Router,
    connections: &Connections,
    stream: TcpStream,
    addr: SocketAddr,
    permit: OwnedSemaphorePermit,
) {
    if let Err(err) = set_options(&stream) {
        debug!(%err, "callers: setting socket options failed");
    }
    let router = router.clone();
    let lame_duck = host.shutdown.lame_duck.clone();
    let heads = HeadWatch::new();
    let service_heads = heads.clone();
    let service = hyper::service::service_fn(move |mut req: hyper::Request<Incoming>| {
        let heads = service_heads.clone();
        heads.begin_service();
        req.extensions_mut().insert(PeerAddr(addr));
        let answered = router.clone().oneshot(req.map(Body::new));
        let lame_duck = lame_duck.clone();
        async move {
            let mut answer = answered.await?;
            heads.end_service();
            if lame_duck.is_cancelled() && answer.version() < Version::HTTP_2 {
                // The caller then opens its next connection to another host.
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(answer)
        }
    });
    let connection = HTTP_LIMITS
        .server()
        .serve_connection(
            TokioIo::new(WatchedStream::new(stream, heads.clone())),
            service,
        )
        .into_owned();
    let shut_down = connections.shut_down.clone();
    connections.tasks.spawn(async move {
        let mut connection = pin!(connection);
        let closing = async {
            shut_down.cancelled().await;
            // After the timeout the library itself gives up a head.
            let _ = tokio::time::timeout(HEAD_TIMEOUT, heads.no_begun_head()).await;
        };
        let ended = tokio::select! {
            ended = connection.as_mut() => Some(ended),
            () = closing => None,
        };
        let ended = match ended {
            Some(ended) => ended,
            None => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(err) = ended {
            count_rejected_head(&*err);
            debug!(%addr, %err, "callers: connection ended");
        }
        drop(permit);
    });
}

/// Counts a head that was rejected before it became a request.
fn count_rejected_head(err: &(dyn Error + 'static)) {
    let Some(err) = err.downcast_ref::<hyper::Error>() else {
        return;
    };
    if err.is_parse_too_large() {
        counters::refused(Refusal::HeadTooLarge);
    } else if err.is_parse() {
        counters::refused(Refusal::BadRequest);
    } else if err.is_timeout() {
        counters::refused(Refusal::ReadTimeout);
    }
}

fn refuse(mut stream: TcpStream) {
    counters::refused(Refusal::TooManyConnections);
    tokio::spawn(async move {
        let _ = stream.write_all(BUSY_ANSWER).await;
    });
}

fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
