//! The configuration: `GET /v1/config` and `PUT /v1/config`.

use std::sync::Arc;

use axum::Json;
use axum::body::Bytes;
use axum::extract::State;
use bv_config::{Inventory, Outcome};
use bv_types::Version;
use serde::Deserialize;
use serde_json::{Value, json};
use smol_str::SmolStr;

use super::error::OperatorError;
use crate::Host;
use crate::conf::{ConfigRow, EARLIER_CHANGES_BYTES, MAX_ROW_BYTES};

const MAX_CHANGE_LEN: usize = 64;

/// Body of `PUT /v1/config`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Change {
    /// Version that the change replaces; 0 for none.
    expected: u64,
    /// Id of the change; the same when the request is repeated.
    change: SmolStr,
    /// New document in TOML.
    document: String,
}

pub(super) async fn show(State(host): State<Arc<Host>>) -> Result<Json<Value>, OperatorError> {
    let current = host.conf.current().ok_or(OperatorError::NoConfiguration)?;
    Ok(Json(json!({
        "version": current.version.0,
        "now_ms": host.clock.now().0,
        "change": current.row.change,
        "document": current.row.document,
    })))
}

pub(super) async fn apply(
    State(host): State<Arc<Host>>,
    body: Bytes,
) -> Result<Json<Value>, OperatorError> {
    let request: Change =
        serde_json::from_slice(&body).map_err(|err| OperatorError::BadRequest(err.to_string()))?;
    check_change_id(&request.change)?;
    Inventory::parse(&request.document).map_err(OperatorError::Document)?;
    check_size(&request)?;
    let change = request.change.clone();
    let expected = Version(request.expected);
    // A task of its own, so that an operator that disconnects does not stop the change halfway.
    let applying = tokio::spawn(async move {
        let text = request.document.into();
        host.conf.apply(request.change, expected, text).await
    });
    match applying.await.unwrap_or(Outcome::Unknown) {
        Outcome::Accepted(version) => Ok(Json(json!({
            "version": version.0,
            "change": change,
        }))),
        Outcome::Conflict(current) => Err(OperatorError::Conflict(current)),
        Outcome::NotWritten(reason) => Err(OperatorError::NotWritten(reason)),
        Outcome::Unknown => Err(OperatorError::Unknown {
            change: change.into(),
        }),
    }
}

fn check_change_id(change: &str) -> Result<(), OperatorError> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_');
    if change.is_empty() || change.len() > MAX_CHANGE_LEN || !change.chars().all(allowed) {
        let message = "a change id has 1 to 64 letters, digits, '-' or '_'";
        return Err(OperatorError::BadRequest(message.to_owned()));
    }
    Ok(())
}

fn check_size(request: &Change) -> Result<(), OperatorError> {
    let row = ConfigRow {
        change: request.change.to_string(),
        document: request.document.clone(),
        earlier: Vec::new(),
    };
    let bytes = serde_json::to_string(&row).map_or(0, |text| text.len()) + EARLIER_CHANGES_BYTES;
    match bytes > MAX_ROW_BYTES {
        true => Err(OperatorError::DocumentTooLarge {
            bytes,
            limit: MAX_ROW_BYTES,
        }),
        false => Ok(()),
    }
}
