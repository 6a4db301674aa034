//! Sends a non-idempotent call, claimed in the ledger, to a backend server.

use std::sync::Arc;

use axum::body::Body;
use axum::response::Response;
use bv_ledger::{Answer, CallId, Event};
use bv_retry::Outcome;
use bv_types::{Millis, Refusal, RetryReason};
use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, StatusCode};
use tracing::debug;

use crate::backend::CallError;
use crate::servers::Criteria;
use crate::{Host, counters, open_calls};

/// Time after the caller's deadline for which the backend server's answer is still awaited, so that
/// the ledger can record the outcome.
const RUN_GRACE: Millis = Millis::from_secs(60);

/// Sends a call if the ledger allows it, and reports the result to the ledger.
pub(crate) async fn send(host: Arc<Host>, call: CallId, attempt: u32) {
    let Some((outbound, tried)) = host.open_calls.outbound_call(call) else {
        return;
    };
    let criteria = Criteria {
        inventory: &outbound.inventory,
        service: &outbound.service,
        zone: &host.settings.zone,
        tried: &tried,
    };
    if tried.is_empty() {
        host.servers
            .first_attempt(host.clock.now(), &outbound.service);
    }
    let Some(server) = host.servers.choose(host.clock.now(), criteria) else {
        let refusal = match tried.is_empty() {
            true => Refusal::NoBackend,
            false => Refusal::ConnectRefused,
        };
        return refused(&host, call, false, refusal);
    };
    if !host.open_calls.start(host.clock.now(), call, attempt) {
        // The call must no longer be sent; the tick lets the ledger refuse it.
        return open_calls::handle(&host, Event::Tick);
    }
    let limit = (outbound.deadline + RUN_GRACE) - host.clock.now();
    let exchange =
        host.open_calls
            .client
            .forward(server.addr, &outbound.parts, outbound.body.clone());
    let result = tokio::time::timeout(limit.duration(), exchange).await;
    let now = host.clock.now();
    match result {
        Ok(Ok(answer)) => {
            server.record(now, outcome_of(answer.status()));
            let answer = to_stored(answer);
            open_calls::handle(&host, Event::Answered { call, answer });
        }
        Ok(Err(err @ CallError::ConnectFailed { .. })) => {
            debug!(%err, "ledger: the connection could not be opened; the call was not sent");
            server.record(now, Outcome::ConnectFailed);
            counters::retried(RetryReason::ConnectRefused);
            host.open_calls.add_tried(call, server.id.clone());
            refused(&host, call, true, Refusal::ConnectRefused);
        }
        Ok(Err(err)) => {
            debug!(%err, "ledger: the call failed; its outcome is unknown");
            server.record(now, Outcome::Failed);
            open_calls::handle(&host, Event::DispatchFailed { call });
        }
        Err(_) => {
            server.record(now, Outcome::Failed);
            open_calls::handle(&host, Event::DispatchFailed { call });
        }
    }
}

fn refused(host: &Arc<Host>, call: CallId, retry: bool, refusal: Refusal) {
    open_calls::handle(
        host,
        Event::DispatchRefused {
            call,
            retry,
            refusal,
        },
    );
}

/// Outcome for the health of a server, by the status of its answer.
pub(crate) fn outcome_of(status: StatusCode) -> Outcome {
    match status.is_server_error() {
        true => Outcome::Failed,
        false => Outcome::Success,
    }
}

fn to_stored(answer: Response<Bytes>) -> Answer {
    let (parts, body) = answer.into_parts();
    // Latin-1, so that every header value can be stored as text.
    let text = |value: &HeaderValue| value.as_bytes().iter().map(|b| char::from(*b)).collect();
    Answer {
        status: parts.status.as_u16(),
        headers: parts
            .headers
            .iter()
            .map(|(name, value)| (name.as_str().to_owned(), text(value)))
            .collect(),
        body: Vec::from(body),
    }
}

/// The answer as it is sent to the caller; none if a stored answer is malformed.
pub(crate) fn from_stored(answer: Answer) -> Option<Response> {
    let mut headers = HeaderMap::new();
    for (name, value) in &answer.headers {
        let bytes: Vec<u8> = value
            .chars()
            .map(|c| u8::try_from(c).ok())
            .collect::<Option<_>>()?;
        headers.append(
            HeaderName::from_bytes(name.as_bytes()).ok()?,
            HeaderValue::from_bytes(&bytes).ok()?,
        );
    }
    let mut response = Response::new(Body::from(answer.body));
    *response.status_mut() = StatusCode::from_u16(answer.status).ok()?;
    *response.headers_mut() = headers;
    Some(response)
}
