//! Model calls: the prompt is read by one engine, the tokens come from another one.

use std::net::SocketAddr;
use std::sync::Arc;

use bv_admit::{Ended, Fault, ModelAsk, ModelPlan, Refused, Ticket, Waiting, Work};
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
use crate::send::{Answer, Connection, SendError, open, read_whole, send};

/// Tokens assumed for a prompt whose size the caller does not name.
const USUAL_PROMPT: Tokens = Tokens(2_000);
/// Callers leave a stream whose first event takes longer than this many latency objectives.
const PATIENCE_OBJECTIVES: u64 = 4;
/// Time that the first event takes once there is room: reading, transfer and the first step.
const FIRST_EVENT: Millis = Millis(350);
/// Longest wait for room of a stream that goes on elsewhere; callers leave a stream after a pause of
/// at least two seconds.
const RESUME_WAIT: Millis = Millis(1_500);
/// Interval at which a waiting call looks for room if nothing wakes it: avoided engines return with
/// time.
const ROOM_POLL: Millis = Millis(50);
/// Share of the time left that a caller honours of a Retry-After.
const RETRY_AFTER_SHARE: u64 = 3;
/// Interval at which another engine is sought while the handle of a prompt lives.
const HANDLE_POLL: Millis = Millis(25);
/// Tokens kept free beyond those that a stream has produced.
const GROWTH_TOKENS: u64 = 150;
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

/// A place in the queue; given up when dropped.
#[derive(Debug)]
struct Waiter {
    edge: Arc<Edge>,
    ticket: Ticket,
    /// When waiting longer is of no use to the caller.
    until: Millis,
}

impl Drop for Waiter {
    fn drop(&mut self) {
        self.edge.state().queue.remove(self.ticket);
        self.edge.use_changed();
    }
}

/// An engine that is to produce tokens, with its room and connection.
#[derive(Debug)]
struct Target {
    engine: Entry,
    room: Attempt,
    connection: Connection,
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
                    let target = Target {
                        engine: decode,
                        room,
                        connection: Connection::Fresh,
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

    /// Waits for room at a decode engine and takes it.
    async fn place(&mut self) -> Result<(ModelPlan, Attempt), Failure> {
        let edge = self.edge.clone();
        let waiter = self.wait_in_queue()?;
        loop {
            let room = edge.room.notified();
            if let Some(placed) = self.try_place(&waiter)? {
                return Ok(placed);
            }
            // Without a signal the poll looks again.
            let _ = tokio::time::timeout(ROOM_POLL.duration(), room).await;
        }
    }

    /// Joins the queue, or refuses at once if room is predicted too late.
    fn wait_in_queue(&self) -> Result<Waiter, Failure> {
        let now = self.edge.now();
        let objective = self.req.route.objective;
        let patience = Millis(objective.0 * PATIENCE_OBJECTIVES);
        let first = self.runs == 0;
        let until = match first {
            true => self.req.arrived + (patience - FIRST_EVENT),
            false => now + RESUME_WAIT,
        };
        let until = until.min(self.req.deadline);
        let waiting = Waiting {
            priority: self.req.route.priority,
            arrived: self.req.arrived,
            on_time_until: self.req.arrived + (objective - FIRST_EVENT),
            tokens: self.planned,
        };
        let (ticket, wait) = {
            let mut state = self.edge.state();
            let state = &mut *state;
            let ticket = state.queue.push(waiting);
            let ahead = state.queue.ahead(now, ticket);
            let ahead = Tokens(ahead.0 + state.fleet.peers_waiting().0);
            let entries = state.roster.of_service(now, &self.req.service);
            (
                ticket,
                state.fleet.room_wait(now, &self.ask(now), ahead, entries),
            )
        };
        let waiter = Waiter {
            edge: self.edge.clone(),
            ticket,
            until,
        };
        if now + wait > until {
            let retry_after = self.come_back(now, wait);
            return Err(self.ended(Refusal::FirstTokenTooLate, retry_after));
        }
        Ok(waiter)
    }

    /// When a caller may come back if room is predicted after `wait`.
    fn come_back(&self, now: Millis, wait: Millis) -> Millis {
        let honoured = Millis(self.req.remaining(now).0 / RETRY_AFTER_SHARE);
        wait.max(USUAL_RETRY_AFTER).min(honoured)
    }

    fn try_place(&self, waiter: &Waiter) -> Result<Option<(ModelPlan, Attempt)>, Failure> {
        let now = self.edge.now();
        if now >= waiter.until {
            let retry_after = self.come_back(now, USUAL_RETRY_AFTER);
            return Err(self.ended(Refusal::QueuedTooLong, retry_after));
        }
        if self.sends >= MAX_SENDS {
            return Err(self.ended(Refusal::NoBackend, USUAL_RETRY_AFTER));
        }
        let mut guard = self.edge.state();
        let state = &mut *guard;
        if state.queue.first(now) != Some(waiter.ticket) {
            return Ok(None);
        }
        let ask = self.ask(now);
        let entries = state.roster.of_service(now, &self.req.service);
        let plan = match state.fleet.place_model(now, ask, entries) {
            Ok(plan) => plan,
            Err(Refused::NoRoom) => return Ok(None),
            Err(Refused::NoServer) => {
                return Err(self.ended(Refusal::NoBackend, USUAL_RETRY_AFTER));
            }
            Err(Refused::TooLate { retry_after }) => {
                return Err(self.ended(Refusal::FirstTokenTooLate, retry_after));
            }
        };
        // Room is taken before the prompt is read: the result lives only for a fraction of a second.
        let (ModelPlan::Split { decode, .. } | ModelPlan::Direct { decode, .. }) = &plan;
        let work = Work {
            tokens: self.planned,
            stuck_after: plan.predicted() + STALL,
        };
        let send = state.fleet.begin(now, &decode.id, work);
        let decode = decode.id.clone();
        drop(guard);
        Ok(Some((plan, Attempt::begun(&self.edge, &decode, send))))
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
        // The connection for the tokens is opened meanwhile: an engine that does not answer is
        // noticed before the prompt waits for it.
        let patience = self.req.remaining(self.edge.now());
        let (prompt, opened) = tokio::join!(
            self.read_prompt(&prefill, predicted),
            open(&decode, patience)
        );
        let target = match opened {
            Ok(channel) => Some(Target {
                engine: decode,
                room,
                connection: Connection::Open(channel),
            }),
            Err(err) => {
                self.send_failed(&decode, room, &err);
                None
            }
        };
        let Some(prompt) = prompt else {
            return Step::Next;
        };
        let target = match target {
            Some(target) => target,
            None => match self.next_decode(&prompt).await {
                Some(target) => target,
                None => return Step::Next,
            },
        };
        self.run_decode(target, Some(prompt), predicted).await
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
        let tokens = self.prompt();
        let patience = (predicted + PREFILL_SLACK).min(self.req.remaining(began));
        let attempt = self.begin(engine, tokens, patience);
        let marks = Marks {
            prefill_only: true,
            last_event: self.last_event,
            priority: Some(self.req.route.priority.min(MAX_PRIORITY)),
            ..Marks::default()
        };
        let sent = send(
            &self.edge,
            &self.req,
            engine,
            &marks,
            Connection::Fresh,
            patience,
        );
        match self.prompt_answer(engine, sent.await, patience).await {
            Ok(read) => {
                attempt.end(Ended::Unproven);
                let now = self.edge.now();
                if was_idle {
                    let mut state = self.edge.state();
                    let took = now - began;
                    state
                        .fleet
                        .observe_prefill(&self.req.service, read.tokens, took);
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
        if answer.facts.misdirected {
            return Err(PromptError::Failed(Fault::Misdirected, "misdirected"));
        }
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
        target: Target,
        prompt: Option<ReadPrompt>,
        predicted: Millis,
    ) -> Step {
        let mut target = target;
        let mut prompt = prompt;
        loop {
            if !self.may_send(self.arrivals == 0) {
                return Step::Fail(self.ended(Refusal::RetryBudget, USUAL_RETRY_AFTER));
            }
            let step = self.send_decode(target, prompt.as_mut(), predicted).await;
            let (Step::Next, Some(read)) = (&step, &prompt) else {
                return step;
            };
            // The prompt need not be read again as long as its handle lives.
            match self.next_decode(read).await {
                Some(next) => target = next,
                None => return Step::Next,
            }
        }
    }

    /// Another engine that can take over a prompt that was read, as soon as one has room.
    async fn next_decode(&self, prompt: &ReadPrompt) -> Option<Target> {
        let service = self.req.table.service(&self.req.service)?;
        let ttl = service.engine.as_ref()?.handle_ttl;
        let zone: Option<&ZoneId> = Some(&prompt.engine.zone);
        loop {
            let now = self.edge.now();
            let is_over = now + HANDLE_MARGIN >= prompt.read_at + ttl;
            if prompt.taken || is_over || self.sends >= MAX_SENDS {
                return None;
            }
            let placed = {
                let mut state = self.edge.state();
                let state = &mut *state;
                let entries = state.roster.of_service(now, &self.req.service);
                state.fleet.place_decode(now, self.ask(now), zone, entries)
            };
            if let Ok(engine) = placed {
                let room = self.begin(&engine, self.planned, STALL);
                return Some(Target {
                    engine,
                    room,
                    connection: Connection::Fresh,
                });
            }
            tokio::time::sleep(HANDLE_POLL.duration()).await;
        }
    }

    async fn send_decode(
        &mut self,
        target: Target,
        prompt: Option<&mut ReadPrompt>,
        predicted: Millis,
    ) -> Step {
        let Target {
            engine,
            room: attempt,
            connection,
        } = target;
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
        let marks = Marks {
            cache_from: prompt
                .as_ref()
                .map(|prompt| (prompt.engine.address, prompt.handle.as_str())),
            last_event: self.last_event,
            priority: Some(self.req.route.priority.min(MAX_PRIORITY)),
            ..Marks::default()
        };
        let sent = send(&self.edge, &self.req, &engine, &marks, connection, patience).await;
        match sent {
            Ok(answer) if answer.facts.not_run => {
                self.arrivals += 1;
                if prompt.is_some() {
                    // The first prompt of a request is free only if its tokens follow.
                    let terms = self.edge.budget_terms();
                    let mut state = self.edge.state();
                    state.charge_repeat(now, &self.req.service, terms);
                }
                match answer.facts.misdirected {
                    true => self.misdirected(&engine, attempt),
                    false => self.not_run(&engine, attempt, prompt),
                }
                Step::Next
            }
            Ok(answer) => {
                self.arrivals += 1;
                self.runs += 1;
                if let Some(prompt) = prompt {
                    prompt.taken = true;
                    self.edge.state().fleet.vouch(&prompt.engine.id);
                }
                self.opened(&engine, attempt, answer)
            }
            Err(err) => {
                self.send_failed(&engine, attempt, &err);
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

    /// Another process has the engine's address, or it has another role now.
    fn misdirected(&mut self, engine: &Entry, attempt: Attempt) {
        counters::retry("misdirected");
        attempt.end(Ended::Failed(Fault::Misdirected));
        self.avoid(&engine.id);
        let now = self.edge.now();
        self.edge.logs.misdirected(now, &self.req, &engine.id);
    }

    /// A decode engine refused: it is full, or the prompt is gone at the engine that read it.
    fn not_run(&mut self, engine: &Entry, attempt: Attempt, prompt: Option<&mut ReadPrompt>) {
        counters::retry("decode_not_run");
        let now = self.edge.now();
        let has_room = {
            let state = self.edge.state();
            state.fleet.has_ample_room(now, &engine.id, &self.ask(now))
        };
        match prompt {
            Some(prompt) if has_room => {
                attempt.end(Ended::Unproven);
                prompt.taken = true;
                self.avoid(&prompt.engine.id);
                let mut state = self.edge.state();
                state.fleet.blame(now, &prompt.engine.id, Fault::Lost);
                drop(state);
                self.edge
                    .logs
                    .prompt_gone(now, &self.req, &prompt.engine.id, &engine.id);
            }
            _ => {
                attempt.end(Ended::Full);
                self.avoid(&engine.id);
                self.edge.logs.engine_full(now, &self.req, &engine.id);
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
        Step::Opened(Box::new(Opened {
            server: engine.id.clone(),
            attempt,
            answer,
        }))
    }
}

/// Why no prompt was read.
enum PromptError {
    NotRun,
    Failed(Fault, &'static str),
}
