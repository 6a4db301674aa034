//! Guards against rows that count as newer than they are because an answer of the store was late.

use bv_roster::StoreClock;
use bv_types::Millis;

#[test]
fn late_answer() {
    let mut clock = StoreClock::default();
    assert_eq!(answer(&mut clock, 10_000, 10_010, 500), 10_010);
    // Answered after 1 s, arrived 700 ms later.
    assert_eq!(answer(&mut clock, 10_020, 11_720, 1_510), 11_021);
}

#[test]
fn frozen_host() {
    let mut clock = StoreClock::default();
    answer(&mut clock, 10_000, 10_010, 500);
    // The host's clock stood still for 5 s of the store's.
    assert_eq!(answer(&mut clock, 10_020, 11_010, 6_500), 11_010);
    assert_eq!(answer(&mut clock, 11_020, 12_000, 7_000), 11_511);
}

#[test]
fn drifting_clocks() {
    let mut clock = StoreClock::default();
    for n in 0..10_000 {
        // The host's clock gains 0.5 ms a second.
        let now = 1_000 + n * 1_000 + n / 2;
        assert!(answer(&mut clock, now - 900, now, n * 1_000) >= now - 1);
    }
}

#[test]
fn never_before_the_call() {
    let mut clock = StoreClock::default();
    answer(&mut clock, 10_000, 10_010, 900_000);
    assert_eq!(answer(&mut clock, 10_020, 10_030, 0), 10_020);
}

fn answer(clock: &mut StoreClock, began: u64, now: u64, store_time: u64) -> u64 {
    clock
        .answered_at(Millis(began), Millis(now), Millis(store_time))
        .0
}

/// Guards against an overflow by an odd time of the store.
#[test]
fn largest_times() {
    for store_time in [u64::MAX, i64::MAX as u64, i64::MAX as u64 + 1, 0] {
        let mut clock = StoreClock::default();
        for _ in 0..3 {
            let at = answer(&mut clock, 10_000, 10_010, store_time);
            assert!((10_000..=10_010).contains(&at), "{store_time}: {at}");
        }
    }
}
