//! Guards against retries beyond the budget that applies to all hosts together.

use bv_retry::{BudgetLimits, Settlement, SharedBudget};
use bv_types::Millis;

const LIMITS: BudgetLimits = BudgetLimits {
    ratio: 0.2,
    extra: 40.0,
    window: Millis(10_000),
};

const ONE_ARRIVED: Settlement = Settlement {
    arrived: 1,
    returned: 0,
};

/// Takes a retry that arrives at once.
fn take(budget: &mut SharedBudget, now: u64, hosts: usize) -> bool {
    let is_taken = budget.take(Millis(now), LIMITS, hosts);
    if is_taken {
        budget.settle(Millis(now), LIMITS, ONE_ARRIVED);
    }
    is_taken
}

/// Guards against each host using the whole of `extra`, and against a window that never ends.
#[test]
fn extra_is_divided_among_hosts() {
    let mut budget = SharedBudget::default();
    let taken = (0..100).filter(|_| take(&mut budget, 0, 8)).count();
    assert_eq!(taken, 5);
    assert!(!budget.take(Millis(9_999), LIMITS, 8));
    assert!(
        budget.take(Millis(10_600), LIMITS, 8),
        "the window has passed"
    );
}

/// Guards against a budget that ignores the ratio of requests.
#[test]
fn requests_earn_retries() {
    let mut budget = SharedBudget::default();
    for at in 0..100 {
        budget.request(Millis(at), LIMITS);
    }
    let taken = (0..100).filter(|_| take(&mut budget, 100, 8)).count();
    assert_eq!(taken, 25);
}

/// Guards against more retries than allowed in a window that starts between two buckets.
#[test]
fn every_window_is_bounded() {
    // Any window holds at most `ratio` of the requests in it and in the window before, plus this
    // host's part of `extra`.
    for seed in 0..40 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut budget = SharedBudget::default();
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        let mut now = 0;
        for _ in 0..2_000 {
            now += rng.u64(0..40);
            match rng.bool() {
                true => {
                    budget.request(Millis(now), LIMITS);
                    requests.push(now);
                }
                false if take(&mut budget, now, 4) => retries.push(now),
                false => {}
            }
        }
        for start in retries.iter().copied() {
            let end = start + LIMITS.window.0;
            let taken = retries
                .iter()
                .filter(|at| (start..end).contains(*at))
                .count();
            let before = start.saturating_sub(LIMITS.window.0);
            let counted_requests = requests
                .iter()
                .filter(|at| (before..end).contains(*at))
                .count();
            let allowed = LIMITS.ratio * counted_requests as f64 + LIMITS.extra / 4.0;
            assert!(
                taken as f64 <= allowed,
                "seed {seed}: {taken} retries, {allowed} allowed"
            );
        }
    }
}

/// Guards against a budget that ignores retries whose sends have not ended, however long they take.
#[test]
fn outstanding_retries_count() {
    let mut budget = SharedBudget::default();
    for _ in 0..5 {
        assert!(budget.take(Millis(0), LIMITS, 8));
    }
    assert!(!budget.take(Millis(1), LIMITS, 8));
    assert!(!budget.take(Millis(30_000), LIMITS, 8));
}

/// Guards against a retry that leaves the window before its arrival does.
#[test]
fn late_arrivals_count_from_their_result() {
    let mut budget = SharedBudget::default();
    for _ in 0..5 {
        assert!(budget.take(Millis(0), LIMITS, 8));
    }
    for _ in 0..5 {
        budget.settle(Millis(8_000), LIMITS, ONE_ARRIVED);
    }
    assert!(!budget.take(Millis(17_999), LIMITS, 8));
    assert!(budget.take(Millis(18_600), LIMITS, 8));
}

/// Guards against a budget that shrinks with each send that did not take place.
#[test]
fn returned_retries_are_free() {
    let mut budget = SharedBudget::default();
    let returned = Settlement {
        arrived: 0,
        returned: 1,
    };
    for _ in 0..100 {
        assert!(budget.take(Millis(0), LIMITS, 8));
        budget.settle(Millis(0), LIMITS, returned);
    }
    assert_eq!((0..100).filter(|_| take(&mut budget, 0, 8)).count(), 5);
}
