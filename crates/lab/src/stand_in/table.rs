//! Table service stand-in with DynamoDB's JSON protocol: `GetItem` and `TransactWriteItems`.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use axum::Json;
use axum::body::Bytes;
use axum::extract::State;
use axum::http::{HeaderMap, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use serde_json::{Value, json};
use tokio::net::TcpListener;

use super::{FaultRates, Gate};

/// Largest number of actions in a transaction, as in the published protocol.
const MAX_ACTIONS: usize = 100;
/// Additional time of a slow call, in ms; part of the range exceeds the client's timeout of 1 s.
const SLOW_MS: std::ops::Range<u64> = 200..1_500;
/// Time for which a lost answer is withheld; longer than the timeout of any client.
const LOST_ANSWER_DELAY: Duration = Duration::from_secs(5);
const ERROR_PREFIX: &str = "com.amazonaws.dynamodb.v20120810#";

/// Faults of the table service; each affects a configured share of the calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreFault {
    /// A call takes 0.2 to 1.5 s longer, before or after it takes effect.
    Slow,
    /// A write takes effect and its answer is lost.
    LoseAnswer,
    /// A call fails with status 503 and takes no effect.
    Unavailable,
}

const FAULT_COUNT: usize = 3;

/// Reads and written rows in one second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoreRates {
    /// Reads.
    pub reads: u64,
    /// Written rows.
    pub writes: u64,
}

/// Table service that keeps its rows in memory.
#[derive(Debug, Default)]
pub struct TableService {
    /// Items by key, sorted by key.
    rows: Mutex<Vec<(String, Value)>>,
    /// Bearer key that callers must send, if any.
    key: Option<String>,
    gate: Arc<Gate>,
    faults: FaultRates<FAULT_COUNT>,
    rates: Mutex<RateMeter>,
}

#[derive(Debug, Default)]
struct RateMeter {
    second_start: Option<Instant>,
    current: StoreRates,
    busiest: StoreRates,
}

impl TableService {
    /// An empty table that checks this bearer key.
    pub fn with_key(key: &str) -> Self {
        TableService {
            key: Some(key.to_owned()),
            ..TableService::default()
        }
    }

    /// Serves calls until the runtime ends.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        let router = axum::Router::new()
            .route("/", post(call))
            .with_state(self.clone());
        self.gate.clone().serve(listener, router).await;
    }

    /// Connection gate of the service; an outage closes it and disconnects all clients.
    pub fn gate(&self) -> &Arc<Gate> {
        &self.gate
    }

    /// Sets the share of the calls that a fault affects, in thousandths; 0 disables the fault.
    pub fn set_fault(&self, fault: StoreFault, thousandths: u32) {
        self.faults.set(fault as usize, thousandths);
    }

    /// Reads and written rows in the busiest second so far.
    pub fn rates(&self) -> StoreRates {
        self.lock_rates().busiest
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

    fn lock(&self) -> MutexGuard<'_, Vec<(String, Value)>> {
        self.rows.lock().unwrap_or_else(|err| err.into_inner())
    }

    fn lock_rates(&self) -> MutexGuard<'_, RateMeter> {
        self.rates.lock().unwrap_or_else(|err| err.into_inner())
    }

    /// Whether the fault affects the current call; drawn anew at each call.
    fn fault_applies(&self, fault: StoreFault) -> bool {
        self.faults.applies(fault as usize)
    }

    fn is_authorized(&self, headers: &HeaderMap) -> bool {
        let Some(key) = &self.key else {
            return true;
        };
        let given = headers
            .get(header::AUTHORIZATION)
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.strip_prefix("Bearer "));
        given == Some(key)
    }

    fn get(&self, call: &Value) -> Response {
        self.lock_rates().add(1, 0);
        let Some(key) = call["Key"]["k"]["S"].as_str() else {
            return error(StatusCode::BAD_REQUEST, "ValidationException");
        };
        match find(&self.lock(), key) {
            Some(item) => Json(json!({"Item": item})).into_response(),
            None => Json(json!({})).into_response(),
        }
    }

    fn transact(&self, call: &Value) -> Response {
        let none = Vec::new();
        let items = call["TransactItems"].as_array().unwrap_or(&none);
        self.lock_rates().add(0, items.len() as u64);
        if items.is_empty() || items.len() > MAX_ACTIONS || !are_distinct(items) {
            return error(StatusCode::BAD_REQUEST, "ValidationException");
        }
        let mut rows = self.lock();
        let reasons: Vec<Value> = items
            .iter()
            .map(|item| check_condition(&rows, &item["Put"]))
            .collect();
        if reasons.iter().any(|reason| reason["Code"] != "None") {
            let body = json!({
                "__type": format!("{ERROR_PREFIX}TransactionCanceledException"),
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

impl RateMeter {
    fn add(&mut self, reads: u64, writes: u64) {
        let now = Instant::now();
        if self
            .second_start
            .is_none_or(|start| now - start >= Duration::from_secs(1))
        {
            self.second_start = Some(now);
            self.current = StoreRates::default();
        }
        self.current.reads += reads;
        self.current.writes += writes;
        self.busiest.reads = self.busiest.reads.max(self.current.reads);
        self.busiest.writes = self.busiest.writes.max(self.current.writes);
    }
}

async fn call(State(table): State<Arc<TableService>>, headers: HeaderMap, body: Bytes) -> Response {
    if !table.is_authorized(&headers) {
        return error(StatusCode::BAD_REQUEST, "UnrecognizedClientException");
    }
    let Ok(call) = serde_json::from_slice::<Value>(&body) else {
        return error(StatusCode::BAD_REQUEST, "SerializationException");
    };
    if table.fault_applies(StoreFault::Unavailable) {
        return error(StatusCode::SERVICE_UNAVAILABLE, "ServiceUnavailable");
    }
    let (before, after) = match table.fault_applies(StoreFault::Slow) {
        true if fastrand::bool() => (fastrand::u64(SLOW_MS), 0),
        true => (0, fastrand::u64(SLOW_MS)),
        false => (0, 0),
    };
    tokio::time::sleep(Duration::from_millis(before)).await;
    let target = headers
        .get("x-amz-target")
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    let answer = match target {
        "DynamoDB_20120810.GetItem" => table.get(&call),
        "DynamoDB_20120810.TransactWriteItems" => table.transact(&call),
        _ => return error(StatusCode::BAD_REQUEST, "UnknownOperationException"),
    };
    tokio::time::sleep(Duration::from_millis(after)).await;
    if table.fault_applies(StoreFault::LoseAnswer) {
        tokio::time::sleep(LOST_ANSWER_DELAY).await;
        return error(StatusCode::INTERNAL_SERVER_ERROR, "InternalServerError");
    }
    answer
}

fn error(status: StatusCode, kind: &str) -> Response {
    (
        status,
        Json(json!({"__type": format!("{ERROR_PREFIX}{kind}")})),
    )
        .into_response()
}

/// Whether no two actions have the same item; the published protocol refuses such transactions.
fn are_distinct(items: &[Value]) -> bool {
    let mut keys: Vec<&str> = items
        .iter()
        .filter_map(|item| item["Put"]["Item"]["k"]["S"].as_str())
        .collect();
    let count = keys.len();
    keys.sort_unstable();
    keys.dedup();
    keys.len() == count && count == items.len()
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

/// Cancellation reason of an action: `None` if its condition holds.
fn check_condition(rows: &[(String, Value)], put: &Value) -> Value {
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
