//! Randomized simulation of hosts, operators and a faulty store: 10,000 cases with fixed seeds.
//!
//! Invariants: versions in force never decrease at a host; every document in force was accepted by
//! the store; an accepted change is never lost; the loser of two concurrent changes gets a
//! conflict; all hosts converge once the faults end.

mod model;

use arbtest::arbtest;
use model::{Faults, OutcomeCounts, World};

const CASES: u64 = 2_500;
/// Random bytes of one case. Once they are used up, `int_in_range` returns the minimum, so that no
/// further faults occur.
const RANDOM_BYTES: u64 = 8 << 10;

fn run(first_seed: u64, faults: Faults) -> OutcomeCounts {
    let mut counts = OutcomeCounts::default();
    for seed in first_seed..first_seed + CASES {
        arbtest(|u| World::new(u, faults)?.run(&mut counts))
            .seed(seed << 32 | RANDOM_BYTES)
            .run();
    }
    println!("{counts:?}");
    // The cases show nothing if hardly any change is accepted or ends in a conflict.
    assert!(counts.accepted > CASES && counts.conflicts > CASES / 10);
    counts
}

const WITHOUT_RESTORES: Faults = Faults {
    store_restores: false,
};
const WITH_RESTORES: Faults = Faults {
    store_restores: true,
};

/// Guards against lost, duplicated and reverted changes under outages and lost answers.
#[test]
fn faults_first_half() {
    run(0, WITHOUT_RESTORES);
}

/// The same with other seeds.
#[test]
fn faults_second_half() {
    run(CASES, WITHOUT_RESTORES);
}

/// Guards against reverted changes after the store was restored from an older copy.
#[test]
fn store_restores_first_half() {
    let counts = run(2 * CASES, WITH_RESTORES);
    // Repairs must occur. Most cases must not have two accepted changes with the same version,
    // because fewer accepted changes are checked there.
    assert!(counts.repaired > CASES / 4 && counts.duplicate_versions < CASES / 2);
}

/// The same with other seeds.
#[test]
fn store_restores_second_half() {
    let counts = run(3 * CASES, WITH_RESTORES);
    // Repairs must occur. Most cases must not have two accepted changes with the same version,
    // because fewer accepted changes are checked there.
    assert!(counts.repaired > CASES / 4 && counts.duplicate_versions < CASES / 2);
}
