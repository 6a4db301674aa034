//! Forwarding of an event stream to its caller.

use std::io;
use std::sync::Arc;

use bv_admit::{Ended, Fault};
use bv_platform::strip_answer;
use bv_route::Kind;
use bv_types::{BackendId, Millis};
use bytes::Bytes;
use futures_util::stream;
use http::Response;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use tokio::sync::mpsc;

use crate::answer::{Body, Failure};
use crate::counters;
use crate::edge::{Edge, InProgress};
use crate::events::EventReader;
use crate::model::{ModelCall, Opened, STALL};
use crate::plain::caller_response;
use crate::send::read_whole;

/// Pieces of a stream that wait for a slow caller.
const QUEUED_PIECES: usize = 16;

/// A piece of a stream on its way to the caller.
enum Piece {
    Events(Bytes),
    /// The stream is complete.
    End,
}

/// Why a server's part of a stream ended.
enum Part {
    Complete,
    CallerGone,
    Broken(&'static str, Fault),
    /// The time of the request is over.
    Late,
}

/// Opens a model call's stream and forwards it. The answer's head is that of the first server that
/// begins it.
pub(crate) async fn stream(
    edge: &Arc<Edge>,
    mut call: ModelCall,
    in_progress: InProgress,
) -> Result<Response<Body>, Failure> {
    let opened = call.open().await?;
    if !opened.answer.response.status().is_success() {
        return whole_answer(edge, &call, opened).await;
    }
    let (mut parts, body) = opened.answer.response.into_parts();
    strip_answer(&mut parts.headers);
    let (tx, rx) = mpsc::channel(QUEUED_PIECES);
    let relay = Relay {
        edge: edge.clone(),
        call,
        reader: EventReader::default(),
        tx,
        event_at: None,
    };
    let first = Source {
        server: opened.server,
        attempt: opened.attempt,
        channel: opened.answer.channel,
        body,
    };
    tokio::spawn(async move {
        relay.run(first).await;
        drop(in_progress);
    });
    Ok(Response::from_parts(parts, body_of(rx)))
}

/// A failure that the server itself answered with.
async fn whole_answer(
    edge: &Arc<Edge>,
    call: &ModelCall,
    opened: Opened,
) -> Result<Response<Body>, Failure> {
    let remaining = call.req.remaining(edge.now());
    let whole = read_whole(edge, &opened.server, opened.answer, remaining).await;
    opened.attempt.end(Ended::Answered { error: true });
    match whole {
        Ok((head, body)) => Ok(caller_response(head, body)),
        Err(_) => Err(Failure::Lost),
    }
}

fn body_of(rx: mpsc::Receiver<Piece>) -> Body {
    let pieces = stream::unfold(Some(rx), |rx| async move {
        let mut rx = rx?;
        match rx.recv().await {
            Some(Piece::Events(bytes)) => Some((Ok(Frame::data(bytes)), Some(rx))),
            Some(Piece::End) => None,
            // The relay ended early: the caller must not take the stream for complete.
            None => Some((Err(io::Error::other("stream broken off")), None)),
        }
    });
    StreamBody::new(pieces).boxed_unsync()
}

/// One server's part of a stream; its connection closes when it is dropped.
struct Source {
    server: BackendId,
    attempt: crate::edge::Attempt,
    channel: bv_link::Channel,
    body: Incoming,
}

struct Relay {
    edge: Arc<Edge>,
    call: ModelCall,
    reader: EventReader,
    tx: mpsc::Sender<Piece>,
    /// When the latest event was forwarded.
    event_at: Option<Millis>,
}

impl Relay {
    async fn run(mut self, first: Source) {
        let mut source = first;
        let opened_at = self.edge.now();
        loop {
            let part = self.forward(&mut source).await;
            let server = source.server.clone();
            let Source {
                attempt, channel, ..
            } = source;
            drop(channel);
            let reason = match part {
                Part::Complete => {
                    attempt.end(Ended::Answered { error: false });
                    let took = self.edge.now() - opened_at;
                    let output = self.call.output();
                    let service = &self.call.req.service;
                    self.edge
                        .state()
                        .fleet
                        .observe_stream(service, took, output);
                    // The receiver is gone only if the caller is.
                    let _ = self.tx.send(Piece::End).await;
                    self.edge.logs.stream_done(&self.edge, &self.call, &server);
                    return;
                }
                Part::CallerGone => {
                    drop(attempt);
                    self.edge.logs.caller_gone(&self.edge, &self.call, &server);
                    return;
                }
                Part::Late => {
                    attempt.end(Ended::Failed(Fault::Lost));
                    return self.broken(&server, "deadline_passed");
                }
                Part::Broken(reason, fault) => {
                    attempt.end(Ended::Failed(fault));
                    reason
                }
            };
            if !self.call.may_run_again() {
                return self.broken(&server, reason);
            }
            self.edge
                .logs
                .stream_resumes(&self.edge, &self.call, &server, reason);
            counters::retry("stream_resumed");
            self.call.avoid(&server);
            self.reader.clear();
            source = match self.resume().await {
                Some(next) => next,
                None => return self.broken(&server, reason),
            };
        }
    }

    /// Opens the rest of the stream at another server.
    async fn resume(&mut self) -> Option<Source> {
        let opened = tokio::select! {
            opened = self.call.open() => opened.ok()?,
            () = self.tx.closed() => return None,
        };
        if !opened.answer.response.status().is_success() {
            opened.attempt.end(Ended::Answered { error: true });
            return None;
        }
        Some(Source {
            server: opened.server,
            attempt: opened.attempt,
            channel: opened.answer.channel,
            body: opened.answer.response.into_body(),
        })
    }

    /// Forwards events until the server's part ends.
    async fn forward(&mut self, source: &mut Source) -> Part {
        loop {
            let remaining = self.call.req.remaining(self.edge.now());
            if remaining == Millis::ZERO {
                return Part::Late;
            }
            let patience = match self.call.req.route.kind {
                Kind::Stream { resumable: true } => STALL.min(remaining),
                _ => remaining,
            };
            let reading = tokio::time::timeout(patience.duration(), source.body.frame());
            let frame = tokio::select! {
                frame = reading => frame,
                () = self.tx.closed() => return Part::CallerGone,
            };
            let data = match frame {
                Err(_) => match self.call.req.remaining(self.edge.now()) {
                    Millis::ZERO => return Part::Late,
                    _ => return Part::Broken("timeout", Fault::Lost),
                },
                Ok(None) if self.reader.has_part() => {
                    return Part::Broken("event_cut", Fault::Garbled);
                }
                Ok(None) => return Part::Complete,
                Ok(Some(Err(_))) => return Part::Broken("connection_lost", Fault::Lost),
                Ok(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => data,
                    Err(_) => continue,
                },
            };
            self.reader.push(&data);
            if self.reader.is_overlong() {
                return Part::Broken("event_too_long", Fault::Garbled);
            }
            let Some(events) = self.reader.take() else {
                continue;
            };
            for id in &events.ids {
                if self.call.last_event.is_some_and(|last| *id <= last) {
                    return Part::Broken("event_out_of_order", Fault::Garbled);
                }
                self.call.last_event = Some(*id);
            }
            source.attempt.progress(self.call.needed());
            self.note_event();
            if self.tx.send(Piece::Events(events.bytes)).await.is_err() {
                return Part::CallerGone;
            }
        }
    }

    /// Notes when events were forwarded.
    fn note_event(&mut self) {
        let now = self.edge.now();
        if self.call.first_at.is_none() {
            self.call.first_at = Some(now);
        }
        let pause = self.event_at.map_or(Millis::ZERO, |at| now - at);
        self.call.longest_pause = self.call.longest_pause.max(pause);
        self.event_at = Some(now);
    }

    /// Ends the stream without its end, which dropping the sender does.
    fn broken(self, server: &BackendId, reason: &'static str) {
        counters::stream_broken(reason);
        self.edge
            .logs
            .stream_broken(&self.edge, &self.call, server, reason);
    }
}
