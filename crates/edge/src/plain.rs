//! Request-response calls of plain services.

use std::sync::Arc;

use bv_admit::{CallRequest, Fault, PlacementError, SendOutcome, Work};
use bv_platform::{BackendHeaders, strip_answer};
use bv_retry::{Delivery, SendKind};
use bv_roster::Registration;
use bv_types::{BackendId, Millis, Refusal, Tokens};
use bytes::Bytes;
use http::{Response, StatusCode};

use crate::answer::{Body, Failure, full};
use crate::counters;
use crate::edge::{Edge, TrackedSend};
use crate::request::CallerRequest;
use crate::retries::{Retries, RetryKind};
use crate::send::{Answer, Connection, SendError, read_answer, send};

/// Time without an answer, in latency objectives, after which an idempotent call is sent to another
/// server: the call is late already, and its server probably hangs.
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

/// Result of one send.
enum SendResult {
    /// The answer for the caller.
    Done(Response<Body>),
    /// Another server may be tried.
    TryNext,
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
    loop {
        let server = match call.place() {
            Ok(server) => server,
            Err(failure) => return call.give_up(failure),
        };
        match call.send_to(server).await {
            SendResult::Done(response) => return Ok(response),
            SendResult::TryNext => {}
            SendResult::Fail(failure) => return call.give_up(failure),
        }
    }
}

impl Call<'_> {
    fn place(&mut self) -> Result<Registration, Failure> {
        let now = self.edge.now();
        let remaining = self.req.remaining(now);
        if remaining == Millis::ZERO {
            return Err(self.final_failure(Refusal::QueuedTooLong));
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

    async fn send_to(&mut self, server: Registration) -> SendResult {
        let now = self.edge.now();
        self.tried.push(server.id.clone());
        let attempt_timeout = self.attempt_timeout(now);
        let stuck_after = Millis((self.req.route.objective.0 as f64 * STUCK_OBJECTIVES) as u64);
        let work = Work {
            tokens: Tokens(0),
            stuck_after,
        };
        let tracked_send = TrackedSend::begin(self.edge, &server.id, work);
        let connection = self.connection(now, &server.id);
        let is_reused = matches!(connection, Connection::Open(_));
        let backend_headers = BackendHeaders::default();
        self.retries.begin();
        let sent = send(
            self.edge,
            self.req,
            &server,
            &backend_headers,
            connection,
            attempt_timeout,
        );
        match sent.await {
            Ok(answer) => self.handle_answer(server, tracked_send, answer, now).await,
            Err(err) => {
                if is_reused {
                    // The fault may be that of the reused connection, so the server is tried again
                    // on a new one.
                    self.tried.pop();
                    self.fresh_only = true;
                }
                self.handle_failure(&server, tracked_send, err)
            }
        }
    }

    /// Reuses an idle connection only if the call may be repeated: the server may have closed it.
    fn connection(&self, now: Millis, server: &BackendId) -> Connection {
        let may_reuse = self.req.route.kind.may_repeat() && !self.fresh_only;
        let idle = may_reuse.then(|| self.edge.pool.take(now, server));
        idle.flatten().map_or(Connection::Fresh, Connection::Open)
    }

    /// Timeout for the answer of the next server.
    fn attempt_timeout(&self, now: Millis) -> Millis {
        let remaining = self.req.remaining(now);
        let route = &self.req.route;
        if !route.kind.may_repeat()
            || self.runs + 1 >= route.max_attempts
            || !self.has_alternative(now)
        {
            return remaining;
        }
        let attempt_timeout =
            Millis((route.objective.0 as f64 * ATTEMPT_TIMEOUT_OBJECTIVES) as u64);
        attempt_timeout.min(remaining)
    }

    /// Whether another server could be tried; if not, a slow answer is better than none.
    fn has_alternative(&self, now: Millis) -> bool {
        let service = &self.req.service;
        let limits = self.edge.budget_limits();
        let mut state = self.edge.state();
        let is_untried = |id| !self.tried.contains(id);
        let has_other = state
            .roster
            .of_service(now, service)
            .any(|entry| is_untried(&entry.id) && state.announced.may_send(now, entry));
        has_other && state.retry_budgets.allows(now, service, limits)
    }

    async fn handle_answer(
        &mut self,
        server: Registration,
        tracked_send: TrackedSend,
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
            tracked_send.end(SendOutcome::Full);
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
        let (head, body) = match read_answer(self.edge, &server.id, answer, remaining).await {
            Ok(whole) => whole,
            Err(err) => {
                tracked_send.end(SendOutcome::Failed(err.fault()));
                let failure = match err {
                    SendError::Timeout(_) => Failure::DeadlinePassed,
                    _ => Failure::AnswerLost,
                };
                return self.retry_or_fail(failure, err.code());
            }
        };
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
        route.kind.may_repeat() && self.runs < route.max_attempts
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
