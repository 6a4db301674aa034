//! Seeded fuzzing of several hosts against an oracle: a call runs at most once, its caller gets a
//! correct reply by the deadline, and a stored answer is kept for resent calls (guarantees P4
//! and P5).

#[allow(dead_code)]
mod simulation;

use bv_ledger::{Reply, RowState};
use bv_types::Millis;
use simulation::{Simulation, Step, answer_of, key_name};

const HOSTS: usize = 3;
const KEYS: usize = 3;
/// Cases in each of the four tests, 10,000 in all.
const CASES: u64 = 2_500;
/// Time that a claim, the longest run and the write of the outcome take without faults.
const FAULT_FREE_DEADLINE_MS: u64 = 5_000;
/// The resend window of the simulated calls, the time that rows are kept after it, and a second.
const EXPIRED_AFTER: Millis = Millis::from_secs(600 + 3_600 + 1);
/// A reply may follow its deadline by one tick of the simulation.
const REPLY_SLACK: Millis = Millis(2);

fn schedule_calls_and_faults(sim: &mut Simulation) {
    for _ in 0..sim.rng.usize(2..10) {
        let at = sim.now + Millis(sim.rng.u64(0..20_000));
        let (host, key) = (sim.rng.usize(..HOSTS), sim.rng.usize(..KEYS));
        sim.schedule(at, host, Step::Arrive { key });
    }
    if sim.fault_rate == 0.0 {
        return;
    }
    for _ in 0..sim.rng.usize(..3) {
        let at = sim.now + Millis(sim.rng.u64(0..30_000));
        let host = sim.rng.usize(..HOSTS);
        let until = at + Millis(sim.rng.u64(0..20_000));
        let step = match sim.rng.u8(..3) {
            0 => Step::Crash,
            1 => Step::Pause { until },
            // A live host is declared dead.
            _ => {
                let dead = sim.rng.usize(..HOSTS);
                let incarnation = sim.hosts[dead].incarnation;
                Step::HostDead {
                    host: dead,
                    incarnation,
                }
            }
        };
        sim.schedule(at, host, step);
    }
}

/// Replies may be late only if faults are injected, because a paused host replies late.
fn check_replies(sim: &Simulation, with_faults: bool) {
    for record in sim.call_records() {
        let Some((at, reply)) = &record.reply else {
            assert!(
                record.crashed || record.disconnected,
                "{record:?} was never answered"
            );
            continue;
        };
        if let Reply::Answer(answer) = reply {
            assert_eq!(
                *answer,
                answer_of(record.key),
                "{record:?} got another call's answer"
            );
            assert_eq!(
                sim.runs[record.key], 1,
                "{record:?} was answered without a run"
            );
        }
        if !with_faults {
            assert!(
                *at <= record.deadline + REPLY_SLACK,
                "{record:?} was answered late"
            );
        }
    }
}

/// Only processes that have ended leave claims behind; all other rows have an outcome.
fn check_rows(sim: &Simulation) {
    for key in 0..KEYS {
        let Some(body) = sim.table.body(&key_name(key)) else {
            continue;
        };
        let is_current_process = |host: &simulation::Host| host.incarnation == body.incarnation;
        let holder = sim.hosts.iter().find(|host| host.id == body.host);
        if body.state == RowState::Claimed {
            assert!(
                !holder.is_some_and(is_current_process),
                "key {key} is still claimed by a live process"
            );
        }
        if body.state == RowState::NotRun {
            assert_eq!(
                sim.runs[key], 0,
                "key {key} ran, but its row has the state \"not run\""
            );
        }
    }
}

/// Resends every key through every host, without faults.
fn check_resends(sim: &mut Simulation) {
    sim.fault_rate = 0.0;
    sim.min_deadline_ms = FAULT_FREE_DEADLINE_MS;
    for key in 0..KEYS {
        for host in 0..HOSTS {
            let before = sim.row_state(key);
            let call = sim.hosts[host].calls.len();
            let at = sim.now + Millis(1_000);
            sim.schedule(at, host, Step::Arrive { key });
            sim.run();
            let (_, reply) = sim.hosts[host].calls[call].reply.clone().unwrap();
            match before {
                None | Some(RowState::NotRun | RowState::Done) => {
                    assert_eq!(
                        reply,
                        Reply::Answer(answer_of(key)),
                        "key {key}, row {before:?}"
                    );
                    assert_eq!(sim.row_state(key), Some(RowState::Done));
                }
                Some(RowState::Claimed | RowState::Unknown) => {
                    assert!(
                        matches!(reply, Reply::Unknown { .. }),
                        "key {key}: {reply:?}"
                    );
                    assert_eq!(sim.row_state(key), before);
                }
            }
        }
    }
}

/// Checks that a call whose row has expired is new and runs once again, whether or not the table
/// has deleted the row.
fn check_expired(sim: &mut Simulation) {
    sim.now = sim.now + EXPIRED_AFTER;
    for key in 0..KEYS {
        if sim.rng.bool() {
            sim.table.delete(&key_name(key));
        }
        sim.runs[key] = 0;
        for _ in 0..2 {
            let host = sim.rng.usize(..HOSTS);
            let call = sim.hosts[host].calls.len();
            sim.schedule(sim.now, host, Step::Arrive { key });
            sim.run();
            let (_, reply) = sim.hosts[host].calls[call].reply.clone().unwrap();
            assert_eq!(reply, Reply::Answer(answer_of(key)), "key {key}");
            assert_eq!(sim.runs[key], 1, "key {key}");
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
    let mut sim = Simulation::new(seed, HOSTS, KEYS);
    schedule_calls_and_faults(&mut sim);
    sim.run();
    let faults = sim.fault_rate > 0.0;
    check_replies(&sim, faults);
    for host in &sim.hosts {
        assert_eq!(
            host.ledger.open(),
            0,
            "{} has open calls at the end",
            host.id
        );
    }
    check_rows(&sim);
    check_resends(&mut sim);
    check_replies(&sim, faults);
    check_expired(&mut sim);
}

/// Guards against a second run of a call, a run after the reply "not run" and a lost stored answer.
#[test]
fn part_1_of_4() {
    run_cases(0);
}

/// As `part_1_of_4`, with other seeds.
#[test]
fn part_2_of_4() {
    run_cases(CASES);
}

/// As `part_1_of_4`, with other seeds.
#[test]
fn part_3_of_4() {
    run_cases(2 * CASES);
}

/// As `part_1_of_4`, with other seeds.
#[test]
fn part_4_of_4() {
    run_cases(3 * CASES);
}
