//! Server-sent events of a streamed chat completion.

use std::net::SocketAddr;

use bv_types::AttemptId;
use bytes::{Buf, Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::Value;
use smol_str::SmolStr;

use crate::backend::{CallError, wrong_attempt};

/// Largest event of a stream, in bytes.
const MAX_EVENT_BYTES: usize = 64 << 10;

/// Events of a streamed chat completion.
#[derive(Debug)]
pub(crate) struct EventStream {
    step: &'static str,
    peer: SocketAddr,
    attempt: String,
    body: Incoming,
    buf: BytesMut,
    last_event: Option<SmolStr>,
    is_resumed: bool,
    /// Whether the ids have gaps, so that a missing event cannot be detected.
    has_gaps: bool,
}

/// One event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum StreamEvent {
    /// Data of this attempt without the event id, with its terminating blank line.
    Data(Bytes),
    /// The `[DONE]` event that ends a complete stream, with its terminating blank line.
    Done(Bytes),
}

impl EventStream {
    /// Reads the events of an attempt; `last_event` is the id after which it was resumed.
    pub fn new(
        step: &'static str,
        peer: SocketAddr,
        attempt: &AttemptId,
        body: Incoming,
        last_event: Option<&str>,
    ) -> Self {
        EventStream {
            step,
            peer,
            attempt: attempt.to_string(),
            body,
            buf: BytesMut::new(),
            last_event: last_event.map(SmolStr::new),
            is_resumed: last_event.is_some(),
            has_gaps: false,
        }
    }

    /// This stream as the continuation of an earlier one, whose events are numbered the same way.
    pub fn continuing(self, earlier: &EventStream) -> Self {
        EventStream {
            has_gaps: earlier.has_gaps,
            ..self
        }
    }

    /// Reads the next event.
    ///
    /// # Errors
    /// Fails if the stream ends before its `[DONE]` event or carries another attempt's event.
    pub async fn next(&mut self) -> Result<StreamEvent, CallError> {
        loop {
            if let Some(event) = self.take_event()? {
                return Ok(event);
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buf.extend_from_slice(data.chunk());
                    }
                }
                Some(Err(err)) => return Err(self.lost(err.to_string())),
                None => return Err(self.lost("the stream ended early".to_owned())),
            }
        }
    }

    /// Id of the last event read, from which the stream can be resumed.
    pub fn last_event(&self) -> Option<&str> {
        self.last_event.as_deref()
    }

    /// The error for a stream that sent no event in time.
    pub fn stalled(&self) -> CallError {
        self.lost("no event in time".to_owned())
    }

    fn take_event(&mut self) -> Result<Option<StreamEvent>, CallError> {
        loop {
            let Some(end) = self.buf.windows(2).position(|pair| pair == b"\n\n") else {
                if self.buf.len() > MAX_EVENT_BYTES {
                    return Err(self.malformed("an event is too long"));
                }
                return Ok(None);
            };
            let event = self.buf.split_to(end + 2).freeze();
            // An event without data is a comment that keeps the connection open.
            let Some(data) = field(&event, b"data:") else {
                continue;
            };
            if self.is_repeated(&event) {
                crate::counters::answer_dropped("repeated");
                continue;
            }
            return self.check_event(&event, data).map(Some);
        }
    }

    /// Whether an event of this stream with this or a later id has been read.
    fn is_repeated(&self, event: &[u8]) -> bool {
        let number = |id: &str| id.parse::<u64>().ok();
        let id = field(event, b"id:").and_then(|id| std::str::from_utf8(id).ok());
        let (Some(id), Some(last)) = (id, self.last_event.as_deref()) else {
            return false;
        };
        match (number(id), number(last)) {
            (Some(id), Some(last)) => id <= last,
            _ => id == last,
        }
    }

    fn check_event(&mut self, event: &[u8], data: &[u8]) -> Result<StreamEvent, CallError> {
        if data == b"[DONE]" {
            return Ok(StreamEvent::Done(data_event(data)));
        }
        let json: Value =
            serde_json::from_slice(data).map_err(|_| self.malformed("an event is not JSON"))?;
        if json["id"].as_str() != Some(self.attempt.as_str()) {
            return Err(wrong_attempt(self.step, self.peer));
        }
        match field(event, b"id:") {
            Some(id) => self.record_id(&String::from_utf8_lossy(id))?,
            None if self.is_resumed => return Err(self.malformed("an event has no id")),
            None => {}
        }
        Ok(StreamEvent::Data(data_event(data)))
    }

    /// Records the id of an event, which must be the next one after a resume.
    fn record_id(&mut self, id: &str) -> Result<(), CallError> {
        let next = match self.last_event.as_deref() {
            Some(last) => last
                .parse::<u64>()
                .ok()
                .and_then(|last| last.checked_add(1)),
            None => Some(0),
        };
        let is_next = next.is_some_and(|next| id.parse() == Ok(next));
        if !is_next && self.is_resumed && !self.has_gaps {
            return Err(self.malformed("an event is missing"));
        }
        self.has_gaps |= !is_next;
        self.last_event = Some(SmolStr::new(id));
        Ok(())
    }

    fn lost(&self, detail: String) -> CallError {
        CallError::Lost {
            step: self.step,
            peer: self.peer,
            detail,
        }
    }

    fn malformed(&self, detail: &'static str) -> CallError {
        CallError::Malformed {
            step: self.step,
            peer: self.peer,
            detail,
        }
    }
}

/// Value of the first line of an event that starts with a field name.
fn field<'a>(event: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(name))
        .map(<[u8]>::trim_ascii)
}

fn data_event(data: &[u8]) -> Bytes {
    let mut event = BytesMut::with_capacity(data.len() + 8);
    event.extend_from_slice(b"data: ");
    event.extend_from_slice(data);
    event.extend_from_slice(b"\n\n");
    event.freeze()
}
