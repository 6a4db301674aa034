//! Retry budgets of all services at one host.

use bv_types::{Millis, ServiceId};

use crate::sends::Settlement;
use crate::shared::{BudgetLimits, Purpose, SharedBudget};

/// Share of the retry budget that is used. The rest is for processes in their first window.
const BUDGET_SHARE: f64 = 0.85;
/// Share that a process has in its first window. The fixed part of it grows in proportion to the age
/// of the process, so that any number of restarts in a window use no more.
const STARTING_SHARE: f64 = 1.0 - BUDGET_SHARE;
/// Time for which the largest known number of hosts counts. A host that is no longer known may
/// still be running, or has used its part in the current window.
const HOST_COUNT_RETENTION: Millis = Millis(120_000);

/// Retries that a host has used of its share of a budget, and those that it may use now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Balance {
    /// Retries in the window, and those whose sends have not ended.
    pub used: u32,
    /// Retries that the share allows in the window.
    pub allowed: f64,
    /// Number of hosts by which the fixed part is divided; `None` before they are known.
    pub hosts: Option<usize>,
}

/// Retry budgets of all services at one host.
#[derive(Debug)]
pub struct HostBudgets {
    /// Start of the process if an earlier one on this host may have used retries.
    restarted_at: Option<Millis>,
    /// Number of live hosts including this one; `None` before they are known.
    hosts: Option<usize>,
    /// Earlier numbers of hosts, each with the time of the change to the next one.
    earlier_hosts: Vec<(Millis, usize)>,
    /// Sorted by service.
    services: Vec<(ServiceId, SharedBudget)>,
}

impl HostBudgets {
    /// Budgets of a process that starts now. `is_first_start` says that no process ran before, on
    /// this host or another.
    pub fn new(now: Millis, is_first_start: bool) -> Self {
        HostBudgets {
            restarted_at: (!is_first_start).then_some(now),
            hosts: None,
            earlier_hosts: Vec::new(),
            services: Vec::new(),
        }
    }

    /// Sets the number of live hosts including this one.
    pub fn set_hosts(&mut self, now: Millis, hosts: Option<usize>) {
        if hosts == self.hosts {
            return;
        }
        let earlier = std::mem::replace(&mut self.hosts, hosts);
        self.earlier_hosts
            .retain(|(until, _)| now < *until + HOST_COUNT_RETENTION);
        self.earlier_hosts.extend(earlier.map(|count| (now, count)));
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
        purpose: Purpose,
        count: u32,
    ) -> bool {
        let (limits, hosts) = self.own_share(now, limits);
        self.budget(service)
            .take(now, limits, hosts, purpose, count)
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

    /// Whether this host's share of the budget allows `count` retries for a service.
    pub fn allows(
        &mut self,
        now: Millis,
        service: &ServiceId,
        limits: BudgetLimits,
        purpose: Purpose,
        count: u32,
    ) -> bool {
        let (limits, hosts) = self.own_share(now, limits);
        self.budget(service)
            .allows(now, limits, hosts, purpose, count)
    }

    /// Balance of this host's share of a service's budget.
    pub fn balance(&mut self, now: Millis, service: &ServiceId, limits: BudgetLimits) -> Balance {
        let hosts = self.most_hosts(now);
        let (limits, divisor) = self.own_share(now, limits);
        let (used, allowed) = self.budget(service).balance(now, limits, divisor);
        Balance {
            used,
            allowed,
            hosts,
        }
    }

    /// Services with a budget at this host, in order.
    pub fn services(&self) -> Vec<ServiceId> {
        self.services.iter().map(|(id, _)| id.clone()).collect()
    }

    /// The part of the budget that may be used, and the number of hosts that share it.
    fn own_share(&self, now: Millis, limits: BudgetLimits) -> (BudgetLimits, usize) {
        let hosts = self.most_hosts(now);
        let age = self.restarted_at.map(|at| now - at);
        let age = age.filter(|age| *age < limits.window);
        let (ratio_share, share) = match age {
            Some(age) => {
                let progress = age.0 as f64 / limits.window.0 as f64;
                (STARTING_SHARE, STARTING_SHARE * progress)
            }
            None => (BUDGET_SHARE, BUDGET_SHARE),
        };
        let limits = BudgetLimits {
            ratio: limits.ratio * ratio_share,
            // Before the other hosts are known, they may be using the fixed part.
            extra: hosts.map_or(0.0, |_| limits.extra * share),
            ..limits
        };
        (limits, hosts.unwrap_or(1))
    }

    /// Largest number of hosts that was known lately.
    fn most_hosts(&self, now: Millis) -> Option<usize> {
        let earlier = self.earlier_hosts.iter();
        let earlier = earlier.filter(|(until, _)| now < *until + HOST_COUNT_RETENTION);
        earlier.map(|(_, count)| *count).chain(self.hosts).max()
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
