//! Forwarding of event streams to callers.

use std::io;
use std::sync::Arc;

use bv_admit::{Fault, SendOutcome};
use bv_link::is_unacknowledged;
use bv_platform::strip_answer;
use bv_retry::Silence;
use bv_types::{BackendId, Millis};
use bytes::Bytes;
use futures_util::stream;
use http::response::Parts;
use http::{Response, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use tokio::sync::mpsc;

use crate::answer::{Body, Failure};
use crate::counters;
use crate::crashes::WatchedRun;
use crate::edge::{Edge, RequestCountGuard};
use crate::event_order::EventOrder;
use crate::events::EventReader;
use crate::model::{ModelCall, OpenedStream, STALL_TIMEOUT, Waited};
use crate::plain::caller_response;
use crate::send::{has_marked_end, is_event_stream, read_answer};

/// Chunks of a stream that are buffered for a slow caller.
const QUEUED_CHUNKS: usize = 4;

/// A message to the response body of a stream.
enum Chunk {
    Events(Bytes),
    /// The stream is complete.
    End,
}

/// Why forwarding from one server ended.
enum SourceEnd {
    Complete,
    CallerDisconnected,
    Broken(&'static str, Fault),
    /// The server ended the connection too early.
    Lost(&'static str, Fault),
    /// The server is silent, and another one has accepted the request.
    Moved(Box<OpenedStream>),
    /// The server was silent and has been left, and no other one took over.
    Left,
    /// The deadline of the request has passed.
    DeadlinePassed,
}

/// Opens the stream of a model call and forwards it. The response head is the one of the first
/// server that starts the stream.
pub(crate) async fn stream(
    edge: &Arc<Edge>,
    mut call: ModelCall,
    count_guard: RequestCountGuard,
) -> Result<Response<Body>, Failure> {
    let opened = call.open().await?;
    if !opened.answer.response.status().is_success() {
        return error_answer(edge, &call, opened).await;
    }
    let (mut parts, body) = opened.answer.response.into_parts();
    let has_marked_end = has_marked_end(&parts.headers);
    let is_resumable = is_event_stream(&parts.headers);
    strip_answer(&mut parts.headers);
    call.has_begun = true;
    let (tx, rx) = mpsc::channel(QUEUED_CHUNKS);
    let relay = Relay {
        edge: edge.clone(),
        call,
        reader: EventReader::new(&edge.memory),
        order: EventOrder::begin(has_marked_end),
        is_resumable,
        tx,
        last_event_at: None,
        opened_at: edge.now(),
    };
    let first = Source {
        server: opened.server,
        tracked_send: opened.tracked_send,
        run: opened.run,
        has_marked_end,
        channel: Some(opened.answer.channel),
        body,
    };
    tokio::spawn(async move {
        relay.run(first).await;
        drop(count_guard);
    });
    Ok(Response::from_parts(parts, body_from(rx)))
}

/// Forwards an error response of the server.
async fn error_answer(
    edge: &Arc<Edge>,
    call: &ModelCall,
    opened: OpenedStream,
) -> Result<Response<Body>, Failure> {
    let remaining = call.req.remaining(edge.now());
    let read = read_answer(edge, &opened.server, opened.answer, remaining).await;
    opened
        .tracked_send
        .end(SendOutcome::Answered { error: true });
    match read {
        Ok((head, body)) => Ok(caller_response(head, body)),
        Err(_) => Err(Failure::AnswerLost),
    }
}

/// Whether an answer names the content type of event streams and marks the end of its body.
fn is_marked_event_stream(head: &Parts) -> bool {
    let is_named = head.headers.contains_key(header::CONTENT_TYPE);
    is_named && is_event_stream(&head.headers) && has_marked_end(&head.headers)
}

fn body_from(rx: mpsc::Receiver<Chunk>) -> Body {
    let chunks = stream::unfold(Some(rx), |rx| async move {
        let mut rx = rx?;
        match rx.recv().await {
            Some(Chunk::Events(bytes)) => Some((Ok(Frame::data(bytes)), Some(rx))),
            Some(Chunk::End) => None,
            // The relay ended early: the caller must not mistake the stream for a complete one.
            None => Some((Err(io::Error::other("stream broken off")), None)),
        }
    });
    StreamBody::new(chunks).boxed_unsync()
}

/// The stream from one server; dropping it closes the connection.
struct Source {
    server: BackendId,
    tracked_send: crate::edge::TrackedSend,
    run: WatchedRun,
    /// Whether the end of the stream is marked in the answer.
    has_marked_end: bool,
    /// `None` once the server has been left.
    channel: Option<bv_link::Channel>,
    body: Incoming,
}

struct Relay {
    edge: Arc<Edge>,
    call: ModelCall,
    reader: EventReader,
    order: EventOrder,
    /// Whether the caller was told that events follow.
    is_resumable: bool,
    tx: mpsc::Sender<Chunk>,
    /// When the last event was forwarded.
    last_event_at: Option<Millis>,
    opened_at: Millis,
}

impl Relay {
    async fn run(mut self, first: Source) {
        let mut source = first;
        loop {
            let end = self.forward(&mut source).await;
            let server = source.server.clone();
            let Source {
                tracked_send,
                run,
                channel,
                has_marked_end,
                ..
            } = source;
            drop(channel);
            let mut next = None;
            let reason = match end {
                SourceEnd::Complete => {
                    match has_marked_end {
                        true => run.complete(),
                        // The stream also ends like this if the server crashes.
                        false => run.lose(),
                    }
                    tracked_send.end(SendOutcome::Answered { error: false });
                    let took = self.edge.now() - self.opened_at;
                    let output = self.call.output();
                    let service = &self.call.req.service;
                    self.edge
                        .state()
                        .fleet
                        .observe_stream(service, took, output);
                    // Sending fails only if the caller has disconnected.
                    let _ = self.tx.send(Chunk::End).await;
                    self.edge
                        .logs
                        .stream_complete(&self.edge, &self.call, &server);
                    return;
                }
                SourceEnd::CallerDisconnected => {
                    drop(tracked_send);
                    self.edge
                        .logs
                        .caller_disconnected(&self.edge, &self.call, &server);
                    return;
                }
                SourceEnd::DeadlinePassed => {
                    tracked_send.end(SendOutcome::Failed(Fault::NoAnswer));
                    return self.break_off(&server, "deadline_passed");
                }
                SourceEnd::Broken(reason, fault) => {
                    tracked_send.end(SendOutcome::Failed(fault));
                    reason
                }
                SourceEnd::Lost(reason, fault) => {
                    run.lose();
                    tracked_send.end(SendOutcome::Failed(fault));
                    reason
                }
                SourceEnd::Left => {
                    tracked_send.end(SendOutcome::Failed(Fault::NoAnswer));
                    return self.break_off(&server, "timeout");
                }
                SourceEnd::Moved(opened) => {
                    tracked_send.end(SendOutcome::Failed(Fault::NoAnswer));
                    next = Some(opened);
                    "timeout"
                }
            };
            if next.is_none() && !self.may_resume() {
                return self.break_off(&server, reason);
            }
            self.edge
                .logs
                .stream_resumes(&self.edge, &self.call, &server, reason);
            counters::retry("stream_resumed");
            self.call.exclude(&server);
            self.reader.clear();
            if next.is_none() {
                next = self.resume().await;
            }
            source = match next {
                Some(next) => self.begin_resumed(*next),
                None => return self.break_off(&server, reason),
            };
        }
    }

    /// Resumes the stream at another server.
    async fn resume(&mut self) -> Option<Box<OpenedStream>> {
        tokio::select! {
            opened = self.call.open() => opened.ok().map(Box::new),
            () = self.tx.closed() => None,
        }
    }

    /// Begins to read the stream of a server that resumed it.
    fn begin_resumed(&mut self, opened: OpenedStream) -> Source {
        let (parts, body) = opened.answer.response.into_parts();
        self.order.begin_resumed(is_marked_event_stream(&parts));
        Source {
            server: opened.server,
            tracked_send: opened.tracked_send,
            run: opened.run,
            has_marked_end: has_marked_end(&parts.headers),
            channel: Some(opened.answer.channel),
            body,
        }
    }

    /// Whether another server may continue the stream.
    fn may_resume(&self) -> bool {
        self.call.may_run_again() && self.is_resumable && self.order.can_resume()
    }

    /// Forwards events until this source ends or fails.
    async fn forward(&mut self, source: &mut Source) -> SourceEnd {
        loop {
            let began = self.edge.now();
            let silence = Silence::new(began, STALL_TIMEOUT, self.call.req.deadline).with_return();
            let may_move = self.may_resume();
            let waiting = self.call.wait_for(
                &source.server,
                silence,
                may_move,
                source.body.frame(),
                |frame| matches!(frame, Some(Err(_))),
                ModelCall::search_opened,
                || drop(source.channel.take()),
            );
            let waited = tokio::select! {
                waited = waiting => waited,
                () = self.tx.closed() => return SourceEnd::CallerDisconnected,
            };
            let frame = match waited {
                Waited::Engine(frame) => frame,
                Waited::Moved(opened) => return SourceEnd::Moved(Box::new(opened)),
                Waited::Lost(_) => return SourceEnd::Left,
                Waited::DeadlinePassed => return SourceEnd::DeadlinePassed,
            };
            if self.edge.now() - began >= STALL_TIMEOUT {
                self.call.release_retries();
            }
            let data = match frame {
                None if self.reader.has_incomplete_event() => {
                    return SourceEnd::Lost("event_cut", Fault::InvalidAnswer);
                }
                None if !self.order.may_end() => {
                    return SourceEnd::Lost("no_events", Fault::InvalidAnswer);
                }
                None => return SourceEnd::Complete,
                Some(Err(err)) if is_unacknowledged(&err) => {
                    return SourceEnd::Broken("connection_lost", Fault::NoAnswer);
                }
                Some(Err(_)) => return SourceEnd::Lost("connection_lost", Fault::NoAnswer),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => data,
                    Err(_) => continue,
                },
            };
            self.reader.push(&data);
            let events = self.reader.take();
            if self.reader.is_overlong() {
                counters::answer_given_up("no_events");
                return SourceEnd::Broken("event_too_long", Fault::NoAnswer);
            }
            let Some(events) = events else {
                continue;
            };
            match self.order.check(self.call.last_event, &events) {
                Ok(last) => self.call.last_event = last,
                Err(err) => return SourceEnd::Broken(err.code(), Fault::InvalidAnswer),
            }
            source.tracked_send.record_progress(self.call.min_tokens());
            source.run.answering();
            self.record_event();
            if self.tx.send(Chunk::Events(events.bytes)).await.is_err() {
                return SourceEnd::CallerDisconnected;
            }
        }
    }

    /// Records the time of a forwarded event.
    fn record_event(&mut self) {
        let now = self.edge.now();
        if self.call.first_at.is_none() {
            self.call.first_at = Some(now);
        }
        let pause = self.last_event_at.map_or(Millis::ZERO, |at| now - at);
        self.call.longest_pause = self.call.longest_pause.max(pause);
        self.last_event_at = Some(now);
    }

    /// Ends the stream early and logs the reason. This drops the sender, which makes the response
    /// body fail, so that the caller cannot take the stream for complete.
    fn break_off(self, server: &BackendId, reason: &'static str) {
        counters::stream_broken(reason);
        let silent = self.edge.now() - self.last_event_at.unwrap_or(self.opened_at);
        self.edge
            .logs
            .stream_broken(&self.edge, &self.call, server, reason, silent);
    }
}
