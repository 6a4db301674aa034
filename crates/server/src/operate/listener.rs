//! Connections of operators, with limits.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tower::ServiceExt;
use tracing::{debug, warn};

use crate::http_limits::HttpLimits;

/// Largest number of open connections. Health checks use this listener too, so it is well above the
/// number of operators.
const MAX_CONNECTIONS: usize = 256;
const HTTP_LIMITS: HttpLimits = HttpLimits {
    streams: 16,
    probe_after: Duration::from_secs(10),
    probe_timeout: Duration::from_secs(10),
};
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
            spawn_connection(router.clone(), stream, permit);
        }
    }
}

fn spawn_connection(router: Router, stream: TcpStream, permit: OwnedSemaphorePermit) {
    let service = hyper::service::service_fn(move |req: hyper::Request<Incoming>| {
        router.clone().oneshot(req.map(Body::new))
    });
    tokio::spawn(async move {
        let server = HTTP_LIMITS.server();
        let connection = server.serve_connection(TokioIo::new(stream), service);
        if let Err(err) = connection.await {
            debug!(%err, "operate: connection ended");
        }
        drop(permit);
    });
}
