//! One send to a backend server.

use std::sync::{Arc, Mutex, PoisonError};

use bv_admit::{Fault, Report};
use bv_link::{Channel, ConnectTerms, SendFailure, collect, connect};
use bv_platform::{AnswerFacts, Marks, answer_facts, mark_request};
use bv_roster::Entry;
use bv_types::{BackendId, Millis};
use bytes::Bytes;
use http::Response;
use hyper::body::Incoming;

use crate::edge::Edge;
use crate::request::CallerRequest;

/// Longest time until a connection to a backend server is open; the round trip takes at most about
/// 10 ms, and a lost opening packet is sent again only after a second.
const CONNECT_TIMEOUT: Millis = Millis(150);
/// Longest time that a sent request may stay unacknowledged.
const UNACKNOWLEDGED: Millis = Millis(1_500);
/// Idle time after which a connection is not used again; servers close idle ones after seconds.
const MAX_IDLE: Millis = Millis(800);
/// Idle connections kept for one server.
const MAX_IDLE_CHANNELS: usize = 4;
/// Largest answer that is read whole.
pub(crate) const MAX_ANSWER: usize = 8 << 20;

/// How a send failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SendError {
    /// Nothing reached the server.
    #[error("not sent: {0}")]
    Unsent(String),
    /// The server may have run the request.
    #[error("no answer: {0}")]
    Lost(String),
    /// The answer is damaged or belongs to another request; the server may have run this one.
    #[error("unusable answer: {0}")]
    Garbled(&'static str),
    /// No answer in time; the server may have run the request.
    #[error("no answer within {0}")]
    Late(Millis),
}

impl SendError {
    pub fn fault(&self) -> Fault {
        match self {
            SendError::Unsent(_) => Fault::Connect,
            SendError::Lost(_) | SendError::Late(_) => Fault::Lost,
            SendError::Garbled(_) => Fault::Garbled,
        }
    }

    /// Code for logs and counters.
    pub fn code(&self) -> &'static str {
        match self {
            SendError::Unsent(_) => "connect_refused",
            SendError::Lost(_) => "connection_lost",
            SendError::Garbled(_) => "crossed_answer",
            SendError::Late(_) => "timeout",
        }
    }
}

/// The head of a server's answer, with the connection that its body comes on.
#[derive(Debug)]
pub(crate) struct Answer {
    pub channel: Channel,
    pub response: Response<Incoming>,
    pub facts: AnswerFacts,
}

/// Which connection a send uses.
#[derive(Debug)]
pub(crate) enum Connection {
    /// A new one: requests that cannot be repeated must not meet a connection that the server has
    /// closed or that fell silent.
    Fresh,
    /// One that is open already.
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
pub(crate) struct Pool(Mutex<Vec<IdleChannel>>);

impl Pool {
    /// Takes an idle connection.
    pub fn take(&self, now: Millis, server: &BackendId) -> Option<Channel> {
        let mut idle = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|idle| now < idle.since + MAX_IDLE && idle.channel.is_ready());
        let at = idle.iter().rposition(|idle| idle.server == *server)?;
        Some(idle.remove(at).channel)
    }

    /// Keeps a connection whose answer was read whole.
    pub fn keep(&self, now: Millis, server: &BackendId, channel: Channel) {
        let mut idle = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let same = idle.iter().filter(|idle| idle.server == *server).count();
        if same < MAX_IDLE_CHANNELS {
            idle.push(IdleChannel {
                server: server.clone(),
                channel,
                since: now,
            });
        }
    }

    /// Closes the idle connections of a server that failed: others may be broken as well.
    pub fn close(&self, server: &BackendId) {
        let mut idle = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|idle| idle.server != *server);
    }
}

/// Sends a request and waits up to `patience` for the head of its answer.
pub(crate) async fn send(
    edge: &Arc<Edge>,
    req: &CallerRequest,
    server: &Entry,
    marks: &Marks<'_>,
    connection: Connection,
    patience: Millis,
) -> Result<Answer, SendError> {
    let mut channel = match connection {
        Connection::Open(channel) => channel,
        Connection::Fresh => open(server, patience).await?,
    };
    let now = edge.now();
    let mut message = req.to_forward();
    let marks = Marks {
        server: Some(&server.id),
        remaining: req.remaining(now),
        ..marks.clone()
    };
    mark_request(message.headers_mut(), &marks);
    let sending = channel.send(message);
    let response = match tokio::time::timeout(patience.duration(), sending).await {
        Ok(Ok(response)) => response,
        Ok(Err(err)) => return Err(lost(edge, server, err)),
        Err(_) => return Err(SendError::Late(patience)),
    };
    let facts = answer_facts(response.status(), response.headers());
    if facts.request_id.as_ref() != Some(&req.facts.request_id) {
        edge.pool.close(&server.id);
        return Err(SendError::Garbled("the id is another request's"));
    }
    if let Some(load) = facts.load {
        let report = Report {
            running: load.running,
            waiting: load.waiting,
        };
        edge.state().fleet.report(edge.now(), &server.id, report);
    }
    // The answer to a prompt that is only read is for this system and carries no stamp.
    let needs_stamp = !marks.prefill_only;
    let is_own = (facts.stamped || !needs_stamp) && !facts.encoded;
    if response.status().is_success() && !is_own {
        return Err(SendError::Garbled("a success without stamp, or encoded"));
    }
    Ok(Answer {
        channel,
        response,
        facts,
    })
}

/// Opens a connection.
pub(crate) async fn open(server: &Entry, patience: Millis) -> Result<Channel, SendError> {
    let terms = ConnectTerms {
        timeout: CONNECT_TIMEOUT.min(patience),
        unacknowledged: UNACKNOWLEDGED,
    };
    connect(server.address, terms)
        .await
        .map_err(|err| SendError::Unsent(err.to_string()))
}

fn lost(edge: &Arc<Edge>, server: &Entry, err: SendFailure) -> SendError {
    edge.pool.close(&server.id);
    match err.unsent {
        true => SendError::Unsent(err.to_string()),
        false => SendError::Lost(err.to_string()),
    }
}

/// Reads the rest of an answer, and keeps its connection if another request may follow.
pub(crate) async fn read_whole(
    edge: &Arc<Edge>,
    server: &BackendId,
    answer: Answer,
    patience: Millis,
) -> Result<(Response<()>, Bytes), SendError> {
    let Answer {
        channel,
        response,
        facts,
    } = answer;
    let (parts, body) = response.into_parts();
    let reading = collect(body, MAX_ANSWER);
    let body = match tokio::time::timeout(patience.duration(), reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(err)) => return Err(SendError::Lost(err.to_string())),
        Err(_) => return Err(SendError::Late(patience)),
    };
    if !facts.closes {
        edge.pool.keep(edge.now(), server, channel);
    }
    Ok((Response::from_parts(parts, ()), body))
}
