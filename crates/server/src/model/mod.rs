//! Model calls: prefill, transfer of the KV cache and decode.

mod attempt;
mod budget;
mod check;
mod gate;
mod stream;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use axum::extract::{Request, State};
use axum::response::Response;
use bv_types::{Refusal, RequestId};

use attempt::Failure;
use check::ModelCall;
use gate::AnswerGate;

pub(crate) use budget::RetryBudget;

use crate::{Host, counters, crash, error_response};

/// Largest number of attempts of a request, so that one request cannot use up the retry budget.
const MAX_ATTEMPTS: u32 = 3;

/// Answers a chat completion.
pub(crate) async fn chat(State(host): State<Arc<Host>>, req: Request) -> Response {
    let call = match check::parse_call(&host, req).await {
        Ok(call) => call,
        Err(refusal) => return error_response::not_run(refusal),
    };
    if crash::is_blocked(&host, &call.fingerprint) {
        return error_response::not_run(Refusal::CrashesEngines);
    }
    let may_have_run = AtomicBool::new(false);
    let run = run(&host, &call, &may_have_run);
    match tokio::time::timeout(call.model.deadline.duration(), run).await {
        Ok(answer) => answer,
        Err(_) if may_have_run.load(Ordering::Relaxed) => error_response::unknown("deadline"),
        Err(_) => error_response::not_run(Refusal::QueuedTooLong),
    }
}

/// Runs attempts until one has an answer. Nothing is sent to the caller before that, so a failed
/// attempt can be repeated.
async fn run(host: &Arc<Host>, call: &ModelCall, may_have_run: &AtomicBool) -> Response {
    let request: RequestId = host.next_request();
    let gate = AnswerGate::default();
    let mut avoid = Vec::new();
    host.retry_budget.first_attempt(host.clock.now());
    for number in 0..MAX_ATTEMPTS {
        let attempt = request.attempt(number);
        let failure = match attempt::run(host, call, attempt, &avoid, may_have_run).await {
            Ok(answer) if gate.pass(number) => return answer,
            Ok(_) => {
                counters::answer_dropped("late");
                continue;
            }
            Err(failure) => failure,
        };
        let (reason, runner) = match failure {
            Failure::Refused(refusal) => return failure_answer(refusal, may_have_run),
            Failure::AtRunner { reason, runner } => (reason, runner),
        };
        if number + 1 == MAX_ATTEMPTS {
            break;
        }
        if !host.retry_budget.take(host.clock.now()) {
            return failure_answer(Refusal::RetryBudget, may_have_run);
        }
        counters::retried(reason);
        avoid.push(runner);
    }
    failure_answer(Refusal::ConnectRefused, may_have_run)
}

/// Answers "not run" only if no engine can have worked on the request, else "unknown".
fn failure_answer(refusal: Refusal, may_have_run: &AtomicBool) -> Response {
    match may_have_run.load(Ordering::Relaxed) {
        true => error_response::unknown("attempt_failed"),
        false => error_response::not_run(refusal),
    }
}
