//! Validation of a model call before it is placed.

use std::sync::Arc;

use axum::extract::Request;
use bv_config::{Inventory, Model};
use bv_place::prefix_key;
use bv_types::{Fingerprint, Millis, Refusal, Tokens};
use hyper::Version;
use serde_json::{Value, json};
use smol_str::SmolStr;

use crate::device::{device_of, team_of};
use crate::limits::{self, TeamPermit};
use crate::{Host, body};

/// Bytes of JSON per token of a prompt, as an average over the workloads.
const BYTES_PER_TOKEN: u64 = 4;

/// A checked model call.
pub(super) struct ModelCall {
    pub inventory: Arc<Inventory>,
    pub model: Model,
    pub body: Value,
    /// Whether the caller requested a stream of events.
    pub streamed: bool,
    /// Whether the stream is collected whole before it is sent.
    pub buffered: bool,
    pub team: SmolStr,
    /// Counts the call against the team's limits until the answer has ended.
    pub permit: Option<Arc<TeamPermit>>,
    pub prompt: Tokens,
    pub max_output: Tokens,
    pub prefix_key: u64,
    pub fingerprint: Fingerprint,
    pub arrived: Millis,
}

/// Reads and checks a model call.
///
/// # Errors
/// Returns the reason for which the call is refused.
pub(super) async fn parse_call(host: &Arc<Host>, req: Request) -> Result<ModelCall, Refusal> {
    let current = host.conf.current().ok_or(Refusal::NotConfigured)?;
    let inventory = current.inventory;
    let (parts, body) = req.into_parts();
    let raw = body::read(body).await?;
    let arrived = host.clock.now();
    let mut body = body::parse_json(&raw)?;
    if !body.is_object() || !body["messages"].is_array() {
        return Err(Refusal::BadRequest);
    }
    let name = body["model"].as_str().ok_or(Refusal::BadRequest)?;
    let model = inventory.model(name).ok_or(Refusal::UnknownModel)?.clone();
    let max_output = max_output(&body, &model);
    // The engine must not generate more than is reserved.
    body["max_tokens"] = json!(max_output.0);
    let messages = body["messages"].to_string();
    let prompt = Tokens((messages.len() as u64 / BYTES_PER_TOKEN).max(1));
    let device = device_of(&inventory, &parts);
    // Callers without a team are distinguished by the address of their device.
    let team = team_of(&inventory, &device).map_or(device.clone(), |team| team.id.as_str().into());
    let streamed = body["stream"].as_bool().unwrap_or(false);
    Ok(ModelCall {
        permit: admit_team(host, &inventory, &device, prompt, max_output).await?,
        team,
        streamed,
        buffered: streamed && parts.version == Version::HTTP_10,
        prompt,
        max_output,
        prefix_key: prefix_key(messages.as_bytes()),
        fingerprint: Fingerprint::digest([model.id.as_str().as_bytes(), &raw[..]]),
        inventory,
        model,
        body,
        arrived,
    })
}

fn max_output(body: &Value, model: &Model) -> Tokens {
    let requested = body["max_completion_tokens"]
        .as_u64()
        .or_else(|| body["max_tokens"].as_u64());
    Tokens(requested.unwrap_or(model.max_output.0).max(1))
}

async fn admit_team(
    host: &Arc<Host>,
    inventory: &Inventory,
    device: &str,
    prompt: Tokens,
    max_output: Tokens,
) -> Result<Option<Arc<TeamPermit>>, Refusal> {
    let Some(team) = team_of(inventory, device) else {
        return Ok(None);
    };
    let tokens = Tokens(prompt.0 + max_output.0);
    let permit = limits::admit(host, team, tokens).await?;
    Ok(Some(Arc::new(permit)))
}
