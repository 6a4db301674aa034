//! Errors that operators receive as JSON.

use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use bv_config::{ConfigError, NotWritten};
use bv_types::Version;
use serde_json::{Value, json};

/// An operator's request that was not carried out.
#[derive(Debug)]
pub(super) enum OperatorError {
    /// The request is malformed.
    BadRequest(String),
    /// The document is not valid.
    Document(Box<ConfigError>),
    /// The document does not fit into the table's row.
    DocumentTooLarge { bytes: usize, limit: usize },
    /// Another version is current.
    Conflict(Version),
    /// Nothing was written.
    NotWritten(NotWritten),
    /// The change may be in force.
    Unknown { change: String },
    /// There is no configuration.
    NoConfiguration,
    /// The backend server is not in the inventory.
    UnknownBackend(String),
}

impl OperatorError {
    fn status(&self) -> StatusCode {
        match self {
            OperatorError::BadRequest(_) => StatusCode::BAD_REQUEST,
            OperatorError::Document(_) => StatusCode::UNPROCESSABLE_ENTITY,
            OperatorError::DocumentTooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            OperatorError::Conflict(_) => StatusCode::CONFLICT,
            OperatorError::NotWritten(_) => StatusCode::SERVICE_UNAVAILABLE,
            OperatorError::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
            OperatorError::NoConfiguration | OperatorError::UnknownBackend(_) => {
                StatusCode::NOT_FOUND
            }
        }
    }

    fn body(&self) -> Value {
        match self {
            OperatorError::BadRequest(message) => {
                json!({"code": "bad_request", "message": message})
            }
            OperatorError::Document(err) => document(err),
            OperatorError::DocumentTooLarge { bytes, limit } => json!({
                "code": "document_too_large",
                "message": format!("the row has {bytes} bytes; allowed are {limit}"),
            }),
            OperatorError::Conflict(current) => json!({
                "code": "conflict",
                "message": format!("version {current} is current"),
                "current": current.0,
            }),
            OperatorError::NotWritten(NotWritten::Starting) => json!({
                "code": "not_written",
                "message": "the entry host is starting",
            }),
            OperatorError::NotWritten(NotWritten::StoreUnavailable) => json!({
                "code": "not_written",
                "message": "the table service does not answer",
            }),
            OperatorError::Unknown { change } => json!({
                "code": "outcome_unknown",
                "message": "the table service did not confirm the change; ask again with the same change id",
                "change": change,
            }),
            OperatorError::NoConfiguration => json!({
                "code": "no_configuration",
                "message": "no configuration is in force at this entry host",
            }),
            OperatorError::UnknownBackend(id) => json!({
                "code": "unknown_backend",
                "message": format!("{id} is not in the inventory"),
            }),
        }
    }
}

fn document(err: &ConfigError) -> Value {
    let (line, column) = err.position();
    json!({
        "code": "invalid_document",
        "message": err.to_string(),
        "line": line,
        "column": column,
        "help": err.advice(),
    })
}

impl IntoResponse for OperatorError {
    fn into_response(self) -> Response {
        let body = json!({"error": self.body()});
        (self.status(), axum::Json(body)).into_response()
    }
}
