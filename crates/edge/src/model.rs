//! Model calls: the prompt is read by one engine, the tokens come from another one.

use std::net::SocketAddr;
use std::sync::Arc;

use bv_admit::{Ended, Fault, ModelAsk, ModelPlan, Refused, Work};
use bv_platform::{Marks, PromptRead, handle_path, prompt_read};
use bv_roster::Entry;
use bv_route::Kind;
use bv_types::{BackendId, Millis, Refusal, Tokens, ZoneId};
use http::StatusCode;
use smol_str::SmolStr;

use crate::answer::{Failure, USUAL_RETRY_AFTER};
use crate::counters;
use crate::edge::{Attempt, Edge};
use crate::plain::promises_not_run;
use crate::request::CallerRequest;
use crate::send::{Answer, Reuse, SendError, read_whole, send};

/// Tokens assumed for a prompt or an answer whose size the caller does not name.
const USUAL_PROMPT: Tokens = Tokens(2_000);
const USUAL_OUTPUT: Tokens = Tokens(200);
/// Callers leave a stream whose first event takes longer than this many latency objectives.
const PATIENCE_OBJECTIVES: u64 = 4;
/// Time beyond the predicted one after which an engine that reads a prompt is given up.
const PREFILL_SLACK: Millis = Millis(600);
/// Time beyond the predicted one without an event after which a resumable stream goes elsewhere.
pub(crate) const STALL: Millis = Millis(1_200);
/// Sends for one request, of all kinds; more do not help a request that fails everywhere.
const MAX_SENDS: u32 = 8;
/// Time before the end of a handle's life in which it is not offered to another engine: the call
/// and the transfer take some of it.
const HANDLE_MARGIN: Millis = Millis(150);
/// Time to free the KV cache of a prompt that is not used.
const FREE_TIMEOUT: Millis = Millis(400);
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
    /// Last event that the caller has.
    pub last_event: Option<u64>,
}

/// A stream whose head has arrived.
#[derive(Debug)]
pub(crate) struct Opened {
    pub server: BackendId,
    pub attempt: Attempt,
    pub answer: Answer,
}

/// KV cache of a prompt that was read; freed at its engine unless it is taken.
#[derive(Debug)]
struct ReadPrompt {
    edge: Arc<Edge>,
    engine: Entry,
    handle: SmolStr,
    read_at: Millis,
    taken: bool,
}

impl Drop for ReadPrompt {
    fn drop(&mut self) {
        if !self.taken {
            tokio::spawn(free(
                self.edge.clone(),
                self.engine.address,
                self.handle.clone(),
            ));
        }
    }
}

async fn free(edge: Arc<Edge>, addr: SocketAddr, handle: SmolStr) {
    let terms = bv_link::ConnectTerms {
        timeout: FREE_TIMEOUT,
        unacknowledged: FREE_TIMEOUT,
    };
    let freeing = async {
        let mut channel = bv_link::connect(addr, terms)
            .await
            .map_err(|err| err.to_string())?;
        let req = http::Request::delete(handle_path(&handle))
            .header(http::header::HOST, addr.to_string())
            .body(Default::default())
            .map_err(|err| err.to_string())?;
        channel.send(req).await.map_err(|err| err.to_string())?;
        Ok::<(), String>(())
    };
    let result = match tokio::time::timeout(FREE_TIMEOUT.duration(), freeing).await {
        Ok(result) => result,
        Err(_) => Err(format!("no answer within {FREE_TIMEOUT}")),
    };
    counters::handle_freed(result.is_ok());
    if let Err(err) = result {
        // The engine drops the handle by itself when its life is over.
        edge.logs.handle_not_freed(edge.now(), addr, &err);
    }
}

/// How one plan ended.
enum Step {
    Opened(Opened),
    Next,
    Fail(Failure),
}

impl ModelCall {
    pub fn new(edge: &Arc<Edge>, req: Arc<CallerRequest>) -> Self {
        ModelCall {
            edge: edge.clone(),
            last_event: req.facts.last_event,
            req,
            tried: Vec::new(),
            runs: 0,
            sends: 0,
            prefills: 0,
            arrivals: 0,
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
            let plan = self.plan()?;
            let step = match plan {
                ModelPlan::Split {
                    prefill,
                    decode,
                    predicted,
                } => self.run_split(prefill, decode, predicted).await,
                ModelPlan::Direct { decode, predicted } => {
                    self.run_decode(decode, None, predicted).await
                }
            };
            match step {
                Step::Opened(opened) => return Ok(opened),
                Step::Next => {}
                Step::Fail(failure) => return Err(failure),
            }
        }
    }

    fn plan(&mut self) -> Result<ModelPlan, Failure> {
        let now = self.edge.now();
        if self.req.remaining(now) == Millis::ZERO {
            return Err(self.ended(Refusal::QueuedTooLong, USUAL_RETRY_AFTER));
        }
        if self.sends >= MAX_SENDS {
            return Err(self.ended(Refusal::NoBackend, USUAL_RETRY_AFTER));
        }
        let mut state = self.edge.state();
        let state = &mut *state;
        let ask = self.ask(now);
        let entries = state.roster.of_service(now, &self.req.service);
        match state.fleet.place_model(now, ask, entries) {
            Ok(plan) => Ok(plan),
            Err(Refused::NoServer) => Err(self.ended(Refusal::NoBackend, USUAL_RETRY_AFTER)),
            Err(Refused::TooLate { retry_after }) => {
                Err(self.ended(Refusal::FirstTokenTooLate, retry_after))
            }
        }
    }

    fn ask(&self, now: Millis) -> ModelAsk<'_> {
        let facts = &self.req.facts;
        let prompt = facts.prompt_tokens.unwrap_or(USUAL_PROMPT);
        let output = facts.max_output_tokens.unwrap_or(USUAL_OUTPUT);
        let engine = self.req.table.service(&self.req.service);
        let capacity = engine.and_then(|s| s.engine.as_ref()).map(|e| e.kv_capacity);
        let patience = Millis(self.req.route.objective.0 * PATIENCE_OBJECTIVES);
        let leaves_at = (self.req.arrived + patience).min(self.req.deadline);
        ModelAsk {
            service: &self.req.service,
            zone: &self.edge.settings.zone,
            tried: &self.tried,
            prompt,
            total: Tokens(prompt.0 + output.0),
            kv_capacity: capacity.unwrap_or(Tokens(u64::MAX)),
            remaining: leaves_at - now,
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

    async fn run_split(&mut self, prefill: Entry, decode: Entry, predicted: Millis) -> Step {
        // Room at the decode engine is taken before the prompt is read: the result lives only for
        // a fraction of a second.
        let room = self.begin(&decode, self.ask(self.edge.now()).total, predicted + STALL);
        let Some(prompt) = self.read_prompt(&prefill, predicted).await else {
            return Step::Next;
        };
        drop(room);
        self.run_decode(decode, Some(prompt), predicted).await
    }

    fn begin(&self, server: &Entry, tokens: Tokens, stuck_after: Millis) -> Attempt {
        let work = Work {
            tokens,
            stuck_after,
        };
        Attempt::begin(&self.edge, &server.id, work)
    }

    /// Has the prompt read; none if that failed, and another plan is needed.
    async fn read_prompt(&mut self, engine: &Entry, predicted: Millis) -> Option<ReadPrompt> {
        let is_first = self.prefills == 0;
        self.prefills += 1;
        self.avoid(&engine.id);
        if !self.may_send(is_first) {
            return None;
        }
        let began = self.edge.now();
        let was_idle = self.edge.state().fleet.own_sends(&engine.id) == 0;
        let tokens = self.ask(began).prompt;
        let patience = (predicted + PREFILL_SLACK).min(self.req.remaining(began));
        let attempt = self.begin(engine, tokens, patience);
        let marks = Marks {
            prefill_only: true,
            last_event: self.last_event,
            priority: Some(self.req.route.priority.min(MAX_PRIORITY)),
            ..Marks::default()
        };
        let sent = send(&self.edge, &self.req, engine, &marks, Reuse::Fresh, patience);
        match self.prompt_answer(engine, sent.await, patience).await {
            Ok(read) => {
                attempt.end(Ended::Answered { error: false });
                let now = self.edge.now();
                if was_idle {
                    let mut state = self.edge.state();
                    let took = now - began;
                    state.fleet.observe_prefill(&self.req.service, read.tokens, took);
                }
                self.tried.retain(|id| *id != engine.id);
                Some(ReadPrompt {
                    edge: self.edge.clone(),
                    engine: engine.clone(),
                    handle: read.handle,
                    read_at: now,
                    taken: false,
                })
            }
            Err(PromptError::NotRun) => {
                attempt.end(Ended::Full);
                counters::retry("prefill_not_run");
                None
            }
            Err(PromptError::Failed(fault, reason)) => {
                attempt.end(Ended::Failed(fault));
                counters::retry(reason);
                None
            }
        }
    }

    async fn prompt_answer(
        &self,
        engine: &Entry,
        sent: Result<Answer, SendError>,
        patience: Millis,
    ) -> Result<PromptRead, PromptError> {
        let log = |err: &SendError| {
            self.edge
                .logs
                .send_failed(self.edge.now(), &self.req, &engine.id, err);
            PromptError::Failed(err.fault(), err.code())
        };
        let answer = sent.map_err(|err| log(&err))?;
        if answer.facts.not_run {
            return Err(PromptError::NotRun);
        }
        let status = answer.response.status();
        let whole = read_whole(&self.edge, &engine.id, answer, patience).await;
        let (_, body) = whole.map_err(|err| log(&err))?;
        if status != StatusCode::OK {
            return Err(PromptError::Failed(Fault::Lost, "server_error"));
        }
        prompt_read(&body).map_err(|_| log(&SendError::Garbled("no handle of a prompt")))
    }

    /// Has the tokens produced, from the KV cache of `prompt` if there is one.
    async fn run_decode(
        &mut self,
        engine: Entry,
        prompt: Option<ReadPrompt>,
        predicted: Millis,
    ) -> Step {
        let mut engine = engine;
        let mut prompt = prompt;
        loop {
            if !self.may_send(self.arrivals == 0) {
                return Step::Fail(self.ended(Refusal::RetryBudget, USUAL_RETRY_AFTER));
            }
            let step = self.send_decode(&engine, prompt.as_mut(), predicted).await;
            let Step::Next = step else { return step };
            // The prompt need not be read again as long as its handle lives.
            match prompt.as_ref().and_then(|prompt| self.next_decode(prompt)) {
                Some(next) => engine = next,
                None => return Step::Next,
            }
        }
    }

    /// Another engine that can take over a prompt that was read.
    fn next_decode(&self, prompt: &ReadPrompt) -> Option<Entry> {
        let now = self.edge.now();
        let service = self.req.table.service(&self.req.service)?;
        let ttl = service.engine.as_ref()?.handle_ttl;
        if prompt.taken || now + HANDLE_MARGIN >= prompt.read_at + ttl || self.sends >= MAX_SENDS {
            return None;
        }
        let zone: Option<&ZoneId> = Some(&prompt.engine.zone);
        let mut state = self.edge.state();
        let state = &mut *state;
        let entries = state.roster.of_service(now, &self.req.service);
        let placed = state.fleet.place_decode(now, self.ask(now), zone, entries);
        placed.ok()
    }

    async fn send_decode(
        &mut self,
        engine: &Entry,
        prompt: Option<&mut ReadPrompt>,
        predicted: Millis,
    ) -> Step {
        let now = self.edge.now();
        // An engine that left while the prompt was read gets no new work.
        if self.edge.state().roster.usable(now, &engine.id).is_none() {
            self.avoid(&engine.id);
            return Step::Next;
        }
        let remaining = self.req.remaining(now);
        let patience = match self.req.route.kind {
            Kind::Stream { resumable: true } => (predicted + STALL).min(remaining),
            _ => remaining,
        };
        let attempt = self.begin(engine, self.ask(now).total, predicted + STALL);
        let marks = Marks {
            cache_from: prompt
                .as_ref()
                .map(|prompt| (prompt.engine.address, prompt.handle.as_str())),
            last_event: self.last_event,
            priority: Some(self.req.route.priority.min(MAX_PRIORITY)),
            ..Marks::default()
        };
        let sent = send(&self.edge, &self.req, engine, &marks, Reuse::Fresh, patience).await;
        drop(marks);
        match sent {
            Ok(answer) if answer.facts.not_run => {
                self.arrivals += 1;
                attempt.end(Ended::Full);
                self.avoid(&engine.id);
                counters::retry("decode_not_run");
                Step::Next
            }
            Ok(answer) => {
                self.arrivals += 1;
                self.runs += 1;
                if let Some(prompt) = prompt {
                    prompt.taken = true;
                }
                self.opened(engine, attempt, answer)
            }
            Err(err) => {
                attempt.end(Ended::Failed(err.fault()));
                self.avoid(&engine.id);
                self.edge
                    .logs
                    .send_failed(self.edge.now(), &self.req, &engine.id, &err);
                counters::retry(err.code());
                if let SendError::Unsent(_) = err {
                    return Step::Next;
                }
                self.arrivals += 1;
                self.runs += 1;
                if let Some(prompt) = prompt {
                    prompt.taken = true;
                }
                match (self.may_run_again(), err) {
                    (true, _) => Step::Next,
                    (false, SendError::Late(_)) => Step::Fail(Failure::Late),
                    (false, _) => Step::Fail(Failure::Lost),
                }
            }
        }
    }

    fn opened(&mut self, engine: &Entry, attempt: Attempt, answer: Answer) -> Step {
        let status = answer.response.status();
        let is_failure = !answer.facts.stamped || promises_not_run(status);
        if !status.is_success() && self.may_run_again() {
            attempt.end(Ended::Answered { error: true });
            self.avoid(&engine.id);
            counters::retry("server_error");
            return Step::Next;
        }
        if is_failure {
            attempt.end(Ended::Answered { error: true });
            return Step::Fail(Failure::Lost);
        }
        Step::Opened(Opened {
            server: engine.id.clone(),
            attempt,
            answer,
        })
    }
}

/// Why no prompt was read.
enum PromptError {
    NotRun,
    Failed(Fault, &'static str),
}
