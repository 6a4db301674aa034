//! Listeners for callers, the readiness check and metrics.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::extract::State as Shared;
use axum::routing::get;
use bv_drain::GracePhase;
use bv_platform::READY_PATH;
use bv_types::Refusal;
use http::{Response, StatusCode};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};
use tracing::warn;

use crate::answer::Failure;
use crate::connection::{connection, refuse_connection};
use crate::counters;
use crate::edge::{ConnectionCountGuard, Edge};
use crate::retries;

/// Share of the file descriptors that callers' connections may use; each request needs up to two
/// more.
const CALLER_FILES_SHARE: f64 = 0.4;
/// Share of the file descriptors for connections beyond that, whose first request is refused. Further
/// ones are closed without an answer.
const REFUSED_FILES_SHARE: f64 = 0.05;
/// Pause after a failed accept, so that a lack of descriptors does not become a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts callers until the phase is [`GracePhase::StopAccepting`]. Each change of the phase
/// closes the open connections as soon as they are idle.
pub(crate) async fn callers(
    edge: Arc<Edge>,
    listener: TcpListener,
    mut drain_rx: watch::Receiver<GracePhase>,
) {
    let max_files = edge.settings.max_file_descriptors as f64;
    let max = (max_files * CALLER_FILES_SHARE) as usize;
    let refused = Arc::new(Semaphore::new((max_files * REFUSED_FILES_SHARE) as usize));
    let connection_rx = drain_rx.clone();
    let take = |stream, peer| {
        if edge.connections() >= max {
            let failure = Failure::refused(Refusal::TooManyConnections);
            counters::refused(failure.code());
            if let Ok(permit) = refused.clone().try_acquire_owned() {
                tokio::spawn(async move {
                    refuse_connection(stream, failure).await;
                    drop(permit);
                });
            }
            return;
        }
        let mut drain_rx = connection_rx.clone();
        drain_rx.borrow_and_update();
        let count_guard = ConnectionCountGuard::new(&edge);
        tokio::spawn(connection(
            edge.clone(),
            count_guard,
            stream,
            peer,
            drain_rx,
        ));
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = drain_rx.wait_for(|phase| *phase >= GracePhase::StopAccepting) => break,
        };
        match accepted {
            Ok((stream, peer)) => take(stream, peer),
            Err(err) => {
                warn!(error = %err, "listener: accepting a caller's connection failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    if let Err(err) = bv_listen::close(listener, take).await {
        warn!(error = %err, "listener: connections were reset with the callers' listener");
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

/// Interval at which recorded times are added to their histograms. Until then each is kept, and the page may
/// never be read.
const HISTOGRAM_INTERVAL: Duration = Duration::from_secs(1);

/// Adds recorded times to their histograms, so that they do not take more memory with each answer.
pub(crate) async fn maintain_histograms(handle: PrometheusHandle) {
    loop {
        tokio::time::sleep(HISTOGRAM_INTERVAL).await;
        handle.run_upkeep();
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
        counters::store_traffic(edge.store.traffic());
        let handle = handle.clone();
        async move { Response::new(handle.render()) }
    };
    axum::serve(listener, Router::new().route("/metrics", get(render))).await
}
