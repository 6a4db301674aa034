//! Model calls: the prompt is read by one engine, the tokens come from another one.

mod decode;
mod hold;
mod place;
mod prompt;

use std::sync::Arc;

use bv_admit::{Ended, ModelAsk, ModelPlan, Work};
use bv_roster::Entry;
use bv_types::{BackendId, Millis, Refusal, Tokens};

use self::decode::Target;
use crate::answer::Failure;
use crate::counters;
use crate::edge::{Attempt, Edge};
use crate::request::CallerRequest;
use crate::send::{Answer, Connection, SendError};

/// Tokens assumed for a prompt whose size the caller does not name.
const USUAL_PROMPT: Tokens = Tokens(2_000);
/// Tokens kept free beyond those that a stream has produced.
const GROWTH_TOKENS: u64 = 150;
/// Time beyond the predicted one without an event after which a resumable stream goes elsewhere.
pub(crate) const STALL: Millis = Millis(1_200);
/// Sends for one request, of all kinds; more do not help a request that fails everywhere.
const MAX_SENDS: u32 = 8;
/// Largest priority of an engine; 0 is first.
const MAX_PRIORITY: u8 = 9;

/// A model call in progress, over all its sends.
#[derive(Debug)]
pub(crate) struct ModelCall {
    edge: Arc<Edge>,
    pub req: Arc<CallerRequest>,
    tried: Vec<BackendId>,
    /// Engines that may have run the request.
    pub runs: u32,
    sends: u32,
    prefills: u32,
    arrivals: u32,
    /// Tokens of prompt and answer that room is planned for.
    planned: Tokens,
    /// Tokens in one event of the service.
    event_tokens: u64,
    /// Last event that the caller has.
    pub last_event: Option<u64>,
    /// When the first event was forwarded.
    pub first_at: Option<Millis>,
    /// Longest pause between two events.
    pub longest_pause: Millis,
}

/// A stream whose head has arrived.
#[derive(Debug)]
pub(crate) struct Opened {
    pub server: BackendId,
    pub attempt: Attempt,
    pub answer: Answer,
}

/// How one plan ended.
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
            planned: Tokens(facts.prompt_tokens.unwrap_or(USUAL_PROMPT).0 + output.0),
            event_tokens: engine.map_or(1, |engine| engine.event_tokens),
            req,
            tried: Vec::new(),
            runs: 0,
            sends: 0,
            prefills: 0,
            arrivals: 0,
            first_at: None,
            longest_pause: Millis::ZERO,
        }
    }

    /// Whether the stream may go on at another engine.
    pub fn may_run_again(&self) -> bool {
        let route = &self.req.route;
        route.kind.may_repeat() && (self.runs == 0 || self.runs < route.max_attempts)
    }

    /// Gives up an engine that failed.
    pub fn avoid(&mut self, server: &BackendId) {
        if !self.tried.contains(server) {
            self.tried.push(server.clone());
        }
    }

    /// Opens the stream, at as many engines as the route and the budget allow.
    ///
    /// # Errors
    /// No engine can run it in time, or it may have run without an answer.
    pub async fn open(&mut self) -> Result<Opened, Failure> {
        loop {
            let (plan, room) = self.place().await?;
            let step = match plan {
                ModelPlan::Split {
                    prefill,
                    decode,
                    predicted,
                } => self.run_split(prefill, decode, room, predicted).await,
                ModelPlan::Direct { decode, predicted } => {
                    room.confirm();
                    let target = Target {
                        engine: decode,
                        room,
                        connection: Connection::Fresh,
                        hold: None,
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

    /// Tokens of the answer so far.
    pub fn output(&self) -> Tokens {
        Tokens(self.last_event.unwrap_or(0) * self.event_tokens)
    }

    /// Tokens that the stream needs at least.
    pub fn needed(&self) -> Tokens {
        Tokens(self.prompt().0 + self.output().0 + GROWTH_TOKENS)
    }

    fn prompt(&self) -> Tokens {
        self.req.facts.prompt_tokens.unwrap_or(USUAL_PROMPT)
    }

    fn ask(&self, now: Millis) -> ModelAsk<'_> {
        let engine = self.req.table.service(&self.req.service);
        let capacity = engine
            .and_then(|s| s.engine.as_ref())
            .map(|e| e.kv_capacity);
        ModelAsk {
            service: &self.req.service,
            zone: &self.edge.settings.zone,
            tried: &self.tried,
            prompt: self.prompt(),
            total: self.planned,
            kv_capacity: capacity.unwrap_or(Tokens(u64::MAX)),
            remaining: self.req.remaining(now),
            hosts_before: 0,
        }
    }

    /// The failure of a request that is not sent again.
    fn ended(&self, reason: Refusal, retry_after: Millis) -> Failure {
        match self.runs {
            0 => Failure::NotRun {
                reason,
                retry_after,
            },
            _ if reason == Refusal::QueuedTooLong => Failure::Late,
            _ => Failure::Lost,
        }
    }

    /// Counts a send; false if it is a repeat that the budget does not allow.
    fn may_send(&mut self, is_first: bool) -> bool {
        self.sends += 1;
        if is_first {
            return true;
        }
        let now = self.edge.now();
        let terms = self.edge.budget_terms();
        let mut state = self.edge.state();
        state.take_repeat(now, &self.req.service, terms)
    }

    async fn run_split(
        &mut self,
        prefill: Entry,
        decode: Entry,
        room: Attempt,
        predicted: Millis,
    ) -> Step {
        // An engine that does not answer or has no room is noticed before the prompt is read.
        let Some(target) = self.reserve(&decode, room, predicted).await else {
            return Step::Next;
        };
        match self.read_prompt(&prefill, predicted).await {
            Some(prompt) => self.run_decode(target, Some(prompt), predicted).await,
            None => Step::Next,
        }
    }

    /// Records a send that failed.
    fn send_failed(&mut self, engine: &Entry, attempt: Attempt, err: &SendError) {
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
