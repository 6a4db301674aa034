//! The retry budget as the daemon uses it for one request.

use bv_retry::{Delivery, HostBudgets, RequestSends, SendKind};
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
    pub fn start(now: Millis, is_first_start: bool) -> Self {
        Host {
            started_at: now,
            budgets: HostBudgets::new(now, is_first_start),
        }
    }

    pub fn see_hosts(&mut self, now: Millis, count: usize) {
        self.budgets.set_hosts(now, Some(count));
    }

    pub fn request(&mut self, now: Millis, service: &ServiceId) {
        self.budgets.request(now, service, LIMITS);
    }
}

#[derive(Default)]
pub struct Retries {
    sends: RequestSends,
}

impl Retries {
    /// Takes what is missing for a prefill with the decode after it, or for a decode.
    pub fn pay(&mut self, host: &mut Host, now: Millis, service: &ServiceId, kind: Kind) -> bool {
        let missing = match kind {
            Kind::Prefill => self.sends.missing_for_split(),
            Kind::Decode => self.sends.missing_for_run(),
        };
        if missing > 0 && !host.budgets.take(now, service, LIMITS, missing) {
            return false;
        }
        self.sends.hold(missing);
        true
    }

    pub fn begin(&mut self, _kind: Kind) {
        self.sends.begin();
    }

    pub fn end(
        &mut self,
        host: &mut Host,
        now: Millis,
        service: &ServiceId,
        kind: Kind,
        outcome: Outcome,
    ) {
        let kind = match kind {
            Kind::Prefill => SendKind::Prefill,
            Kind::Decode => SendKind::Run,
        };
        let delivery = match outcome {
            Outcome::NotSent => Delivery::NotSent,
            Outcome::Accepted => Delivery::Accepted,
            Outcome::Refused | Outcome::Lost => Delivery::Refused,
        };
        let settlement = self.sends.end(kind, delivery);
        host.budgets.settle(now, service, LIMITS, settlement);
    }

    /// Ends the request, whatever it was doing.
    pub fn abandon(&mut self, host: &mut Host, now: Millis, service: &ServiceId) {
        let settlement = self.sends.abandon();
        host.budgets.settle(now, service, LIMITS, settlement);
    }
}
