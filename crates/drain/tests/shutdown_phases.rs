//! Phases of a shutdown under events in any order.

use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use bv_drain::{Action, Event, Limits, Shutdown};
use bv_types::Millis;

const CASES: u64 = 10_000;
const INPUT_BYTES: u64 = 256;
/// Spreads case numbers over the seeds; small seeds start with similar bytes.
const SPREAD: u64 = 0x9E37_79B9;
const LIMITS: Limits = Limits {
    lame_duck: Millis(5_000),
    drain: Millis(60_000),
    flush: Millis(10_000),
};

/// Guards against requests cut by a limit that is taken for the end of the requests.
#[test]
fn limit_is_reported() {
    let mut shutdown = Shutdown::new(LIMITS);
    let mut out = shutdown.handle(Millis(0), Event::Stop);
    for at in [5_000, 65_000] {
        out.extend(shutdown.handle(Millis(at), Event::Tick));
    }
    out.extend(shutdown.handle(Millis(65_100), Event::Left));
    out.extend(shutdown.handle(Millis(65_200), Event::Flushed));
    let expected = [
        Action::NotReady,
        Action::CloseListener,
        Action::Leave,
        Action::Flush,
        Action::Exit { drained: false },
    ];
    assert_eq!(out, expected);
}

/// Guards against a phase that is skipped, repeated, entered early, or never left.
#[test]
fn phases_keep_order() {
    for case in 1..=CASES {
        let seed = case.wrapping_mul(SPREAD) << 32 | INPUT_BYTES;
        arbtest(check).seed(seed);
    }
}

fn check(u: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<()> {
    let events = [
        Event::Stop,
        Event::Drained,
        Event::Left,
        Event::Flushed,
        Event::Tick,
    ];
    let mut shutdown = Shutdown::new(LIMITS);
    let mut now = Millis(0);
    let mut done = Vec::new();
    for _ in 0..u.int_in_range(1..=30)? {
        now = now + Millis(u.int_in_range(0..=8_000)?);
        let event = *u.choose(&events)?;
        for action in shutdown.handle(now, event) {
            done.push((now, action, event));
        }
    }
    // Time alone ends a shutdown that has begun.
    while let Some(at) = shutdown.wake_at() {
        now = now.max(at);
        for action in shutdown.handle(now, Event::Tick) {
            done.push((now, action, Event::Tick));
        }
    }
    for (at, (time, action, event)) in done.iter().enumerate() {
        let position = match action {
            Action::NotReady => 0,
            Action::CloseListener => 1,
            Action::Leave => 2,
            Action::Flush => 3,
            Action::Exit { .. } => 4,
        };
        assert_eq!(position, at, "{done:?}");
        if *action == Action::CloseListener {
            assert!(*time >= done[0].0 + LIMITS.lame_duck, "{done:?}");
        }
        if *action == Action::Leave && *event != Event::Drained {
            assert!(*time >= done[1].0 + LIMITS.drain, "{done:?}");
        }
    }
    assert!(done.is_empty() || done.len() == 5, "{done:?}");
    if let Some((_, Action::Exit { drained }, _)) = done.last() {
        assert_eq!(*drained, done[2].2 == Event::Drained, "{done:?}");
    }
    Ok(())
}
