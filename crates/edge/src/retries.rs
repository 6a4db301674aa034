//! Retries of a request, taken from the budget of its service.

use std::sync::Arc;

use bv_retry::{Delivery, Purpose, RequestSends, SendKind, Settlement};
use bv_types::ServiceId;

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

/// Sends of one request, with the retries taken for them. Dropping it gives back the retries that
/// were not used; a send in flight counts as arrived.
#[derive(Debug)]
pub(crate) struct Retries {
    edge: Arc<Edge>,
    service: ServiceId,
    sends: RequestSends,
    purpose: Purpose,
}

impl Drop for Retries {
    fn drop(&mut self) {
        let settlement = self.sends.abandon();
        self.settle(settlement);
    }
}

impl Retries {
    pub fn new(edge: &Arc<Edge>, service: &ServiceId) -> Self {
        Retries {
            edge: edge.clone(),
            service: service.clone(),
            sends: RequestSends::default(),
            purpose: Purpose::Start,
        }
    }

    /// Sets what further retries are for.
    pub fn set_purpose(&mut self, purpose: Purpose) {
        self.purpose = purpose;
    }

    /// Takes the missing retries for the next sends from the budget, or none of them; returns
    /// whether the budget allows all.
    pub fn take(&mut self, req: &CallerRequest, kind: RetryKind) -> bool {
        let missing = match kind {
            RetryKind::Split => self.sends.missing_for_split(),
            RetryKind::Call | RetryKind::Decode => self.sends.missing_for_run(),
        };
        if missing == 0 {
            return true;
        }
        let edge = &self.edge;
        let now = edge.now();
        let limits = edge.budget_limits();
        let mut state = edge.state();
        let is_taken = state
            .retry_budgets
            .take(now, &self.service, limits, self.purpose, missing);
        let balance = state.retry_budgets.balance(now, &self.service, limits);
        drop(state);
        let result = if is_taken { "taken" } else { "denied" };
        counters::retry_budget(result, kind.code(), missing);
        match is_taken {
            true => edge.logs.retry_taken(now, req, kind, missing, balance),
            false => edge.logs.retry_denied(now, req, kind, missing, balance),
        }
        if is_taken {
            self.sends.hold(missing);
        }
        is_taken
    }

    /// Whether the next run is paid or the budget allows its retries; logs a denial.
    pub fn may_run(&self, req: &CallerRequest, kind: RetryKind) -> bool {
        let missing = self.sends.missing_for_run();
        if missing == 0 {
            return true;
        }
        let edge = &self.edge;
        let now = edge.now();
        let limits = edge.budget_limits();
        let mut state = edge.state();
        let is_allowed =
            state
                .retry_budgets
                .allows(now, &self.service, limits, self.purpose, missing);
        let balance = state.retry_budgets.balance(now, &self.service, limits);
        drop(state);
        if !is_allowed {
            counters::retry_budget("denied", kind.code(), missing);
            edge.logs.retry_denied(now, req, kind, missing, balance);
        }
        is_allowed
    }

    /// Sets whether retries are kept for the return to a server that was left.
    pub fn keep_return(&mut self, keeps: bool) {
        self.sends.keep_return(keeps);
    }

    /// Whether retries are kept for the return to a server that was left.
    pub fn keeps_return(&self) -> bool {
        self.sends.keeps_return()
    }

    /// Whether a send is in flight.
    pub fn is_in_flight(&self) -> bool {
        self.sends.is_in_flight()
    }

    /// Records the start of a send.
    pub fn begin(&mut self) {
        self.sends.begin();
    }

    /// Records the end of the send in flight.
    pub fn end(&mut self, kind: SendKind, delivery: Delivery) {
        let settlement = self.sends.end(kind, delivery);
        self.settle(settlement);
    }

    /// Gives back the retries that were not used.
    pub fn release(&mut self) {
        let settlement = self.sends.release();
        self.settle(settlement);
    }

    fn settle(&self, settlement: Settlement) {
        if settlement == Settlement::default() {
            return;
        }
        let edge = &self.edge;
        let (now, limits) = (edge.now(), edge.budget_limits());
        edge.state()
            .retry_budgets
            .settle(now, &self.service, limits, settlement);
        counters::retries_settled(settlement);
    }
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
