//! Request-response calls of plain services.

use std::pin::pin;
use std::sync::Arc;

use bv_admit::{CallRequest, Fault, PlacementError, SendOutcome, Work};
use bv_platform::{BackendHeaders, strip_answer};
use bv_retry::{Delivery, SendKind, Silence, SilenceStep};
use bv_roster::Registration;
use bv_types::{BackendId, Millis, Refusal, Tokens};
use bytes::Bytes;
use http::{Response, StatusCode};

use crate::answer::{Body, Failure, full};
use crate::counters;
use crate::crashes::WatchedRun;
use crate::edge::{Edge, TrackedSend};
use crate::request::CallerRequest;
use crate::retries::{Retries, RetryKind};
use crate::send::{Answer, Connection, SendError, has_marked_end, open, read_answer, send};
use crate::silence::{SearchOutcome, record_search};

/// Time without an answer, in latency objectives, after which another server is sought for an
/// idempotent call: the call is late already, and its server probably hangs.
const ATTEMPT_TIMEOUT_OBJECTIVES: f64 = 1.25;
/// Time without an answer, in latency objectives, after which a server counts as stuck.
const STUCK_OBJECTIVES: f64 = 2.0;

/// Whether a server may have run the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RunState {
    NotRun,
    MayHaveRun,
}

struct Call<'a> {
    edge: &'a Arc<Edge>,
    req: &'a CallerRequest,
    tried: Vec<BackendId>,
    /// Number of servers that may have run the request.
    runs: u32,
    run_state: RunState,
    retries: Retries,
    /// Whether a reused connection failed, after which only new connections are used.
    fresh_only: bool,
    /// Error response of a server, kept while another server is tried.
    error_response: Option<Response<Body>>,
}

/// The chosen server and the connection to it.
struct Target {
    server: Registration,
    connection: Connection,
    /// Whether the connection was idle, so that the server may have closed it.
    is_reused: bool,
}

/// What ended the wait for the answer of a server.
enum Waited {
    Answer(Result<Answer, SendError>),
    /// The server is silent, and another one is ready.
    Moved(Target),
}

/// Result of one send.
enum SendResult {
    /// The answer for the caller.
    Done(Response<Body>),
    /// Another server may be tried.
    TryNext,
    /// The server was silent, and another one is ready.
    Moved(Target),
    /// The request ends.
    Fail(Failure),
}

/// Serves a call. A call that must run at most once is sent again only after a server stated that
/// it did not run it; an idempotent call is sent several times within the retry budget.
pub(crate) async fn call(edge: &Arc<Edge>, req: &CallerRequest) -> Result<Response<Body>, Failure> {
    let mut call = Call {
        edge,
        req,
        tried: Vec::new(),
        runs: 0,
        run_state: RunState::NotRun,
        retries: Retries::new(edge, &req.service),
        fresh_only: false,
        error_response: None,
    };
    let mut moved = None;
    loop {
        let target = match moved.take().map_or_else(|| call.next(), Ok) {
            Ok(target) => target,
            Err(failure) => return call.give_up(failure),
        };
        match call.send_to(target).await {
            SendResult::Done(response) => return Ok(response),
            SendResult::TryNext => {}
            SendResult::Moved(target) => moved = Some(target),
            SendResult::Fail(failure) => return call.give_up(failure),
        }
    }
}

impl Call<'_> {
    /// Chooses the next server and a connection to it.
    fn next(&mut self) -> Result<Target, Failure> {
        let server = self.place()?;
        let connection = self.connection(self.edge.now(), &server.id);
        Ok(Target {
            is_reused: matches!(connection, Connection::Open(_)),
            server,
            connection,
        })
    }

    fn place(&mut self) -> Result<Registration, Failure> {
        let now = self.edge.now();
        let remaining = self.req.remaining(now);
        if remaining == Millis::ZERO {
            return Err(self.final_failure(Refusal::QueuedTooLong));
        }
        if let Some(refusal) = self.edge.blocked(self.req) {
            return Err(match self.run_state {
                RunState::NotRun => refusal,
                RunState::MayHaveRun => Failure::AnswerLost,
            });
        }
        let service = &self.req.service;
        let mut guard = self.edge.state();
        let state = &mut *guard;
        let query = CallRequest {
            service,
            zone: &self.edge.settings.zone,
            tried: &self.tried,
            remaining,
        };
        let entries = state.roster.of_service(now, service);
        let entries = state.announced.allowed(now, entries);
        let choice = state.fleet.place_call(now, query, entries);
        let resting = match choice {
            Err(PlacementError::NoServer | PlacementError::NoCapacity) => {
                let entries = state.roster.of_service(now, service);
                let longest = self.req.longest_retry_after(now);
                state.announced.all_resting(now, longest, entries)
            }
            _ => None,
        };
        drop(guard);
        match choice {
            Ok(choice) => {
                if !self.retries.take(self.req, RetryKind::Call) {
                    return Err(self.final_failure(Refusal::RetryBudget));
                }
                Ok(choice.server)
            }
            Err(PlacementError::NoServer | PlacementError::NoCapacity) => {
                Err(match (resting, self.run_state) {
                    (Some(resting), RunState::NotRun) => Failure::resting(resting),
                    _ => self.final_failure(Refusal::NoBackend),
                })
            }
            Err(PlacementError::TooLate { retry_after }) => Err(match self.run_state {
                RunState::MayHaveRun => Failure::AnswerLost,
                RunState::NotRun => Failure::NotRun {
                    reason: Refusal::QueueFull,
                    retry_after,
                },
            }),
        }
    }

    /// The failure to report for a request that is not sent again.
    fn final_failure(&self, reason: Refusal) -> Failure {
        match self.run_state {
            RunState::NotRun => Failure::refused(reason),
            RunState::MayHaveRun if reason == Refusal::QueuedTooLong => Failure::DeadlinePassed,
            RunState::MayHaveRun => Failure::AnswerLost,
        }
    }

    async fn send_to(&mut self, target: Target) -> SendResult {
        let Target {
            server,
            connection,
            is_reused,
        } = target;
        let now = self.edge.now();
        self.tried.push(server.id.clone());
        let stuck_after = self.objectives(STUCK_OBJECTIVES);
        let work = Work {
            tokens: Tokens(0),
            stuck_after,
        };
        let tracked_send = TrackedSend::begin(self.edge, &server.id, work);
        let backend_headers = BackendHeaders::default();
        let (edge, req) = (self.edge, self.req);
        let run = WatchedRun::begin(edge, req, &server);
        self.retries.begin();
        let sent = send(
            edge,
            req,
            &server,
            &backend_headers,
            connection,
            req.remaining(now),
        );
        match self.answer_or_next(&server, now, sent).await {
            Waited::Answer(Ok(answer)) => {
                self.handle_answer(server, tracked_send, run, answer, now)
                    .await
            }
            Waited::Answer(Err(err)) => {
                run.fail(&err);
                if is_reused {
                    // The fault may be that of the reused connection, so the server is tried again
                    // on a new one.
                    self.tried.retain(|id| *id != server.id);
                    self.fresh_only = true;
                }
                self.handle_failure(&server, tracked_send, err)
            }
            Waited::Moved(next) => {
                let err = SendError::Timeout(edge.now() - now);
                self.handle_failure(&server, tracked_send, err);
                SendResult::Moved(next)
            }
        }
    }

    /// Waits for the answer of a server. When an idempotent call is late, another server is sought
    /// while the call stays at this one.
    async fn answer_or_next(
        &mut self,
        server: &Registration,
        sent_at: Millis,
        sent: impl Future<Output = Result<Answer, SendError>>,
    ) -> Waited {
        let (edge, req) = (self.edge, self.req);
        let patience = self.objectives(ATTEMPT_TIMEOUT_OBJECTIVES);
        let may_move = req.route.kind.may_repeat() && self.runs + 1 < req.route.max_attempts;
        let mut silence = Silence::new(sent_at, patience, req.deadline);
        let mut sent = pin!(sent);
        let mut has_searched = false;
        let record = |silence: &Silence, outcome| {
            let length = silence.length(edge.now());
            record_search(edge, req, &server.id, length, outcome);
        };
        loop {
            match silence.step(edge.now(), may_move) {
                SilenceStep::DeadlinePassed => {
                    if has_searched {
                        record(&silence, SearchOutcome::DeadlinePassed);
                    }
                    return Waited::Answer(Err(SendError::Timeout(req.deadline - sent_at)));
                }
                SilenceStep::Wait(time) => {
                    let answer = tokio::time::timeout(time.duration(), &mut sent).await;
                    if let Ok(answer) = answer {
                        if has_searched {
                            record(&silence, SearchOutcome::of(&answer));
                        }
                        return Waited::Answer(answer);
                    }
                }
                SilenceStep::Search => {
                    if !has_searched {
                        let length = silence.length(edge.now());
                        edge.logs.search_began(edge.now(), req, &server.id, length);
                        has_searched = true;
                    }
                    let opened = tokio::select! {
                        biased;
                        answer = &mut sent => {
                            record(&silence, SearchOutcome::of(&answer));
                            return Waited::Answer(answer);
                        }
                        opened = self.open_next() => opened,
                    };
                    match opened {
                        Some(next) => {
                            record(&silence, SearchOutcome::Moved);
                            return Waited::Moved(next);
                        }
                        None => silence.search_failed(edge.now()),
                    }
                }
            }
        }
    }

    /// Takes a retry and opens a connection to another server.
    async fn open_next(&mut self) -> Option<Target> {
        let next = self.next().ok()?;
        if next.is_reused {
            return Some(next);
        }
        match open(&next.server, self.req.remaining(self.edge.now())).await {
            Ok(channel) => Some(Target {
                connection: Connection::Open(channel),
                ..next
            }),
            Err(err) => {
                let (now, server) = (self.edge.now(), next.server.id);
                self.edge.logs.send_failed(now, self.req, &server, &err);
                counters::retry(err.code());
                let mut state = self.edge.state();
                state.fleet.record_fault(now, &server, err.fault());
                self.tried.push(server);
                None
            }
        }
    }

    /// Reuses an idle connection only if the call may be repeated: the server may have closed it.
    fn connection(&self, now: Millis, server: &BackendId) -> Connection {
        let may_reuse = self.req.route.kind.may_repeat() && !self.fresh_only;
        let idle = may_reuse.then(|| self.edge.pool.take(now, server));
        idle.flatten().map_or(Connection::Fresh, Connection::Open)
    }

    /// A time as a multiple of the route's latency objective.
    fn objectives(&self, factor: f64) -> Millis {
        Millis((self.req.route.objective.0 as f64 * factor) as u64)
    }

    async fn handle_answer(
        &mut self,
        server: Registration,
        tracked_send: TrackedSend,
        run: WatchedRun,
        answer: Answer,
        sent_at: Millis,
    ) -> SendResult {
        let delivery = match answer.facts.not_run {
            true => Delivery::Refused,
            false => Delivery::Accepted,
        };
        self.retries.end(SendKind::Run, delivery);
        let status = answer.response.status();
        if answer.facts.misdirected {
            let now = self.edge.now();
            tracked_send.end(SendOutcome::Failed(Fault::Misdirected));
            self.edge.logs.misdirected(now, self.req, &server.id);
            counters::retry("misdirected");
            return SendResult::TryNext;
        }
        if answer.facts.not_run {
            tracked_send.end(SendOutcome::Refused);
            counters::retry("not_run");
            return SendResult::TryNext;
        }
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
                tracked_send.end(SendOutcome::Failed(err.fault()));
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

    fn handle_failure(
        &mut self,
        server: &Registration,
        tracked_send: TrackedSend,
        err: SendError,
    ) -> SendResult {
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

    fn retry_or_fail(&self, failure: Failure, reason: &'static str) -> SendResult {
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
