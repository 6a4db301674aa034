//! The view of the live entry hosts for operators.

use std::sync::Arc;

use axum::extract::State;
use axum::response::IntoResponse;
use axum::response::Response;
use serde_json::{Value, json};

use crate::Host;

/// Lists the live entry hosts and the backend servers with a leaving mark.
pub(crate) async fn show(State(host): State<Arc<Host>>) -> Response {
    let members: Vec<Value> = host
        .peers
        .alive()
        .into_iter()
        .map(|m| json!({"host": m.host, "incarnation": m.incarnation, "addr": m.addr}))
        .collect();
    let leaving: Vec<Value> = host
        .leaving
        .lock()
        .leaving()
        .into_iter()
        .map(|m| json!({"backend": m.backend, "incarnation": m.incarnation}))
        .collect();
    axum::Json(json!({"members": members, "leaving": leaving})).into_response()
}
