//! Guards against requests that end one engine after the other in a fleet whose hosts learn of
//! crashes late, and against blocking sound requests that were beside them.

mod fleet;

use fleet::{CrashingPart, Fleet, Outcome, Setup, Trouble};

/// Largest number of requests that may reach engines later than the contact timeout after the fifth
/// crash.
const MAX_LATE_ARRIVALS: usize = 3;

fn setup(hosts: usize) -> Setup {
    let (engines, contact_timeout, report_interval, report_delay) = match hosts {
        0..=8 => (12, 3_000, 500, 12),
        9..=60 => (36, 4_000, 500, 220),
        _ => (118, 4_000, 1_000, 1_000),
    };
    Setup {
        hosts,
        engines,
        contact_timeout,
        report_interval,
        report_delay,
        report_loss: 0.05,
        parts: Vec::new(),
        troubles: Vec::new(),
    }
}

fn part(from: u64, interval: u64) -> CrashingPart {
    CrashingPart {
        from,
        to: from + 25_000,
        interval,
        is_one_request: false,
    }
}

fn check(name: &str, setup: &Setup, seeds: std::ops::Range<u64>) {
    let mut total = Outcome::default();
    let (mut most_crashes, mut most_late) = (0, 0);
    for seed in seeds.clone() {
        let outcome = Fleet::play(setup.clone(), seed);
        for part in &outcome.parts {
            most_crashes = most_crashes.max(part.crashes.len());
            most_late = most_late.max(part.late_arrivals);
            assert!(
                part.late_arrivals <= MAX_LATE_ARRIVALS,
                "{name}, seed {seed}: {part:?}"
            );
        }
        total.sound += outcome.sound;
        total.sound_begun += outcome.sound_begun;
        total.wrongly_refused += outcome.wrongly_refused;
        total.report_bytes += outcome.report_bytes;
    }
    let plays = seeds.count() as u64;
    let share = total.sound_begun as f64 / total.sound as f64;
    println!(
        "{name}, {} hosts: crashes of a part at most {most_crashes}, late arrivals at most {most_late}, \
         sound begun {share:.3}, wrongly refused {} of {}, {} bytes a host and second",
        setup.hosts,
        total.wrongly_refused,
        total.sound,
        total.report_bytes / plays / 60 / setup.hosts as u64
    );
    // The users' bound is half of the share in calm.
    assert!(share > 0.5, "{name}: {share}");
    assert!(
        total.wrongly_refused * 1_000 <= total.sound,
        "{name}: {} of {} sound requests refused",
        total.wrongly_refused,
        total.sound
    );
}

/// Numbers of hosts with the number of seeds for each, multiplied by the environment variable
/// `FLEET_SEEDS` if it is set.
const SIZES: [(usize, u64); 3] = [(8, 20), (60, 3), (295, 1)];

fn check_sizes(name: &str, vary: impl Fn(&mut Setup)) {
    let factor = std::env::var("FLEET_SEEDS").map_or(1, |text| text.parse().unwrap());
    for (hosts, seeds) in SIZES {
        let mut setup = setup(hosts);
        vary(&mut setup);
        check(name, &setup, 0..seeds * factor);
    }
}

#[test]
fn one_part() {
    check_sizes("one part", |setup| setup.parts = vec![part(10_000, 800)]);
}

#[test]
fn three_parts() {
    check_sizes("three parts", |setup| {
        setup.parts = vec![part(10_000, 1_000), part(10_000, 1_500), part(10_200, 700)];
    });
}

#[test]
fn repeated_request() {
    check_sizes("repeated request", |setup| {
        let repeated = CrashingPart {
            is_one_request: true,
            ..part(10_000, 1_000)
        };
        setup.parts = vec![repeated];
    });
}

#[test]
fn engines_crash_as_well() {
    check_sizes("a third of the engines at once", |setup| {
        setup.parts = vec![part(10_000, 900)];
        setup.troubles = vec![
            Trouble::EnginesCrash {
                at: 9_000,
                share: 0.33,
            },
            Trouble::EnginesCrash {
                at: 11_000,
                share: 0.5,
            },
            Trouble::EnginesCrash {
                at: 25_000,
                share: 0.2,
            },
        ];
    });
}

#[test]
fn engines_crash_in_series() {
    check_sizes("series of other crashes", |setup| {
        setup.parts = vec![part(10_000, 900)];
        setup.troubles = vec![Trouble::CrashSeries {
            from: 5_000,
            to: 45_000,
            interval: 800,
        }];
    });
}

#[test]
fn hosts_in_trouble() {
    check_sizes("hosts cut, then killed", |setup| {
        setup.parts = vec![part(10_000, 900)];
        setup.troubles = vec![
            Trouble::HostsCut {
                at: 9_500,
                for_ms: 8_000,
                share: 0.3,
                reach_store: true,
            },
            Trouble::HostsKilled {
                at: 18_000,
                share: 0.3,
            },
            Trouble::HostsKilled {
                at: 24_000,
                share: 1.0,
            },
            Trouble::Resets {
                at: 12_000,
                share: 0.3,
            },
        ];
    });
}

#[test]
fn sound_load_alone() {
    check_sizes("no crashing part", |setup| {
        setup.troubles = vec![
            Trouble::EnginesCrash { at: 20, share: 0.5 },
            Trouble::EnginesCrash {
                at: 8_000,
                share: 0.33,
            },
            Trouble::CrashSeries {
                from: 12_000,
                to: 40_000,
                interval: 400,
            },
            Trouble::Resets {
                at: 30_000,
                share: 0.5,
            },
        ];
    });
}

/// Guards against hosts in touch that do not learn of the crashes that isolated hosts cause.
#[test]
fn isolated_hosts() {
    let mut setup = setup(8);
    setup.parts = vec![part(10_000, 900)];
    setup.troubles = vec![
        Trouble::HostsCut {
            at: 9_500,
            for_ms: 8_000,
            share: 0.3,
            reach_store: false,
        },
        Trouble::HostsKilled {
            at: 18_000,
            share: 0.3,
        },
        Trouble::HostsKilled {
            at: 24_000,
            share: 1.0,
        },
        Trouble::Resets {
            at: 12_000,
            share: 0.3,
        },
    ];
    check("hosts cut from all others and the store", &setup, 0..200);
}
