//! Bodies of callers' requests: size, time and nesting limits.

use std::error::Error;
use std::time::Duration;

use axum::body::{Body, to_bytes};
use bv_types::Refusal;
use bytes::Bytes;
use http_body_util::LengthLimitError;
use serde_json::Value;

/// Largest body of a request, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 4 << 20;
/// Time to read the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Deepest nesting of arrays and objects in a JSON body.
const MAX_NESTING: usize = 64;

/// Reads the whole body of a request.
///
/// # Errors
/// Refuses a body that is too large, too slow or cut short.
pub(crate) async fn read(body: Body) -> Result<Bytes, Refusal> {
    let read = to_bytes(body, MAX_BODY_BYTES);
    match tokio::time::timeout(BODY_TIMEOUT, read).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(err)) if is_too_large(&err) => Err(Refusal::BodyTooLarge),
        Ok(Err(_)) => Err(Refusal::BadRequest),
        Err(_) => Err(Refusal::ReadTimeout),
    }
}

fn is_too_large(err: &axum::Error) -> bool {
    let mut source = err.source();
    while let Some(err) = source {
        if err.is::<LengthLimitError>() {
            return true;
        }
        source = err.source();
    }
    false
}

/// Parses a JSON body.
///
/// # Errors
/// Refuses a body that is nested too deeply or is not JSON.
pub(crate) fn parse_json(body: &[u8]) -> Result<Value, Refusal> {
    if nesting(body) > MAX_NESTING {
        return Err(Refusal::NestedTooDeeply);
    }
    serde_json::from_slice(body).map_err(|_| Refusal::BadRequest)
}

/// Deepest nesting of brackets outside strings.
fn nesting(body: &[u8]) -> usize {
    let mut depth = 0_usize;
    let mut deepest = 0;
    let mut in_string = false;
    let mut escaped = false;
    for byte in body {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if in_string => escaped = true,
            b'"' => in_string = !in_string,
            b'[' | b'{' if !in_string => {
                depth += 1;
                deepest = deepest.max(depth);
            }
            b']' | b'}' if !in_string => depth = depth.saturating_sub(1),
            _ => {}
        }
    }
    deepest
}
