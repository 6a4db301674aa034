//! Decoding of tokens at a decode engine.

use bv_admit::{Fault, SendOutcome};
use bv_platform::BackendHeaders;
use bv_retry::{Delivery, SendKind, Silence};
use bv_roster::Registration;
use bv_types::{Millis, ZoneId};
use http::StatusCode;

use super::prefill::PrefilledPrompt;
use super::reservation::Reservation;
use super::{
    MAX_SENDS, ModelCall, OpenedStream, PlanResult, PreparedDecode, STALL_TIMEOUT, Waited,
};
use crate::answer::Failure;
use crate::counters;
use crate::crashes::WatchedRun;
use crate::edge::TrackedSend;
use crate::plain::implies_not_run;
use crate::retries::RetryKind;
use crate::send::{Answer, Connection, SendError, is_event_stream, send};

/// Interval at which another decode engine is sought while the KV cache handle of a prompt is
/// valid.
const HANDLE_POLL: Millis = Millis(25);
/// Minimum remaining validity of a handle that is offered to another engine: the call and the
/// transfer take part of it.
const HANDLE_EXPIRY_MARGIN: Millis = Millis(150);

/// A chosen decode engine, with the capacity claimed at it and a connection.
#[derive(Debug)]
pub(super) struct DecodeTarget {
    pub engine: Registration,
    pub tracked_send: TrackedSend,
    pub connection: Connection,
    pub reservation: Option<Reservation>,
}

impl ModelCall {
    /// Opens the token stream at a prepared engine. While the KV cache of its prompt is valid, other
    /// decode engines are tried after a failed send.
    pub(super) async fn run_decode(&mut self, prepared: PreparedDecode) -> PlanResult {
        let PreparedDecode {
            mut target,
            mut prompt,
            predicted,
            ..
        } = prepared;
        loop {
            if !self.retries.take(&self.req, RetryKind::Decode) {
                return PlanResult::Fail(self.no_retry_left());
            }
            self.sends += 1;
            let result = self.send_decode(target, prompt.as_mut(), predicted).await;
            let (PlanResult::TryNextPlan, Some(prefilled)) = (&result, &prompt) else {
                return result;
            };
            // No second prefill is needed as long as the handle of the prompt is valid.
            match self.next_decode(prefilled, predicted).await {
                Some(next) => target = next,
                None => return PlanResult::TryNextPlan,
            }
        }
    }

    /// Waits for another engine with capacity that can take over a prefilled prompt.
    async fn next_decode(
        &mut self,
        prompt: &PrefilledPrompt,
        predicted: Millis,
    ) -> Option<DecodeTarget> {
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
                let entries = state.announced.allowed(now, entries);
                state
                    .fleet
                    .place_decode(now, self.placement_query(now), zone, entries)
            };
            if let Ok(engine) = placed {
                let tracked_send = self.begin(&engine, self.planned_tokens, STALL_TIMEOUT);
                if let Some(target) = self.reserve(&engine, tracked_send, predicted).await {
                    return Some(target);
                }
                continue;
            }
            tokio::time::sleep(HANDLE_POLL.duration()).await;
        }
    }

    async fn send_decode(
        &mut self,
        target: DecodeTarget,
        prompt: Option<&mut PrefilledPrompt>,
        predicted: Millis,
    ) -> PlanResult {
        let DecodeTarget {
            engine,
            tracked_send,
            connection,
            mut reservation,
        } = target;
        let now = self.edge.now();
        // An engine that left or began a rest during the prefill gets no new work.
        if !self.edge.state().may_send(now, &engine) {
            self.exclude(&engine.id);
            return PlanResult::TryNextPlan;
        }
        if let Some(failure) = self.edge.blocked(&self.req) {
            return PlanResult::Fail(self.blocked_failure(failure));
        }
        reservation.take_if(|reservation| now >= reservation.expires_at);
        let remaining = self.req.remaining(now);
        let backend_headers = BackendHeaders {
            kv_source: prompt
                .as_ref()
                .map(|prompt| (prompt.engine.address, prompt.handle.as_str())),
            reservation: reservation
                .as_ref()
                .map(|reservation| reservation.id.as_str()),
            last_event: self.last_event,
            ..BackendHeaders::default()
        };
        let patience = predicted + STALL_TIMEOUT;
        let silence = Silence::new(now, patience, self.req.deadline);
        let silence = match self.has_begun {
            true => silence.with_return(),
            false => silence,
        };
        let (edge, req) = (self.edge.clone(), self.req.clone());
        let mut is_silent = false;
        let run = WatchedRun::begin(&edge, &req, &engine);
        self.retries.begin();
        self.offered_at.send_replace(Some(now));
        let waited = {
            // Owned, so that the connection closes when the engine is left.
            let mut sending = Box::pin(send(
                &edge,
                &req,
                &engine,
                &backend_headers,
                connection,
                remaining,
            ));
            let patience = patience.min(remaining).duration();
            match tokio::time::timeout(patience, &mut sending).await {
                Ok(sent) => Waited::Engine(sent),
                Err(_) => {
                    is_silent = true;
                    // The engine may run the request, which a search elsewhere has to consider.
                    self.runs += 1;
                    let may_move = self.may_run_again();
                    self.wait_for(
                        &engine.id,
                        silence,
                        may_move,
                        sending,
                        Result::is_err,
                        ModelCall::search_opened,
                        || {},
                    )
                    .await
                }
            }
        };
        self.offered_at.send_replace(None);
        if let (Some(reservation), Waited::Engine(Ok(_))) = (&mut reservation, &waited) {
            reservation.used = true;
        }
        let delivery = match &waited {
            Waited::Engine(Ok(answer)) if !answer.facts.not_run => Delivery::Accepted,
            Waited::Engine(Err(SendError::Unsent(_))) => Delivery::NotSent,
            Waited::Engine(_) | Waited::Moved(_) | Waited::Lost(_) | Waited::DeadlinePassed => {
                Delivery::Refused
            }
        };
        self.retries.end(SendKind::Run, delivery);
        let sent = match waited {
            Waited::Engine(sent) => Ok(sent),
            Waited::DeadlinePassed => Ok(Err(SendError::Timeout(remaining))),
            Waited::Moved(next) => Err(PlanResult::Opened(Box::new(next))),
            Waited::Lost(failure) => Err(PlanResult::Fail(failure)),
        };
        let sent = match sent {
            Ok(sent) => sent,
            Err(result) => {
                let err = SendError::Timeout(self.edge.now() - now);
                self.record_failed_send(&engine, tracked_send, &err);
                if let Some(prompt) = prompt {
                    prompt.consumed = true;
                }
                return result;
            }
        };
        if is_silent {
            self.runs -= 1;
            self.release_retries();
        }
        match sent {
            Ok(answer) if answer.facts.not_run => {
                match answer.facts.misdirected {
                    true => self.handle_misdirected(&engine, tracked_send),
                    false => {
                        let status = answer.response.status();
                        self.handle_refusal(&engine, tracked_send, prompt, status);
                    }
                }
                PlanResult::TryNextPlan
            }
            Ok(answer) => {
                self.runs += 1;
                if let Some(prompt) = prompt {
                    prompt.consumed = true;
                    self.edge.state().fleet.record_success(&prompt.engine.id);
                }
                self.handle_answer(&engine, tracked_send, run, answer)
            }
            Err(err) => {
                run.fail(&err);
                self.record_failed_send(&engine, tracked_send, &err);
                if let SendError::Unsent(_) = err {
                    return PlanResult::TryNextPlan;
                }
                self.runs += 1;
                if let Some(prompt) = prompt {
                    prompt.consumed = true;
                }
                match (self.may_run_again(), err) {
                    (true, _) => PlanResult::TryNextPlan,
                    (false, SendError::Timeout(_)) => PlanResult::Fail(Failure::DeadlinePassed),
                    (false, _) => PlanResult::Fail(Failure::AnswerLost),
                }
            }
        }
    }

    /// Handles an answer that says that another process now has the engine's address, or that the
    /// engine has another role.
    pub(super) fn handle_misdirected(&mut self, engine: &Registration, tracked_send: TrackedSend) {
        counters::retry("misdirected");
        tracked_send.end(SendOutcome::Failed(Fault::Misdirected));
        self.exclude(&engine.id);
        let now = self.edge.now();
        self.edge.logs.misdirected(now, &self.req, &engine.id);
    }

    /// Handles a refusal by a decode engine: it is full, or the prefill engine no longer has the KV
    /// cache.
    fn handle_refusal(
        &mut self,
        engine: &Registration,
        tracked_send: TrackedSend,
        prompt: Option<&mut PrefilledPrompt>,
        status: StatusCode,
    ) {
        counters::retry("decode_not_run");
        let now = self.edge.now();
        let has_capacity = {
            let state = self.edge.state();
            let fleet = &state.fleet;
            // An engine that leaves or rests refuses whatever its capacity is.
            state.may_send(now, engine)
                && fleet.has_ample_capacity(now, &engine.id, &self.placement_query(now))
        };
        match prompt {
            // An engine that lacks the KV cache answers 503; 429 says that it takes no requests.
            Some(prompt) if has_capacity && status == StatusCode::SERVICE_UNAVAILABLE => {
                tracked_send.end(SendOutcome::Unverified);
                prompt.consumed = true;
                self.exclude(&prompt.engine.id);
                let mut state = self.edge.state();
                state
                    .fleet
                    .record_fault(now, &prompt.engine.id, Fault::NoAnswer);
                drop(state);
                self.edge
                    .logs
                    .prompt_lost(now, &self.req, &prompt.engine.id, &engine.id);
            }
            _ => {
                tracked_send.end(SendOutcome::Refused);
                self.exclude(&engine.id);
                self.edge.logs.engine_full(now, &self.req, &engine.id);
            }
        }
    }

    fn handle_answer(
        &mut self,
        engine: &Registration,
        tracked_send: TrackedSend,
        run: WatchedRun,
        answer: Answer,
    ) -> PlanResult {
        let status = answer.response.status();
        let is_failure = !answer.facts.stamped || implies_not_run(status);
        if !status.is_success() && self.may_run_again() {
            tracked_send.end(SendOutcome::Answered { error: true });
            self.exclude(&engine.id);
            counters::retry("server_error");
            return PlanResult::TryNextPlan;
        }
        let is_stream = status == StatusCode::OK && is_event_stream(answer.response.headers());
        if self.has_begun && !is_stream && self.may_run_again() {
            tracked_send.end(SendOutcome::Answered { error: true });
            self.exclude(&engine.id);
            counters::retry("no_event_stream");
            return PlanResult::TryNextPlan;
        }
        if is_failure || (self.has_begun && !is_stream) {
            tracked_send.end(SendOutcome::Answered { error: true });
            return PlanResult::Fail(Failure::AnswerLost);
        }
        PlanResult::Opened(Box::new(OpenedStream {
            server: engine.id.clone(),
            tracked_send,
            run,
            answer,
        }))
    }
}
