//! Order and time limits of the shutdown phases under random events.

use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use bv_drain::{Action, Event, Limits, Shutdown};
use bv_types::Millis;

const CASES: u64 = 10_000;
const INPUT_BYTES: u64 = 256;
/// Multiplier that spreads case numbers over the seeds; small seeds start with similar bytes.
const SEED_MULTIPLIER: u64 = 0x9E37_79B9;
const LIMITS: Limits = Limits {
    lame_duck: Millis(5_000),
    drain: Millis(60_000),
    flush: Millis(10_000),
};

/// Guards against reporting a complete drain when the drain limit cut off requests.
#[test]
fn drain_timeout_is_reported() {
    let mut shutdown = Shutdown::new(LIMITS);
    let mut actions = shutdown.handle(Millis(0), Event::Stop);
    for at in [5_000, 65_000] {
        actions.extend(shutdown.handle(Millis(at), Event::Tick));
    }
    actions.extend(shutdown.handle(Millis(65_100), Event::Left));
    actions.extend(shutdown.handle(Millis(65_200), Event::Flushed));
    let expected = [
        Action::NotReady,
        Action::CloseListener,
        Action::Leave,
        Action::Flush,
        Action::Exit { drained: false },
    ];
    assert_eq!(actions, expected);
}

/// Guards against a phase that is skipped, repeated, entered early or never left.
#[test]
fn phases_run_in_order() {
    for case in 1..=CASES {
        let seed = case.wrapping_mul(SEED_MULTIPLIER) << 32 | INPUT_BYTES;
        arbtest(check_case).seed(seed);
    }
}

fn check_case(u: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<()> {
    let events = [
        Event::Stop,
        Event::Drained,
        Event::Left,
        Event::Flushed,
        Event::Tick,
    ];
    let mut shutdown = Shutdown::new(LIMITS);
    let mut now = Millis(0);
    let mut performed = Vec::new();
    for _ in 0..u.int_in_range(1..=30)? {
        now = now + Millis(u.int_in_range(0..=8_000)?);
        let event = *u.choose(&events)?;
        for action in shutdown.handle(now, event) {
            performed.push((now, action, event));
        }
    }
    // Ticks alone must complete a shutdown that has begun.
    while let Some(at) = shutdown.wake_at() {
        now = now.max(at);
        for action in shutdown.handle(now, Event::Tick) {
            performed.push((now, action, Event::Tick));
        }
    }
    for (at, (time, action, event)) in performed.iter().enumerate() {
        let position = match action {
            Action::NotReady => 0,
            Action::CloseListener => 1,
            Action::Leave => 2,
            Action::Flush => 3,
            Action::Exit { .. } => 4,
        };
        assert_eq!(position, at, "{performed:?}");
        if *action == Action::CloseListener {
            assert!(*time >= performed[0].0 + LIMITS.lame_duck, "{performed:?}");
        }
        if *action == Action::Leave && *event != Event::Drained {
            assert!(*time >= performed[1].0 + LIMITS.drain, "{performed:?}");
        }
    }
    assert!(
        performed.is_empty() || performed.len() == 5,
        "{performed:?}"
    );
    if let Some((_, Action::Exit { drained }, _)) = performed.last() {
        assert_eq!(*drained, performed[2].2 == Event::Drained, "{performed:?}");
    }
    Ok(())
}
