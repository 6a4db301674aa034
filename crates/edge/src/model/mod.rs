//! Model calls: one engine prefills the prompt, another one decodes the tokens.

mod decode;
mod place;
mod prefill;
mod reservation;

use std::sync::Arc;

use bv_admit::{Ended, ModelPlan, ModelRequest, Work};
use bv_roster::Entry;
use bv_types::{BackendId, Millis, Refusal, Tokens};

use self::decode::Target;
use crate::answer::Failure;
use crate::counters;
use crate::edge::{Attempt, Edge};
use crate::request::CallerRequest;
use crate::send::{Answer, Connection, SendError};

/// Assumed size of a prompt whose size the caller does not state.
const DEFAULT_PROMPT_TOKENS: Tokens = Tokens(2_000);
/// Tokens reserved for a stream beyond those that it has produced.
const GROWTH_TOKENS: u64 = 150;
/// Time without an event, beyond the predicted time, after which a resumable stream moves to
/// another engine.
pub(crate) const STALL_TIMEOUT: Millis = Millis(1_200);
/// Maximum number of sends for one request, of all kinds. More sends do not help a request that
/// fails at every engine.
const MAX_SENDS: u32 = 8;
/// Largest priority value that engines accept; 0 is the most urgent.
const MAX_PRIORITY: u8 = 9;

/// A model call in progress, across all its sends.
#[derive(Debug)]
pub(crate) struct ModelCall {
    edge: Arc<Edge>,
    pub req: Arc<CallerRequest>,
    tried: Vec<BackendId>,
    /// Number of engines that may have run the request.
    pub runs: u32,
    sends: u32,
    prefills: u32,
    delivered: u32,
    /// Tokens of prompt and answer for which KV cache capacity is planned.
    planned_tokens: Tokens,
    /// Tokens in one event of the service's streams.
    event_tokens: u64,
    /// Id of the last event that the caller received.
    pub last_event: Option<u64>,
    /// When the first event was forwarded to the caller.
    pub first_at: Option<Millis>,
    /// Longest pause between two forwarded events.
    pub longest_pause: Millis,
}

/// A stream whose response head has arrived.
#[derive(Debug)]
pub(crate) struct Opened {
    pub server: BackendId,
    pub attempt: Attempt,
    pub answer: Answer,
}

/// Result of carrying out one plan.
enum Step {
    Opened(Box<Opened>),
    Next,
    Fail(Failure),
}

impl ModelCall {
    pub fn new(edge: &Arc<Edge>, req: Arc<CallerRequest>) -> Self {
        let service = req.table.service(&req.service);
        let engine = service.and_then(|service| service.engine.as_ref());
        let facts = &req.facts;
        let mut state = edge.state();
        if let Some(tokens) = facts.prompt_tokens {
            state.fleet.observe_prompt(&req.service, tokens);
        }
        let output = state.fleet.planned_output(
            &req.service,
            facts.expected_output_tokens,
            facts.max_output_tokens,
        );
        drop(state);
        ModelCall {
            edge: edge.clone(),
            last_event: facts.last_event,
            planned_tokens: Tokens(
                facts.prompt_tokens.unwrap_or(DEFAULT_PROMPT_TOKENS).0 + output.0,
            ),
            event_tokens: engine.map_or(1, |engine| engine.event_tokens),
            req,
            tried: Vec::new(),
            runs: 0,
            sends: 0,
            prefills: 0,
            delivered: 0,
            first_at: None,
            longest_pause: Millis::ZERO,
        }
    }

    /// Whether the request may run again at another engine.
    pub fn may_run_again(&self) -> bool {
        let route = &self.req.route;
        route.kind.may_repeat() && (self.runs == 0 || self.runs < route.max_attempts)
    }

    /// Excludes an engine that failed from further plans of this call.
    pub fn avoid(&mut self, server: &BackendId) {
        if !self.tried.contains(server) {
            self.tried.push(server.clone());
        }
    }

    /// Opens the stream; tries as many engines as the route and the retry budget allow.
    ///
    /// # Errors
    /// No engine can run it in time, or it may have run without an answer.
    pub async fn open(&mut self) -> Result<Opened, Failure> {
        loop {
            let (plan, attempt) = self.place().await?;
            let step = match plan {
                ModelPlan::Split {
                    prefill,
                    decode,
                    predicted,
                } => self.run_split(prefill, decode, attempt, predicted).await,
                ModelPlan::Direct { decode, predicted } => {
                    attempt.confirm();
                    let target = Target {
                        engine: decode,
                        attempt,
                        connection: Connection::Fresh,
                        reservation: None,
                    };
                    self.run_decode(target, None, predicted).await
                }
            };
            match step {
                Step::Opened(opened) => return Ok(*opened),
                Step::Next => {}
                Step::Fail(failure) => return Err(failure),
            }
        }
    }

    /// Tokens of the answer that the caller received so far.
    pub fn output(&self) -> Tokens {
        Tokens(self.last_event.unwrap_or(0) * self.event_tokens)
    }

    /// Minimum number of KV cache tokens that the stream needs.
    pub fn min_tokens(&self) -> Tokens {
        Tokens(self.prompt().0 + self.output().0 + GROWTH_TOKENS)
    }

    fn prompt(&self) -> Tokens {
        self.req
            .facts
            .prompt_tokens
            .unwrap_or(DEFAULT_PROMPT_TOKENS)
    }

    fn placement_query(&self, now: Millis) -> ModelRequest<'_> {
        let engine = self.req.table.service(&self.req.service);
        let capacity = engine
            .and_then(|s| s.engine.as_ref())
            .map(|e| e.kv_capacity);
        ModelRequest {
            service: &self.req.service,
            zone: &self.edge.settings.zone,
            tried: &self.tried,
            prompt: self.prompt(),
            total: self.planned_tokens,
            kv_capacity: capacity.unwrap_or(Tokens(u64::MAX)),
            remaining: self.req.remaining(now),
            hosts_before: 0,
        }
    }

    /// The failure to report for a request that is not sent again.
    fn final_failure(&self, reason: Refusal, retry_after: Millis) -> Failure {
        match self.runs {
            0 => Failure::NotRun {
                reason,
                retry_after,
            },
            _ if reason == Refusal::QueuedTooLong => Failure::DeadlinePassed,
            _ => Failure::AnswerLost,
        }
    }

    /// Counts a send; returns false if it is a retry that the budget does not allow.
    fn may_send(&mut self, is_first: bool) -> bool {
        self.sends += 1;
        if is_first {
            return true;
        }
        let now = self.edge.now();
        let terms = self.edge.budget_terms();
        let mut state = self.edge.state();
        state.take_retry(now, &self.req.service, terms)
    }

    async fn run_split(
        &mut self,
        prefill: Entry,
        decode: Entry,
        attempt: Attempt,
        predicted: Millis,
    ) -> Step {
        // Reserving before the prefill detects a decode engine that does not answer or is full
        // before work is spent on the prompt.
        let Some(target) = self.reserve(&decode, attempt, predicted).await else {
            return Step::Next;
        };
        match self.prefill_prompt(&prefill, predicted).await {
            Some(prompt) => self.run_decode(target, Some(prompt), predicted).await,
            None => Step::Next,
        }
    }

    /// Records a failed send and excludes its engine.
    fn record_failed_send(&mut self, engine: &Entry, attempt: Attempt, err: &SendError) {
        attempt.end(Ended::Failed(err.fault()));
        self.avoid(&engine.id);
        let now = self.edge.now();
        self.edge.logs.send_failed(now, &self.req, &engine.id, err);
        counters::retry(err.code());
    }

    fn begin(&self, server: &Entry, tokens: Tokens, stuck_after: Millis) -> Attempt {
        let work = Work {
            tokens,
            stuck_after,
        };
        Attempt::begin(&self.edge, &server.id, work)
    }
}
