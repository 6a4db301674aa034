//! Guards against hosts that all request the same capacity at the same engine, and against a call
//! that waits at one host while later calls are placed by other hosts.

mod common;

use bv_admit::{Fleet, ModelRequest, PeerLoad, PlacementError, QueuedCall, WaitingTokens};
use bv_roster::Stage;
use bv_types::{HostId, Millis, Tokens};
use common::{model_request, server, service, zone};

const HOSTS: usize = 30;

fn queued_call(arrived: u64) -> QueuedCall {
    QueuedCall {
        priority: 1,
        arrived: Millis(arrived),
        on_time_until: Millis(arrived + 60_000),
        tokens: Tokens(4_000),
    }
}

fn host(index: usize) -> HostId {
    format!("host-{index}").parse().unwrap()
}

fn waiting_peer(arrived: u64) -> PeerLoad {
    PeerLoad {
        waiting: vec![WaitingTokens {
            priority: 1,
            tokens: Tokens(4_000),
        }],
        first_waiting: Some(queued_call(arrived)),
        ..PeerLoad::default()
    }
}

#[test]
fn peers_before_by_arrival() {
    let mut fleet = Fleet::new(1);
    fleet.update_peer(Millis(100), host(1), (1, 1), waiting_peer(10));
    fleet.update_peer(Millis(100), host(2), (1, 1), waiting_peer(50));
    let own = queued_call(30);
    assert_eq!(fleet.peers_before(Millis(110), &own, Millis(0)), 1);
    assert_eq!(
        fleet.peers_before(Millis(110), &queued_call(5), Millis(0)),
        0
    );
    // A host before this one that does not use the capacity delays it for a limited time only.
    assert_eq!(fleet.peers_before(Millis(210), &own, Millis(100)), 0);
    // A host whose messages have stopped does not delay it either.
    assert_eq!(fleet.peers_before(Millis(800), &own, Millis(0)), 0);
}

#[test]
fn engines_are_left_to_peers_before() {
    let engines = [
        server("d1", "north", Some(Stage::Decode)),
        server("d2", "south", Some(Stage::Decode)),
    ];
    let (service, zone) = (service(), zone("north"));
    let mut fleet = Fleet::new(1);
    let mut plan = |peers_before| {
        let request = ModelRequest {
            peers_before,
            ..model_request(&service, &zone, &[])
        };
        fleet.place_model(Millis(0), request, engines.iter())
    };
    assert!(plan(0).is_ok() && plan(1).is_ok());
    assert_eq!(plan(2), Err(PlacementError::NoCapacity));
}

/// Returns the hosts that place their waiting call when `engine_count` engines have capacity,
/// sorted by the arrival of the calls. Every host waits and knows of all other waiting calls.
fn placing_hosts(engine_count: usize) -> Vec<usize> {
    let engines = ["d1", "d2", "d3", "d4"].map(|name| server(name, "north", Some(Stage::Decode)));
    let (service, zone) = (service(), zone("north"));
    let now = Millis(2_000);
    let arrived = |index: usize| 1_000 + (index as u64 * 7_919) % 900;
    let placing = (0..HOSTS).filter(|own| {
        let mut fleet = Fleet::new(*own as u64);
        for other in (0..HOSTS).filter(|other| other != own) {
            fleet.update_peer(now, host(other), (1, 1), waiting_peer(arrived(other)));
        }
        let request = ModelRequest {
            peers_before: fleet.peers_before(now, &queued_call(arrived(*own)), Millis(0)),
            ..model_request(&service, &zone, &[])
        };
        fleet
            .place_model(now, request, engines[..engine_count].iter())
            .is_ok()
    });
    let mut placing: Vec<usize> = placing.collect();
    placing.sort_by_key(|index| arrived(*index));
    placing
}

#[test]
fn one_host_places_per_engine() {
    let mut oldest: Vec<usize> = (0..HOSTS).collect();
    oldest.sort_by_key(|index| (*index as u64 * 7_919) % 900);
    assert_eq!(placing_hosts(1), oldest[..1]);
    assert_eq!(placing_hosts(4), oldest[..4]);
}
