//! The retry budget as the daemon uses it for one request.

use bv_retry::{HostBudgets, ModelSends};
use bv_types::{Millis, ServiceId};

use super::LIMITS;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    Prefill,
    Decode,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    NotSent,
    Refused,
    Accepted,
    /// The send arrived, but its answer was lost.
    Lost,
}

/// A process on a host.
pub struct Host {
    pub started_at: Millis,
    budgets: HostBudgets,
}

impl Host {
    pub fn start(now: Millis, _is_first_start: bool) -> Self {
        Host {
            started_at: now,
            budgets: HostBudgets::default(),
        }
    }

    pub fn see_hosts(&mut self, _now: Millis, count: usize) {
        self.budgets.set_hosts(Some(count));
    }

    pub fn request(&mut self, now: Millis, service: &ServiceId) {
        self.budgets.request(now, service, LIMITS);
    }
}

#[derive(Default)]
pub struct Retries {
    sends: ModelSends,
    has_prompt: bool,
}

impl Retries {
    /// Takes what is missing for a prefill with the decode after it, or for a decode.
    pub fn pay(&mut self, host: &mut Host, now: Millis, service: &ServiceId, kind: Kind) -> bool {
        let missing = match kind {
            Kind::Prefill => self.sends.missing_for_split(),
            Kind::Decode => self.sends.missing_for_decode(),
        };
        if missing > 0 && !host.budgets.take(now, service, LIMITS, missing) {
            return false;
        }
        self.sends.prepay(missing);
        true
    }

    pub fn begin(&mut self, kind: Kind) {
        match kind {
            Kind::Prefill => self.sends.begin_prefill(),
            Kind::Decode => self.sends.begin_decode(),
        }
    }

    pub fn end(
        &mut self,
        host: &mut Host,
        now: Millis,
        service: &ServiceId,
        kind: Kind,
        outcome: Outcome,
    ) {
        match (kind, outcome) {
            (Kind::Prefill, _) => self.has_prompt = outcome == Outcome::Accepted,
            (Kind::Decode, Outcome::NotSent) => {}
            (Kind::Decode, Outcome::Refused) => {
                self.sends.decode_delivered();
                if self.has_prompt {
                    host.budgets.charge(now, service, LIMITS);
                }
            }
            (Kind::Decode, Outcome::Accepted | Outcome::Lost) => self.sends.decode_delivered(),
        }
    }

    /// Ends the request, whatever it was doing.
    pub fn abandon(&mut self, _host: &mut Host, _now: Millis, _service: &ServiceId) {}
}
