//! Random faults, checked against the simulation: once the network has healed, every view holds
//! exactly the live processes, and configurations and leaving marks agree.

mod common;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use bv_member::GossipUpdate;
use common::{Faults, Net, leaving};

const CASES_PER_PART: u64 = 2_500;
const INPUT_BYTES: u64 = 512;
/// Multiplier that spreads case numbers over the seeds; small seeds start with similar bytes.
const SEED_MULTIPLIER: u64 = 0x9E37_79B9;
const TICK_MS: u64 = 100;
/// Time within which views agree once the network has healed: twice the detection time of 8 s,
/// because a process may die just before the network heals and still be reported by a host that
/// resumes meanwhile.
const HEAL_MS: u64 = 16_000;

/// Guards against views that never converge after faults.
#[test]
fn views_agree_part_1_of_4() {
    run(0);
}

/// See [`views_agree_part_1_of_4`].
#[test]
fn views_agree_part_2_of_4() {
    run(1);
}

/// See [`views_agree_part_1_of_4`].
#[test]
fn views_agree_part_3_of_4() {
    run(2);
}

/// See [`views_agree_part_1_of_4`].
#[test]
fn views_agree_part_4_of_4() {
    run(3);
}

fn run(part: u64) {
    for case in part * CASES_PER_PART..(part + 1) * CASES_PER_PART {
        let seed = (case + 1).wrapping_mul(SEED_MULTIPLIER) << 32 | INPUT_BYTES;
        arbtest(check_case).seed(seed);
    }
}

fn faults(u: &mut Unstructured<'_>, count: usize) -> Result<Faults> {
    let mut faults = Faults {
        loss: f64::from(u.int_in_range(0..=40u8)?) / 100.0,
        repeat: f64::from(u.int_in_range(0..=30u8)?) / 100.0,
        delay: u.int_in_range(0..=100u64)?,
        jitter: u.int_in_range(0..=300u64)?,
        spike: f64::from(u.int_in_range(0..=10u8)?) / 100.0,
        spike_ms: u.int_in_range(0..=5_000u64)?,
        cuts: Vec::new(),
    };
    for _ in 0..u.int_in_range(0..=3u8)? {
        let cut = (u.choose_index(count)?, u.choose_index(count)?);
        faults.cuts.push(cut);
    }
    if u.ratio(1u8, 4u8)? {
        let side: Vec<usize> = (0..u.int_in_range(1..=count - 1)?).collect();
        faults.partition(count, &side);
    }
    Ok(faults)
}

fn check_case(u: &mut Unstructured<'_>) -> Result<()> {
    let count = u.int_in_range(2..=5usize)?;
    let mut net = Net::new(count, 2, TICK_MS, u.arbitrary()?);
    net.run(2_000);
    let mut version = 0;
    for _ in 0..u.int_in_range(1..=8u8)? {
        let at = u.choose_index(count)?;
        match u.int_in_range(0..=7u8)? {
            0 => net.kill(at),
            1 => net.restart(at),
            2 => net.pause(at),
            3 => net.resume(at),
            4 => {
                version += 1;
                net.set_config(at, version);
            }
            5 => net.add_mark(at, leaving(u.int_in_range(0..=2)?, u.int_in_range(1..=3)?)),
            _ => net.faults = faults(u, count)?,
        }
        net.run(u.int_in_range(0..=6_000u64)?);
    }
    net.faults = Faults {
        delay: 1,
        ..Faults::default()
    };
    for at in 0..count {
        net.resume(at);
    }
    // At least one seed must run, so that hosts that restarted during a partition can find each
    // other.
    if !net.is_alive(0) && !net.is_alive(1) {
        net.restart(0);
    }
    net.run(HEAL_MS);
    assert_agreement(&net, count);
    Ok(())
}

fn assert_agreement(net: &Net, count: usize) {
    if let Some(&at) = net.wrong_views().first() {
        panic!("host {at} sees {:?} of {:?}", net.view(at), net.live());
    }
    let live: Vec<usize> = (0..count).filter(|at| net.is_alive(*at)).collect();
    let newest = live.iter().map(|at| net.nodes[*at].config).max();
    let mut marks: Vec<&GossipUpdate> = live.iter().flat_map(|at| &net.nodes[*at].marks).collect();
    marks.sort_by_key(|m| format!("{m:?}"));
    marks.dedup();
    for at in &live {
        let node = &net.nodes[*at];
        assert_eq!(Some(node.config), newest, "configuration of host {at}");
        for mark in &marks {
            let GossipUpdate::Leaving {
                backend,
                incarnation,
            } = mark
            else {
                panic!("{mark:?}");
            };
            let covers_mark = |held: &GossipUpdate| {
                matches!(held, GossipUpdate::Leaving { backend: b, incarnation: i }
                    if b == backend && i >= incarnation)
            };
            assert!(
                node.marks.iter().any(covers_mark),
                "host {at} lacks {mark:?}"
            );
        }
    }
}
