//! Answers that the entry host itself gives to callers.

use axum::body::Body;
use axum::response::Response;
use bv_types::Refusal;
use hyper::{StatusCode, header};
use serde_json::json;

use crate::counters;

/// Header that names the outcome of a call without an answer.
pub(crate) const OUTCOME_HEADER: &str = "x-burdockvale-outcome";
const NOT_RUN: &str = "not-run";
const UNKNOWN: &str = "unknown";
/// Seconds after which a refused caller may retry.
const RETRY_AFTER_S: &str = "1";

/// Answers that the request did not run and will not run.
pub(crate) fn not_run(refusal: Refusal) -> Response {
    counters::refused(refusal);
    let mut answer = error(status_of(refusal), NOT_RUN, "not_run", refusal.code());
    if answer.status() == StatusCode::SERVICE_UNAVAILABLE {
        let headers = answer.headers_mut();
        headers.insert(
            header::RETRY_AFTER,
            header::HeaderValue::from_static(RETRY_AFTER_S),
        );
    }
    answer
}

/// Answers that the request may have run.
pub(crate) fn unknown(reason: &'static str) -> Response {
    counters::outcome_unknown(reason);
    error(
        StatusCode::GATEWAY_TIMEOUT,
        UNKNOWN,
        "outcome_unknown",
        reason,
    )
}

fn error(status: StatusCode, outcome: &'static str, code: &str, reason: &str) -> Response {
    let body = json!({"error": {"code": code, "reason": reason}}).to_string();
    let mut answer = Response::new(Body::from(body));
    *answer.status_mut() = status;
    let headers = answer.headers_mut();
    headers.insert(OUTCOME_HEADER, header::HeaderValue::from_static(outcome));
    headers.insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/json"),
    );
    answer
}

fn status_of(refusal: Refusal) -> StatusCode {
    match refusal {
        Refusal::NoRoute | Refusal::UnknownModel => StatusCode::NOT_FOUND,
        Refusal::BadRequest | Refusal::NestedTooDeeply => StatusCode::BAD_REQUEST,
        Refusal::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        Refusal::BodyTooLarge | Refusal::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Refusal::ReadTimeout => StatusCode::REQUEST_TIMEOUT,
        Refusal::TeamRate | Refusal::TeamTokens => StatusCode::TOO_MANY_REQUESTS,
        Refusal::CrashesEngines => StatusCode::UNPROCESSABLE_ENTITY,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}
