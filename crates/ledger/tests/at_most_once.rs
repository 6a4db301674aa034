//! Seeded fuzzing of several hosts against an oracle of the promises P4 and P5.

#[allow(dead_code)]
mod world;

use bv_ledger::{Reply, RowState};
use bv_types::Millis;
use world::{Step, World, answer_of, key_name};

const HOSTS: usize = 3;
const KEYS: usize = 3;
/// Cases in each of the four tests, 10,000 in all.
const CASES: u64 = 2_500;
/// Time for a claim, the longest run and the record, without faults.
const QUIET_DEADLINE: u64 = 5_000;
/// The resend window of the world's calls, the time that rows are kept after it, and a second.
const EXPIRED_AFTER: Millis = Millis::from_secs(600 + 3_600 + 1);
/// A reply follows its deadline within one sleep of the driver.
const REPLY_SLACK: Millis = Millis(2);

fn plan(world: &mut World) {
    for _ in 0..world.rng.usize(2..10) {
        let at = world.now + Millis(world.rng.u64(0..20_000));
        let (host, key) = (world.rng.usize(..HOSTS), world.rng.usize(..KEYS));
        world.schedule(at, host, Step::Arrive { key });
    }
    if world.fault_rate == 0.0 {
        return;
    }
    for _ in 0..world.rng.usize(..3) {
        let at = world.now + Millis(world.rng.u64(0..30_000));
        let host = world.rng.usize(..HOSTS);
        let until = at + Millis(world.rng.u64(0..20_000));
        let step = match world.rng.u8(..3) {
            0 => Step::Crash,
            1 => Step::Pause { until },
            // A live host is taken for dead.
            _ => {
                let dead = world.rng.usize(..HOSTS);
                let incarnation = world.hosts[dead].incarnation;
                Step::HostDead {
                    host: dead,
                    incarnation,
                }
            }
        };
        world.schedule(at, host, step);
    }
}

fn check_replies(world: &World, paused: bool) {
    for told in world.all_told() {
        let Some((at, reply)) = &told.reply else {
            assert!(told.crashed || told.gone, "{told:?} was never answered");
            continue;
        };
        if let Reply::Answer(answer) = reply {
            assert_eq!(*answer, answer_of(told.key), "{told:?} got another answer");
            assert_eq!(
                world.runs[told.key], 1,
                "{told:?} was answered without a run"
            );
        }
        if !paused {
            assert!(
                *at <= told.deadline + REPLY_SLACK,
                "{told:?} was answered late"
            );
        }
    }
}

/// A claim that stays belongs to a process that ended; all others were settled.
fn check_rows(world: &World) {
    for key in 0..KEYS {
        let Some(body) = world.table.body(&key_name(key)) else {
            continue;
        };
        let lives = |host: &world::Host| host.incarnation == body.incarnation;
        let holder = world.hosts.iter().find(|host| host.id == body.host);
        if body.state == RowState::Claimed {
            assert!(
                !holder.is_some_and(lives),
                "key {key} stays claimed by a live process"
            );
        }
        if body.state == RowState::NotRun {
            assert_eq!(
                world.runs[key], 0,
                "key {key} ran and its row says \"not run\""
            );
        }
    }
}

/// With no faults left, every key is resent through every host.
fn check_resends(world: &mut World) {
    world.fault_rate = 0.0;
    world.least_deadline = QUIET_DEADLINE;
    for key in 0..KEYS {
        for host in 0..HOSTS {
            let before = world.row_state(key);
            let call = world.hosts[host].calls.len();
            let at = world.now + Millis(1_000);
            world.schedule(at, host, Step::Arrive { key });
            world.run();
            let (_, reply) = world.hosts[host].calls[call].reply.clone().unwrap();
            match before {
                None | Some(RowState::NotRun | RowState::Done) => {
                    assert_eq!(
                        reply,
                        Reply::Answer(answer_of(key)),
                        "key {key}, row {before:?}"
                    );
                    assert_eq!(world.row_state(key), Some(RowState::Done));
                }
                Some(RowState::Claimed | RowState::Unknown) => {
                    assert!(
                        matches!(reply, Reply::Unknown { .. }),
                        "key {key}: {reply:?}"
                    );
                    assert_eq!(world.row_state(key), before);
                }
            }
        }
    }
}

/// After its row has expired, whether deleted or not, a call is new and runs once again.
fn check_expired(world: &mut World) {
    world.now = world.now + EXPIRED_AFTER;
    for key in 0..KEYS {
        if world.rng.bool() {
            world.table.delete(&key_name(key));
        }
        world.runs[key] = 0;
        for _ in 0..2 {
            let host = world.rng.usize(..HOSTS);
            let call = world.hosts[host].calls.len();
            world.schedule(world.now, host, Step::Arrive { key });
            world.run();
            let (_, reply) = world.hosts[host].calls[call].reply.clone().unwrap();
            assert_eq!(reply, Reply::Answer(answer_of(key)), "key {key}");
            assert_eq!(world.runs[key], 1, "key {key}");
        }
    }
}

fn run_cases(first: u64) {
    for seed in first..first + CASES {
        let result = std::panic::catch_unwind(|| run_case(seed));
        assert!(result.is_ok(), "seed {seed} failed");
    }
}

fn run_case(seed: u64) {
    let mut world = World::new(seed, HOSTS, KEYS);
    plan(&mut world);
    world.run();
    let faults = world.fault_rate > 0.0;
    check_replies(&world, faults);
    for host in &world.hosts {
        assert_eq!(host.ledger.open(), 0, "{} has open calls at rest", host.id);
    }
    check_rows(&world);
    check_resends(&mut world);
    check_replies(&world, faults);
    check_expired(&mut world);
}

/// Guards against a second run, a run after "not run" and a lost stored answer.
#[test]
fn first_quarter() {
    run_cases(0);
}

/// As `first_quarter`, with other seeds.
#[test]
fn second_quarter() {
    run_cases(CASES);
}

/// As `first_quarter`, with other seeds.
#[test]
fn third_quarter() {
    run_cases(2 * CASES);
}

/// As `first_quarter`, with other seeds.
#[test]
fn fourth_quarter() {
    run_cases(3 * CASES);
}
