//! Guards against equal calls that end their servers reaching servers again and again, several at a
//! moment, and against refusing equal sound calls of other callers.
//!
//! `FLEET_SEEDS` multiplies the number of seeds.

mod calls;

use calls::{Disruption, Fleet, Outcome, Setup};
use fastrand::Rng;

/// Largest number of arrivals later than the contact timeout after the third crash.
const MAX_LATE_ARRIVALS: usize = 3;
/// Least share of the sound calls that are served.
const MIN_SERVED: f64 = 0.9;

fn setup() -> Setup {
    Setup {
        hosts: 8,
        servers: 3,
        back: 3_000,
        calls: 12,
        interval: 500,
        sound_callers: 4,
        report_delay: 20,
        report_loss: 0.05,
        disruption: Disruption::Nothing,
    }
}

fn check(name: &str, seeds: u64, setup_of: impl Fn(u64) -> Setup) {
    let factor = std::env::var("FLEET_SEEDS").map_or(1, |text| text.parse().unwrap());
    let mut total = Outcome::default();
    let (mut most_crashes, mut most_late) = (0, 0);
    for seed in 0..seeds * factor {
        let setup = setup_of(seed);
        let outcome = Fleet::play(&setup, seed);
        assert!(
            outcome.late <= MAX_LATE_ARRIVALS,
            "{name}, seed {seed}: {outcome:?} {setup:?}"
        );
        most_crashes = most_crashes.max(outcome.crashes.len());
        most_late = most_late.max(outcome.late);
        total.sound += outcome.sound;
        total.served += outcome.served;
    }
    println!(
        "{name}: crashes at most {most_crashes}, late arrivals at most {most_late}, sound calls served \
         {} of {}",
        total.served, total.sound
    );
    assert!(
        total.served as f64 >= MIN_SERVED * total.sound as f64,
        "{name}: {} of {} sound calls served",
        total.served,
        total.sound
    );
}

#[test]
fn bursts_of_calls() {
    check("bursts of calls", 50, |seed| Setup {
        hosts: [3, 8, 8, 60][seed as usize % 4],
        calls: [1, 3, 12, 30][seed as usize / 4 % 4],
        ..setup()
    });
}

#[test]
fn hosts_in_trouble() {
    check("hosts cut or killed", 50, |seed| Setup {
        disruption: match seed % 2 {
            0 => Disruption::HostsCut,
            _ => Disruption::HostsKilled,
        },
        ..setup()
    });
}

/// Guards against refusing calls that were at all servers when these ended for another reason.
#[test]
fn lost_servers() {
    check("all servers end at once", 50, |seed| Setup {
        calls: 0,
        sound_callers: 30,
        hosts: [3, 8][seed as usize % 2],
        disruption: Disruption::AllServersEnd,
        ..setup()
    });
}

#[test]
fn any_setup() {
    check("any setup", 200, |seed| {
        let mut rng = Rng::with_seed(seed);
        let mut pick = |choices: &[u64]| choices[rng.usize(..choices.len())];
        Setup {
            hosts: pick(&[2, 3, 8, 16]) as usize,
            servers: pick(&[3, 3, 4, 6, 12]) as usize,
            back: pick(&[200, 1_000, 3_000, 5_000]),
            calls: pick(&[1, 2, 3, 6, 12, 30]) as usize,
            interval: pick(&[150, 500, 900]),
            sound_callers: pick(&[0, 1, 4, 30]) as usize,
            report_delay: pick(&[5, 20, 100]),
            report_loss: pick(&[0, 5, 20]) as f64 / 100.0,
            disruption: match pick(&[0, 0, 1, 2, 3]) {
                0 => Disruption::Nothing,
                1 => Disruption::HostsCut,
                2 => Disruption::HostsKilled,
                _ => Disruption::ServersEnd { interval: 700 },
            },
        }
    });
}
