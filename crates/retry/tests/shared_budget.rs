//! Guards against retries beyond the budget that all hosts have together.

use bv_retry::{BudgetTerms, SharedBudget};
use bv_types::Millis;

const TERMS: BudgetTerms = BudgetTerms {
    ratio: 0.2,
    extra: 40.0,
    window: Millis(10_000),
};

#[test]
fn extra_is_divided() {
    let mut budget = SharedBudget::default();
    let taken = (0..100)
        .filter(|_| budget.take(Millis(0), TERMS, 8))
        .count();
    assert_eq!(taken, 5);
    assert!(!budget.take(Millis(9_999), TERMS, 8));
    assert!(budget.take(Millis(10_600), TERMS, 8), "the period is over");
}

#[test]
fn requests_earn() {
    let mut budget = SharedBudget::default();
    for at in 0..100 {
        budget.request(Millis(at), TERMS);
    }
    let taken = (0..100)
        .filter(|_| budget.take(Millis(100), TERMS, 8))
        .count();
    assert_eq!(taken, 25);
}

#[test]
fn any_window_holds() {
    // Any period of the stated length holds at most the ratio of the requests of the period before
    // and in it, and the extra part.
    for seed in 0..40 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut budget = SharedBudget::default();
        let (mut requests, mut repeats) = (Vec::new(), Vec::new());
        let mut now = 0;
        for _ in 0..2_000 {
            now += rng.u64(0..40);
            match rng.bool() {
                true => {
                    budget.request(Millis(now), TERMS);
                    requests.push(now);
                }
                false if budget.take(Millis(now), TERMS, 4) => repeats.push(now),
                false => {}
            }
        }
        for start in repeats.iter().copied() {
            let end = start + TERMS.window.0;
            let within = repeats
                .iter()
                .filter(|at| (start..end).contains(*at))
                .count();
            let before = start.saturating_sub(TERMS.window.0);
            let asked = requests
                .iter()
                .filter(|at| (before..end).contains(*at))
                .count();
            let allowed = TERMS.ratio * asked as f64 + TERMS.extra / 4.0;
            assert!(
                within as f64 <= allowed,
                "seed {seed}: {within} of {allowed}"
            );
        }
    }
}

#[test]
fn charged_repeats_count() {
    let mut budget = SharedBudget::default();
    for _ in 0..5 {
        budget.charge(Millis(0), TERMS);
    }
    assert!(!budget.take(Millis(1), TERMS, 8));
}
