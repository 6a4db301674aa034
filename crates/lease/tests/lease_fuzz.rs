//! Fuzzing of holders, a table with faults and engines against an oracle engine: 10,000 cases with
//! fixed seeds.
//!
//! Checks that no two processes hold a lease at the same time; that on an engine that does not
//! check fences the orders of two holders never interleave, and those of one holder keep their
//! order; and that an engine gets its wanted role once the faults end. Faults are pauses, restarts,
//! outages of the store, lost and late answers, stale reads, and orders that take effect late, up
//! to the bound.

mod model;

use arbtest::arbtest;
use model::{CaseCounts, Simulation};

const CASES: u64 = 2_500;
/// Bytes of random input of one case; choices after its end cause no faults.
const CASE_BYTES: u64 = 16 << 10;

fn run_cases(first_seed: u64) {
    let mut counts = CaseCounts::default();
    for seed in first_seed..first_seed + CASES {
        arbtest(|u| Simulation::new(u)?.run(&mut counts))
            .seed(seed << 32 | CASE_BYTES)
            .run();
    }
    println!("{counts:?}");
    // The cases must acquire leases and send late orders, or they would check nothing.
    assert!(
        counts.acquired > CASES && counts.late_orders > CASES / 10,
        "{counts:?}"
    );
}

/// Guards against two lease holders at a time and against orders of two holders that interleave.
#[test]
fn part_1_of_4() {
    run_cases(0);
}

/// The same with other seeds.
#[test]
fn part_2_of_4() {
    run_cases(CASES);
}

/// The same with other seeds.
#[test]
fn part_3_of_4() {
    run_cases(2 * CASES);
}

/// The same with other seeds.
#[test]
fn part_4_of_4() {
    run_cases(3 * CASES);
}
