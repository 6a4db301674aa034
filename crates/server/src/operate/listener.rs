//! Connections of operators, with limits.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use hyper::body::Incoming;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tower::ServiceExt;
use tracing::{debug, warn};

/// Largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Time to read the head of a request; also the longest idle time of a connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Connections at a time. Health checks use this listener too, so it is well above the number of
/// operators.
const MAX_CONNECTIONS: usize = 256;
/// Requests in progress on one HTTP/2 connection.
const MAX_STREAMS: u32 = 16;
/// Pause after a failed accept, such as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

pub(super) async fn serve(listener: TcpListener, router: Router) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                warn!(%err, "operate: accept failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        // A connection above the limit is closed at once.
        if let Ok(permit) = permits.clone().try_acquire_owned() {
            connect(router.clone(), stream, permit);
        }
    }
}

fn connect(router: Router, stream: TcpStream, permit: OwnedSemaphorePermit) {
    let service = hyper::service::service_fn(move |req: hyper::Request<Incoming>| {
        router.clone().oneshot(req.map(Body::new))
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(MAX_HEAD_BYTES as u32)
        .keep_alive_interval(HEAD_TIMEOUT)
        .keep_alive_timeout(HEAD_TIMEOUT);
    tokio::spawn(async move {
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        if let Err(err) = connection.await {
            debug!(%err, "operate: connection ended");
        }
        drop(permit);
    });
}
