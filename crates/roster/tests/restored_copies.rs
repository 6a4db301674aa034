//! Guards against an older configuration, sends to servers that have left, and fences used twice,
//! while the store is restored from older copies, hosts restart and hosts are cut off.

#[path = "restorations/mod.rs"]
mod restorations;

use bv_types::Millis;
use restorations::{Met, World};

/// Time with changes and faults.
const FAULTS: Millis = Millis(90_000);
/// Time in which all hosts learn what was written; a cut lasts up to 12 s.
const SETTLING: Millis = Millis(20_000);
/// Steps between two checks of the configuration.
const STEP: Millis = Millis(1_000);

fn run(seed: u64) -> Met {
    let mut world = World::new(seed);
    let mut ran = Millis::ZERO;
    while ran < FAULTS {
        world.run(STEP, false);
        ran = ran + STEP;
    }
    world.run(SETTLING, true);
    world.check_end();
    world.met
}

/// Runs the seeds and checks that they met each case.
fn run_all(seeds: std::ops::Range<u64>) {
    let mut all = Met::default();
    for seed in seeds {
        eprintln!("seed {seed}");
        let met = run(seed);
        all.restorations += met.restorations;
        all.later_era += met.later_era;
        all.earlier_era += met.earlier_era;
        all.rounds += met.rounds;
        all.crossed_writes += met.crossed_writes;
        all.shown_ready += met.shown_ready;
    }
    eprintln!("{all:?}");
    let cases = [
        all.restorations,
        all.later_era,
        all.earlier_era,
        all.rounds,
        all.shown_ready,
    ];
    assert!(cases.iter().all(|count| *count > 0), "{all:?}");
}

#[test]
fn some_seeds() {
    run_all(0..12);
}

/// Takes longer: `cargo test -p bv-roster --test restored_copies -- --ignored`.
#[test]
#[ignore = "200 seeds, by hand"]
fn many_seeds() {
    run_all(0..200);
}
