//! Guards against a server that gets its full share before it can serve it, or never gets it.

use bv_dispatch::Pace;
use bv_types::Millis;

#[test]
fn new_server_rises_to_its_slots_with_quick_answers() {
    let mut pace = Pace::starting(6);
    assert_eq!(pace.limit(Millis::ZERO), 2);
    for _ in 0..8 {
        pace.answered(Millis(31), 2, Some(30.0));
    }
    assert_eq!(pace.limit(Millis::ZERO), 6);
    for _ in 0..100 {
        pace.answered(Millis(31), 6, Some(30.0));
    }
    assert_eq!(pace.limit(Millis::ZERO), 12);
}

/// A server that starts with 1.6 times its usual time still serves, but holds no waiting calls.
#[test]
fn slow_start_stays_at_the_slots() {
    let mut pace = Pace::starting(6);
    for _ in 0..100 {
        pace.answered(Millis(48), 2, Some(30.0));
    }
    assert_eq!(pace.limit(Millis::ZERO), 6);
}

#[test]
fn limit_falls_before_the_server_sheds_load() {
    let mut pace = Pace::running(6);
    for _ in 0..100 {
        pace.answered(Millis(120), 6, Some(30.0));
    }
    assert!(pace.limit(Millis::ZERO) <= 2);
}

#[test]
fn pause_doubles_while_a_server_flaps() {
    let mut pace = Pace::running(6);
    let mut now = Millis(1_000);
    for pause in [200, 400, 800, 1_600, 1_600] {
        pace.failed(now);
        assert_eq!(pace.limit(now + Millis(pause - 1)), 0);
        now = now + Millis(pause);
        assert!((1..=2).contains(&pace.limit(now)));
    }
    pace.answered(Millis(30), 1, Some(30.0));
    pace.failed(now + Millis(500));
    assert!(pace.limit(now + Millis(700)) >= 1);
}

/// Rejections of sends that were under way at the first one do not count again.
#[test]
fn one_burst_of_rejections_counts_once() {
    let mut pace = Pace::running(6);
    for n in 0..6 {
        pace.rejected(Millis(1_000 + n), 9);
    }
    assert_eq!(pace.limit(Millis(1_010)), 4);
}
