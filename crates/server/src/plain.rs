//! Calls of plain services, which are all services except model calls.

use std::net::SocketAddr;
use std::sync::Arc;

use axum::body::Body;
use axum::extract::{Request, State};
use axum::response::Response;
use bv_config::{Identity, Inventory, Route};
use bv_ledger::{IdentityRule, Reply, ResentCall, row_key};
use bv_retry::Outcome;
use bv_types::{Refusal, RetryReason, Tokens};
use bytes::Bytes;
use hyper::StatusCode;
use hyper::http::request::Parts;
use smol_str::SmolStr;

use crate::backend::CallError;
use crate::callers::PeerAddr;
use crate::device::{device_of, team_of};
use crate::error_response::OUTCOME_HEADER;
use crate::open_calls::OutboundCall;
use crate::servers::Criteria;
use crate::{Host, body, counters, dispatch, error_response, limits, open_calls};

const FORWARDED_FOR: &str = "x-forwarded-for";

/// Why a call has no answer of a backend server.
enum Failure {
    NotRun(Refusal),
    Unknown(&'static str),
}

impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Self {
        Failure::NotRun(refusal)
    }
}

/// Answers a call of a plain service.
pub(crate) async fn call(State(host): State<Arc<Host>>, req: Request) -> Response {
    match route_call(host, req).await {
        Ok(mut response) => {
            // Only the entry host itself sets this header; see `error_response`.
            response.headers_mut().remove(OUTCOME_HEADER);
            response
        }
        Err(Failure::NotRun(refusal)) => error_response::not_run(refusal),
        Err(Failure::Unknown(reason)) => error_response::unknown(reason),
    }
}

async fn route_call(host: Arc<Host>, req: Request) -> Result<Response, Failure> {
    let current = host.conf.current().ok_or(Refusal::NotConfigured)?;
    let inventory = current.inventory;
    let (mut parts, body) = req.into_parts();
    let device = device_of(&inventory, &parts);
    if let Some(PeerAddr(addr)) = parts.extensions.remove::<PeerAddr>() {
        append_forwarded_for(&mut parts, addr);
    }
    let route = inventory
        .route(parts.method.as_str(), parts.uri.path())
        .ok_or(Refusal::NoRoute)?;
    let body = body::read(body).await?;
    let _permit = match team_of(&inventory, &device) {
        Some(team) => Some(limits::admit(&host, team, Tokens(0)).await?),
        None => None,
    };
    if route.idempotent {
        let run = run_idempotent(&host, &inventory, route, &parts, body);
        return tokio::time::timeout(route.deadline.duration(), run)
            .await
            .unwrap_or(Err(Failure::Unknown("deadline")));
    }
    let key = key_of(route, &device, &parts, &body)?;
    let outbound = OutboundCall {
        service: route.service.clone(),
        deadline: host.clock.now() + route.deadline,
        resend_window: route.resend_window,
        inventory: inventory.clone(),
        parts,
        body,
    };
    match open_calls::submit(&host, key, outbound).await {
        Some(Reply::Answer(stored)) => {
            dispatch::from_stored(stored).ok_or(Failure::Unknown("answer_malformed"))
        }
        Some(Reply::NotRun { refusal }) => Err(Failure::NotRun(refusal)),
        Some(Reply::Unknown { reason }) => Err(Failure::Unknown(reason.code())),
        None => Err(Failure::Unknown("no_reply")),
    }
}

/// Key of the row of a non-idempotent call.
fn key_of(route: &Route, device: &str, parts: &Parts, body: &Bytes) -> Result<SmolStr, Refusal> {
    let mut header = None;
    let mut json = None;
    let rule = match &route.identity {
        Identity::Header(name) => {
            header = parts.headers.get(name.as_str()).map(|v| v.as_bytes());
            IdentityRule::Header(name)
        }
        Identity::Json(path) => {
            json = match body::parse_json(body) {
                Ok(value) => Some(value),
                Err(Refusal::NestedTooDeeply) => return Err(Refusal::NestedTooDeeply),
                // The backend server decides whether the body is valid; the call is identified by
                // its digest.
                Err(_) => None,
            };
            IdentityRule::Json(path)
        }
        Identity::Digest => IdentityRule::Digest,
    };
    let call = ResentCall {
        route: route.id.as_str(),
        device,
        method: parts.method.as_str(),
        path: parts.uri.path_and_query().map_or("/", |p| p.as_str()),
        header,
        json: json.as_ref(),
        body,
    };
    Ok(row_key(&route.service, rule, call))
}

/// Appends the caller's address to `x-forwarded-for`, as the load balancer does.
fn append_forwarded_for(parts: &mut Parts, addr: SocketAddr) {
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

/// Runs a call that may run more than once, with retries at other servers.
async fn run_idempotent(
    host: &Arc<Host>,
    inventory: &Inventory,
    route: &Route,
    parts: &Parts,
    body: Bytes,
) -> Result<Response, Failure> {
    let service = &route.service;
    host.servers.first_attempt(host.clock.now(), service);
    let mut tried = Vec::new();
    // Answer to the caller if there is no further attempt.
    let mut last = Err(Failure::NotRun(Refusal::NoBackend));
    loop {
        let criteria = Criteria {
            inventory,
            service,
            zone: &host.settings.zone,
            tried: &tried,
        };
        let Some(server) = host.servers.choose(host.clock.now(), criteria) else {
            return last;
        };
        let client = &host.open_calls.client;
        let result = client.forward(server.addr, parts, body.clone()).await;
        let now = host.clock.now();
        let reason = match result {
            Ok(answer) if is_retried(answer.status()) => {
                server.record(now, Outcome::Failed);
                last = Ok(answer.map(Body::from));
                RetryReason::ServerError
            }
            Ok(answer) => {
                server.record(now, dispatch::outcome_of(answer.status()));
                return Ok(answer.map(Body::from));
            }
            Err(CallError::ConnectFailed { .. }) => {
                server.record(now, Outcome::ConnectFailed);
                if matches!(last, Err(Failure::NotRun(_))) {
                    last = Err(Failure::NotRun(Refusal::ConnectRefused));
                }
                RetryReason::ConnectRefused
            }
            Err(_) => {
                server.record(now, Outcome::Failed);
                last = Err(Failure::Unknown("connection_lost"));
                RetryReason::ConnectionLost
            }
        };
        tried.push(server.id.clone());
        drop(server);
        let retry = tried.len() as u32 - 1;
        let Some(delay) = host.servers.take_retry(now, service, retry) else {
            return last.map_err(|failure| match failure {
                Failure::NotRun(_) => Failure::NotRun(Refusal::RetryBudget),
                unknown => unknown,
            });
        };
        counters::retried(reason);
        tokio::time::sleep(delay.duration()).await;
    }
}

/// Whether another server may succeed after this status of a server or of a proxy in front of it.
fn is_retried(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::BAD_GATEWAY | StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
    )
}
