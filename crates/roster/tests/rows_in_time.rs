//! Guards against hosts that do not know a change within the time that the platform promises, while
//! a host that they can reach reads the store.

mod fleet;

use fleet::{Fleet, Service};

/// Zones, hosts of each, and promised time in ms, as on the users' installations.
const INSTALLATIONS: [(usize, usize, u64); 4] = [
    (3, 8, 2_000),
    (4, 15, 3_000),
    (4, 23, 3_000),
    (6, 49, 4_000),
];
const SEEDS: u64 = 12;
/// Length of the store's trouble in ms.
const TROUBLE: u64 = 6_000;

fn each_fleet(mut play: impl FnMut(&mut Fleet)) {
    for (zones, per_zone, promise) in INSTALLATIONS {
        for seed in 0..SEEDS {
            println!("{zones} zones with {per_zone} hosts each, seed {seed}");
            play(&mut Fleet::new(zones, per_zone, promise, seed));
        }
    }
}

fn trouble(fleet: &mut Fleet) -> Service {
    match fleet.rng.bool() {
        true => Service::Refusing,
        false => Service::Silent,
    }
}

/// Changes at random moments of the trouble, the first one right after its begin.
fn change_during(fleet: &mut Fleet, time: u64) {
    let until = fleet.now + time;
    fleet.run(100);
    while fleet.now < until {
        fleet.change();
        let pause = 300 + fleet.rng.u64(..1_500);
        fleet.run(pause);
    }
}

#[test]
fn calm_store() {
    each_fleet(|fleet| {
        let begin = fleet.now;
        change_during(fleet, TROUBLE);
        let readers = fleet.readers();
        let mut callers = fleet.calls_since(begin).iter().map(|(_, host)| host);
        assert!(callers.all(|host| readers.contains(host)));
    });
}

#[test]
fn readers_turned_away() {
    each_fleet(|fleet| {
        let (readers, service) = (fleet.readers(), trouble(fleet));
        fleet.serve(readers, service);
        change_during(fleet, TROUBLE);
        fleet.serve(0..fleet.hosts.len(), Service::Serving);
        change_during(fleet, TROUBLE);
    });
}

#[test]
fn most_hosts_turned_away() {
    each_fleet(|fleet| {
        let service = trouble(fleet);
        let mut hosts: Vec<usize> = (0..fleet.hosts.len()).collect();
        fleet.rng.shuffle(&mut hosts);
        let away = hosts.len() * (80 + fleet.rng.usize(..=10)) / 100;
        fleet.serve(hosts[..away].iter().copied(), service);
        change_during(fleet, TROUBLE);
        fleet.serve(hosts, Service::Serving);
        change_during(fleet, TROUBLE);
    });
}

#[test]
fn one_host_served() {
    each_fleet(|fleet| {
        let service = trouble(fleet);
        let served = fleet.rng.usize(..fleet.hosts.len());
        fleet.serve((0..fleet.hosts.len()).filter(|n| *n != served), service);
        change_during(fleet, TROUBLE);
    });
}

#[test]
fn readers_fail_in_turn() {
    each_fleet(|fleet| {
        for reader in fleet.readers() {
            let service = trouble(fleet);
            fleet.serve([reader], service);
            change_during(fleet, 700);
        }
        change_during(fleet, TROUBLE);
    });
}

/// A reader that wakes answers with rows of the time before, and its clock does not count its sleep.
#[test]
fn sleeping_readers() {
    each_fleet(|fleet| {
        for _ in 0..3 {
            let readers = fleet.readers();
            let time = 1_000 + fleet.rng.u64(..4_000);
            fleet.freeze(readers.iter().copied(), time);
            if fleet.rng.bool() {
                fleet.serve(readers, Service::Refusing);
            }
            change_during(fleet, TROUBLE);
        }
    });
}

/// The store hides changes for a second before it loses its history.
#[test]
fn history_lost_by_store() {
    each_fleet(|fleet| {
        let (readers, service) = (fleet.readers(), trouble(fleet));
        fleet.hide_changes();
        if fleet.rng.bool() {
            fleet.serve(readers, service);
        }
        for pause in [100, 500, 400] {
            fleet.run(pause);
            fleet.change();
        }
        fleet.lose_history();
        change_during(fleet, TROUBLE);
    });
}

/// No host can know changes, so only the calls are checked: none of the rounds in which all hosts
/// try may come as a burst.
#[test]
fn store_away_for_all() {
    each_fleet(|fleet| {
        let (hosts, service) = (fleet.hosts.len(), trouble(fleet));
        let begin = fleet.now;
        fleet.serve(0..hosts, service);
        fleet.run(4 * TROUBLE);
        let (busiest, all) = (fleet.busiest_calls(begin), fleet.calls_since(begin).len());
        assert!(busiest <= hosts / 3 + 10, "{busiest} calls in 0.1 s");
        assert!(all <= hosts * 24, "{all} calls in 24 s");
        fleet.serve(0..hosts, Service::Serving);
        change_during(fleet, TROUBLE);
    });
}
