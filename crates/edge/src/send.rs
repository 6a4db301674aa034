//! Sending of one request to a backend server, and the pool of idle connections.

use std::sync::{Arc, Mutex, PoisonError};

use bv_admit::{Fault, Report};
use bv_link::{
    Channel, CollectError, ConnectOptions, HeadError, SendCause, SendFailure, Sender,
    UNACKNOWLEDGED_TIMEOUT, collect, connect, is_endless_heads, is_unacknowledged,
};
use bv_platform::{AnswerHead, BackendHeaders, parse_answer_head, set_backend_headers};
use bv_roster::Registration;
use bv_types::{BackendId, Millis};
use bytes::Bytes;
use http::{HeaderMap, Response, header};
use hyper::body::Incoming;

use crate::counters;
use crate::edge::Edge;
use crate::request::CallerRequest;

/// Timeout for opening a connection to a backend server. The round trip takes at most about 10 ms,
/// and TCP retransmits a lost SYN only after a second, so a longer wait is of no use.
const CONNECT_TIMEOUT: Millis = Millis(150);
/// Idle time after which a connection is not reused; servers close idle connections after seconds.
const MAX_IDLE_TIME: Millis = Millis(800);
/// Maximum number of idle connections kept for one server.
const MAX_IDLE_PER_SERVER: usize = 4;
/// Largest answer body that is buffered.
const MAX_ANSWER_BYTES: usize = 8 << 20;

const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Failure of a send.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SendError {
    /// No part of the request reached the server.
    #[error("not sent: {0}")]
    Unsent(String),
    /// The server may have run the request.
    #[error("no answer: {0}")]
    ConnectionLost(String),
    /// The server acknowledged nothing for a while; it may have run the request.
    #[error("no answer: {0}")]
    Unacknowledged(String),
    /// The answer is damaged or belongs to another request; the server may have run this one.
    #[error("unusable answer: {0}")]
    InvalidAnswer(&'static str),
    /// The head is not that of a final answer; the server may have run the request.
    #[error("unusable answer: {0}")]
    InvalidHead(#[from] HeadError),
    /// The answer does not end, or is longer than allowed; the server may have run the request.
    #[error("answer given up: {0}")]
    TooLong(String),
    /// No answer in time; the server may have run the request.
    #[error("no answer within {0}")]
    Timeout(Millis),
}

impl SendError {
    pub fn fault(&self) -> Fault {
        match self {
            SendError::Unsent(_) => Fault::Connect,
            SendError::ConnectionLost(_)
            | SendError::Unacknowledged(_)
            | SendError::TooLong(_)
            | SendError::Timeout(_) => Fault::NoAnswer,
            SendError::InvalidAnswer(_) | SendError::InvalidHead(_) => Fault::InvalidAnswer,
        }
    }

    /// Reason code for logs and metrics.
    pub fn code(&self) -> &'static str {
        match self {
            SendError::Unsent(_) => "connect_refused",
            SendError::ConnectionLost(_) | SendError::Unacknowledged(_) => "connection_lost",
            SendError::InvalidAnswer(_) | SendError::InvalidHead(_) => "crossed_answer",
            SendError::TooLong(_) => "answer_too_long",
            SendError::Timeout(_) => "timeout",
        }
    }
}

/// The head of a server's answer, with the connection from which its body is read.
#[derive(Debug)]
pub(crate) struct Answer {
    pub channel: Channel,
    pub response: Response<Incoming>,
    pub facts: AnswerHead,
}

/// Which connection a send uses.
#[derive(Debug)]
pub(crate) enum Connection {
    /// A new one: requests that must not be repeated are not sent on a connection that the server
    /// may have closed or that is dead.
    Fresh,
    /// A connection that is already open.
    Open(Channel),
}

#[derive(Debug)]
struct IdleChannel {
    server: BackendId,
    channel: Channel,
    since: Millis,
}

/// Idle connections to backend servers.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool(Mutex<Vec<IdleChannel>>);

impl ConnectionPool {
    /// Takes an idle connection to a server.
    pub fn take(&self, now: Millis, server: &BackendId) -> Option<Channel> {
        let mut idle = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|idle| now < idle.since + MAX_IDLE_TIME && idle.channel.is_ready());
        let at = idle.iter().rposition(|idle| idle.server == *server)?;
        Some(idle.remove(at).channel)
    }

    /// Keeps a connection whose last answer was read completely.
    pub fn keep(&self, now: Millis, server: &BackendId, channel: Channel) {
        let mut idle = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let same = idle.iter().filter(|idle| idle.server == *server).count();
        if same < MAX_IDLE_PER_SERVER {
            idle.push(IdleChannel {
                server: server.clone(),
                channel,
                since: now,
            });
        }
    }

    /// Closes all idle connections to a server after a failure: they may be broken as well.
    pub fn close(&self, server: &BackendId) {
        let mut idle = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|idle| idle.server != *server);
    }
}

/// Sends a request and waits up to `timeout` for the head of its answer.
pub(crate) async fn send(
    edge: &Arc<Edge>,
    req: &CallerRequest,
    server: &Registration,
    backend_headers: &BackendHeaders<'_>,
    connection: Connection,
    timeout: Millis,
) -> Result<Answer, SendError> {
    let mut channel = match connection {
        Connection::Open(channel) => channel,
        Connection::Fresh => open(server, timeout).await?,
    };
    let now = edge.now();
    let mut message = req.to_forward();
    let backend_headers = BackendHeaders {
        server: Some(&server.id),
        remaining: req.remaining(now),
        ..backend_headers.clone()
    };
    set_backend_headers(message.headers_mut(), &backend_headers);
    let sending = channel.send(message);
    let response = match tokio::time::timeout(timeout.duration(), sending).await {
        Ok(Ok(response)) => response,
        Ok(Err(err)) => return Err(classify_failure(edge, server, err)),
        Err(_) => return Err(SendError::Timeout(timeout)),
    };
    let facts = parse_answer_head(response.status(), response.headers());
    if facts.request_id.as_ref() != Some(&req.facts.request_id) {
        edge.pool.close(&server.id);
        return Err(SendError::InvalidAnswer(
            "the answer carries no request id, or that of another request",
        ));
    }
    // The answer to a prefill-only request is used by this host only and carries no stamp. Neither
    // does a refusal.
    let needs_stamp = !backend_headers.prefill_only;
    let is_servers_own = facts.stamped || facts.not_run || !needs_stamp;
    if is_servers_own && !facts.misdirected {
        edge.record_announced(server, response.status(), &facts);
    }
    if let Some(load) = facts.load {
        let report = Report {
            running: load.running,
            waiting: load.waiting,
            pace: load.pace,
        };
        let now = edge.now();
        let mut state = edge.state();
        state.fleet.record_report(now, &server.id, report);
        if server.stage.is_none() {
            state.dispatch.record_load(now, server, report);
        }
    }
    let is_usable = (facts.stamped || !needs_stamp) && !facts.encoded;
    if response.status().is_success() && !is_usable {
        return Err(SendError::InvalidAnswer(
            "the successful answer has no server stamp, or is content-encoded",
        ));
    }
    Ok(Answer {
        channel,
        response,
        facts,
    })
}

/// Opens a connection to a server.
pub(crate) async fn open(server: &Registration, timeout: Millis) -> Result<Channel, SendError> {
    let options = ConnectOptions {
        timeout: CONNECT_TIMEOUT.min(timeout),
        unacknowledged: UNACKNOWLEDGED_TIMEOUT,
    };
    connect(server.address, options)
        .await
        .map_err(|err| SendError::Unsent(err.to_string()))
}

fn classify_failure(edge: &Arc<Edge>, server: &Registration, err: SendFailure) -> SendError {
    edge.pool.close(&server.id);
    let text = err.to_string();
    match err.source {
        SendCause::Head(head) => SendError::InvalidHead(head),
        SendCause::Connection(_) if err.unsent => SendError::Unsent(text),
        SendCause::Connection(err) if is_endless_heads(&err) => {
            counters::answer_given_up("informational_heads");
            SendError::TooLong(format!("{text}: {}", cause(&err)))
        }
        SendCause::Connection(err) => connection_lost(&err, text),
    }
}

/// The cause of an error, which the HTTP library leaves out of its messages.
fn cause(err: &hyper::Error) -> String {
    std::error::Error::source(err).map_or_else(String::new, ToString::to_string)
}

fn connection_lost(err: &hyper::Error, text: String) -> SendError {
    match is_unacknowledged(err) {
        true => SendError::Unacknowledged(text),
        false => SendError::ConnectionLost(text),
    }
}

/// Whether an answer announces events. One without a content type is judged by its events.
pub(crate) fn is_event_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(header::CONTENT_TYPE);
    content_type.is_none_or(|value| {
        let media_type = value.as_bytes().split(|b| *b == b';').next();
        media_type.is_some_and(|text| text.trim_ascii().eq_ignore_ascii_case(EVENT_STREAM))
    })
}

/// Whether the end of an answer's body is marked by its length or by chunks. Otherwise it ends with the
/// connection, also if the server ends early.
pub(crate) fn has_marked_end(headers: &HeaderMap) -> bool {
    headers.contains_key(header::CONTENT_LENGTH) || headers.contains_key(header::TRANSFER_ENCODING)
}

/// Counts an answer that is too long for its limit or for the memory.
pub(crate) fn give_up(err: &CollectError) -> SendError {
    counters::answer_given_up(match err {
        CollectError::NoMemory { .. } => "no_memory",
        _ => "too_long",
    });
    SendError::TooLong(err.to_string())
}

/// Reads the body of an answer, and keeps its connection if it can be reused.
pub(crate) async fn read_answer(
    edge: &Arc<Edge>,
    server: &BackendId,
    answer: Answer,
    timeout: Millis,
) -> Result<(Response<()>, Bytes), SendError> {
    let Answer {
        channel,
        response,
        facts,
    } = answer;
    let (parts, mut body) = response.into_parts();
    let reading = collect(&mut body, MAX_ANSWER_BYTES, &edge.memory, Sender::Server);
    let body = match tokio::time::timeout(timeout.duration(), reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(CollectError::Broken(err))) => {
            let text = format!("read body: {err}: {}", cause(&err));
            return Err(connection_lost(&err, text));
        }
        Ok(Err(err)) => {
            return Err(give_up(&err));
        }
        Err(_) => return Err(SendError::Timeout(timeout)),
    };
    if !facts.closes {
        edge.pool.keep(edge.now(), server, channel);
    }
    Ok((Response::from_parts(parts, ()), body))
}
