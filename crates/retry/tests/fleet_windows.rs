//! The retry budget in every window over all hosts, for simulated hosts and engines.

mod fleet;

use fleet::{Day, play};

const SEEDS: u64 = 60;

/// Many engines refuse most requests, twice.
const BUSY: Day = Day {
    hosts: 8,
    requests_per_s: 21.0,
    busy: &[(15_000, 21_000), (27_000, 33_000)],
    refused: 0.6,
    kills: &[],
    uneven_counts: false,
};

fn check(day: Day) {
    let mut total = 0;
    let mut broken = Vec::new();
    for seed in 0..SEEDS {
        let arrived = play(day, seed);
        let (start, extra, allowed) = arrived.worst_window();
        total += arrived.extra_count();
        if extra as f64 > allowed {
            broken.push(format!(
                "seed {seed}: {extra} from {start} ms, allowed {allowed}"
            ));
        }
    }
    assert!(total > 0, "no retries at all");
    assert!(
        broken.is_empty(),
        "{} of {SEEDS} seeds broken, first: {}",
        broken.len(),
        broken[0]
    );
}

/// Guards against a decode that repeats a refused prefill without a retry from the budget.
#[test]
fn refused_prefills_count() {
    for refused in [0.3, 0.6, 0.9] {
        check(Day { refused, ..BUSY });
    }
}

/// Guards against hosts that use their share again after each restart.
#[test]
fn restarts_keep_the_share() {
    for kills in [
        &[16_000_u64, 19_000, 22_000][..],
        &[17_000, 18_500, 20_000, 21_500, 23_000, 24_500],
    ] {
        check(Day {
            busy: &[(15_000, 25_000)],
            kills,
            ..BUSY
        });
    }
}

/// Guards against a host that sees fewer hosts and takes a larger part while the others still live.
#[test]
fn fewer_hosts_in_sight() {
    check(Day {
        busy: &[(15_000, 25_000)],
        kills: &[16_000, 21_000],
        uneven_counts: true,
        ..BUSY
    });
}
