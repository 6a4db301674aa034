//! Calls of plain services.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use axum::body::{Body, to_bytes};
use axum::extract::{Request, State};
use axum::response::Response;
use bv_config::{Inventory, Route, Server};
use bv_types::{Refusal, RetryReason};
use bytes::Bytes;
use hyper::http::request::Parts;

use crate::callers::PeerAddr;
use crate::engine::{CallError, EngineClient};
use crate::{Host, answer, counters};

/// Largest body of a request, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 4 << 20;
const FORWARDED_FOR: &str = "x-forwarded-for";
static NEXT_SERVER: AtomicUsize = AtomicUsize::new(0);

/// Answers a call of a plain service.
pub(crate) async fn call(State(host): State<Arc<Host>>, req: Request) -> Response {
    let Some(current) = host.conf.current() else {
        return answer::not_run(Refusal::NotConfigured);
    };
    let (mut parts, body) = req.into_parts();
    if let Some(PeerAddr(addr)) = parts.extensions.remove::<PeerAddr>() {
        forwarded_for(&mut parts, addr);
    }
    let inventory = current.inventory;
    let Some(route) = inventory.route(parts.method.as_str(), parts.uri.path()) else {
        return answer::not_run(Refusal::NoRoute);
    };
    let Ok(body) = to_bytes(body, MAX_BODY_BYTES).await else {
        return answer::not_run(Refusal::BodyTooLarge);
    };
    if !route.idempotent {
        return answer::not_run(Refusal::StoreUnavailable);
    }
    let run = run_idempotent(&host.engines, &inventory, route, &parts, body);
    tokio::time::timeout(route.deadline.duration(), run)
        .await
        .unwrap_or_else(|_| answer::unknown("deadline"))
}

/// Appends the caller's address for the backend server, as the balancer does.
fn forwarded_for(parts: &mut Parts, addr: SocketAddr) {
    let earlier = parts
        .headers
        .get(FORWARDED_FOR)
        .and_then(|value| value.to_str().ok());
    let value = match earlier {
        Some(earlier) => format!("{earlier}, {}", addr.ip()),
        None => addr.ip().to_string(),
    };
    if let Ok(value) = value.parse() {
        parts.headers.insert(FORWARDED_FOR, value);
    }
}

async fn run_idempotent(
    client: &EngineClient,
    inventory: &Inventory,
    route: &Route,
    parts: &Parts,
    body: Bytes,
) -> Response {
    let servers: Vec<&Server> = inventory.servers_of(&route.service).collect();
    let start = NEXT_SERVER.fetch_add(1, Ordering::Relaxed);
    for offset in 0..servers.len() {
        let server = servers[(start + offset) % servers.len()];
        match client.forward(server.addr, parts, body.clone()).await {
            Ok(answer) => return answer.map(Body::from),
            Err(CallError::Refused { .. }) => counters::retried(RetryReason::ConnectRefused),
            Err(_) => counters::retried(RetryReason::ConnectionLost),
        }
    }
    answer::not_run(Refusal::NoBackend)
}
