//! Leaving marks set by operators: `POST /v1/drain`.

use std::sync::Arc;

use axum::Json;
use axum::body::Bytes;
use axum::extract::State;
use bv_types::BackendId;
use serde::Deserialize;
use serde_json::{Value, json};

use super::error::OperatorError;
use crate::Host;

/// Body of `POST /v1/drain`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Drain {
    backend: BackendId,
}

pub(super) async fn mark(
    State(host): State<Arc<Host>>,
    body: Bytes,
) -> Result<Json<Value>, OperatorError> {
    let request: Drain =
        serde_json::from_slice(&body).map_err(|err| OperatorError::BadRequest(err.to_string()))?;
    let current = host.conf.current().ok_or(OperatorError::NoConfiguration)?;
    let inventory = &current.inventory;
    let known = inventory.runner(&request.backend).is_some()
        || inventory.servers.iter().any(|s| s.id == request.backend);
    if !known {
        return Err(OperatorError::UnknownBackend(request.backend.to_string()));
    }
    let new = host.mark_current_leaving(&request.backend);
    Ok(Json(json!({"backend": request.backend, "new": new})))
}
