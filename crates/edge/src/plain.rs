//! Request-response calls of plain services.

use std::pin::Pin;
use std::sync::Arc;

use bv_admit::{Fault, SendOutcome, Work};
use bv_dispatch::SendEnd;
use bv_platform::{BackendHeaders, strip_answer};
use bv_retry::{Delivery, OVERLAP, SendKind, Silence, SilenceStep};
use bv_roster::Registration;
use bv_types::{BackendId, Millis, Tokens};
use bytes::Bytes;
use http::{Response, StatusCode};

use crate::answer::{Body, Failure, full};
use crate::counters;
use crate::crashes::WatchedRun;
use crate::edge::{Edge, TrackedSend};
use crate::plain_place::{Target, end_slot};
use crate::request::CallerRequest;
use crate::retries::Retries;
use crate::send::{Answer, SendError, has_marked_end, read_answer, send};
use crate::silence::{SearchOutcome, record_search};
use crate::slots::Slot;

/// Time without an answer, in latency objectives, after which another server is sought for an
/// idempotent call: the call is late already, and its server probably hangs.
const ATTEMPT_TIMEOUT_OBJECTIVES: f64 = 1.25;
/// Time without an answer, in latency objectives, after which a server counts as stuck.
const STUCK_OBJECTIVES: f64 = 2.0;

/// Whether a server may have run the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunState {
    NotRun,
    MayHaveRun,
}

pub(crate) struct Call<'a> {
    pub edge: &'a Arc<Edge>,
    pub req: &'a Arc<CallerRequest>,
    pub tried: Vec<BackendId>,
    /// Server that was left before the next one had accepted or refused the call.
    left: Option<BackendId>,
    /// Number of servers that may have run the request.
    runs: u32,
    pub run_state: RunState,
    pub retries: Retries,
    /// Whether a reused connection failed, after which only new connections are used.
    pub fresh_only: bool,
    /// Error response of a server, kept while another server is tried.
    error_response: Option<Response<Body>>,
}

/// A call that was sent to a server.
struct Sending<'a> {
    server: Registration,
    tracked_send: TrackedSend,
    run: WatchedRun,
    sent_at: Millis,
    is_reused: bool,
    slot: Option<Slot>,
    /// Waits for the head of the answer; dropping it closes the connection.
    answer: AnswerFuture<'a>,
}

type AnswerFuture<'a> = Pin<Box<dyn Future<Output = Result<Answer, SendError>> + Send + 'a>>;

/// What ended the wait for the answer of a server.
enum Waited<'a> {
    Answer(Result<Answer, SendError>),
    /// The server is left with this result, and the call goes on at another one.
    Moved(Result<Answer, SendError>, Box<Sending<'a>>),
}

/// What came first while two servers had the call.
enum First {
    Answer(Result<Answer, SendError>),
    Next(Result<Answer, SendError>),
    OverlapEnd,
}

/// Result of one send.
enum SendResult<'a> {
    /// The answer for the caller.
    Done(Response<Body>),
    /// Another server may be tried.
    TryNext,
    /// The server was silent, and another one has the call.
    Moved(Box<Sending<'a>>),
    /// The request ends.
    Fail(Failure),
}

/// Serves a call. A call that must run at most once is sent again only after a server stated that
/// it did not run it; an idempotent call is sent several times within the retry budget.
pub(crate) async fn call(
    edge: &Arc<Edge>,
    req: &Arc<CallerRequest>,
) -> Result<Response<Body>, Failure> {
    let mut call = Call {
        edge,
        req,
        tried: Vec::new(),
        left: None,
        runs: 0,
        run_state: RunState::NotRun,
        retries: Retries::new(edge, &req.service),
        fresh_only: false,
        error_response: None,
    };
    let mut moved: Option<Box<Sending<'_>>> = None;
    loop {
        let sending = match moved.take() {
            Some(sending) => *sending,
            None => match call.next().await {
                Ok(target) => call.begin(target),
                Err(_) if call.may_return() => continue,
                Err(failure) => return call.give_up(failure),
            },
        };
        match call.finish(sending).await {
            SendResult::Done(response) => return Ok(response),
            SendResult::TryNext => {}
            SendResult::Moved(sending) => moved = Some(sending),
            SendResult::Fail(failure) => return call.give_up(failure),
        }
    }
}

impl<'a> Call<'a> {
    /// Sends the call.
    fn begin(&mut self, target: Target) -> Sending<'a> {
        let Target {
            server,
            connection,
            is_reused,
            slot,
        } = target;
        let (edge, req) = (self.edge, self.req);
        let sent_at = edge.now();
        self.tried.push(server.id.clone());
        let work = Work {
            tokens: Tokens(0),
            stuck_after: self.objectives(STUCK_OBJECTIVES),
        };
        self.retries.begin();
        let to = server.clone();
        Sending {
            tracked_send: TrackedSend::begin(edge, &server.id, work),
            run: WatchedRun::begin(edge, req, &server),
            server,
            sent_at,
            is_reused,
            slot,
            answer: Box::pin(async move {
                let headers = BackendHeaders::default();
                let remaining = req.remaining(sent_at);
                send(edge, req, &to, &headers, connection, remaining).await
            }),
        }
    }

    async fn finish(&mut self, mut sending: Sending<'a>) -> SendResult<'a> {
        match self.answer_or_next(&mut sending).await {
            Waited::Answer(Ok(answer)) => self.handle_answer(sending, answer).await,
            Waited::Answer(Err(err)) => self.handle_failure(sending, err),
            Waited::Moved(Ok(refusal), next) => {
                self.handle_refusal(sending, &refusal);
                SendResult::Moved(next)
            }
            Waited::Moved(Err(err), next) => {
                self.handle_failure(sending, err);
                SendResult::Moved(next)
            }
        }
    }

    /// Waits for the answer of a server. When an idempotent call is late, another server is sought
    /// while the call stays at this one, which is left when the other one answers or has had the
    /// call for [`OVERLAP`].
    async fn answer_or_next(&mut self, sending: &mut Sending<'a>) -> Waited<'a> {
        let (edge, req) = (self.edge, self.req);
        let patience = self.objectives(ATTEMPT_TIMEOUT_OBJECTIVES);
        let mut silence = Silence::new(sending.sent_at, patience, req.deadline).with_return();
        let timeout = || SendError::Timeout(edge.now() - sending.sent_at);
        let mut has_searched = false;
        let (waited, outcome) = loop {
            // A trial is at one server at a time.
            let may_move = req.route.kind.may_repeat()
                && req.trial.get().is_none()
                && self.runs + 1 < req.route.max_attempts;
            match silence.step(edge.now(), may_move) {
                SilenceStep::DeadlinePassed => {
                    break (
                        Waited::Answer(Err(timeout())),
                        SearchOutcome::DeadlinePassed,
                    );
                }
                SilenceStep::Wait(time) => {
                    let waiting = tokio::time::timeout(time.duration(), &mut sending.answer);
                    if let Ok(answer) = waiting.await {
                        let outcome = SearchOutcome::of(&answer);
                        break (Waited::Answer(answer), outcome);
                    }
                    continue;
                }
                SilenceStep::Search => {}
            }
            if !has_searched {
                let length = silence.length(edge.now());
                let server = &sending.server.id;
                edge.logs.search_began(edge.now(), req, server, length);
                has_searched = true;
            }
            let needs_return = silence.needs_return(edge.now());
            self.retries.keep_return(needs_return);
            let opened = tokio::select! {
                biased;
                answer = &mut sending.answer => {
                    let outcome = SearchOutcome::of(&answer);
                    break (Waited::Answer(answer), outcome);
                }
                opened = self.open_next() => opened,
            };
            let Some(target) = opened else {
                silence.search_failed(edge.now());
                self.release_return();
                continue;
            };
            let mut next = self.begin(target);
            let first = tokio::select! {
                biased;
                answer = &mut sending.answer => First::Answer(answer),
                answer = &mut next.answer => First::Next(answer),
                () = tokio::time::sleep(OVERLAP.duration()) => First::OverlapEnd,
            };
            match first {
                First::Answer(Ok(answer)) if !answer.facts.not_run => {
                    self.cancel(next);
                    break (Waited::Answer(Ok(answer)), SearchOutcome::WentOn);
                }
                First::Answer(result) => {
                    break (Waited::Moved(result, Box::new(next)), SearchOutcome::Failed);
                }
                First::Next(Ok(answer)) if !answer.facts.not_run => {
                    next.answer = Box::pin(std::future::ready(Ok(answer)));
                    let next = Box::new(next);
                    break (Waited::Moved(Err(timeout()), next), SearchOutcome::Moved);
                }
                First::Next(result) => {
                    // Whether the call may be sent again is checked before the next search.
                    match result {
                        Ok(refusal) => self.handle_refusal(next, &refusal),
                        Err(err) => self.handle_failure(next, err),
                    };
                    silence.search_failed(edge.now());
                    self.release_return();
                }
                First::OverlapEnd => {
                    self.left = Some(sending.server.id.clone());
                    let next = Box::new(next);
                    break (Waited::Moved(Err(timeout()), next), SearchOutcome::Left);
                }
            }
        };
        // A retry that is held pays for the way back to the server that was left.
        self.retries.keep_return(false);
        if has_searched {
            let length = silence.length(edge.now());
            record_search(edge, req, &sending.server.id, length, outcome);
        }
        waited
    }

    /// Gives back the retries of a move that failed. The silent server keeps the call, so other
    /// requests may use them until the next search.
    fn release_return(&mut self) {
        self.retries.keep_return(false);
        self.retries.release();
    }

    /// Whether the call may go back to the server that was left.
    fn may_return(&mut self) -> bool {
        let Some(left) = self.left.take() else {
            return false;
        };
        self.tried.retain(|id| *id != left);
        true
    }

    /// Gives up a call that its server may run, because another one has answered.
    fn cancel(&mut self, sending: Sending<'a>) {
        drop(sending);
        self.retries.end(SendKind::Run, Delivery::Refused);
        self.runs += 1;
        self.run_state = RunState::MayHaveRun;
    }

    /// A time as a multiple of the route's latency objective.
    fn objectives(&self, factor: f64) -> Millis {
        Millis((self.req.route.objective.0 as f64 * factor) as u64)
    }

    /// Handles an answer that says that the call did not run.
    fn handle_refusal(&mut self, sending: Sending<'a>, refusal: &Answer) -> SendResult<'a> {
        self.retries.end(SendKind::Run, Delivery::Refused);
        end_slot(sending.slot, SendEnd::Rejected);
        if refusal.facts.misdirected {
            let now = self.edge.now();
            sending
                .tracked_send
                .end(SendOutcome::Failed(Fault::Misdirected));
            let server = &sending.server.id;
            self.edge.logs.misdirected(now, self.req, server);
            counters::retry("misdirected");
            return SendResult::TryNext;
        }
        sending.tracked_send.end(SendOutcome::Refused);
        counters::retry("not_run");
        SendResult::TryNext
    }

    async fn handle_answer(&mut self, sending: Sending<'a>, answer: Answer) -> SendResult<'a> {
        if answer.facts.not_run {
            return self.handle_refusal(sending, &answer);
        }
        let Sending {
            server,
            tracked_send,
            run,
            sent_at,
            slot,
            ..
        } = sending;
        self.retries.end(SendKind::Run, Delivery::Accepted);
        let status = answer.response.status();
        self.runs += 1;
        self.run_state = RunState::MayHaveRun;
        if !answer.facts.stamped {
            // Without the server stamp header the answer does not come from a run of this request.
            tracked_send.end(SendOutcome::Answered { error: true });
            return self.retry_or_fail(Failure::AnswerLost, "server_error");
        }
        let remaining = self.req.remaining(self.edge.now());
        let has_marked_end = has_marked_end(answer.response.headers());
        let (head, body) = match read_answer(self.edge, &server.id, answer, remaining).await {
            Ok(whole) => whole,
            Err(err) => {
                run.fail(&err);
                end_slot(slot, SendEnd::Failed);
                tracked_send.end(SendOutcome::Failed(err.fault()));
                let (now, logs) = (self.edge.now(), &self.edge.logs);
                logs.send_failed(now, self.req, &server.id, &err);
                let failure = match err {
                    SendError::Timeout(_) => Failure::DeadlinePassed,
                    _ => Failure::AnswerLost,
                };
                return self.retry_or_fail(failure, err.code());
            }
        };
        if status.is_success() && has_marked_end {
            run.complete();
        }
        let error = status.is_server_error();
        tracked_send.end(SendOutcome::Answered { error });
        let took = self.edge.now() - sent_at;
        end_slot(slot, SendEnd::Answered { took });
        self.edge
            .state()
            .fleet
            .observe_call(&self.req.service, took);
        if implies_not_run(status) {
            return self.retry_or_fail(Failure::AnswerLost, "server_error");
        }
        let response = caller_response(head, body);
        if error && self.may_run_again() {
            self.error_response = Some(response);
            counters::retry("server_error");
            return SendResult::TryNext;
        }
        SendResult::Done(response)
    }

    fn handle_failure(&mut self, sending: Sending<'a>, err: SendError) -> SendResult<'a> {
        let Sending {
            server,
            tracked_send,
            run,
            is_reused,
            slot,
            ..
        } = sending;
        run.fail(&err);
        // A reused connection that the server closed says nothing of the server.
        end_slot(
            slot,
            match is_reused && !matches!(err, SendError::Timeout(_)) {
                true => SendEnd::Unused,
                false => SendEnd::Failed,
            },
        );
        if is_reused && !matches!(err, SendError::Timeout(_)) {
            // The fault may be that of the reused connection, so the server is tried again on a new
            // one.
            self.tried.retain(|id| *id != server.id);
            self.fresh_only = true;
        }
        tracked_send.end(SendOutcome::Failed(err.fault()));
        self.edge
            .logs
            .send_failed(self.edge.now(), self.req, &server.id, &err);
        if let SendError::Unsent(_) = err {
            self.retries.end(SendKind::Run, Delivery::NotSent);
            counters::retry(err.code());
            return SendResult::TryNext;
        }
        self.retries.end(SendKind::Run, Delivery::Refused);
        self.runs += 1;
        self.run_state = RunState::MayHaveRun;
        let failure = match err {
            SendError::Timeout(_) => Failure::DeadlinePassed,
            _ => Failure::AnswerLost,
        };
        self.retry_or_fail(failure, err.code())
    }

    fn may_run_again(&self) -> bool {
        let route = &self.req.route;
        let state = self.edge.state();
        let may_retry = state.crashes.may_retry(self.edge.now(), &self.req.content);
        route.kind.may_repeat() && self.runs < route.max_attempts && may_retry
    }

    fn retry_or_fail(&self, failure: Failure, reason: &'static str) -> SendResult<'a> {
        match self.may_run_again() {
            true => {
                counters::retry(reason);
                SendResult::TryNext
            }
            false => SendResult::Fail(failure),
        }
    }

    /// Ends the request with the error response of a server if there is one.
    fn give_up(self, failure: Failure) -> Result<Response<Body>, Failure> {
        match self.error_response {
            Some(response) => Ok(response),
            None => Err(failure),
        }
    }
}

/// Whether callers take a response with this status to mean that the request did not run. Such a
/// response is not forwarded from a server that may have run the request.
pub(crate) fn implies_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

/// Converts a server's answer to the response for the caller.
pub(crate) fn caller_response(head: Response<()>, body: Bytes) -> Response<Body> {
    let (mut parts, ()) = head.into_parts();
    strip_answer(&mut parts.headers);
    Response::from_parts(parts, full(body))
}
