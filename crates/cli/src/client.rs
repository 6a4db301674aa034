//! HTTP client of the operator listeners of entry hosts.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

use crate::CliError;

const HOSTS_VARIABLE: &str = "BURDOCKVALE_HOSTS";
const KEY_VARIABLE: &str = "BURDOCKVALE_OPERATOR_KEY";
const MAX_ANSWER_BYTES: usize = 4 << 20;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Longer than the 10 s after which an entry host reports a change as unknown.
const WRITE_TIMEOUT: Duration = Duration::from_secs(16);
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// An answer of an entry host.
#[derive(Debug)]
pub(crate) struct Answer {
    pub status: StatusCode,
    pub body: Value,
}

impl Answer {
    /// The code of an error answer; empty if there is none.
    pub fn code(&self) -> &str {
        self.body["error"]["code"].as_str().unwrap_or_default()
    }

    /// The message of an error answer.
    pub fn message(&self) -> String {
        match (&self.body["error"]["message"], self.status) {
            (Value::String(message), _) => message.clone(),
            (_, StatusCode::UNAUTHORIZED) => "the entry host rejected the operator key".to_owned(),
            (_, status) => format!("HTTP status {status}"),
        }
    }
}

/// Why a call has no answer.
#[derive(Debug)]
pub(crate) enum CallError {
    /// The request was not sent.
    NotSent(String),
    /// The request may have been carried out.
    Unanswered(String),
}

impl CallError {
    pub fn detail(&self) -> &str {
        match self {
            CallError::NotSent(detail) | CallError::Unanswered(detail) => detail,
        }
    }
}

/// Client of the entry hosts that the operator named.
#[derive(Clone)]
pub(crate) struct Client {
    /// Operator addresses of the entry hosts.
    pub hosts: Vec<SocketAddr>,
    key: String,
    http: HttpClient<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Takes the hosts from the flag or else from the environment, and the key from the
    /// environment.
    pub fn new(flag: Option<&str>) -> Result<Self, CliError> {
        let variable = std::env::var(HOSTS_VARIABLE).ok();
        let text = flag.or(variable.as_deref()).unwrap_or_default();
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        Ok(Client {
            hosts: parse_hosts(text)?,
            key: read_key()?,
            http: HttpClient::builder(TokioExecutor::new())
                // A pooled connection that has just been closed cannot be distinguished from a lost
                // call, so the HTTP client must not repeat the call.
                .retry_canceled_requests(false)
                .build(connector),
        })
    }

    pub async fn get(&self, host: SocketAddr, path: &str) -> Result<Answer, CallError> {
        self.call(Method::GET, host, path, None, READ_TIMEOUT).await
    }

    pub async fn send(
        &self,
        method: Method,
        host: SocketAddr,
        path: &str,
        body: &Value,
    ) -> Result<Answer, CallError> {
        self.call(method, host, path, Some(body), WRITE_TIMEOUT)
            .await
    }

    async fn call(
        &self,
        method: Method,
        host: SocketAddr,
        path: &str,
        body: Option<&Value>,
        timeout: Duration,
    ) -> Result<Answer, CallError> {
        let body = body.map(Value::to_string).unwrap_or_default();
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{host}{path}"))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|err| CallError::NotSent(err.to_string()))?;
        let call = async {
            let answer = self
                .http
                .request(req)
                .await
                .map_err(|err| match err.is_connect() {
                    true => CallError::NotSent("connecting failed".to_owned()),
                    false => CallError::Unanswered(
                        "the connection failed before an answer was received".to_owned(),
                    ),
                })?;
            let status = answer.status();
            let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES)
                .collect()
                .await
                .map_err(|err| CallError::Unanswered(err.to_string()))?;
            let body = serde_json::from_slice(&body.to_bytes()).unwrap_or(Value::Null);
            Ok(Answer { status, body })
        };
        tokio::time::timeout(timeout, call)
            .await
            .unwrap_or_else(|_| {
                Err(CallError::Unanswered(format!(
                    "no answer within {timeout:?}"
                )))
            })
    }
}

fn parse_hosts(text: &str) -> Result<Vec<SocketAddr>, CliError> {
    let help = format!(
        "give --hosts or set {HOSTS_VARIABLE}, such as 10.0.0.7:9090,10.0.0.8:9090 (the operator \
         addresses)"
    );
    let mut hosts = Vec::new();
    for part in text
        .split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty())
    {
        match part.parse() {
            Ok(host) => hosts.push(host),
            Err(_) => {
                let message = format!("{part:?} is not an IP address with a port");
                return Err(CliError::Usage { message, help });
            }
        }
    }
    match hosts.is_empty() {
        true => Err(CliError::Usage {
            message: "no entry hosts are given".to_owned(),
            help,
        }),
        false => Ok(hosts),
    }
}

fn read_key() -> Result<String, CliError> {
    let key = std::env::var(KEY_VARIABLE).unwrap_or_default();
    match !key.is_empty() && key.bytes().all(|byte| byte.is_ascii_graphic()) {
        true => Ok(key),
        false => Err(CliError::Usage {
            message: format!(
                "{KEY_VARIABLE} is not set or contains characters that are not visible ASCII"
            ),
            help:
                "set it to the operator key of the entry hosts; there is no flag for it, because \
                   flags are visible to other users of the machine"
                    .to_owned(),
        }),
    }
}
