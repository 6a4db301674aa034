//! Model calls: one engine prefills the prompt, another one decodes the tokens.

mod decode;
mod place;
mod prefill;
mod reservation;
mod silence;

use std::sync::Arc;

use bv_admit::{ModelPlan, ModelRequest, SendOutcome, Work};
use bv_retry::Purpose;
use bv_roster::Registration;
use bv_types::{BackendId, Millis, Refusal, Tokens};
use tokio::sync::watch;

use self::decode::DecodeTarget;
use self::prefill::{Prefill, PrefilledPrompt};
use self::silence::SearchFuture;
pub(crate) use self::silence::Waited;
use crate::answer::{DEFAULT_RETRY_AFTER, Failure};
use crate::counters;
use crate::crashes::WatchedRun;
use crate::edge::{Edge, TrackedSend};
use crate::request::CallerRequest;
use crate::retries::{Retries, RetryKind};
use crate::send::{Answer, Connection, SendError};

/// Assumed size of a prompt whose size the caller does not state.
const DEFAULT_PROMPT_TOKENS: Tokens = Tokens(2_000);
/// Tokens reserved for a stream beyond those that it has produced.
const GROWTH_TOKENS: Tokens = Tokens(150);
/// Time without an event, beyond the predicted time, after which another engine is sought for a
/// resumable stream.
pub(crate) const STALL_TIMEOUT: Millis = Millis(1_200);
/// Maximum number of sends for one request, of all kinds. More sends do not help a request that
/// fails at every engine.
const MAX_SENDS: u32 = 8;

/// A model call in progress, across all its sends.
#[derive(Debug)]
pub(crate) struct ModelCall {
    edge: Arc<Edge>,
    pub req: Arc<CallerRequest>,
    /// Engines that are excluded from further plans of this call.
    tried: Vec<BackendId>,
    /// Number of engines that may have run the request.
    pub runs: u32,
    /// Number of sends of all kinds.
    sends: u32,
    retries: Retries,
    /// When the request was sent to an engine that has neither accepted nor refused it yet.
    offered_at: watch::Sender<Option<Millis>>,
    /// Whether the caller has received the head of a stream, so that only another stream may follow.
    pub has_begun: bool,
    /// Tokens of prompt and answer for which KV cache capacity is planned.
    planned_tokens: Tokens,
    /// Tokens in one event of the service's streams.
    event_tokens: u64,
    /// Id of the last event that the caller received.
    pub last_event: Option<u64>,
    /// When the latest plan was made, after the wait for capacity.
    pub placed_at: Millis,
    /// When the prompt of the latest plan was prefilled apart.
    pub prefilled_at: Option<Millis>,
    /// When the first event was forwarded to the caller.
    pub first_at: Option<Millis>,
    /// Longest pause between two forwarded events.
    pub longest_pause: Millis,
}

/// A stream whose response head has arrived.
#[derive(Debug)]
pub(crate) struct OpenedStream {
    pub server: BackendId,
    pub tracked_send: TrackedSend,
    pub run: WatchedRun,
    pub answer: Answer,
}

impl OpenedStream {
    /// Ends the send with an answer that is not used.
    fn end_with_error(self) {
        self.tracked_send.end(SendOutcome::Answered { error: true });
    }
}

/// A decode engine that is ready for the request, with the prompt if it was prefilled apart.
#[derive(Debug)]
pub(crate) struct PreparedDecode {
    target: DecodeTarget,
    prompt: Option<PrefilledPrompt>,
    /// Predicted time from the plan to the first event.
    predicted: Millis,
    placed_at: Millis,
}

/// Result of sending the request to a prepared engine.
enum PlanResult {
    Opened(Box<OpenedStream>),
    /// Another plan may be tried.
    TryNextPlan,
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
        let retries = Retries::new(edge, &req.service);
        ModelCall {
            edge: edge.clone(),
            last_event: facts.last_event,
            planned_tokens: facts.prompt_tokens.unwrap_or(DEFAULT_PROMPT_TOKENS) + output,
            event_tokens: engine.map_or(1, |engine| engine.event_tokens),
            req,
            tried: Vec::new(),
            runs: 0,
            sends: 0,
            retries,
            offered_at: watch::Sender::new(None),
            has_begun: false,
            placed_at: Millis::ZERO,
            prefilled_at: None,
            first_at: None,
            longest_pause: Millis::ZERO,
        }
    }

    /// Whether the request may run again at another engine.
    pub fn may_run_again(&self) -> bool {
        let route = &self.req.route;
        route.kind.may_repeat()
            && (self.runs == 0 || (self.runs < route.max_attempts && self.may_retry()))
    }

    /// Whether the request may be sent again although its engine may have crashed because of it.
    fn may_retry(&self) -> bool {
        let state = self.edge.state();
        state.crashes.may_retry(self.edge.now(), &self.req.content)
    }

    /// The failure of a request whose content is blocked, which may have run.
    fn blocked_failure(&self, refusal: Failure) -> Failure {
        match self.runs {
            0 => refusal,
            _ => Failure::AnswerLost,
        }
    }

    /// Excludes an engine that failed from further plans of this call.
    pub fn exclude(&mut self, server: &BackendId) {
        if !self.tried.contains(server) {
            self.tried.push(server.clone());
        }
    }

    /// Opens the stream; tries as many engines as the route and the retry budget allow.
    ///
    /// # Errors
    /// No engine can run it in time, or it may have run without an answer.
    pub async fn open(&mut self) -> Result<OpenedStream, Failure> {
        let prepared = self.prepare().await?;
        self.start(prepared).await
    }

    /// Prepares an engine for the request, which may still be in progress at another one; tries as
    /// many engines as the retry budget allows.
    ///
    /// # Errors
    /// No engine can run it in time.
    pub fn prepare(&mut self) -> SearchFuture<'_, PreparedDecode> {
        // Boxed because a search for another prefill engine prepares a decode engine as well.
        Box::pin(async move {
            loop {
                if let Some(failure) = self.edge.blocked(&self.req) {
                    return Err(self.blocked_failure(failure));
                }
                match self.has_begun {
                    true => self.retries.set_purpose(Purpose::Resume),
                    // A prefill in flight may go on, and its decode needs a retry that was taken.
                    false if self.retries.is_in_flight() => {}
                    // Other requests may use the retries while this one waits.
                    false => self.retries.release(),
                }
                // Without a retry the call ends at once instead of waiting for capacity.
                if !self.retries.may_run(&self.req, RetryKind::Decode) {
                    return Err(self.no_retry_left());
                }
                let (plan, tracked_send) = self.place().await?;
                let prepared = match plan {
                    ModelPlan::Split {
                        prefill,
                        decode,
                        predicted,
                    } => {
                        self.prepare_split(prefill, decode, tracked_send, predicted)
                            .await?
                    }
                    ModelPlan::Direct { decode, predicted } => {
                        self.prepare_direct(decode, tracked_send, predicted).await?
                    }
                };
                if let Some(prepared) = prepared {
                    return Ok(prepared);
                }
            }
        })
    }

    /// Starts the stream at a prepared engine; after a failure at others.
    ///
    /// # Errors
    /// No engine can run it in time, or it may have run without an answer.
    pub async fn start(&mut self, prepared: PreparedDecode) -> Result<OpenedStream, Failure> {
        let mut prepared = prepared;
        loop {
            self.placed_at = prepared.placed_at;
            self.prefilled_at = prepared.prompt.as_ref().map(|prompt| prompt.prefilled_at);
            prepared = match self.run_decode(prepared).await {
                PlanResult::Opened(opened) => {
                    self.retries.release();
                    return Ok(*opened);
                }
                PlanResult::TryNextPlan => self.prepare().await?,
                PlanResult::Fail(failure) => return Err(failure),
            }
        }
    }

    /// Tokens of the answer that the caller received so far.
    pub fn output(&self) -> Tokens {
        let events = self.last_event.unwrap_or(0);
        Tokens(events.saturating_mul(self.event_tokens))
    }

    /// Minimum number of KV cache tokens that the stream needs.
    pub fn min_tokens(&self) -> Tokens {
        self.prompt() + self.output() + GROWTH_TOKENS
    }

    fn prompt(&self) -> Tokens {
        self.req
            .facts
            .prompt_tokens
            .unwrap_or(DEFAULT_PROMPT_TOKENS)
    }

    fn placement_query(&self, now: Millis) -> ModelRequest<'_> {
        let service = self.req.table.service(&self.req.service);
        let capacity = service
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
            peers_before: 0,
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

    fn no_retry_left(&self) -> Failure {
        self.final_failure(Refusal::RetryBudget, DEFAULT_RETRY_AFTER)
    }

    async fn prepare_split(
        &mut self,
        prefill: Registration,
        decode: Registration,
        tracked_send: TrackedSend,
        predicted: Millis,
    ) -> Result<Option<PreparedDecode>, Failure> {
        let placed_at = self.edge.now();
        // Without a retry for the decode, the prompt would be prefilled in vain.
        if !self.retries.take(&self.req, RetryKind::Split) {
            return Err(self.no_retry_left());
        }
        // Reserving before the prefill detects a decode engine that does not answer or is full
        // before work is spent on the prompt.
        let Some(target) = self.reserve(&decode, tracked_send, predicted).await else {
            return Ok(None);
        };
        Ok(match self.prefill_prompt(&prefill, predicted).await {
            Prefill::Done(prompt) => Some(PreparedDecode {
                target,
                prompt: Some(prompt),
                predicted,
                placed_at,
            }),
            Prefill::Moved(prepared) => Some(*prepared),
            Prefill::Failed => None,
        })
    }

    async fn prepare_direct(
        &mut self,
        decode: Registration,
        tracked_send: TrackedSend,
        predicted: Millis,
    ) -> Result<Option<PreparedDecode>, Failure> {
        let placed_at = self.edge.now();
        if !self.retries.take(&self.req, RetryKind::Decode) {
            return Err(self.no_retry_left());
        }
        // A request that has begun elsewhere must not end because this engine is full.
        let target = if self.runs > 0 {
            self.reserve(&decode, tracked_send, predicted).await
        } else {
            tracked_send.confirm();
            Some(DecodeTarget {
                engine: decode,
                tracked_send,
                connection: Connection::Fresh,
                reservation: None,
            })
        };
        Ok(target.map(|target| PreparedDecode {
            target,
            prompt: None,
            predicted,
            placed_at,
        }))
    }

    /// Gives back retries that were taken for a search and are not needed, because the engine went on.
    pub fn release_retries(&mut self) {
        self.retries.release();
    }

    /// Records a failed send and excludes its engine.
    fn record_failed_send(
        &mut self,
        engine: &Registration,
        tracked_send: TrackedSend,
        err: &SendError,
    ) {
        tracked_send.end(SendOutcome::Failed(err.fault()));
        self.exclude(&engine.id);
        let now = self.edge.now();
        self.edge.logs.send_failed(now, &self.req, &engine.id, err);
        counters::retry(err.code());
    }

    fn begin(&self, server: &Registration, tokens: Tokens, stuck_after: Millis) -> TrackedSend {
        let work = Work {
            tokens,
            stuck_after,
        };
        TrackedSend::begin(&self.edge, &server.id, work)
    }
}
