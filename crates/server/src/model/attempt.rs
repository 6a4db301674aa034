//! One attempt of a model call: prefill, transfer and decode.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use axum::response::{IntoResponse, Response};
use bv_config::{Class, Model};
use bv_types::{AttemptId, BackendId, Millis, Refusal, RetryReason};
use bv_wire::AttemptEnd;
use serde_json::{Value, json};
use tracing::debug;

use super::check::ModelCall;
use super::stream::{DecodeRequest, DecodeStream};
use crate::backend::CallError;
use crate::limits::TeamPermit;
use crate::open_attempt::{OpenAttempt, address};
use crate::placement::{self, GrantGuard, OpenGrant, PlacementRequest};
use crate::{Host, crash};

/// A step counts as stalled after this many times its predicted time plus `STEP_MARGIN`.
const STEP_FACTOR: u64 = 3;
const STEP_MARGIN: Millis = Millis(1_000);

/// Why an attempt gave no answer.
#[derive(Debug)]
pub(super) enum Failure {
    /// It was refused before it was sent to a runner.
    Refused(Refusal),
    /// It failed at a runner.
    AtRunner {
        reason: RetryReason,
        runner: BackendId,
    },
}

/// An attempt with its grant; dropping it frees the engine memory and the reservations.
pub(super) struct Attempt {
    pub host: Arc<Host>,
    pub id: AttemptId,
    pub grant: OpenGrant,
    pub guard: GrantGuard,
    pub open: OpenAttempt,
    pub deadline: Millis,
    pub _permit: Option<Arc<TeamPermit>>,
}

/// Runs one attempt until it has the whole answer or the first event of its stream.
pub(super) async fn run(
    host: &Arc<Host>,
    call: &ModelCall,
    id: AttemptId,
    avoid: &[BackendId],
    may_have_run: &AtomicBool,
) -> Result<Response, Failure> {
    let request = placement_request(call, id.clone(), avoid);
    let (guard, grant) = placement::request_grant(host, &call.inventory, &call.model, &request)
        .await
        .map_err(Failure::Refused)?;
    let mut attempt = Attempt {
        host: host.clone(),
        open: OpenAttempt::new(host, id.clone()),
        id,
        grant,
        guard,
        deadline: request.deadline,
        _permit: call.permit.clone(),
    };
    let mut body = call.body.clone();
    body["request_id"] = json!(attempt.id.to_string());
    body["priority"] = json!(priority(&call.model));
    body["kv_transfer_params"] = attempt.prefill(&body, may_have_run).await?;
    attempt.wait_for_slot(call).await?;
    attempt.decode(call, body).await
}

/// Priority in the engine's queue; lower goes first.
fn priority(model: &Model) -> i32 {
    match model.class {
        Class::Urgent => 0,
        Class::Waiting => 1,
    }
}

fn placement_request(
    call: &ModelCall,
    attempt: AttemptId,
    avoid: &[BackendId],
) -> PlacementRequest {
    let deadline = call.arrived + call.model.deadline;
    // The first-token limit applies only to streams, where the caller sees the first token. A
    // repeated attempt is better late than refused, and so is an urgent call, which takes little of
    // the capacity; for these only the deadline counts.
    let has_first_token_limit = call.streamed && !call.buffered && attempt.attempt == 0;
    let first_token_by = match has_first_token_limit && call.model.class == Class::Waiting {
        true => call.arrived + call.model.first_token,
        false => deadline,
    };
    PlacementRequest {
        attempt,
        team: call.team.clone(),
        prompt: call.prompt,
        max_output: call.max_output,
        prefix_key: call.prefix_key,
        first_token_by: first_token_by.min(deadline),
        deadline,
        fingerprint: call.fingerprint,
        avoid: avoid.to_vec(),
    }
}

impl Attempt {
    async fn prefill(&mut self, body: &Value, may_have_run: &AtomicBool) -> Result<Value, Failure> {
        let mut body = body.clone();
        body["stream"] = json!(false);
        body["max_tokens"] = json!(1);
        body["kv_transfer_params"] = json!({"do_remote_decode": true, "do_remote_prefill": false});
        let runner = self.grant.prefill.clone();
        let addr = address(&self.host, &runner).ok_or(Failure::Refused(Refusal::NoBackend))?;
        self.open.sent_to(&runner);
        let ran_before = may_have_run.swap(true, Ordering::Relaxed);
        let answer = self.host.backends.chat("prefill", addr, &self.id, &body);
        let limit = self.step_limit(self.grant.prefill_time);
        match tokio::time::timeout(limit, answer).await {
            Ok(Ok(mut answer)) => Ok(answer["kv_transfer_params"].take()),
            Ok(Err(err)) => {
                // Nothing was sent over a connection that failed to open.
                let connect_failed = matches!(err, CallError::ConnectFailed { .. });
                may_have_run.store(ran_before || !connect_failed, Ordering::Relaxed);
                Err(self.record_failure(&runner, &err))
            }
            Err(_) => Err(runner_failure(&runner, RetryReason::Timeout)),
        }
    }

    async fn wait_for_slot(&mut self, call: &ModelCall) -> Result<(), Failure> {
        if self.grant.slot_ready {
            placement::report_prefill(&self.host, &self.guard, &self.grant);
        } else {
            let eviction = call.inventory.pool(&call.model.pool).map(|p| p.eviction);
            let limit = eviction.unwrap_or(STEP_MARGIN);
            placement::wait_for_slot(&self.host, &self.guard, &self.grant, limit)
                .await
                .map_err(|reason| runner_failure(&self.grant.decode, reason))?;
        }
        self.guard.mark_decoding();
        Ok(())
    }

    async fn decode(mut self, call: &ModelCall, body: Value) -> Result<Response, Failure> {
        let runner = self.grant.decode.clone();
        let addr = address(&self.host, &runner).ok_or(Failure::Refused(Refusal::NoBackend))?;
        self.open.sent_to(&runner);
        let decode_start_limit = self.step_limit(self.grant.first_token - self.grant.prefill_time);
        if call.streamed {
            let decode = DecodeRequest { addr, body };
            let start = DecodeStream::start(self, decode);
            let stream = match tokio::time::timeout(decode_start_limit, start).await {
                Ok(started) => started?,
                Err(_) => return Err(runner_failure(&runner, RetryReason::TransferStalled)),
            };
            return match call.buffered {
                true => stream.collect().await,
                false => Ok(stream.into_response()),
            };
        }
        let limit = (decode_start_limit + self.decode_limit(call)).min(self.time_left());
        let answer = self.host.backends.chat("decode", addr, &self.id, &body);
        match tokio::time::timeout(limit, answer).await {
            Ok(Ok(answer)) => {
                self.finish();
                Ok(axum::Json(answer).into_response())
            }
            Ok(Err(err)) => Err(self.record_failure(&runner, &err)),
            Err(_) => Err(runner_failure(&runner, RetryReason::TransferStalled)),
        }
    }

    /// Time limit of a step with this predicted time; it ends at the deadline at the latest.
    fn step_limit(&self, predicted: Millis) -> Duration {
        let limit = Millis(predicted.0.saturating_mul(STEP_FACTOR)) + STEP_MARGIN;
        limit.duration().min(self.time_left())
    }

    /// Time limit to generate the whole output in a full batch.
    fn decode_limit(&self, call: &ModelCall) -> Duration {
        let Some(pool) = call.inventory.pool(&call.model.pool) else {
            return self.time_left();
        };
        let others = f64::from(pool.slots.saturating_sub(1));
        let gap_ms = pool.token_gap_ms + pool.token_gap_slope_ms * others;
        Millis((gap_ms * call.max_output.0 as f64) as u64 * STEP_FACTOR).duration()
    }

    fn time_left(&self) -> Duration {
        (self.deadline - self.host.clock.now()).duration()
    }

    /// Records that the whole answer has arrived. The engines hold no memory for the attempt then,
    /// so dropping it sends no cancel.
    pub fn finish(&mut self) {
        self.open.finish();
        self.guard.set_end(AttemptEnd::Completed);
    }

    /// Records a failed call to a runner.
    pub fn record_failure(&mut self, runner: &BackendId, err: &CallError) -> Failure {
        debug!(%err, attempt = %self.id, "model: call to a runner failed");
        if matches!(err, CallError::Lost { .. }) {
            crash::runner_connection_lost(runner);
        }
        // Nothing was sent over a connection that failed to open, so it cannot have crashed the
        // engine.
        if !matches!(err, CallError::ConnectFailed { .. }) {
            self.guard.set_end(AttemptEnd::Failed);
        }
        runner_failure(runner, err.reason())
    }
}

/// Logs and returns a failure at a runner.
pub(super) fn runner_failure(runner: &BackendId, reason: RetryReason) -> Failure {
    debug!(%runner, %reason, "model: attempt failed at the runner");
    Failure::AtRunner {
        reason,
        runner: runner.clone(),
    }
}
