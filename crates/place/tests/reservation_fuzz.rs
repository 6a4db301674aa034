//! A shard against a simple oracle: 24,000 cases with fixed seeds and no time budget.
//!
//! Checked are: reservations never exceed slots or pieces; every request is answered exactly once;
//! waiting work never passes urgent work; leaving and failed runners get no grant; the grants of a
//! dead host are cancelled at both runners; nothing is held or queued after all requests ended.

mod common;
mod world;

use arbtest::arbtest;
use bv_place::Policy;
use world::{Tally, World};

const CASES: u64 = 6_000;
/// Bytes of random choices in one case.
const CHOICES: u64 = 2 << 10;

fn run(first_seed: u64, policy: Policy) -> Tally {
    let mut tally = Tally::default();
    for seed in first_seed..first_seed + CASES {
        arbtest(|u| World::new(u, policy)?.run(&mut tally))
            .seed(seed << 32 | CHOICES)
            .run();
    }
    println!("{tally:?}");
    // The cases must exercise what they are to check.
    assert!(tally.granted > CASES && tally.cancelled > CASES / 10);
    tally
}

/// Guards against overcommitted engines and lost or doubled answers.
#[test]
fn planned_first_half() {
    let tally = run(0, Policy::Planned);
    assert!(tally.denied > CASES / 4 && tally.proceeded_later > CASES / 100);
}

/// The same with other seeds.
#[test]
fn planned_second_half() {
    let tally = run(CASES, Policy::Planned);
    assert!(tally.denied > CASES / 4 && tally.proceeded_later > CASES / 100);
}

/// Guards against baselines that hold memory for ended requests or dead hosts.
#[test]
fn baselines() {
    run(2 * CASES, Policy::RoundRobin);
    run(3 * CASES, Policy::LeastLoaded);
}
