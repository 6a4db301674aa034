//! Holders, a faulty table and engines against an oracle engine: 10,000 cases with fixed seeds.
//!
//! Checked are: no two processes hold a lease at the same time; on an engine that does not check
//! fences the orders of two holders never interleave, and those of one holder keep their order; an
//! engine gets its wanted role once the faults end. Faults are pauses, restarts, outages of the
//! store, lost and late answers, lagging reads, and orders that take effect late, up to the bound.

mod model;

use arbtest::arbtest;
use model::{Tally, World};

const CASES: u64 = 2_500;
/// Bytes of random choices in one case; exhausted choices are harmless ones.
const CHOICES: u64 = 16 << 10;

fn run(first_seed: u64) {
    let mut tally = Tally::default();
    for seed in first_seed..first_seed + CASES {
        arbtest(|u| World::new(u)?.run(&mut tally))
            .seed(seed << 32 | CHOICES)
            .run();
    }
    println!("{tally:?}");
    // The cases must exercise what they are to check.
    assert!(
        tally.acquired > CASES && tally.late_orders > CASES / 10,
        "{tally:?}"
    );
}

/// Guards against two holders whose orders interleave.
#[test]
fn first_quarter() {
    run(0);
}

/// The same with other seeds.
#[test]
fn second_quarter() {
    run(CASES);
}

/// The same with other seeds.
#[test]
fn third_quarter() {
    run(2 * CASES);
}

/// The same with other seeds.
#[test]
fn fourth_quarter() {
    run(3 * CASES);
}
