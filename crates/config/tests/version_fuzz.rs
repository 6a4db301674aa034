//! Randomized simulation of hosts, operators and a faulty store: 10,000 cases with fixed seeds.
//!
//! Invariants: versions in force never decrease at a host; every document in force was accepted by
//! the store; an accepted change is never lost; the loser of two concurrent changes gets a conflict;
//! all hosts converge once the faults end.

mod model;

use arbtest::arbtest;
use model::{Faults, Tally, World};

const CASES: u64 = 2_500;
/// Random bytes of one case; once they are used up, every choice is the harmless one.
const RANDOM_BYTES: u64 = 8 << 10;

fn run(first_seed: u64, faults: Faults) -> Tally {
    let mut tally = Tally::default();
    for seed in first_seed..first_seed + CASES {
        arbtest(|u| World::new(u, faults)?.run(&mut tally))
            .seed(seed << 32 | RANDOM_BYTES)
            .run();
    }
    println!("{tally:?}");
    // Guards against cases in which too few changes are accepted or lose.
    assert!(tally.accepted > CASES && tally.lost > CASES / 10);
    tally
}

const NO_OLD_COPIES: Faults = Faults { old_copies: false };
const OLD_COPIES: Faults = Faults { old_copies: true };

/// Guards against lost, duplicated and reverted changes under outages and lost answers.
#[test]
fn faults_first_half() {
    run(0, NO_OLD_COPIES);
}

/// The same with other seeds.
#[test]
fn faults_second_half() {
    run(CASES, NO_OLD_COPIES);
}

/// Guards against reverted changes after the store was restored from an older copy.
#[test]
fn old_copies_first_half() {
    let tally = run(2 * CASES, OLD_COPIES);
    assert!(tally.repaired > CASES / 4 && tally.forked < CASES / 2);
}

/// The same with other seeds.
#[test]
fn old_copies_second_half() {
    let tally = run(3 * CASES, OLD_COPIES);
    assert!(tally.repaired > CASES / 4 && tally.forked < CASES / 2);
}
