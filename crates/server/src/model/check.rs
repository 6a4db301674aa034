//! Checks of a model call before any work is done for it.

use std::error::Error;
use std::sync::Arc;
use std::time::Duration;

use axum::body::{Body, Bytes};
use axum::extract::Request;
use bv_config::{Inventory, Model};
use bv_place::prefix_key;
use bv_types::{Fingerprint, Millis, Refusal, Tokens};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Version};
use serde_json::{Value, json};
use smol_str::{SmolStr, ToSmolStr};

use crate::Host;
use crate::callers::PeerAddr;
use crate::plain::MAX_BODY_BYTES;

/// Time to read the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Deepest nesting of the JSON body.
const MAX_NESTING: u32 = 64;
/// Bytes of JSON in one token of a prompt, on average over the workloads.
const BYTES_PER_TOKEN: u64 = 4;

/// A checked model call.
#[derive(Debug)]
pub(super) struct Call {
    pub inventory: Arc<Inventory>,
    pub model: Model,
    pub body: Value,
    /// Whether the caller wants events.
    pub streamed: bool,
    /// Whether events are sent only when all are there.
    pub buffered: bool,
    pub team: SmolStr,
    pub prompt: Tokens,
    pub max_output: Tokens,
    pub prefix: u64,
    pub fingerprint: Fingerprint,
    pub arrived: Millis,
}

/// Reads and checks a model call.
///
/// # Errors
/// Returns the reason of the refusal.
pub(super) async fn read(host: &Host, req: Request) -> Result<Call, Refusal> {
    let current = host.conf.current().ok_or(Refusal::NotConfigured)?;
    let inventory = current.inventory;
    let (parts, body) = req.into_parts();
    let raw = read_body(body).await?;
    let arrived = host.clock.now();
    check_nesting(&raw)?;
    let mut body: Value = serde_json::from_slice(&raw).map_err(|_| Refusal::BadRequest)?;
    if !body.is_object() || !body["messages"].is_array() {
        return Err(Refusal::BadRequest);
    }
    let name = body["model"].as_str().ok_or(Refusal::BadRequest)?;
    let model = inventory.model(name).ok_or(Refusal::UnknownModel)?.clone();
    let max_output = max_output(&body, &model);
    // The engine must not generate more than is reserved.
    body["max_tokens"] = json!(max_output.0);
    let messages = body["messages"].to_string();
    let streamed = body["stream"].as_bool().unwrap_or(false);
    Ok(Call {
        team: team(&inventory, &parts),
        streamed,
        buffered: streamed && parts.version == Version::HTTP_10,
        prompt: Tokens((messages.len() as u64 / BYTES_PER_TOKEN).max(1)),
        max_output,
        prefix: prefix_key(messages.as_bytes()),
        fingerprint: Fingerprint::digest([model.id.as_str().as_bytes(), &raw[..]]),
        inventory,
        model,
        body,
        arrived,
    })
}

async fn read_body(body: Body) -> Result<Bytes, Refusal> {
    let read = Limited::new(body, MAX_BODY_BYTES).collect();
    match tokio::time::timeout(BODY_TIMEOUT, read).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(err)) if is_too_long(&*err) => Err(Refusal::BodyTooLarge),
        Ok(Err(_)) => Err(Refusal::BadRequest),
        Err(_) => Err(Refusal::ReadTimeout),
    }
}

fn is_too_long(err: &(dyn Error + 'static)) -> bool {
    let mut next = Some(err);
    while let Some(err) = next {
        if err.is::<LengthLimitError>() {
            return true;
        }
        next = err.source();
    }
    false
}

/// Refuses deep nesting before a parser recurses into it.
fn check_nesting(json: &[u8]) -> Result<(), Refusal> {
    let mut depth = 0_u32;
    let mut in_text = false;
    let mut escaped = false;
    for byte in json {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if in_text => escaped = true,
            b'"' => in_text = !in_text,
            b'[' | b'{' if !in_text => depth += 1,
            b']' | b'}' if !in_text => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > MAX_NESTING {
            return Err(Refusal::NestedTooDeeply);
        }
    }
    Ok(())
}

fn max_output(body: &Value, model: &Model) -> Tokens {
    let asked = body["max_completion_tokens"]
        .as_u64()
        .or_else(|| body["max_tokens"].as_u64());
    Tokens(asked.unwrap_or(model.max_output.0).max(1))
}

/// Team of the device, or its address, so that callers without a team are told apart.
fn team(inventory: &Inventory, parts: &Parts) -> SmolStr {
    let device = inventory
        .device_header
        .as_ref()
        .and_then(|name| device(&parts.headers, name))
        .or_else(|| {
            let peer = parts.extensions.get::<PeerAddr>()?;
            Some(peer.0.ip().to_smolstr())
        })
        .unwrap_or_default();
    match inventory.device(&device) {
        Some(device) => device.team.as_str().into(),
        None => device,
    }
}

/// The last address of the header, which the balancer has added itself.
fn device(headers: &HeaderMap, name: &str) -> Option<SmolStr> {
    let value = headers.get_all(name).iter().next_back()?.to_str().ok()?;
    value.rsplit(',').next().map(|last| last.trim().into())
}
