//! Guards against a host that counts as confirmed up to a moment and lacks a change from before it,
//! whatever the order and the age of the answers of the store and of other hosts.

mod replica;

use std::collections::HashSet;

use fastrand::Rng;
use replica::{Limits, Op, World};

/// Every order of the steps below, with three hosts and two changes.
#[test]
fn all_orders_of_three_hosts() {
    let limits = Limits {
        changes: 2,
        hidings: 1,
        waits: 1,
        answers: 2,
        queries: 1,
    };
    let mut seen = HashSet::new();
    let mut open = vec![(World::new(3, limits), Vec::<Op>::new())];
    while let Some((world, path)) = open.pop() {
        for op in world.ops() {
            let mut next = world.clone();
            next.apply(op);
            let check = next.check();
            assert_eq!(check, Ok(()), "after {path:?} and {op:?}");
            if seen.insert(next.fingerprint()) {
                let path = path.iter().copied().chain([op]).collect();
                open.push((next, path));
            }
        }
    }
    println!("{} states", seen.len());
}

#[test]
fn random_orders_of_many_hosts() {
    for seed in 0..60 {
        let mut rng = Rng::with_seed(seed);
        let mut world = World::new(12, Limits::NONE);
        for step in 0..800 {
            let mut ops = world.ops();
            if rng.bool() {
                ops.retain(|op| !matches!(op, Op::Ask(..)));
            }
            world.apply(ops[rng.usize(..ops.len())]);
            if let Err(fault) = world.check() {
                panic!("seed {seed}, step {step}: {fault}");
            }
        }
        world.settle();
        assert_eq!(world.check(), Ok(()), "seed {seed}");
        assert_eq!(
            world.lacking(),
            0,
            "seed {seed}: hosts without the newest rows"
        );
    }
}
