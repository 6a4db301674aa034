//! One host's share of a retry budget that applies to all hosts together.

use std::collections::VecDeque;

use bv_types::Millis;

use crate::sends::Settlement;

/// Width of one bucket of the sliding window. The window is rounded up to whole buckets, so that
/// no interval of the stated length holds more retries than allowed.
const BUCKET_WIDTH: Millis = Millis(500);

/// Limits of the budget over all hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetLimits {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in each window in addition.
    pub extra: f64,
    /// Length of the sliding window.
    pub window: Millis,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    start: Millis,
    requests: u32,
    /// Retries that arrived, by the time at which their result was known.
    retries: u32,
}

/// Requests and retries of one service at this host.
///
/// Each host retries `ratio` of its own requests and an equal part of `extra`; so all hosts
/// together stay within the budget without exchanging messages.
#[derive(Debug, Default)]
pub struct SharedBudget {
    buckets: VecDeque<Bucket>,
    /// Retries that were taken and whose sends have not ended.
    outstanding: u32,
}

impl SharedBudget {
    /// Counts a request from a caller.
    pub fn request(&mut self, now: Millis, limits: BudgetLimits) {
        self.current_bucket(now, limits).requests += 1;
    }

    /// Whether the budget of this host, one of `hosts`, allows another retry.
    pub fn allows(&mut self, now: Millis, limits: BudgetLimits, hosts: usize) -> bool {
        self.allows_many(now, limits, hosts, 1)
    }

    fn allows_many(&mut self, now: Millis, limits: BudgetLimits, hosts: usize, count: u32) -> bool {
        let (used, allowed) = self.balance(now, limits, hosts);
        f64::from(used) + f64::from(count) <= allowed
    }

    /// Retries of this host in the window or outstanding, and those that its share, one of `hosts`, allows there.
    pub fn balance(&mut self, now: Millis, limits: BudgetLimits, hosts: usize) -> (u32, f64) {
        self.current_bucket(now, limits);
        let requests: u32 = self.in_window(now, limits.window).map(|b| b.requests).sum();
        let arrived: u32 = self.buckets.iter().map(|b| b.retries).sum();
        let used = arrived + self.outstanding;
        let allowed = limits.ratio * f64::from(requests) + limits.extra / hosts.max(1) as f64;
        (used, allowed)
    }

    /// Takes one retry from the budget of this host, one of `hosts`; returns whether the budget
    /// allows it.
    pub fn take(&mut self, now: Millis, limits: BudgetLimits, hosts: usize) -> bool {
        self.take_many(now, limits, hosts, 1)
    }

    /// Takes `count` retries from the budget of this host, one of `hosts`, or none of them; returns
    /// whether the budget allows all.
    pub fn take_many(
        &mut self,
        now: Millis,
        limits: BudgetLimits,
        hosts: usize,
        count: u32,
    ) -> bool {
        let allowed = self.allows_many(now, limits, hosts, count);
        if allowed {
            self.outstanding += count;
        }
        allowed
    }

    /// Settles retries that were taken. Those that arrived count from `now` on, which is not before
    /// their arrival, so each window holds all that arrived in it.
    pub fn settle(&mut self, now: Millis, limits: BudgetLimits, settlement: Settlement) {
        let Settlement { arrived, returned } = settlement;
        self.outstanding = self.outstanding.saturating_sub(arrived + returned);
        if arrived > 0 {
            self.current_bucket(now, limits).retries += arrived;
        }
    }

    /// Buckets that start within the window. Older buckets are kept for one width longer, because
    /// their retries still count.
    fn in_window(&self, now: Millis, window: Millis) -> impl Iterator<Item = &Bucket> {
        self.buckets.iter().filter(move |b| b.start + window > now)
    }

    fn current_bucket(&mut self, now: Millis, limits: BudgetLimits) -> &mut Bucket {
        while self
            .buckets
            .front()
            .is_some_and(|b| b.start + limits.window + BUCKET_WIDTH <= now)
        {
            self.buckets.pop_front();
        }
        let has_current = self
            .buckets
            .back()
            .is_some_and(|b| now < b.start + BUCKET_WIDTH);
        if !has_current {
            self.buckets.push_back(Bucket {
                start: now,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
