//! Retry budgets of all services at one host.

use bv_types::{Millis, ServiceId};

use crate::sends::Settlement;
use crate::shared::{BudgetLimits, SharedBudget};

/// Share of the retry budget that is used. It leaves a margin because hosts that start are known to
/// the others only some seconds later, and each host counts its own periods.
const BUDGET_SHARE: f64 = 0.85;

/// Retries that a host has used of its share of a budget, and those that it may use now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Balance {
    /// Retries in the window, and those whose sends have not ended.
    pub used: u32,
    /// Retries that the share allows in the window.
    pub allowed: f64,
    /// Number of hosts that share the budget; `None` before they are known.
    pub hosts: Option<usize>,
}

/// Retry budgets of all services at one host.
#[derive(Debug, Default)]
pub struct HostBudgets {
    /// Number of live hosts including this one; `None` before they are known.
    hosts: Option<usize>,
    /// Sorted by service.
    services: Vec<(ServiceId, SharedBudget)>,
}

impl HostBudgets {
    /// Sets the number of live hosts including this one.
    pub fn set_hosts(&mut self, hosts: Option<usize>) {
        self.hosts = hosts;
    }

    /// Counts a caller's request to a service.
    pub fn request(&mut self, now: Millis, service: &ServiceId, limits: BudgetLimits) {
        self.budget(service).request(now, limits);
    }

    /// Takes `count` retries for a service from this host's share of the budget, or none of them;
    /// returns whether the budget allows all.
    pub fn take(
        &mut self,
        now: Millis,
        service: &ServiceId,
        limits: BudgetLimits,
        count: u32,
    ) -> bool {
        let (limits, hosts) = self.own_share(limits);
        self.budget(service).take_many(now, limits, hosts, count)
    }

    /// Settles retries that were taken.
    pub fn settle(
        &mut self,
        now: Millis,
        service: &ServiceId,
        limits: BudgetLimits,
        settlement: Settlement,
    ) {
        self.budget(service).settle(now, limits, settlement);
    }

    /// Whether this host's share of the budget allows a retry for a service.
    pub fn allows(&mut self, now: Millis, service: &ServiceId, limits: BudgetLimits) -> bool {
        let (limits, hosts) = self.own_share(limits);
        self.budget(service).allows(now, limits, hosts)
    }

    /// Balance of this host's share of a service's budget.
    pub fn balance(&mut self, now: Millis, service: &ServiceId, limits: BudgetLimits) -> Balance {
        let (limits, hosts) = self.own_share(limits);
        let (used, allowed) = self.budget(service).balance(now, limits, hosts);
        Balance {
            used,
            allowed,
            hosts: self.hosts,
        }
    }

    /// Services with a budget at this host, in order.
    pub fn services(&self) -> Vec<ServiceId> {
        self.services.iter().map(|(id, _)| id.clone()).collect()
    }

    /// The part of the budget that may be used, and the number of hosts that share it.
    fn own_share(&self, limits: BudgetLimits) -> (BudgetLimits, usize) {
        let limits = BudgetLimits {
            ratio: limits.ratio * BUDGET_SHARE,
            // Before the other hosts are known, they may be using the fixed part.
            extra: self.hosts.map_or(0.0, |_| limits.extra * BUDGET_SHARE),
            ..limits
        };
        (limits, self.hosts.unwrap_or(1))
    }

    fn budget(&mut self, service: &ServiceId) -> &mut SharedBudget {
        let at = match self.services.binary_search_by(|(id, _)| id.cmp(service)) {
            Ok(at) => at,
            Err(at) => {
                self.services
                    .insert(at, (service.clone(), SharedBudget::default()));
                at
            }
        };
        &mut self.services[at].1
    }
}
