//! Production of the tokens at a decode engine.

use bv_admit::{Ended, Fault};
use bv_platform::Marks;
use bv_roster::Entry;
use bv_route::Kind;
use bv_types::{Millis, Refusal, ZoneId};

use super::hold::Hold;
use super::prompt::ReadPrompt;
use super::{MAX_PRIORITY, MAX_SENDS, ModelCall, Opened, STALL, Step};
use crate::answer::{Failure, USUAL_RETRY_AFTER};
use crate::counters;
use crate::edge::Attempt;
use crate::plain::promises_not_run;
use crate::send::{Answer, Connection, SendError, send};

/// Interval at which another engine is sought while the handle of a prompt lives.
const HANDLE_POLL: Millis = Millis(25);
/// Time before the end of a handle's life in which it is not offered to another engine: the call
/// and the transfer take some of it.
const HANDLE_MARGIN: Millis = Millis(150);

/// An engine that is to produce tokens, with its room and connection.
#[derive(Debug)]
pub(super) struct Target {
    pub engine: Entry,
    pub room: Attempt,
    pub connection: Connection,
    pub hold: Option<Hold>,
}

impl ModelCall {
    /// Has the tokens produced, from the KV cache of `prompt` if there is one.
    pub(super) async fn run_decode(
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
            match self.next_decode(read, predicted).await {
                Some(next) => target = next,
                None => return Step::Next,
            }
        }
    }

    /// Another engine that can take over a prompt that was read, as soon as one has room.
    async fn next_decode(&mut self, prompt: &ReadPrompt, predicted: Millis) -> Option<Target> {
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
                if let Some(target) = self.reserve(&engine, room, predicted).await {
                    return Some(target);
                }
                continue;
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
            mut hold,
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
            hold: hold.as_ref().map(|hold| hold.name.as_str()),
            last_event: self.last_event,
            priority: Some(self.req.route.priority.min(MAX_PRIORITY)),
            ..Marks::default()
        };
        let sent = send(&self.edge, &self.req, &engine, &marks, connection, patience).await;
        if let (Some(hold), Ok(_)) = (&mut hold, &sent) {
            hold.used = true;
        }
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
    pub(super) fn misdirected(&mut self, engine: &Entry, attempt: Attempt) {
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
