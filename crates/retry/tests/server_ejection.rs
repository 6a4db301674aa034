//! Ejection and slow start of backend servers.

use bv_retry::{Ejection, Outcome};
use bv_types::{BackendId, Millis};
use fastrand::Rng;

use Outcome::{ConnectFailed, Failed, Success};

fn servers(count: usize) -> Vec<BackendId> {
    (0..count)
        .map(|index| format!("s{index}").parse().unwrap())
        .collect()
}

/// Time, outcome and number of calls.
type Calls<'a> = &'a [(u64, Outcome, usize)];

/// Guards against a failing server that still gets requests, and a healthy one that gets none.
#[test]
fn ejection_rules() {
    let cases: [(&str, usize, Calls<'_>, bool); 8] = [
        ("three in a row", 2, &[(0, ConnectFailed, 3)], true),
        ("two in a row", 2, &[(0, ConnectFailed, 2)], false),
        (
            "row interrupted by a success",
            2,
            &[
                (0, ConnectFailed, 2),
                (0, Success, 1),
                (0, ConnectFailed, 2),
            ],
            false,
        ),
        ("above half", 2, &[(0, Success, 5), (0, Failed, 6)], true),
        ("half", 2, &[(0, Success, 6), (0, Failed, 6)], false),
        ("too few calls", 2, &[(0, Failed, 9)], false),
        (
            "old failures",
            2,
            &[(0, Failed, 9), (10_000, Success, 1), (10_001, Failed, 1)],
            false,
        ),
        ("only server", 1, &[(0, ConnectFailed, 9)], false),
    ];
    for (name, count, calls, expected) in cases {
        let ids = servers(count);
        let mut group = Ejection::new(ids.clone());
        let mut ejected = false;
        for (at, outcome, times) in calls {
            for _ in 0..*times {
                ejected |= group.record(Millis(*at), &ids[0], *outcome);
            }
        }
        assert_eq!(ejected, expected, "{name}");
    }
}

/// Guards against a server that returns with its full weight at once, or never.
#[test]
fn slow_start_after_ejection() {
    let ids = servers(2);
    let mut group = Ejection::new(ids.clone());
    let mut now = Millis(1_000);
    for length in [2_000, 4_000, 8_000, 16_000, 30_000, 30_000] {
        for _ in 0..3 {
            group.record(now, &ids[0], ConnectFailed);
        }
        let end = now + Millis(length);
        assert_eq!(
            group.weight(end - Millis(1), &ids[0]),
            0.0,
            "ejected for {length} ms"
        );
        let weights = [0, 2_500, 5_000, 10_000].map(|at| group.weight(end + Millis(at), &ids[0]));
        assert_eq!(weights, [0.05, 0.25, 0.5, 1.0], "after {length} ms");
        now = end;
    }
    now = now + Millis(10_000);
    for _ in 0..3 {
        group.record(now, &ids[0], ConnectFailed);
    }
    assert_eq!(
        group.weight(now + Millis(2_000), &ids[0]),
        0.05,
        "starts again at 2 s"
    );
}

/// Guards against ejecting all servers of a group when all of them, or this host, fail.
#[test]
fn at_most_half_is_ejected() {
    for seed in 0..10_000 {
        let mut rng = Rng::with_seed(seed);
        let ids = servers(rng.usize(1..8));
        let mut group = Ejection::new(ids.clone());
        let mut now = Millis(1_000);
        for _ in 0..100 {
            now = now + Millis(rng.u64(..500));
            let outcome = [Success, ConnectFailed, ConnectFailed, Failed][rng.usize(..4)];
            let server = &ids[rng.usize(..ids.len())];
            let ejected = group.record(now, server, outcome);
            assert!(!ejected || group.weight(now, server) == 0.0, "seed {seed}");
            assert!(group.ejected(now) * 2 <= ids.len(), "seed {seed}");
        }
    }
}
