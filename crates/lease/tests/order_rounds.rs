//! Guards against two holders with the same fence, holders that alternate too quickly, and splits
//! that change back and forth.

use bv_lease::{
    MIN_TERM_INTERVAL, PoolSplit, RequestCost, Role, RoundTimes, SplitWatch, Term, TermRow,
    prefill_target,
};
use bv_types::{Era, Fence, HostId, Millis, ServiceId, Version};

const COST: RequestCost = RequestCost {
    prefill_ms: 95.0,
    decode_ms: 350.0,
};

fn host(name: &str) -> HostId {
    name.parse().unwrap()
}

/// Guards against two rounds within MIN_TERM_INTERVAL and against a fence that does not grow.
#[test]
fn one_round_at_a_time() {
    let first = Term::next(None, (Era(0), Version(7)), &host("a"), Millis(100)).unwrap();
    assert_eq!(first.fence, Fence(8));
    let earlier = Some(first.taken_at);
    let early = Millis(100 + MIN_TERM_INTERVAL.0 - 1);
    for name in ["a", "b"] {
        assert_eq!(
            Term::next(earlier, (Era(0), Version(8)), &host(name), early),
            None
        );
    }
    let later = Millis(100 + MIN_TERM_INTERVAL.0);
    let second = Term::next(earlier, (Era(0), Version(8)), &host("b"), later).unwrap();
    assert_eq!((second.fence, second.holder.as_str()), (Fence(9), "b"));
}

/// Guards against a new round while the age of the earlier one is unknown.
#[test]
fn no_round_after_clock_was_set_back() {
    let term = Term::next(None, (Era(0), Version(0)), &host("a"), Millis(9_000)).unwrap();
    let early = Term::next(
        Some(term.taken_at),
        (Era(0), Version(1)),
        &host("b"),
        Millis(10),
    );
    assert_eq!(early, None);
    let mut times = RoundTimes::default();
    let row = row(1, Some(term));
    let latest = times.latest(&service(), Some(&row), (Era(0), Millis(10)));
    assert_eq!(
        Term::next(latest, (Era(0), Version(1)), &host("b"), Millis(10)),
        None
    );
}

fn service() -> ServiceId {
    "llm".parse().unwrap()
}

fn row(version: u64, term: Option<Term>) -> TermRow {
    TermRow {
        version: Version(version),
        term,
    }
}

/// Guards against a round that follows one of unknown time too early, or never.
#[test]
fn unknown_round_counts_from_its_first_reading() {
    let mut times = RoundTimes::default();
    let mut latest =
        |row: Option<&TermRow>, now| times.latest(&service(), row, (Era(0), Millis(now)));
    assert_eq!(latest(None, 100), None);
    let damaged = row(5, None);
    for now in [1_000, 5_000, 17_000] {
        assert_eq!(latest(Some(&damaged), now), Some(Millis(1_000)));
    }
    // A sound row may have been there in between.
    assert_eq!(latest(Some(&row(8, None)), 18_000), Some(Millis(18_000)));
    assert_eq!(latest(None, 20_000), Some(Millis(20_000)));
    assert_eq!(latest(None, 30_000), Some(Millis(20_000)));
    // The store's clock was set back.
    assert_eq!(latest(None, 10), Some(Millis(10)));
    let future = Term::next(None, (Era(0), Version(8)), &host("a"), Millis(90_000)).unwrap();
    let future = row(9, Some(future));
    assert_eq!(latest(Some(&future), 40_000), Some(Millis(40_000)));
    assert_eq!(latest(Some(&future), 56_000), Some(Millis(40_000)));
    assert_eq!(latest(Some(&future), 95_000), Some(Millis(90_000)));
    times.record_taken(&service(), Millis(96_000));
    let latest = times.latest(&service(), None, (Era(0), Millis(99_000)));
    assert_eq!(latest, Some(Millis(96_000)));
}

/// Guards against a target that does not follow the measured cost.
#[test]
fn target_follows_cost() {
    assert_eq!(prefill_target(9, COST), 2);
    assert_eq!(prefill_target(12, COST), 3);
    assert_eq!(prefill_target(2, COST), 1);
    let long_prompts = RequestCost {
        prefill_ms: 900.0,
        ..COST
    };
    assert_eq!(prefill_target(12, long_prompts), 9);
}

/// Guards against an idle pool that waits as long as a busy one.
#[test]
fn idle_pool_changes_soon() {
    let mut watch = SplitWatch::default();
    let split = PoolSplit {
        prefill: 3,
        decode: 6,
    };
    assert_eq!(watch.observe(Millis(0), split, COST, true), None);
    assert_eq!(
        watch.observe(Millis(1_300), split, COST, true),
        Some((Role::Decode, 1))
    );
}

/// Guards against a first round of orders for only the few engines that have joined so far, because
/// the next round comes 16 s later.
#[test]
fn first_change_waits_for_joining_engines() {
    let mut watch = SplitWatch::default();
    let split = |engines: usize| PoolSplit {
        prefill: engines / 2,
        decode: engines - engines / 2,
    };
    for (at, engines) in [(0, 20), (1_000, 50), (2_000, 90)] {
        assert_eq!(watch.observe(Millis(at), split(engines), COST, true), None);
    }
    assert!(
        watch
            .observe(Millis(3_100), split(90), COST, true)
            .is_none()
    );
    assert!(
        watch
            .observe(Millis(3_200), split(90), COST, true)
            .is_some()
    );
}

/// Guards against a change within the tolerance while requests are served.
#[test]
fn busy_pool_keeps_its_split() {
    let mut watch = SplitWatch::default();
    let split = PoolSplit {
        prefill: 3,
        decode: 6,
    };
    for at in 0..100 {
        assert_eq!(watch.observe(Millis(at * 1_000), split, COST, false), None);
    }
}

/// Guards against a pool that stays without prefill engines.
#[test]
fn missing_prefill_engines_are_replaced() {
    let mut watch = SplitWatch::default();
    let split = PoolSplit {
        prefill: 0,
        decode: 7,
    };
    assert_eq!(watch.observe(Millis(0), split, COST, false), None);
    assert_eq!(watch.observe(Millis(5_000), split, COST, false), None);
    assert_eq!(
        watch.observe(Millis(6_000), split, COST, false),
        Some((Role::Prefill, 2))
    );
}

/// Guards against a fence that wraps around to a low one.
#[test]
fn highest_fence_has_no_successor() {
    let next = Term::next(
        None,
        (Era(0), Version(u64::MAX)),
        &host("b"),
        Millis(1_000_000),
    );
    assert_eq!(next, None);
}
