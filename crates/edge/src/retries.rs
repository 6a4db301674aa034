//! Retries of a request, taken from the budget of its service.

use bv_types::Millis;

use crate::counters;
use crate::edge::Edge;
use crate::request::CallerRequest;

/// What a retry is needed for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RetryKind {
    /// Another send of a plain call.
    Call,
    /// A prefill and the decode after it.
    Split,
    /// A decode.
    Decode,
}

impl RetryKind {
    /// Code for logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            RetryKind::Call => "call",
            RetryKind::Split => "split",
            RetryKind::Decode => "decode",
        }
    }
}

/// Takes `count` retries from the budget, or none of them; returns whether the budget allows all.
pub(crate) fn take(edge: &Edge, req: &CallerRequest, kind: RetryKind, count: u32) -> bool {
    let now = edge.now();
    let limits = edge.budget_limits();
    let mut state = edge.state();
    let is_taken = state.retry_budgets.take(now, &req.service, limits, count);
    let balance = state.retry_budgets.balance(now, &req.service, limits);
    drop(state);
    let result = if is_taken { "taken" } else { "denied" };
    counters::retry_budget(result, kind.code(), count);
    match is_taken {
        true => edge.logs.retry_taken(now, req, kind, count, balance),
        false => edge.logs.retry_denied(now, req, kind, count, balance),
    }
    is_taken
}

/// Whether the budget allows a retry; logs a denial.
pub(crate) fn allows(edge: &Edge, req: &CallerRequest, kind: RetryKind) -> bool {
    let now = edge.now();
    let limits = edge.budget_limits();
    let mut state = edge.state();
    let is_allowed = state.retry_budgets.allows(now, &req.service, limits);
    let balance = state.retry_budgets.balance(now, &req.service, limits);
    drop(state);
    if !is_allowed {
        counters::retry_budget("denied", kind.code(), 1);
        edge.logs.retry_denied(now, req, kind, 1, balance);
    }
    is_allowed
}

/// Charges a retry that was made without taking it from the budget first.
pub(crate) fn charge(edge: &Edge, now: Millis, req: &CallerRequest, kind: RetryKind) {
    let limits = edge.budget_limits();
    edge.state().retry_budgets.charge(now, &req.service, limits);
    counters::retry_budget("charged", kind.code(), 1);
}

/// Updates the gauges of the balance of each service.
pub(crate) fn update_gauges(edge: &Edge) {
    let now = edge.now();
    let limits = edge.budget_limits();
    let mut state = edge.state();
    for service in state.retry_budgets.services() {
        let balance = state.retry_budgets.balance(now, &service, limits);
        counters::retry_balance(&service, balance);
    }
}
