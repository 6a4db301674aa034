//! Guards against hosts that all ask the same engine for the same room, and against a caller that
//! waits at one host while later ones are served at others.

mod common;

use bv_admit::{Fleet, ModelRequest, PeerLoad, Refused, Waiting};
use bv_roster::Stage;
use bv_types::{HostId, Millis, Tokens};
use common::{model, server, service, zone};

const HOSTS: usize = 30;

fn head(arrived: u64) -> Waiting {
    Waiting {
        priority: 1,
        arrived: Millis(arrived),
        on_time_until: Millis(arrived + 60_000),
        tokens: Tokens(4_000),
    }
}

fn host(index: usize) -> HostId {
    format!("host-{index}").parse().unwrap()
}

fn waits(arrived: u64) -> PeerLoad {
    PeerLoad {
        waiting: Tokens(4_000),
        head: Some(head(arrived)),
        ..PeerLoad::default()
    }
}

#[test]
fn order_of_hosts() {
    let mut fleet = Fleet::new(1);
    fleet.update_peer(Millis(100), host(1), (1, 1), waits(10));
    fleet.update_peer(Millis(100), host(2), (1, 1), waits(50));
    let own = head(30);
    assert_eq!(fleet.hosts_before(Millis(110), &own, Millis(0)), 1);
    assert_eq!(fleet.hosts_before(Millis(110), &head(5), Millis(0)), 0);
    // A host before this one that does not use its turn holds it up for a while only.
    assert_eq!(fleet.hosts_before(Millis(210), &own, Millis(100)), 0);
    // Nor does a host that has fallen silent.
    assert_eq!(fleet.hosts_before(Millis(800), &own, Millis(0)), 0);
}

#[test]
fn rooms_for_hosts_before() {
    let engines = [
        server("d1", "north", Some(Stage::Decode)),
        server("d2", "south", Some(Stage::Decode)),
    ];
    let (service, zone) = (service(), zone("north"));
    let mut fleet = Fleet::new(1);
    let mut plan = |hosts_before| {
        let ask = ModelRequest {
            hosts_before,
            ..model(&service, &zone, &[])
        };
        fleet.place_model(Millis(0), ask, engines.iter())
    };
    assert!(plan(0).is_ok() && plan(1).is_ok());
    assert_eq!(plan(2), Err(Refused::NoCapacity));
}

/// Plays the moment at which one room becomes free while many hosts wait, with what each has heard.
fn hosts_that_ask(rooms: usize) -> Vec<usize> {
    let engines = ["d1", "d2", "d3", "d4"].map(|name| server(name, "north", Some(Stage::Decode)));
    let (service, zone) = (service(), zone("north"));
    let now = Millis(2_000);
    let arrived = |index: usize| 1_000 + (index as u64 * 7_919) % 900;
    let asks = (0..HOSTS).filter(|own| {
        let mut fleet = Fleet::new(*own as u64);
        for other in (0..HOSTS).filter(|other| other != own) {
            fleet.update_peer(now, host(other), (1, 1), waits(arrived(other)));
        }
        let ask = ModelRequest {
            hosts_before: fleet.hosts_before(now, &head(arrived(*own)), Millis(0)),
            ..model(&service, &zone, &[])
        };
        fleet.place_model(now, ask, engines[..rooms].iter()).is_ok()
    });
    let mut asking: Vec<usize> = asks.collect();
    asking.sort_by_key(|index| arrived(*index));
    asking
}

#[test]
fn one_host_asks() {
    let mut oldest: Vec<usize> = (0..HOSTS).collect();
    oldest.sort_by_key(|index| (*index as u64 * 7_919) % 900);
    assert_eq!(hosts_that_ask(1), oldest[..1]);
    assert_eq!(hosts_that_ask(4), oldest[..4]);
}
