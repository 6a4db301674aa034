//! Membership views under each kind of fault.

mod common;

use bv_member::{Action, Event, Kind, Membership, Message};
use bv_types::Millis;
use common::{Faults, Net, member};

const HOSTS: usize = 8;
const TICK_MS: u64 = 50;
/// Time for all views to agree after the start or after the last fault.
const SETTLE_MS: u64 = 15_000;
/// Target of the design page.
const DETECTION_MS: u64 = 8_000;

fn settled(seed: u64) -> Net {
    let mut net = Net::new(HOSTS, 2, TICK_MS, seed);
    net.run(SETTLE_MS);
    assert_eq!(net.wrong_views(), [0; 0], "after the start, seed {seed}");
    net.log.clear();
    net
}

fn no_faults() -> Faults {
    Faults {
        delay: 1,
        ..Faults::default()
    }
}

/// Guards against removing live members because of faults that occur in a working network.
#[test]
fn mild_faults_remove_no_member() {
    let table = [
        (
            "loss",
            Faults {
                loss: 0.1,
                ..no_faults()
            },
        ),
        (
            "repetition",
            Faults {
                repeat: 0.5,
                ..no_faults()
            },
        ),
        (
            "reordering",
            Faults {
                jitter: 250,
                ..no_faults()
            },
        ),
        (
            "delay",
            Faults {
                delay: 200,
                ..no_faults()
            },
        ),
        (
            "spikes",
            Faults {
                spike: 0.05,
                spike_ms: 2_000,
                ..no_faults()
            },
        ),
        (
            "one-sided cut",
            Faults {
                cuts: vec![(0, 1), (2, 3), (4, 1)],
                ..no_faults()
            },
        ),
    ];
    for (name, faults) in table {
        let mut net = settled(1);
        net.faults = faults;
        net.run(120_000);
        for at in 0..HOSTS {
            assert_eq!(net.removals(at), 0, "{name}: removals of host {at}");
        }
        assert_eq!(net.wrong_views(), [0; 0], "{name}");
    }
}

/// Guards against a dead member that stays in a view.
#[test]
fn killed_member_is_removed() {
    for seed in 0..50 {
        let mut net = settled(seed);
        net.kill(3);
        net.run(DETECTION_MS);
        assert_eq!(net.wrong_views(), [0; 0], "seed {seed}");
    }
}

/// Guards against a paused member that stays removed after it resumes.
#[test]
fn paused_member_returns() {
    for (pause_ms, removed) in [(1_500, false), (20_000, true)] {
        let mut net = settled(2);
        net.pause(3);
        net.run(pause_ms);
        let removals = net.removals(3);
        assert_eq!(removals > 0, removed, "pause of {pause_ms} ms: {removals}");
        net.resume(3);
        net.run(SETTLE_MS);
        assert_eq!(net.wrong_views(), [0; 0], "pause of {pause_ms} ms");
        for at in (0..HOSTS).filter(|at| *at != 3) {
            assert_eq!(net.removals(at), 0, "host {at} removed by the paused host");
        }
        let was_declared_dead = |(_, at, a): &(Millis, usize, Action)| {
            *at == 3 && matches!(a, Action::DeclaredDead { .. })
        };
        assert_eq!(
            net.log.iter().any(was_declared_dead),
            removed,
            "pause of {pause_ms} ms"
        );
    }
}

/// Guards against a partition that never heals because each side has dropped the members of the
/// other.
#[test]
fn partition_heals() {
    for (name, side) in [("one host", vec![7]), ("halves", vec![0, 1, 2, 3])] {
        for seconds in [10, 3_600] {
            let mut net = settled(3);
            net.faults.partition(HOSTS, &side);
            net.run(seconds * 1_000);
            let views: Vec<usize> = (0..HOSTS).map(|at| net.view(at).len()).collect();
            let expected: Vec<usize> = (0..HOSTS)
                .map(|at| match side.contains(&at) {
                    true => side.len(),
                    false => HOSTS - side.len(),
                })
                .collect();
            assert_eq!(views, expected, "{name}: sides after {seconds} s");
            net.faults = no_faults();
            net.run(SETTLE_MS);
            assert_eq!(net.wrong_views(), [0; 0], "{name}: {seconds} s, healed");
        }
    }
}

/// Guards against mistaking a restarted host for its former process.
#[test]
fn restart_replaces_former_process() {
    for down_ms in [0, 300, 30_000] {
        let mut net = settled(4);
        net.kill(5);
        net.run(down_ms);
        net.restart(5);
        net.run(SETTLE_MS);
        assert_eq!(net.wrong_views(), [0; 0], "down for {down_ms} ms");
        let old = member(5, 1);
        let new = member(5, 2);
        for at in (0..HOSTS).filter(|at| *at != 5) {
            let reports_of = |m: &bv_member::Member| {
                net.log
                    .iter()
                    .filter(|(_, n, a)| {
                        *n == at
                            && (*a == Action::Dead(m.clone()) || *a == Action::Joined(m.clone()))
                    })
                    .count()
            };
            assert_eq!(
                reports_of(&old),
                1,
                "host {at} reports the end of the old process once"
            );
            assert_eq!(
                reports_of(&new),
                1,
                "host {at} reports the new process once"
            );
        }
    }
}

/// Guards against applying late messages of a replaced process.
#[test]
fn stale_incarnation_is_ignored() {
    let message = |at, incarnation, kind| Message {
        from: member(at, incarnation),
        counter: 0,
        seq: 1,
        kind,
        member_updates: Vec::new(),
        view_digest: 0,
        gossip_digest: 0,
        gossip_updates: Vec::new(),
    };
    let mut machine = Membership::new(member(0, 1), vec![], 1, Millis(0));
    let mut receive = |m| machine.handle(Millis(0), Event::Packet(m));
    receive(message(1, 7, Kind::Ping));
    assert_eq!(receive(message(1, 6, Kind::Ping)), []);
    assert_eq!(receive(message(1, 6, Kind::Leave)), []);
    assert_eq!(machine.alive(), [member(0, 1), member(1, 7)]);
}

/// Guards against a late message that makes a departed process a member again.
#[test]
fn departure_is_final() {
    let mut net = settled(5);
    let late = Message {
        from: net.nodes[2].member.clone(),
        counter: 90,
        seq: 1,
        kind: Kind::Ping,
        member_updates: Vec::new(),
        view_digest: 0,
        gossip_digest: 0,
        gossip_updates: Vec::new(),
    };
    net.handle(2, Event::Leave);
    net.run(500);
    net.kill(2);
    net.run(500);
    assert_eq!(net.wrong_views(), [0; 0], "1 s after the leave");
    net.handle(4, Event::Packet(late));
    net.run(SETTLE_MS);
    assert_eq!(net.wrong_views(), [0; 0], "after a late message");
    assert_eq!(net.removals(2), 0, "a departure is not reported as a death");
    net.restart(2);
    net.run(SETTLE_MS);
    assert_eq!(net.wrong_views(), [0; 0], "after the restart");
}

/// Guards against a dead member that stays in the views of hosts that a busy machine delays. It
/// occurred when each delay restarted the whole suspicion timeout.
#[test]
fn delayed_hosts_remove_a_dead_member() {
    const DELAY_MS: u64 = 1_050;
    const RUN_MS: u64 = 2_950;
    for seed in 0..20 {
        let mut net = settled(seed);
        net.kill(3);
        let live: Vec<usize> = (0..HOSTS).filter(|at| *at != 3).collect();
        // The detection target counts only the time in which the hosts run.
        for _ in 0..DETECTION_MS.div_ceil(RUN_MS) {
            net.run(RUN_MS);
            live.iter().for_each(|at| net.pause(*at));
            net.run(DELAY_MS);
            live.iter().for_each(|at| net.resume(*at));
        }
        net.run(TICK_MS);
        assert!(
            net.removals(3) > 0,
            "seed {seed}: no host removed the dead member"
        );
    }
}
