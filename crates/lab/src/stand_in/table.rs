//! Table service with DynamoDB's JSON protocol: `GetItem` and `TransactWriteItems`.

use std::sync::{Arc, Mutex};

use axum::Json;
use axum::body::Bytes;
use axum::extract::State;
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use serde_json::{Value, json};
use tokio::net::TcpListener;

/// Rows in memory.
#[derive(Debug, Default)]
pub struct TableService {
    /// Items by key, sorted by key.
    rows: Mutex<Vec<(String, Value)>>,
}

impl TableService {
    /// Serves calls until the runtime ends.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        let router = axum::Router::new().route("/", post(call)).with_state(self);
        let _ = axum::serve(listener, router).await;
    }

    /// Sets a row without a condition.
    pub fn put(&self, key: &str, version: u64, body: &str) {
        let item = json!({"k": {"S": key}, "ver": {"N": version.to_string()}, "body": {"S": body}});
        store(&mut self.lock(), item);
    }

    /// Version and body of a row.
    pub fn row(&self, key: &str) -> Option<(u64, String)> {
        let rows = self.lock();
        let item = find(&rows, key)?;
        let version = item["ver"]["N"].as_str()?.parse().ok()?;
        Some((version, item["body"]["S"].as_str()?.to_owned()))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<(String, Value)>> {
        self.rows.lock().unwrap_or_else(|err| err.into_inner())
    }

    fn get(&self, call: &Value) -> Response {
        let key = call["Key"]["k"]["S"].as_str().unwrap_or_default();
        match find(&self.lock(), key) {
            Some(item) => Json(json!({"Item": item})).into_response(),
            None => Json(json!({})).into_response(),
        }
    }

    fn transact(&self, call: &Value) -> Response {
        let mut rows = self.lock();
        let none = Vec::new();
        let items = call["TransactItems"].as_array().unwrap_or(&none);
        let reasons: Vec<Value> = items
            .iter()
            .map(|item| check(&rows, &item["Put"]))
            .collect();
        if reasons.iter().any(|reason| reason["Code"] != "None") {
            let body = json!({
                "__type": "com.amazonaws.dynamodb.v20120810#TransactionCanceledException",
                "CancellationReasons": reasons,
            });
            return (StatusCode::BAD_REQUEST, Json(body)).into_response();
        }
        for item in items {
            store(&mut rows, item["Put"]["Item"].clone());
        }
        Json(json!({})).into_response()
    }
}

async fn call(State(table): State<Arc<TableService>>, headers: HeaderMap, body: Bytes) -> Response {
    let Ok(call) = serde_json::from_slice::<Value>(&body) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let target = headers
        .get("x-amz-target")
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    match target {
        "DynamoDB_20120810.GetItem" => table.get(&call),
        "DynamoDB_20120810.TransactWriteItems" => table.transact(&call),
        _ => StatusCode::BAD_REQUEST.into_response(),
    }
}

fn find<'a>(rows: &'a [(String, Value)], key: &str) -> Option<&'a Value> {
    rows.binary_search_by(|(known, _)| known.as_str().cmp(key))
        .ok()
        .map(|index| &rows[index].1)
}

fn store(rows: &mut Vec<(String, Value)>, item: Value) {
    let key = item["k"]["S"].as_str().unwrap_or_default().to_owned();
    match rows.binary_search_by(|(known, _)| known.cmp(&key)) {
        Ok(index) => rows[index].1 = item,
        Err(index) => rows.insert(index, (key, item)),
    }
}

fn check(rows: &[(String, Value)], put: &Value) -> Value {
    let key = put["Item"]["k"]["S"].as_str().unwrap_or_default();
    let current = find(rows, key);
    let holds = match put["ConditionExpression"].as_str() {
        Some("attribute_not_exists(k)") => current.is_none(),
        Some("ver = :expected") => current.is_some_and(|item| {
            item["ver"]["N"] == put["ExpressionAttributeValues"][":expected"]["N"]
        }),
        _ => true,
    };
    match (holds, current) {
        (true, _) => json!({"Code": "None"}),
        (false, Some(item)) => json!({"Code": "ConditionalCheckFailed", "Item": item}),
        (false, None) => json!({"Code": "ConditionalCheckFailed"}),
    }
}
