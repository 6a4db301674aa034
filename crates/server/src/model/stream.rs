//! Streamed answers: reading, resuming at the same engine, and delivery to the caller.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use axum::body::{Body, Bytes};
use axum::response::{IntoResponse, Response};
use bv_types::{Millis, RetryReason};
use bytes::BytesMut;
use futures_util::stream;
use hyper::header;
use serde_json::Value;
use tokio::sync::mpsc;
use tracing::debug;

use super::attempt::{Attempt, Failure, runner_failure};
use crate::backend::{CallError, MAX_ANSWER_BYTES};
use crate::counters;
use crate::events::{EventStream, StreamEvent};

const EVENT_STREAM_HEADER: [(header::HeaderName, &str); 1] =
    [(header::CONTENT_TYPE, "text/event-stream")];
/// Longest time between two events of a stream; it is far above any time between tokens.
const STALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest number of tries to resume a broken stream; engines keep its events for about 1 s.
const MAX_RESUME_TRIES: u32 = 4;
/// Largest number of resumes in a row without a new event.
const MAX_RESUMES_IN_A_ROW: u32 = 3;
const RESUME_INTERVAL: Millis = Millis(200);
/// Events buffered for a slow caller before this host stops reading from the engine.
const BUFFERED_EVENTS: usize = 64;
/// Time without progress after which the stream to a caller that does not read is aborted.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Decode request of an attempt, and the engine's address.
pub(super) struct DecodeRequest {
    pub addr: SocketAddr,
    pub body: Value,
}

/// The event stream of an attempt whose first event has been read.
pub(super) struct DecodeStream {
    attempt: Attempt,
    decode: DecodeRequest,
    events: EventStream,
    first: Option<StreamEvent>,
    /// Resumes since the last event.
    resumes: u32,
}

impl DecodeStream {
    /// Starts decode and reads the first event.
    pub async fn start(mut attempt: Attempt, decode: DecodeRequest) -> Result<Self, Failure> {
        let runner = attempt.grant.decode.clone();
        let client = &attempt.host.backends;
        let events = client.chat_stream("decode", decode.addr, &attempt.id, &decode.body, None);
        let mut events = match events.await {
            Ok(events) => events,
            Err(err) => return Err(attempt.record_failure(&runner, &err)),
        };
        match events.next().await {
            Ok(first) => Ok(DecodeStream {
                attempt,
                decode,
                events,
                first: Some(first),
                resumes: 0,
            }),
            Err(err) => Err(attempt.record_failure(&runner, &err)),
        }
    }

    /// Reads the next event; a broken stream is resumed at the same engine.
    async fn next(&mut self) -> Result<StreamEvent, CallError> {
        if let Some(first) = self.first.take() {
            return Ok(first);
        }
        loop {
            let next = tokio::time::timeout(STALL_TIMEOUT, self.events.next());
            let err = match next.await {
                Ok(Ok(event)) => {
                    self.resumes = 0;
                    return Ok(event);
                }
                Ok(Err(err)) => err,
                Err(_) => self.events.stalled(),
            };
            // The limit ends a stream that breaks at the same event each time.
            if !matches!(err, CallError::Lost { .. }) || self.resumes == MAX_RESUMES_IN_A_ROW {
                return Err(err);
            }
            self.resumes += 1;
            self.resume(err).await?;
        }
    }

    async fn resume(&mut self, mut err: CallError) -> Result<(), CallError> {
        let Some(last) = self.events.last_event().map(str::to_owned) else {
            return Err(err);
        };
        for _ in 0..MAX_RESUME_TRIES {
            let (addr, body) = (self.decode.addr, &self.decode.body);
            let client = &self.attempt.host.backends;
            let resumed = client.chat_stream("resume", addr, &self.attempt.id, body, Some(&last));
            match resumed.await {
                Ok(events) => {
                    counters::retried(RetryReason::StreamResumed);
                    self.events = events.continuing(&self.events);
                    return Ok(());
                }
                // The engine no longer has the stream.
                Err(CallError::Status { .. }) => return Err(err),
                Err(next) => err = next,
            }
            tokio::time::sleep(RESUME_INTERVAL.duration()).await;
        }
        let runner = self.attempt.grant.decode.clone();
        let _ = self.attempt.record_failure(&runner, &err);
        Err(err)
    }

    /// Reads all events before any is sent, for callers that cannot read a chunked body.
    pub async fn collect(mut self) -> Result<Response, Failure> {
        let mut text = BytesMut::new();
        loop {
            match self.next().await {
                Ok(StreamEvent::Data(data)) if text.len() + data.len() <= MAX_ANSWER_BYTES => {
                    text.extend_from_slice(&data);
                }
                Ok(StreamEvent::Done(data)) => {
                    text.extend_from_slice(&data);
                    self.attempt.finish();
                    return Ok((EVENT_STREAM_HEADER, text.freeze()).into_response());
                }
                Ok(StreamEvent::Data(_)) => {
                    let runner = &self.attempt.grant.decode;
                    return Err(runner_failure(runner, RetryReason::ServerError));
                }
                Err(err) => {
                    let runner = self.attempt.grant.decode.clone();
                    return Err(self.attempt.record_failure(&runner, &err));
                }
            }
        }
    }

    /// Passes events on as they arrive; a failure aborts the caller's connection, so that a
    /// truncated stream does not look complete.
    pub fn into_response(self) -> Response {
        let (tx, rx) = mpsc::channel(BUFFERED_EVENTS);
        tokio::spawn(self.deliver(tx));
        let body = stream::unfold(rx, |mut rx| async {
            let item = rx.recv().await?;
            Some((item, rx))
        });
        (EVENT_STREAM_HEADER, Body::from_stream(body)).into_response()
    }

    async fn deliver(mut self, tx: mpsc::Sender<io::Result<Bytes>>) {
        let left = (self.attempt.deadline - self.attempt.host.clock.now()).duration();
        let sent = tokio::select! {
            sent = self.send_events(&tx) => sent,
            // The caller has closed its connection.
            () = tx.closed() => return,
            () = tokio::time::sleep(left) => Err(io::Error::other("the deadline has passed")),
        };
        if let Err(err) = sent {
            debug!(%err, attempt = %self.attempt.id, "model: stream aborted");
            // The body must end with an error even if the buffer is full now, so this waits for
            // space.
            let _ = tokio::time::timeout(WRITE_TIMEOUT, tx.send(Err(err))).await;
        }
    }

    async fn send_events(&mut self, tx: &mpsc::Sender<io::Result<Bytes>>) -> io::Result<()> {
        loop {
            let event = self.next().await.map_err(io::Error::other)?;
            let (data, done) = match event {
                StreamEvent::Data(data) => (data, false),
                StreamEvent::Done(data) => (data, true),
            };
            if done {
                self.attempt.finish();
            }
            match tokio::time::timeout(WRITE_TIMEOUT, tx.send(Ok(data))).await {
                Ok(Ok(())) if done => return Ok(()),
                Ok(Ok(())) => {}
                Ok(Err(_)) => return Err(io::Error::other("the caller closed the connection")),
                Err(_) => return Err(io::Error::other("the caller stopped reading the stream")),
            }
        }
    }
}
