//! Operators' listener: health, metrics, status and configuration.

use std::sync::Arc;

use axum::Router;
use axum::extract::{Request, State};
use axum::http::{StatusCode, header};
use axum::middleware::{self, Next};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use metrics_exporter_prometheus::PrometheusHandle;
use serde_json::json;
use tokio::net::TcpListener;
use tracing::warn;

use crate::{Host, peers};

/// Serves the operators' listener until the process ends.
pub(crate) async fn serve(host: Arc<Host>, listener: TcpListener, metrics: PrometheusHandle) {
    let keyed = Router::new()
        .route(
            "/metrics",
            get(move || std::future::ready(metrics.render())),
        )
        .route("/v1/config", get(show_config))
        .route("/v1/members", get(peers::show))
        .layer(middleware::from_fn_with_state(host.clone(), check_key));
    let router = Router::new()
        .route("/healthz", get(|| std::future::ready("ok\n")))
        .route("/readyz", get(ready))
        .merge(keyed)
        .with_state(host);
    if let Err(err) = axum::serve(listener, router).await {
        warn!(%err, "operate: the listener failed");
    }
}

async fn check_key(State(host): State<Arc<Host>>, req: Request, next: Next) -> Response {
    let given = req
        .headers()
        .get(header::AUTHORIZATION)
        .and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
    match given {
        Some(key) if host.settings.operator_key.matches(key) => next.run(req).await,
        _ => StatusCode::UNAUTHORIZED.into_response(),
    }
}

async fn ready(State(host): State<Arc<Host>>) -> Response {
    if host.shutdown.lame_duck.is_cancelled() {
        return (StatusCode::SERVICE_UNAVAILABLE, "shutting down\n").into_response();
    }
    if host.conf.current().is_none() {
        return (StatusCode::SERVICE_UNAVAILABLE, "no configuration\n").into_response();
    }
    "ready\n".into_response()
}

async fn show_config(State(host): State<Arc<Host>>) -> Response {
    let Some(current) = host.conf.current() else {
        return StatusCode::NOT_FOUND.into_response();
    };
    let body = json!({
        "version": current.version.0,
        "now_ms": host.clock.now().0,
        "change": current.row.change,
        "document": current.row.document,
    });
    axum::Json(body).into_response()
}
