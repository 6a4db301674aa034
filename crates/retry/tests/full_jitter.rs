//! Backoff with full jitter.

use bv_retry::Backoff;
use bv_types::Millis;

/// Guards against delays above the limit, and against callers that retry at the same moment.
#[test]
fn delays_are_spread() {
    let longest = [25, 50, 100, 200, 400, 800, 1_000, 1_000];
    for (retry, longest) in longest.into_iter().enumerate() {
        let delays: Vec<u64> = (0..10_000)
            .map(|seed| Backoff::new(seed).delay(retry as u32).0)
            .collect();
        assert!(
            delays.iter().all(|delay| *delay <= longest),
            "retry {retry}"
        );
        let mean = delays.iter().sum::<u64>() as f64 / delays.len() as f64;
        let half = longest as f64 / 2.0;
        assert!(
            (mean - half).abs() < half / 10.0,
            "retry {retry}: mean {mean}"
        );
    }
    assert_eq!(Backoff::longest(u32::MAX), Millis(1_000));
}

/// Guards against delays that cannot be reproduced from their seed.
#[test]
fn same_seed_same_delays() {
    let delays = |seed| {
        let mut backoff = Backoff::new(seed);
        (0..20)
            .map(|retry| backoff.delay(retry))
            .collect::<Vec<_>>()
    };
    assert_eq!(delays(5), delays(5));
    assert_ne!(delays(5), delays(6));
}
