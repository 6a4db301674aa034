//! Operators' listener: health, metrics, status, configuration and draining.

mod config;
mod drain;
mod error;
mod listener;
mod status;

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::extract::{DefaultBodyLimit, Request, State};
use axum::http::{StatusCode, header};
use axum::middleware::{self, Next};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use bv_config::Readiness;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::TcpListener;
use tower_http::limit::RequestBodyLimitLayer;
use tower_http::timeout::TimeoutLayer;

use crate::{Host, counters};

/// Largest body of an operator's request, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Time for an operator's request; above the 10 s after which an undecided change is answered.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);

/// Serves the operators' listener until the process ends.
pub(crate) async fn serve(host: Arc<Host>, listener: TcpListener, metrics: PrometheusHandle) {
    listener::serve(listener, router(host, metrics)).await;
}

fn router(host: Arc<Host>, metrics: PrometheusHandle) -> Router {
    let authenticated = Router::new()
        .route(
            "/metrics",
            get(move || std::future::ready(metrics.render())),
        )
        .route("/v1/config", get(config::show).put(config::apply))
        .route("/v1/status", get(status::show))
        .route("/v1/drain", post(drain::mark))
        .layer(middleware::from_fn_with_state(host.clone(), check_key));
    Router::new()
        .route("/healthz", get(|| std::future::ready("ok\n")))
        .route("/readyz", get(ready))
        .merge(authenticated)
        .layer(DefaultBodyLimit::disable())
        .layer(RequestBodyLimitLayer::new(MAX_BODY_BYTES))
        .layer(TimeoutLayer::with_status_code(
            StatusCode::REQUEST_TIMEOUT,
            REQUEST_TIMEOUT,
        ))
        .with_state(host)
}

async fn check_key(State(host): State<Arc<Host>>, req: Request, next: Next) -> Response {
    let given = req
        .headers()
        .get(header::AUTHORIZATION)
        .and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
    match given {
        Some(key) if host.settings.operator_key.matches(key) => next.run(req).await,
        _ => {
            counters::operator_refused();
            let challenge = [(header::WWW_AUTHENTICATE, "Bearer")];
            (StatusCode::UNAUTHORIZED, challenge).into_response()
        }
    }
}

/// Why the host should receive no work.
fn not_ready(host: &Host) -> Option<&'static str> {
    if host.shutdown.lame_duck.is_cancelled() {
        return Some("shutting down");
    }
    match host.conf.readiness() {
        Readiness::Ready => None,
        Readiness::NoConfiguration => Some("no configuration"),
        Readiness::StaleAlone => Some("configuration not confirmed and no peer in sight"),
    }
}

async fn ready(State(host): State<Arc<Host>>) -> Response {
    match not_ready(&host) {
        Some(reason) => (StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n")).into_response(),
        None => "ready\n".into_response(),
    }
}
