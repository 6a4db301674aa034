//! Guards against calls that wait behind less urgent or later ones, and teams that pay for others.

mod common;

use bv_dispatch::{Ask, Decision, SendEnd};
use bv_types::{Millis, TeamId};
use common::{ask, dispatcher, fill, granted};

const QUICK: SendEnd = SendEnd::Answered { took: Millis(30) };

/// Lets these calls wait at full servers, then frees one slot after another; returns the order of grants.
fn order_of(asks: Vec<Ask>, freed_at: u64) -> Vec<u64> {
    let mut dispatcher = dispatcher(&["a", "b"]);
    let held = fill(&mut dispatcher, 1_000);
    for ask in asks.clone() {
        assert!(granted(&dispatcher.ask(Millis(1_000), ask)).is_empty());
    }
    // All hosts ask again before the slots become free.
    for ask in asks {
        dispatcher.ask(Millis(freed_at), ask);
    }
    let mut order = Vec::new();
    for id in held {
        let freed = dispatcher.end(Millis(freed_at), &id, SendEnd::Unused);
        order.extend(granted(&freed));
    }
    order
}

#[test]
fn more_urgent_first() {
    let urgent = Ask {
        priority: 0,
        ..ask(1_000, "h2", 2)
    };
    assert_eq!(order_of(vec![ask(990, "h1", 1), urgent], 1_001), [2, 1]);
}

#[test]
fn on_time_before_late_before_arrival() {
    let late = ask(700, "h1", 1);
    let first = ask(990, "h2", 2);
    let second = ask(995, "h3", 3);
    assert_eq!(order_of(vec![second, late, first], 1_001), [2, 3, 1]);
}

#[test]
fn teams_of_one_priority_take_turns() {
    let team = |name: &str| Some(name.parse::<TeamId>().unwrap());
    let hot = (0..7).map(|n| Ask {
        team: team("hot"),
        ..ask(990, "h1", n)
    });
    let calm = (0..2).map(|n| Ask {
        team: team("calm"),
        ..ask(999, "h2", 100 + n)
    });
    let order = order_of(hot.chain(calm).collect(), 1_001);
    let first: Vec<u64> = order[..4].to_vec();
    assert!(first.contains(&100) && first.contains(&101), "{order:?}");
}

#[test]
fn hopeless_calls_are_refused_and_return_apart() {
    let mut dispatcher = dispatcher(&["a"]);
    fill(&mut dispatcher, 1_000);
    let mut times = Vec::new();
    for call in 0..600 {
        let actions = dispatcher.ask(Millis(1_000), ask(1_000, "h1", call));
        let Decision::Refused { retry_after } = actions[0].decision else {
            continue;
        };
        times.push(retry_after.0);
    }
    // 6 slots end a call each 5 ms, so about 290 calls can be answered within 1.5 s.
    assert!((250..400).contains(&times.len()), "{}", times.len());
    assert!(times.windows(2).all(|pair| pair[0] < pair[1]), "{times:?}");
}

/// A call that returns after a refusal keeps the place of its first arrival.
#[test]
fn returned_calls_go_first() {
    let mut dispatcher = dispatcher(&["a"]);
    let held = fill(&mut dispatcher, 1_000);
    let refused = Ask {
        deadline: Millis(1_010),
        ..ask(1_000, "h1", 7)
    };
    let actions = dispatcher.ask(Millis(1_000), refused);
    assert!(matches!(actions[0].decision, Decision::Refused { .. }));
    dispatcher.ask(Millis(1_020), ask(1_020, "h2", 8));
    let back = Ask {
        key: 7,
        ..ask(1_040, "h3", 9)
    };
    dispatcher.ask(Millis(1_040), back);
    assert_eq!(
        granted(&dispatcher.end(Millis(1_050), &held[0], QUICK)),
        [9]
    );
}
