//! Compares a shard with a simple oracle: 24,000 random cases with fixed seeds and no time limit.
//!
//! Checked are: reservations never exceed slots or pieces; every request is answered exactly once;
//! waiting work never overtakes urgent work; leaving and failed runners get no grant; the grants of
//! a dead host are cancelled at both runners; nothing is reserved or queued after all requests
//! ended.

mod common;
mod harness;

use arbtest::arbtest;
use bv_place::Policy;
use harness::{Counts, Harness};

const CASES: u64 = 6_000;
/// Bytes of random input for one case.
const INPUT_BYTES: u64 = 2 << 10;

fn run(first_seed: u64, policy: Policy) -> Counts {
    let mut counts = Counts::default();
    for seed in first_seed..first_seed + CASES {
        arbtest(|u| Harness::new(u, policy)?.run(&mut counts))
            .seed(seed << 32 | INPUT_BYTES)
            .run();
    }
    println!("{counts:?}");
    // Without enough grants and cancellations the cases would check nothing.
    assert!(counts.granted > CASES && counts.cancelled > CASES / 10);
    counts
}

/// Guards against overcommitted engines and lost or duplicate answers.
#[test]
fn planned_part_1_of_2() {
    let counts = run(0, Policy::Planned);
    assert!(counts.denied > CASES / 4 && counts.proceeded_later > CASES / 100);
}

/// Guards against the same failures with other seeds.
#[test]
fn planned_part_2_of_2() {
    let counts = run(CASES, Policy::Planned);
    assert!(counts.denied > CASES / 4 && counts.proceeded_later > CASES / 100);
}

/// Guards against baselines that keep memory reserved for ended requests or dead hosts.
#[test]
fn baselines_release_reservations() {
    run(2 * CASES, Policy::RoundRobin);
    run(3 * CASES, Policy::LeastLoaded);
}
