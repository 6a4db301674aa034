//! Calls of plain services.

use std::sync::Arc;

use bv_admit::{CallAsk, Ended, Fault, Refused, Work};
use bv_platform::{Marks, strip_answer};
use bv_roster::Entry;
use bv_types::{BackendId, Millis, Refusal, Tokens};
use bytes::Bytes;
use http::{Response, StatusCode};

use crate::answer::{Body, Failure, full};
use crate::counters;
use crate::edge::{Attempt, Edge};
use crate::request::CallerRequest;
use crate::send::{Answer, Connection, SendError, read_whole, send};

/// Time without an answer, in latency objectives, after which an idempotent call goes to another
/// server: it is late already, and its server is probably hanging.
const PATIENCE_OBJECTIVES: f64 = 1.25;
/// Time without an answer, in latency objectives, after which a server counts as stuck.
const STUCK_OBJECTIVES: f64 = 2.0;

/// Whether an earlier send may have run the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    NotRun,
    MayHaveRun,
}

struct Call<'a> {
    edge: &'a Arc<Edge>,
    req: &'a CallerRequest,
    tried: Vec<BackendId>,
    /// Servers that may have run the request.
    runs: u32,
    outcome: Outcome,
    /// Sends that reached a server.
    arrivals: u32,
    /// Whether a kept connection failed, so that only new ones are used.
    fresh_only: bool,
    /// The failure that a server itself answered with, kept while another server is tried.
    failure: Option<Response<Body>>,
}

/// Result of one send.
enum Step {
    /// The answer for the caller.
    Done(Response<Body>),
    /// Another server may be tried.
    Next,
    /// The request ends.
    Fail(Failure),
}

/// Serves a call: one send where the call runs at most once, repeated only after a server stated
/// that it did not run it; several sends within the retry budget where it is idempotent.
pub(crate) async fn call(edge: &Arc<Edge>, req: &CallerRequest) -> Result<Response<Body>, Failure> {
    let mut call = Call {
        edge,
        req,
        tried: Vec::new(),
        runs: 0,
        outcome: Outcome::NotRun,
        arrivals: 0,
        fresh_only: false,
        failure: None,
    };
    loop {
        let server = match call.place() {
            Ok(server) => server,
            Err(failure) => return call.give_up(failure),
        };
        match call.attempt(server).await {
            Step::Done(response) => return Ok(response),
            Step::Next => {}
            Step::Fail(failure) => return call.give_up(failure),
        }
    }
}

impl Call<'_> {
    fn place(&mut self) -> Result<Entry, Failure> {
        let now = self.edge.now();
        let remaining = self.req.remaining(now);
        if remaining == Millis::ZERO {
            return Err(self.ended(Refusal::QueuedTooLong));
        }
        let service = &self.req.service;
        let terms = self.edge.budget_terms();
        let mut state = self.edge.state();
        let state = &mut *state;
        let ask = CallAsk {
            service,
            zone: &self.edge.settings.zone,
            tried: &self.tried,
            remaining,
        };
        let entries = state.roster.of_service(now, service);
        let choice = state.fleet.place_call(now, ask, entries);
        match choice {
            Ok(choice) => {
                if self.arrivals > 0 && !state.take_repeat(now, service, terms) {
                    return Err(self.ended(Refusal::RetryBudget));
                }
                Ok(choice.server)
            }
            Err(Refused::NoServer | Refused::NoRoom) => Err(self.ended(Refusal::NoBackend)),
            Err(Refused::TooLate { retry_after }) => Err(match self.outcome {
                Outcome::MayHaveRun => Failure::Lost,
                Outcome::NotRun => Failure::NotRun {
                    reason: Refusal::QueueFull,
                    retry_after,
                },
            }),
        }
    }

    /// The failure of a request that is not sent again.
    fn ended(&self, reason: Refusal) -> Failure {
        match self.outcome {
            Outcome::NotRun => Failure::refused(reason),
            Outcome::MayHaveRun if reason == Refusal::QueuedTooLong => Failure::Late,
            Outcome::MayHaveRun => Failure::Lost,
        }
    }

    async fn attempt(&mut self, server: Entry) -> Step {
        let now = self.edge.now();
        self.tried.push(server.id.clone());
        let patience = self.patience(now);
        let stuck_after = Millis((self.req.route.objective.0 as f64 * STUCK_OBJECTIVES) as u64);
        let work = Work {
            tokens: Tokens(0),
            stuck_after,
        };
        let attempt = Attempt::begin(self.edge, &server.id, work);
        let connection = self.connection(now, &server.id);
        let is_reused = matches!(connection, Connection::Open(_));
        let marks = Marks::default();
        let sent = send(self.edge, self.req, &server, &marks, connection, patience);
        match sent.await {
            Ok(answer) => self.answered(server, attempt, answer, now).await,
            Err(err) => {
                if is_reused {
                    // The fault may be the old connection's; the server gets another try on a new one.
                    self.tried.pop();
                    self.fresh_only = true;
                }
                self.failed(&server, attempt, err)
            }
        }
    }

    /// An idle connection if the call can be repeated should the server have closed it.
    fn connection(&self, now: Millis, server: &BackendId) -> Connection {
        let may_reuse = self.req.route.kind.may_repeat() && !self.fresh_only;
        let idle = may_reuse.then(|| self.edge.pool.take(now, server));
        idle.flatten().map_or(Connection::Fresh, Connection::Open)
    }

    /// How long this server may take for its answer.
    fn patience(&self, now: Millis) -> Millis {
        let remaining = self.req.remaining(now);
        let route = &self.req.route;
        if !route.kind.may_repeat()
            || self.runs + 1 >= route.max_attempts
            || !self.has_alternative(now)
        {
            return remaining;
        }
        let patience = Millis((route.objective.0 as f64 * PATIENCE_OBJECTIVES) as u64);
        patience.min(remaining)
    }

    /// Whether another server could be tried: a slow answer is better than none.
    fn has_alternative(&self, now: Millis) -> bool {
        let service = &self.req.service;
        let terms = self.edge.budget_terms();
        let mut state = self.edge.state();
        let is_untried = |id| !self.tried.contains(id);
        let has_other = state
            .roster
            .of_service(now, service)
            .any(|entry| is_untried(&entry.id));
        has_other && state.allows_repeat(now, service, terms)
    }

    async fn answered(
        &mut self,
        server: Entry,
        attempt: Attempt,
        answer: Answer,
        sent_at: Millis,
    ) -> Step {
        self.arrivals += 1;
        let status = answer.response.status();
        if answer.facts.misdirected {
            let now = self.edge.now();
            attempt.end(Ended::Failed(Fault::Misdirected));
            self.edge.logs.misdirected(now, self.req, &server.id);
            counters::retry("misdirected");
            return Step::Next;
        }
        if answer.facts.not_run {
            attempt.end(Ended::Full);
            counters::retry("not_run");
            return Step::Next;
        }
        self.runs += 1;
        self.outcome = Outcome::MayHaveRun;
        if !answer.facts.stamped {
            // Without a stamp it is not the answer of the server's own run.
            attempt.end(Ended::Answered { error: true });
            return self.repeat_or(Failure::Lost, "server_error");
        }
        let remaining = self.req.remaining(self.edge.now());
        let (head, body) = match read_whole(self.edge, &server.id, answer, remaining).await {
            Ok(whole) => whole,
            Err(err) => {
                attempt.end(Ended::Failed(err.fault()));
                let failure = match err {
                    SendError::Late(_) => Failure::Late,
                    _ => Failure::Lost,
                };
                return self.repeat_or(failure, err.code());
            }
        };
        let error = status.is_server_error();
        attempt.end(Ended::Answered { error });
        let took = self.edge.now() - sent_at;
        self.edge
            .state()
            .fleet
            .observe_call(&self.req.service, took);
        if promises_not_run(status) {
            return self.repeat_or(Failure::Lost, "server_error");
        }
        let response = caller_response(head, body);
        if error && self.may_run_again() {
            self.failure = Some(response);
            counters::retry("server_error");
            return Step::Next;
        }
        Step::Done(response)
    }

    fn failed(&mut self, server: &Entry, attempt: Attempt, err: SendError) -> Step {
        attempt.end(Ended::Failed(err.fault()));
        self.edge
            .logs
            .send_failed(self.edge.now(), self.req, &server.id, &err);
        if let SendError::Unsent(_) = err {
            counters::retry(err.code());
            return Step::Next;
        }
        self.arrivals += 1;
        self.runs += 1;
        self.outcome = Outcome::MayHaveRun;
        let failure = match err {
            SendError::Late(_) => Failure::Late,
            _ => Failure::Lost,
        };
        self.repeat_or(failure, err.code())
    }

    fn may_run_again(&self) -> bool {
        let route = &self.req.route;
        route.kind.may_repeat() && self.runs < route.max_attempts
    }

    fn repeat_or(&self, failure: Failure, reason: &'static str) -> Step {
        match self.may_run_again() {
            true => {
                counters::retry(reason);
                Step::Next
            }
            false => Step::Fail(failure),
        }
    }

    /// Ends the request with a server's own failure if there is one.
    fn give_up(self, failure: Failure) -> Result<Response<Body>, Failure> {
        match self.failure {
            Some(response) => Ok(response),
            None => Err(failure),
        }
    }
}

/// Whether a status tells callers that the request did not run; a server may not say so of a
/// request that it may have run.
pub(crate) fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

/// A server's answer for the caller.
pub(crate) fn caller_response(head: Response<()>, body: Bytes) -> Response<Body> {
    let (mut parts, ()) = head.into_parts();
    strip_answer(&mut parts.headers);
    Response::from_parts(parts, full(body))
}
