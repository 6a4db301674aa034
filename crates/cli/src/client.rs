//! Client of the operators' listeners.

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
/// An entry host answers an undecided change after 10 s.
const CALL_TIMEOUT: Duration = Duration::from_secs(16);
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// An answer of an entry host.
#[derive(Debug)]
pub(crate) struct Answer {
    pub status: StatusCode,
    pub body: Value,
}

impl Answer {
    /// The code in an error answer.
    pub fn code(&self) -> &str {
        self.body["error"]["code"].as_str().unwrap_or_default()
    }

    /// What an error answer says.
    pub fn message(&self) -> String {
        match (&self.body["error"]["message"], self.status) {
            (Value::String(message), _) => message.clone(),
            (_, StatusCode::UNAUTHORIZED) => "the operator key is not accepted".to_owned(),
            (_, status) => format!("status {status}"),
        }
    }
}

/// A call without an answer.
#[derive(Debug)]
pub(crate) enum CallError {
    /// Nothing was sent.
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

/// Client of the entry hosts that an operator named.
#[derive(Clone)]
pub(crate) struct Client {
    /// Operators' addresses of the entry hosts.
    pub hosts: Vec<SocketAddr>,
    key: String,
    http: HttpClient<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Reads the hosts from the flag or its variable and the key from its variable.
    pub fn new(flag: Option<&str>) -> Result<Self, CliError> {
        let variable = std::env::var(HOSTS_VARIABLE).ok();
        let text = flag.or(variable.as_deref()).unwrap_or_default();
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        Ok(Client {
            hosts: hosts(text)?,
            key: key()?,
            http: HttpClient::builder(TokioExecutor::new())
                // A pooled connection that has just closed is indistinguishable from a lost call.
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
        self.call(method, host, path, Some(body), CALL_TIMEOUT)
            .await
    }

    async fn call(
        &self,
        method: Method,
        host: SocketAddr,
        path: &str,
        body: Option<&Value>,
        limit: Duration,
    ) -> Result<Answer, CallError> {
        let body = body.map(Value::to_string).unwrap_or_default();
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{host}{path}"))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|err| CallError::NotSent(err.to_string()))?;
        let exchange = async {
            let answer = self
                .http
                .request(req)
                .await
                .map_err(|err| match err.is_connect() {
                    true => CallError::NotSent("does not accept connections".to_owned()),
                    false => CallError::Unanswered("closed the connection".to_owned()),
                })?;
            let status = answer.status();
            let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES)
                .collect()
                .await
                .map_err(|err| CallError::Unanswered(err.to_string()))?;
            let body = serde_json::from_slice(&body.to_bytes()).unwrap_or(Value::Null);
            Ok(Answer { status, body })
        };
        tokio::time::timeout(limit, exchange)
            .await
            .unwrap_or_else(|_| Err(CallError::Unanswered(format!("no answer in {limit:?}"))))
    }
}

fn hosts(text: &str) -> Result<Vec<SocketAddr>, CliError> {
    let help = format!(
        "give --hosts or set {HOSTS_VARIABLE}, such as 10.0.0.7:9090,10.0.0.8:9090 (the addresses \
         for operators)"
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
                let what = format!("{part:?} is not an IP address with a port");
                return Err(CliError::Usage { what, help });
            }
        }
    }
    match hosts.is_empty() {
        true => Err(CliError::Usage {
            what: "no entry hosts are given".to_owned(),
            help,
        }),
        false => Ok(hosts),
    }
}

fn key() -> Result<String, CliError> {
    let key = std::env::var(KEY_VARIABLE).unwrap_or_default();
    match !key.is_empty() && key.bytes().all(|byte| byte.is_ascii_graphic()) {
        true => Ok(key),
        false => Err(CliError::Usage {
            what: format!("{KEY_VARIABLE} is not set or not a key"),
            help:
                "set it to the operator key of the entry hosts; there is no flag for it, because \
                   flags are visible to other users of the machine"
                    .to_owned(),
        }),
    }
}
