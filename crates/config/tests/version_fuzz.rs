//! Hosts, operators and a faulty store against a simple oracle: 10,000 cases with fixed seeds.
//!
//! Checked are: versions in force never decrease at a host; nothing is in force that the store has
//! not accepted; an accepted change is never lost; the loser of two changes is told so; all hosts
//! converge once the faults end.

mod model;

use arbtest::arbtest;
use model::{Faults, Tally, World};

const CASES: u64 = 2_500;
/// Bytes of random choices in one case; exhausted choices are harmless ones.
const CHOICES: u64 = 8 << 10;

fn run(first_seed: u64, faults: Faults) -> Tally {
    let mut tally = Tally::default();
    for seed in first_seed..first_seed + CASES {
        arbtest(|u| World::new(u, faults)?.run(&mut tally))
            .seed(seed << 32 | CHOICES)
            .run();
    }
    println!("{tally:?}");
    // The cases must exercise what they are to check.
    assert!(tally.accepted > CASES && tally.lost > CASES / 10);
    tally
}

const NO_OLD_COPIES: Faults = Faults { old_copies: false };
const OLD_COPIES: Faults = Faults { old_copies: true };

/// Guards against lost, doubled and reverted changes under outages and lost answers.
#[test]
fn faults_first_half() {
    run(0, NO_OLD_COPIES);
}

/// The same with other seeds.
#[test]
fn faults_second_half() {
    run(CASES, NO_OLD_COPIES);
}

/// Guards against a revert after the store was set back to an older copy.
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
