//! Guards against prompts that are prefilled before a decode engine has capacity for them.

mod common;

use bv_admit::{Fleet, ModelPlan, PeerLoad, PlacementError, Report, ServerLoad, Work};
use bv_roster::{Registration, Stage};
use bv_types::{Millis, Tokens};
use common::{id, model_request, server, service, zone};

const STREAM: Work = Work {
    tokens: Tokens(4_000),
    stuck_after: Millis(2_000),
};

fn engines() -> Vec<Registration> {
    vec![
        server("p1", "north", Some(Stage::Prefill)),
        server("p2", "south", Some(Stage::Prefill)),
        server("d1", "north", Some(Stage::Decode)),
        server("d2", "south", Some(Stage::Decode)),
    ]
}

fn plan(
    fleet: &mut Fleet,
    now: u64,
    engines: &[Registration],
) -> Result<ModelPlan, PlacementError> {
    let (service, zone) = (service(), zone("north"));
    fleet.place_model(
        Millis(now),
        model_request(&service, &zone, &[]),
        engines.iter(),
    )
}

fn names(plan: &ModelPlan) -> (String, String) {
    match plan {
        ModelPlan::Split {
            prefill, decode, ..
        } => (prefill.id.to_string(), decode.id.to_string()),
        ModelPlan::Direct { decode, .. } => (String::new(), decode.id.to_string()),
    }
}

fn peer_load(server: &str, requests: u32, tokens: u64) -> PeerLoad {
    PeerLoad {
        loads: vec![ServerLoad {
            server: id(server),
            requests,
            tokens: Tokens(tokens),
        }],
        ..PeerLoad::default()
    }
}

#[test]
fn engines_in_own_zone_are_preferred() {
    let mut fleet = Fleet::new(1);
    let plan = plan(&mut fleet, 0, &engines()).unwrap();
    assert_eq!(names(&plan), ("p1".to_owned(), "d1".to_owned()));
}

#[test]
fn load_of_other_hosts_counts() {
    let mut fleet = Fleet::new(1);
    fleet.expect_peers(1);
    fleet.update_peer(
        Millis(0),
        "host-b".parse().unwrap(),
        (1, 1),
        peer_load("d1", 9, 38_000),
    );
    let chosen = plan(&mut fleet, 10, &engines()).unwrap();
    assert_eq!(names(&chosen).1, "d2");
    for _ in 0..10 {
        fleet.begin(Millis(10), &id("d2"), STREAM);
    }
    assert_eq!(
        plan(&mut fleet, 10, &engines()),
        Err(PlacementError::NoCapacity)
    );
    // The host's messages have stopped: its streams ended with its process.
    fleet.expire_peers(Millis(2_000));
    assert_eq!(names(&plan(&mut fleet, 2_000, &engines()).unwrap()).1, "d1");
}

/// Guards against sums that drift while hosts report load, stop reporting, and servers come and go.
#[test]
fn peer_load_sums_do_not_drift() {
    let hosts = ["host-b", "host-c", "host-d"];
    arbtest::arbtest(|u| {
        let mut fleet = Fleet::new(1);
        let mut now = 0;
        for sequence in 1..u.int_in_range(2..=40)? {
            now += u.int_in_range(0..=700)?;
            let host = u.choose(&hosts)?;
            let load = match u.int_in_range(0..=3)? {
                0 => PeerLoad::default(),
                1 => peer_load("d2", 3, 12_000),
                _ => peer_load("d1", u.int_in_range(0..=9)?, u.int_in_range(0..=43_000)?),
            };
            fleet.update_peer(Millis(now), host.parse().unwrap(), (1, sequence), load);
            fleet.expire_peers(Millis(now));
            if u.ratio(1, 4)? {
                fleet.retain(|_| false);
            }
        }
        fleet.expire_peers(Millis(now + 10_000));
        for sequence in 100..102 {
            let host = hosts[0].parse().unwrap();
            fleet.update_peer(
                Millis(now + 10_000),
                host,
                (1, sequence),
                peer_load("d1", 9, 43_000),
            );
        }
        // One host's 43,000 tokens leave no capacity; a sum below zero would show some.
        let only = [
            server("p1", "north", Some(Stage::Prefill)),
            server("d1", "north", Some(Stage::Decode)),
        ];
        assert_eq!(
            plan(&mut fleet, now + 10_000, &only),
            Err(PlacementError::NoCapacity)
        );
        fleet.update_peer(
            Millis(now + 10_000),
            hosts[0].parse().unwrap(),
            (1, 102),
            PeerLoad::default(),
        );
        assert!(plan(&mut fleet, now + 10_000, &only).is_ok());
        Ok(())
    });
}

#[test]
fn older_messages_are_ignored() {
    let mut fleet = Fleet::new(1);
    fleet.expect_peers(1);
    let host = || "host-b".parse().unwrap();
    fleet.update_peer(Millis(0), host(), (1, 5), peer_load("d1", 0, 0));
    fleet.update_peer(Millis(1), host(), (1, 4), peer_load("d1", 9, 40_000));
    assert_eq!(names(&plan(&mut fleet, 1, &engines()).unwrap()).1, "d1");
    fleet.update_peer(Millis(2), host(), (2, 1), peer_load("d1", 9, 40_000));
    assert_eq!(names(&plan(&mut fleet, 2, &engines()).unwrap()).1, "d2");
}

#[test]
fn server_report_is_used_while_peers_are_unknown() {
    let mut fleet = Fleet::new(1);
    fleet.expect_peers(3);
    let report = Report {
        running: 12,
        waiting: 0,
        pace: None,
    };
    fleet.record_report(Millis(0), &id("d1"), report);
    assert_eq!(names(&plan(&mut fleet, 10, &engines()).unwrap()).1, "d2");
}

#[test]
fn busy_prefill_engine_is_passed_over() {
    let mut fleet = Fleet::new(1);
    let prompt = Work {
        tokens: Tokens(12_000),
        ..STREAM
    };
    fleet.begin(Millis(0), &id("p1"), prompt);
    assert_eq!(names(&plan(&mut fleet, 0, &engines()).unwrap()).0, "p2");
    fleet.begin(Millis(0), &id("p2"), prompt);
    fleet.begin(Millis(0), &id("p2"), prompt);
    fleet.begin(Millis(0), &id("p1"), prompt);
    let direct = plan(&mut fleet, 0, &engines()).unwrap();
    assert!(matches!(direct, ModelPlan::Direct { .. }), "{direct:?}");
}

#[test]
fn direct_without_prefill_engines() {
    let engines = vec![server("d1", "north", Some(Stage::Decode))];
    let mut fleet = Fleet::new(1);
    let direct = plan(&mut fleet, 0, &engines).unwrap();
    assert_eq!(names(&direct), (String::new(), "d1".to_owned()));
}

#[test]
fn oversized_request_needs_empty_engine() {
    // A request that exceeds the planned memory of an engine still runs at an empty one.
    let mut fleet = Fleet::new(1);
    let (service, zone) = (service(), zone("north"));
    let engines = engines();
    let mut request = model_request(&service, &zone, &[]);
    request.total = Tokens(60_000);
    assert!(
        fleet
            .place_model(Millis(0), request, engines.iter())
            .is_ok()
    );
    fleet.begin(Millis(0), &id("d1"), STREAM);
    fleet.begin(Millis(0), &id("d2"), STREAM);
    assert_eq!(
        fleet.place_model(Millis(0), request, engines.iter()),
        Err(PlacementError::NoCapacity)
    );
}

#[test]
fn engine_that_changes_role_is_skipped() {
    let mut fleet = Fleet::new(1);
    fleet.record_role_change(&id("p1"), Millis(6_000));
    assert_eq!(names(&plan(&mut fleet, 0, &engines()).unwrap()).0, "p2");
    assert_eq!(names(&plan(&mut fleet, 6_000, &engines()).unwrap()).0, "p1");
}

#[test]
fn wait_grows_with_the_queue() {
    let mut fleet = Fleet::new(1);
    let engines = engines();
    for server in ["d1", "d2"] {
        for _ in 0..10 {
            fleet.begin(Millis(0), &id(server), STREAM);
        }
    }
    let (service, zone) = (service(), zone("north"));
    let request = model_request(&service, &zone, &[]);
    let wait = |ahead| fleet.capacity_wait(Millis(0), &request, Tokens(ahead), engines.iter());
    assert!(wait(0) < wait(20_000) && wait(20_000) < wait(80_000));
    assert!(
        wait(80_000) >= Millis(3_000),
        "a queue as large as the whole pool takes about the time of one stream"
    );
}
