//! A host's share of a retry budget that all hosts have together.

use std::collections::VecDeque;

use bv_types::Millis;

/// Width of one count. The period is rounded up to whole counts, so that no period of the stated
/// length holds more repeats than allowed.
const COUNT_WIDTH: Millis = Millis(500);

/// Terms of the budget over all hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetTerms {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed in a period besides.
    pub extra: f64,
    /// Length of the period.
    pub window: Millis,
}

#[derive(Debug, Clone, Copy)]
struct Count {
    start: Millis,
    requests: u32,
    repeats: u32,
}

/// Repeats of one service at this host.
///
/// Each host repeats `ratio` of its own requests and an equal part of `extra`; the sum over all
/// hosts keeps the budget without any message between them.
#[derive(Debug, Default)]
pub struct SharedBudget {
    counts: VecDeque<Count>,
}

impl SharedBudget {
    /// Counts a request of a caller.
    pub fn request(&mut self, now: Millis, terms: BudgetTerms) {
        self.count(now, terms).requests += 1;
    }

    /// Whether the budget of this host, one of `hosts`, allows one repeat.
    pub fn allows(&mut self, now: Millis, terms: BudgetTerms, hosts: usize) -> bool {
        self.count(now, terms);
        let requests: u32 = self.in_window(now, terms.window).map(|c| c.requests).sum();
        let repeats: u32 = self.counts.iter().map(|c| c.repeats).sum();
        let allowed = terms.ratio * f64::from(requests) + terms.extra / hosts.max(1) as f64;
        f64::from(repeats) + 1.0 <= allowed
    }

    /// Takes one repeat if the budget of this host, one of `hosts`, allows it.
    pub fn take(&mut self, now: Millis, terms: BudgetTerms, hosts: usize) -> bool {
        let allowed = self.allows(now, terms, hosts);
        if allowed {
            self.count(now, terms).repeats += 1;
        }
        allowed
    }

    /// Counts a repeat that was made in any case.
    pub fn charge(&mut self, now: Millis, terms: BudgetTerms) {
        self.count(now, terms).repeats += 1;
    }

    /// Counts within the period alone; older ones are kept for one width longer for the repeats.
    fn in_window(&self, now: Millis, window: Millis) -> impl Iterator<Item = &Count> {
        self.counts.iter().filter(move |c| c.start + window > now)
    }

    fn count(&mut self, now: Millis, terms: BudgetTerms) -> &mut Count {
        while self
            .counts
            .front()
            .is_some_and(|c| c.start + terms.window + COUNT_WIDTH <= now)
        {
            self.counts.pop_front();
        }
        let is_current = self
            .counts
            .back()
            .is_some_and(|c| now < c.start + COUNT_WIDTH);
        if !is_current {
            self.counts.push_back(Count {
                start: now,
                requests: 0,
                repeats: 0,
            });
        }
        let last = self.counts.len() - 1;
        &mut self.counts[last]
    }
}
