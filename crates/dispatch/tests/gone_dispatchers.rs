//! Guards against calls that run twice, are lost or wait long because the host that grants the slots is
//! gone, frozen, cut off, late or without memory.

mod sim;

use sim::{Fault, Outcome, Plan, play_seeds};

const SEEDS: u64 = 4;

fn check(name: &str, faults: &[Fault], plan: impl Fn(u64) -> Plan) -> Outcome {
    let outcome = play_seeds(SEEDS, |seed| plan(seed).with(faults));
    println!(
        "{name}: {} calls, rejected {:.2}%, served {:.2}%, on time {:.2}%, unknown {}, lost {}, p90 {} ms",
        outcome.calls,
        outcome.rejected_share() * 100.0,
        outcome.served_share() * 100.0,
        outcome.on_time as f64 / outcome.calls as f64 * 100.0,
        outcome.unknown,
        outcome.lost,
        outcome.time(0.9),
    );
    assert_eq!(outcome.false_runs, 0, "{name}");
    assert!(outcome.served_share() >= 0.97, "{name}");
    assert!(outcome.rejected_share() <= 0.05, "{name}");
    outcome
}

fn gateway(seed: u64) -> Plan {
    Plan {
        // The load of a usual day, so that the fault is what is seen.
        burst: 1.2,
        ..Plan::gateway(seed, true)
    }
}

#[test]
fn without_faults() {
    check("no fault", &[], gateway);
}

#[test]
fn dead() {
    check("dead", &[Fault::Kill { host: 0, at: 5_000 }], gateway);
}

#[test]
fn frozen() {
    let freeze = Fault::Freeze {
        host: 0,
        from: 5_000,
        until: 9_000,
    };
    check("frozen", &[freeze], gateway);
}

#[test]
fn frozen_for_a_moment() {
    let freeze = |from| Fault::Freeze {
        host: 0,
        from,
        until: from + 300,
    };
    let freezes: Vec<Fault> = (4..18).map(|second| freeze(second * 1_000)).collect();
    check("frozen for 300 ms each second", &freezes, gateway);
}

#[test]
fn cut_off() {
    let cut = Fault::Cut {
        host: 0,
        from: 5_000,
        until: 10_000,
    };
    check("cut off", &[cut], gateway);
}

#[test]
fn messages_a_second_late() {
    let late = Fault::Late {
        host: 0,
        from: 5_000,
        until: 10_000,
    };
    check("late", &[late], gateway);
}

#[test]
fn all_without_memory() {
    check(
        "restart of all",
        &[Fault::RestartAll { at: 5_000 }],
        gateway,
    );
}

#[test]
fn many_lost_datagrams() {
    check("a tenth of the datagrams lost", &[], |seed| Plan {
        loss: 0.1,
        ..gateway(seed)
    });
}

/// A third of the hosts dies with the dispatcher.
#[test]
fn many_dead_hosts() {
    let kills: Vec<Fault> = (0..21)
        .map(|host| Fault::Kill { host, at: 5_000 })
        .collect();
    check("a third of the hosts dead", &kills, gateway);
}
