//! Retry budget under steady load, low load and after a quiet period.

use bv_retry::Budget;
use bv_types::Millis;

/// Retries granted over 60 s if every call and every retry fails and requests another.
fn granted(calls_per_sec: u64) -> u64 {
    let mut budget = Budget::new(Millis::ZERO);
    let mut granted = 0;
    for second in 0..60 {
        for call in 0..calls_per_sec {
            let now = Millis(second * 1_000 + call * 1_000 / calls_per_sec);
            budget.first_attempt(now);
            for _ in 0..5 {
                granted += u64::from(budget.take(now));
            }
        }
    }
    granted
}

/// Guards against a retry storm when all calls fail.
#[test]
fn steady_load() {
    for rate in [100, 1_000] {
        let got = granted(rate);
        let tenth = rate * 60 / 10;
        // The minimum of 3 retries a second may apply in addition while the tenth is unused.
        assert!(
            (tenth..=tenth + 3 * 60 + 3).contains(&got),
            "{got} retries at {rate} calls/s"
        );
    }
}

/// Guards against a budget that grants no retries at a low rate of calls.
#[test]
fn low_load() {
    for rate in [1, 3] {
        let got = granted(rate);
        assert!(
            (177..=183).contains(&got),
            "{got} retries at {rate} calls/s"
        );
    }
}

/// Guards against a burst of retries from tokens that were saved without a bound.
#[test]
fn bounded_burst() {
    let mut budget = Budget::new(Millis::ZERO);
    for call in 0..100_000 {
        budget.first_attempt(Millis(call));
    }
    let burst = (0..1_000).filter(|_| budget.take(Millis(100_000))).count();
    assert_eq!(burst, 20);
}
