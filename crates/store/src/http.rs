//! Client of a table service that implements DynamoDB's JSON protocol over HTTP.

use std::net::{IpAddr, SocketAddr};

use bv_types::{Millis, Version};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, StatusCode, header};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};
use smol_str::{SmolStr, format_smolstr};

use crate::table::{Condition, Refused, Row, StoreError, Table, TableFuture, Transacted, Write};

const MAX_ANSWER_BYTES: usize = 64 << 20;
/// Service name and API version, the first part of the header `x-amz-target`.
const TARGET_PREFIX: &str = "DynamoDB_20120810";
/// Largest version of a row. Versions start from a time in milliseconds and grow by one, so a larger
/// one is not from this system, and it may have no successor.
const MAX_VERSION: u64 = (1 << 53) - 1;
/// Code of a cancellation reason whose condition did not hold.
const CONDITION_FAILED_CODE: &str = "ConditionalCheckFailed";

/// Address, name and access settings of the table.
#[derive(Debug, Clone)]
pub struct TableSettings {
    /// Address of the service.
    pub addr: SocketAddr,
    /// Name of the table.
    pub table: SmolStr,
    /// Key sent as the bearer token; never logged.
    pub key: String,
    /// Time limit of a call, and of opening a connection.
    pub timeout: Millis,
    /// Local address of outgoing connections; none lets the system choose.
    pub bind_ip: Option<IpAddr>,
}

/// Client of the table service.
pub struct HttpTable {
    settings: TableSettings,
    peer: SmolStr,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpTable {
    /// Creates a client; connections are opened on demand.
    pub fn new(settings: TableSettings) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_local_address(settings.bind_ip);
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(settings.timeout.duration()));
        HttpTable {
            peer: format_smolstr!("{}", settings.addr),
            client: Client::builder(TokioExecutor::new()).build(connector),
            settings,
        }
    }

    fn unavailable(&self, operation: &'static str, detail: impl ToString) -> StoreError {
        StoreError::Unavailable {
            operation,
            peer: self.peer.clone(),
            detail: detail.to_string(),
        }
    }

    fn unanswered(&self, operation: &'static str, detail: impl ToString) -> StoreError {
        StoreError::Unanswered {
            operation,
            peer: self.peer.clone(),
            detail: detail.to_string(),
        }
    }

    async fn call(
        &self,
        operation: &'static str,
        body: Value,
    ) -> Result<(StatusCode, Value), StoreError> {
        let req = Request::post(format!("http://{}/", self.settings.addr))
            .header(header::CONTENT_TYPE, "application/x-amz-json-1.0")
            .header("x-amz-target", format!("{TARGET_PREFIX}.{operation}"))
            .header(
                header::AUTHORIZATION,
                format!("Bearer {}", self.settings.key),
            )
            .body(Full::new(Bytes::from(body.to_string())))
            .map_err(|err| self.unavailable(operation, err))?;
        let call = async {
            let answer = self
                .client
                .request(req)
                .await
                .map_err(|err| match err.is_connect() {
                    true => self.unavailable(operation, err),
                    false => self.unanswered(operation, err),
                })?;
            let status = answer.status();
            let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES)
                .collect()
                .await
                .map_err(|err| self.unanswered(operation, err))?
                .to_bytes();
            let json = serde_json::from_slice(&body).unwrap_or(Value::Null);
            Ok((status, json))
        };
        tokio::time::timeout(self.settings.timeout.duration(), call)
            .await
            .unwrap_or_else(|_| Err(self.unanswered(operation, "the call timed out")))
    }

    async fn get_row(&self, key: &str) -> Result<Option<Row>, StoreError> {
        const OPERATION: &str = "GetItem";
        let body = json!({
            "TableName": self.settings.table.as_str(),
            "Key": {"k": {"S": key}},
            "ConsistentRead": true,
        });
        let (status, answer) = self.call(OPERATION, body).await?;
        if !status.is_success() {
            return Err(self.unavailable(OPERATION, format!("HTTP status {status}")));
        }
        if !answer.is_object() {
            return Err(self.unavailable(OPERATION, "the answer is not a JSON object"));
        }
        let Some(item) = answer.get("Item") else {
            return Ok(None);
        };
        match parse_row(item).filter(|row| row.key == key) {
            Some(row) => Ok(Some(row)),
            None => Err(self.unavailable(OPERATION, "the item in the answer is malformed")),
        }
    }

    async fn transact_rows(&self, writes: &[Write]) -> Result<Transacted, StoreError> {
        const OPERATION: &str = "TransactWriteItems";
        let items: Vec<Value> = writes.iter().map(|write| self.put_item(write)).collect();
        let (status, answer) = self
            .call(OPERATION, json!({"TransactItems": items}))
            .await?;
        if status.is_success() {
            return Ok(Transacted::Committed);
        }
        let exception = answer["__type"].as_str().unwrap_or_default();
        if exception.ends_with("TransactionCanceledException") {
            return parse_cancellation(&answer, writes.len()).ok_or_else(|| {
                self.unavailable(
                    OPERATION,
                    "the cancellation reasons in the answer are malformed",
                )
            });
        }
        match status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE {
            true => Err(self.unavailable(OPERATION, format!("HTTP status {status} {exception}"))),
            false => Err(self.unanswered(OPERATION, format!("HTTP status {status} {exception}"))),
        }
    }

    fn put_item(&self, write: &Write) -> Value {
        let mut item = json!({
            "k": {"S": write.row.key.as_str()},
            "ver": {"N": write.row.version.to_string()},
            "body": {"S": write.row.body},
        });
        if let Some(expires) = write.expires {
            item["ttl"] = json!({"N": (expires.0 / 1000).to_string()});
        }
        let mut put = json!({
            "TableName": self.settings.table.as_str(),
            "Item": item,
            "ReturnValuesOnConditionCheckFailure": "ALL_OLD",
        });
        match write.condition {
            Condition::Absent => put["ConditionExpression"] = json!("attribute_not_exists(k)"),
            Condition::Version(version) => {
                put["ConditionExpression"] = json!("ver = :expected");
                put["ExpressionAttributeValues"] = json!({":expected": {"N": version.to_string()}});
            }
        }
        json!({"Put": put})
    }
}

impl Table for HttpTable {
    fn get<'a>(&'a self, key: &'a str) -> TableFuture<'a, Option<Row>> {
        Box::pin(self.get_row(key))
    }

    fn transact<'a>(&'a self, writes: &'a [Write]) -> TableFuture<'a, Transacted> {
        Box::pin(self.transact_rows(writes))
    }
}

fn parse_row(item: &Value) -> Option<Row> {
    let version: u64 = item["ver"]["N"].as_str()?.parse().ok()?;
    Some(Row {
        key: item["k"]["S"].as_str()?.into(),
        version: (version <= MAX_VERSION).then_some(Version(version))?,
        body: item["body"]["S"].as_str()?.to_owned(),
    })
}

fn parse_cancellation(answer: &Value, writes: usize) -> Option<Transacted> {
    let reasons = answer["CancellationReasons"].as_array()?;
    if reasons.len() != writes {
        return None;
    }
    let refused = reasons
        .iter()
        .map(
            |reason| match (reason["Code"].as_str(), reason.get("Item")) {
                (Some(CONDITION_FAILED_CODE), None) => Some(Refused::Conflict(None)),
                (Some(CONDITION_FAILED_CODE), Some(item)) => {
                    Some(Refused::Conflict(Some(parse_row(item)?)))
                }
                _ => Some(Refused::Unaffected),
            },
        )
        .collect::<Option<_>>()?;
    Some(Transacted::Refused(refused))
}
