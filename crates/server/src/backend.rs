//! Client of backend servers: engines and plain services.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bv_types::{AttemptId, RetryReason};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Request, Response, StatusCode, Uri, header};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};

use crate::events::EventStream;

/// Largest answer of a backend server, in bytes.
pub(crate) const MAX_ANSWER_BYTES: usize = 8 << 20;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Detail of [`CallError::Malformed`] that [`CallError::reason`] recognises as a crossed answer.
const WRONG_ATTEMPT: &str = "the answer belongs to another attempt";
const LAST_EVENT_ID: &str = "last-event-id";
const CHAT_PATH: &str = "/v1/chat/completions";
/// Hop-by-hop headers, which are not forwarded.
const HOP_HEADERS: [&str; 7] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Failure of a call to a backend server.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CallError {
    /// The connection could not be opened; nothing was sent.
    #[error("{step} at {peer}: connection failed: {detail}")]
    ConnectFailed {
        step: &'static str,
        peer: SocketAddr,
        detail: String,
    },
    /// The connection broke, the stream stalled or the answer was too large; the request may have
    /// run.
    #[error("{step} at {peer}: connection lost: {detail}")]
    Lost {
        step: &'static str,
        peer: SocketAddr,
        detail: String,
    },
    /// The backend server answered with an error.
    #[error("{step} at {peer}: status {status}")]
    Status {
        step: &'static str,
        peer: SocketAddr,
        status: StatusCode,
    },
    /// The answer is malformed or belongs to another attempt.
    #[error("{step} at {peer}: {detail}")]
    Malformed {
        step: &'static str,
        peer: SocketAddr,
        detail: &'static str,
    },
}

impl CallError {
    /// Why a failed attempt is repeated.
    pub fn reason(&self) -> RetryReason {
        match self {
            CallError::ConnectFailed { .. } => RetryReason::ConnectRefused,
            CallError::Lost { .. } => RetryReason::ConnectionLost,
            CallError::Status { status, .. } if *status == StatusCode::GONE => {
                RetryReason::PrefillEvicted
            }
            CallError::Status { .. } => RetryReason::ServerError,
            CallError::Malformed { detail, .. } if *detail == WRONG_ATTEMPT => {
                RetryReason::CrossedAnswer
            }
            CallError::Malformed { .. } => RetryReason::ServerError,
        }
    }
}

/// Client of backend servers.
#[derive(Debug, Clone)]
pub(crate) struct BackendClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl BackendClient {
    pub fn new(bind_ip: Option<IpAddr>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_local_address(bind_ip);
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        BackendClient {
            client: Client::builder(TokioExecutor::new())
                // A call on a pooled connection that has just closed looks the same as a lost
                // call, so the client must not repeat it.
                .retry_canceled_requests(false)
                .build(connector),
        }
    }

    /// A client that opens a connection for each call, so that no call is sent on a pooled
    /// connection that is just closing.
    pub fn without_reuse(bind_ip: Option<IpAddr>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_local_address(bind_ip);
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        BackendClient {
            client: Client::builder(TokioExecutor::new())
                .retry_canceled_requests(false)
                .pool_max_idle_per_host(0)
                .build(connector),
        }
    }

    async fn send(
        &self,
        step: &'static str,
        peer: SocketAddr,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, CallError> {
        self.client.request(req).await.map_err(|err| {
            let detail = err.to_string();
            match err.is_connect() {
                true => CallError::ConnectFailed { step, peer, detail },
                false => CallError::Lost { step, peer, detail },
            }
        })
    }

    /// Forwards a call to a plain service and reads its whole answer.
    pub async fn forward(
        &self,
        peer: SocketAddr,
        parts: &Parts,
        body: Bytes,
    ) -> Result<Response<Bytes>, CallError> {
        const STEP: &str = "forward";
        let mut req = Request::new(Full::new(body));
        *req.method_mut() = parts.method.clone();
        *req.uri_mut() = target(peer, parts.uri.path_and_query().map_or("/", |p| p.as_str()));
        *req.headers_mut() = end_to_end(&parts.headers);
        req.headers_mut().remove(header::HOST);
        req.headers_mut().remove(header::CONTENT_LENGTH);
        let answer = self.send(STEP, peer, req).await?;
        let (mut parts, body) = answer.into_parts();
        let body = read_whole(STEP, peer, body).await?;
        parts.headers = end_to_end(&parts.headers);
        Ok(Response::from_parts(parts, body))
    }

    /// Posts JSON and reads the whole JSON answer.
    pub async fn post_json(
        &self,
        step: &'static str,
        peer: SocketAddr,
        path: &str,
        body: &Value,
    ) -> Result<Value, CallError> {
        let req = json_request(peer, path, body);
        let answer = self.send_checked(step, peer, req).await?;
        read_json(step, peer, answer.into_body()).await
    }

    async fn send_checked(
        &self,
        step: &'static str,
        peer: SocketAddr,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, CallError> {
        let answer = self.send(step, peer, req).await?;
        let status = answer.status();
        match status.is_success() {
            true => Ok(answer),
            false => Err(CallError::Status { step, peer, status }),
        }
    }

    /// Runs a chat completion and reads the whole answer.
    pub async fn chat(
        &self,
        step: &'static str,
        peer: SocketAddr,
        attempt: &AttemptId,
        body: &Value,
    ) -> Result<Value, CallError> {
        let answer = self.post_json(step, peer, CHAT_PATH, body).await?;
        if answer["id"].as_str() != Some(attempt.to_string().as_str()) {
            return Err(wrong_attempt(step, peer));
        }
        Ok(answer)
    }

    /// Starts a streamed chat completion, or resumes it after the event with this id.
    pub async fn chat_stream(
        &self,
        step: &'static str,
        peer: SocketAddr,
        attempt: &AttemptId,
        body: &Value,
        last_event: Option<&str>,
    ) -> Result<EventStream, CallError> {
        let mut req = json_request(peer, CHAT_PATH, body);
        if let Some(id) = last_event.and_then(|id| HeaderValue::from_str(id).ok()) {
            req.headers_mut().insert(LAST_EVENT_ID, id);
        }
        let answer = self.send_checked(step, peer, req).await?;
        let body = answer.into_body();
        Ok(EventStream::new(step, peer, attempt, body, last_event))
    }

    /// Reads the load of an engine.
    pub async fn load(&self, peer: SocketAddr) -> Result<Value, CallError> {
        self.get_json("load", peer, "/load").await
    }

    /// Gets a JSON answer.
    pub async fn get_json(
        &self,
        step: &'static str,
        peer: SocketAddr,
        path: &str,
    ) -> Result<Value, CallError> {
        let mut req = Request::new(Full::default());
        *req.uri_mut() = target(peer, path);
        let answer = self.send_checked(step, peer, req).await?;
        read_json(step, peer, answer.into_body()).await
    }

    /// Cancels an attempt; succeeds also if the engine does not know it.
    pub async fn abort(&self, peer: SocketAddr, attempt: &AttemptId) -> Result<(), CallError> {
        let body = json!({"rid": attempt.to_string()});
        self.post_json("abort", peer, "/abort_request", &body)
            .await
            .map(drop)
    }
}

fn json_request(peer: SocketAddr, path: &str, body: &Value) -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::new(Bytes::from(body.to_string())));
    *req.method_mut() = hyper::Method::POST;
    *req.uri_mut() = target(peer, path);
    req.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    req
}

async fn read_json(
    step: &'static str,
    peer: SocketAddr,
    body: Incoming,
) -> Result<Value, CallError> {
    let body = read_whole(step, peer, body).await?;
    serde_json::from_slice(&body).map_err(|_| CallError::Malformed {
        step,
        peer,
        detail: "the answer is not JSON",
    })
}

/// The error for an answer that belongs to another attempt; counts it as `crossed`.
pub(crate) fn wrong_attempt(step: &'static str, peer: SocketAddr) -> CallError {
    crate::counters::answer_dropped("crossed");
    CallError::Malformed {
        step,
        peer,
        detail: WRONG_ATTEMPT,
    }
}

async fn read_whole(
    step: &'static str,
    peer: SocketAddr,
    body: Incoming,
) -> Result<Bytes, CallError> {
    match Limited::new(body, MAX_ANSWER_BYTES).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(err) => Err(CallError::Lost {
            step,
            peer,
            detail: err.to_string(),
        }),
    }
}

fn target(peer: SocketAddr, path: &str) -> Uri {
    Uri::builder()
        .scheme("http")
        .authority(peer.to_string())
        .path_and_query(path)
        .build()
        .unwrap_or_default()
}

/// Copies the headers without the hop-by-hop headers and those that `Connection` names.
fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let connection_headers: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    headers
        .iter()
        .filter(|(name, _)| !HOP_HEADERS.contains(&name.as_str()))
        .filter(|(name, _)| {
            !connection_headers
                .iter()
                .any(|other| other == name.as_str())
        })
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
