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
use check::Call;
use gate::AnswerGate;

pub(crate) use budget::RetryBudget;

use crate::{Host, answer, counters, crash};

/// Largest number of attempts of a request, so that one request cannot use up the retry budget.
const MAX_ATTEMPTS: u32 = 3;

/// Answers a chat completion.
pub(crate) async fn chat(State(host): State<Arc<Host>>, req: Request) -> Response {
    let call = match check::read(&host, req).await {
        Ok(call) => call,
        Err(refusal) => return answer::not_run(refusal),
    };
    if crash::is_blocked(&host, &call.fingerprint) {
        return answer::not_run(Refusal::CrashesEngines);
    }
    let may_have_run = AtomicBool::new(false);
    let run = run(&host, &call, &may_have_run);
    match tokio::time::timeout(call.model.deadline.duration(), run).await {
        Ok(answer) => answer,
        Err(_) if may_have_run.load(Ordering::Relaxed) => answer::unknown("deadline"),
        Err(_) => answer::not_run(Refusal::QueuedTooLong),
    }
}

/// Runs attempts until one has an answer. Nothing is sent to the caller before that, so a failed
/// attempt can be repeated.
async fn run(host: &Arc<Host>, call: &Call, may_have_run: &AtomicBool) -> Response {
    let request: RequestId = host.next_request();
    let gate = AnswerGate::default();
    let mut avoid = Vec::new();
    host.retries.first_attempt(host.clock.now());
    for number in 0..MAX_ATTEMPTS {
        let attempt = request.attempt(number);
        let failure = match attempt::run(host, call, attempt, &avoid, may_have_run).await {
            Ok(answer) if gate.pass(number) => return answer,
            Ok(_) => {
                counters::dropped("late");
                continue;
            }
            Err(failure) => failure,
        };
        let (reason, runner) = match failure {
            Failure::Refused(refusal) => return refused(refusal, may_have_run),
            Failure::Failed { reason, runner } => (reason, runner),
        };
        if number + 1 == MAX_ATTEMPTS {
            break;
        }
        if !host.retries.take(host.clock.now()) {
            return refused(Refusal::RetryBudget, may_have_run);
        }
        counters::retried(reason);
        avoid.push(runner);
    }
    refused(Refusal::ConnectRefused, may_have_run)
}

/// Answers "not run" only if no engine can have worked on the request, else "unknown".
fn refused(refusal: Refusal, may_have_run: &AtomicBool) -> Response {
    match may_have_run.load(Ordering::Relaxed) {
        true => answer::unknown("attempt_failed"),
        false => answer::not_run(refusal),
    }
}
