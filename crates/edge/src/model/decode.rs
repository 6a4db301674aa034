//! Decoding of tokens at a decode engine.

use bv_admit::{Ended, Fault};
use bv_platform::BackendHeaders;
use bv_roster::Entry;
use bv_route::Kind;
use bv_types::{Millis, Refusal, ZoneId};

use super::prefill::PrefilledPrompt;
use super::reservation::Reservation;
use super::{MAX_PRIORITY, MAX_SENDS, ModelCall, Opened, STALL_TIMEOUT, Step};
use crate::answer::{DEFAULT_RETRY_AFTER, Failure};
use crate::counters;
use crate::edge::Attempt;
use crate::plain::implies_not_run;
use crate::send::{Answer, Connection, SendError, send};

/// Interval at which another decode engine is sought while the KV cache handle of a prompt is
/// valid.
const HANDLE_POLL: Millis = Millis(25);
/// Time before a handle expires in which it is not offered to another engine: the call and the
/// transfer take part of the remaining validity.
const HANDLE_EXPIRY_MARGIN: Millis = Millis(150);

/// A chosen decode engine, with the capacity claimed at it and a connection.
#[derive(Debug)]
pub(super) struct Target {
    pub engine: Entry,
    pub attempt: Attempt,
    pub connection: Connection,
    pub reservation: Option<Reservation>,
}

impl ModelCall {
    /// Has the tokens decoded, from the KV cache of `prompt` if there is one.
    pub(super) async fn run_decode(
        &mut self,
        target: Target,
        prompt: Option<PrefilledPrompt>,
        predicted: Millis,
    ) -> Step {
        let mut target = target;
        let mut prompt = prompt;
        loop {
            if !self.may_send(self.delivered == 0) {
                return Step::Fail(self.final_failure(Refusal::RetryBudget, DEFAULT_RETRY_AFTER));
            }
            let step = self.send_decode(target, prompt.as_mut(), predicted).await;
            let (Step::Next, Some(prefilled)) = (&step, &prompt) else {
                return step;
            };
            // No second prefill is needed as long as the handle of the prompt is valid.
            match self.next_decode(prefilled, predicted).await {
                Some(next) => target = next,
                None => return Step::Next,
            }
        }
    }

    /// Waits for another engine with capacity that can take over a prefilled prompt.
    async fn next_decode(&mut self, prompt: &PrefilledPrompt, predicted: Millis) -> Option<Target> {
        let service = self.req.table.service(&self.req.service)?;
        let ttl = service.engine.as_ref()?.handle_ttl;
        let zone: Option<&ZoneId> = Some(&prompt.engine.zone);
        loop {
            let now = self.edge.now();
            let is_expiring = now + HANDLE_EXPIRY_MARGIN >= prompt.prefilled_at + ttl;
            if prompt.consumed || is_expiring || self.sends >= MAX_SENDS {
                return None;
            }
            let placed = {
                let mut state = self.edge.state();
                let state = &mut *state;
                let entries = state.roster.of_service(now, &self.req.service);
                state
                    .fleet
                    .place_decode(now, self.placement_query(now), zone, entries)
            };
            if let Ok(engine) = placed {
                let attempt = self.begin(&engine, self.planned_tokens, STALL_TIMEOUT);
                if let Some(target) = self.reserve(&engine, attempt, predicted).await {
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
        prompt: Option<&mut PrefilledPrompt>,
        predicted: Millis,
    ) -> Step {
        let Target {
            engine,
            attempt,
            connection,
            mut reservation,
        } = target;
        let now = self.edge.now();
        // An engine that left during the prefill gets no new work.
        if self.edge.state().roster.usable(now, &engine.id).is_none() {
            self.avoid(&engine.id);
            return Step::Next;
        }
        let remaining = self.req.remaining(now);
        let timeout = match self.req.route.kind {
            Kind::Stream { resumable: true } => (predicted + STALL_TIMEOUT).min(remaining),
            _ => remaining,
        };
        let backend_headers = BackendHeaders {
            cache_from: prompt
                .as_ref()
                .map(|prompt| (prompt.engine.address, prompt.handle.as_str())),
            hold: reservation.as_ref().map(|held| held.name.as_str()),
            last_event: self.last_event,
            priority: Some(self.req.route.priority.min(MAX_PRIORITY)),
            ..BackendHeaders::default()
        };
        let sent = send(
            &self.edge,
            &self.req,
            &engine,
            &backend_headers,
            connection,
            timeout,
        )
        .await;
        if let (Some(reservation), Ok(_)) = (&mut reservation, &sent) {
            reservation.used = true;
        }
        match sent {
            Ok(answer) if answer.facts.not_run => {
                self.delivered += 1;
                if prompt.is_some() {
                    // The first prefill of a request is not charged to the budget only if a decode
                    // follows.
                    let terms = self.edge.budget_terms();
                    let mut state = self.edge.state();
                    state.charge_retry(now, &self.req.service, terms);
                }
                match answer.facts.misdirected {
                    true => self.handle_misdirected(&engine, attempt),
                    false => self.handle_refusal(&engine, attempt, prompt),
                }
                Step::Next
            }
            Ok(answer) => {
                self.delivered += 1;
                self.runs += 1;
                if let Some(prompt) = prompt {
                    prompt.consumed = true;
                    self.edge.state().fleet.record_success(&prompt.engine.id);
                }
                self.handle_answer(&engine, attempt, answer)
            }
            Err(err) => {
                self.record_failed_send(&engine, attempt, &err);
                if let SendError::Unsent(_) = err {
                    return Step::Next;
                }
                self.delivered += 1;
                self.runs += 1;
                if let Some(prompt) = prompt {
                    prompt.consumed = true;
                }
                match (self.may_run_again(), err) {
                    (true, _) => Step::Next,
                    (false, SendError::Timeout(_)) => Step::Fail(Failure::DeadlinePassed),
                    (false, _) => Step::Fail(Failure::AnswerLost),
                }
            }
        }
    }

    /// Handles an answer that says that another process now has the engine's address, or that the
    /// engine has another role.
    pub(super) fn handle_misdirected(&mut self, engine: &Entry, attempt: Attempt) {
        counters::retry("misdirected");
        attempt.end(Ended::Failed(Fault::Misdirected));
        self.avoid(&engine.id);
        let now = self.edge.now();
        self.edge.logs.misdirected(now, &self.req, &engine.id);
    }

    /// Handles a refusal by a decode engine: it is full, or the prefill engine no longer has the KV
    /// cache.
    fn handle_refusal(
        &mut self,
        engine: &Entry,
        attempt: Attempt,
        prompt: Option<&mut PrefilledPrompt>,
    ) {
        counters::retry("decode_not_run");
        let now = self.edge.now();
        let has_capacity = {
            let state = self.edge.state();
            state
                .fleet
                .has_ample_capacity(now, &engine.id, &self.placement_query(now))
        };
        match prompt {
            Some(prompt) if has_capacity => {
                attempt.end(Ended::Unverified);
                prompt.consumed = true;
                self.avoid(&prompt.engine.id);
                let mut state = self.edge.state();
                state
                    .fleet
                    .record_fault(now, &prompt.engine.id, Fault::Lost);
                drop(state);
                self.edge
                    .logs
                    .prompt_lost(now, &self.req, &prompt.engine.id, &engine.id);
            }
            _ => {
                attempt.end(Ended::Full);
                self.avoid(&engine.id);
                self.edge.logs.engine_full(now, &self.req, &engine.id);
            }
        }
    }

    fn handle_answer(&mut self, engine: &Entry, attempt: Attempt, answer: Answer) -> Step {
        let status = answer.response.status();
        let is_failure = !answer.facts.stamped || implies_not_run(status);
        if !status.is_success() && self.may_run_again() {
            attempt.end(Ended::Answered { error: true });
            self.avoid(&engine.id);
            counters::retry("server_error");
            return Step::Next;
        }
        if is_failure {
            attempt.end(Ended::Answered { error: true });
            return Step::Fail(Failure::AnswerLost);
        }
        Step::Opened(Box::new(Opened {
            server: engine.id.clone(),
            attempt,
            answer,
        }))
    }
}
