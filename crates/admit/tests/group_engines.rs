//! Guards against hosts of different groups that choose the same engines, and against requests that wait
//! while engines of other groups have capacity.

mod common;

use std::net::SocketAddr;

use bv_admit::{Fleet, HostGroups, ModelPlan, PeerLoad, ServerLoad, WaitingTokens};
use bv_roster::{HostEntry, Registration, Stage};
use bv_types::{HostId, Millis, Tokens};
use common::{CAPACITY, model_request, server, service, zone};

const HOSTS: usize = 75;
const ENGINES: usize = 60;

fn hosts() -> Vec<HostEntry> {
    (0..HOSTS)
        .map(|n| HostEntry {
            id: format!("host-{n}").parse().unwrap(),
            zone: Some(zone("z1")),
            addr: SocketAddr::from(([10, 0, 0, n as u8], 7380)),
        })
        .collect()
}

fn fleet() -> (Fleet, HostGroups) {
    let hosts = hosts();
    let groups = HostGroups::new(&hosts[0], &hosts[1..]).expect("the zone is divided");
    let mut fleet = Fleet::new(3);
    fleet.expect_peers(HOSTS - 1);
    fleet.set_groups(Some(groups.clone()));
    (fleet, groups)
}

fn engines() -> Vec<Registration> {
    (0..ENGINES)
        .map(|n| server(&format!("d-{n}"), "z1", Some(Stage::Decode)))
        .collect()
}

fn place(fleet: &mut Fleet, engines: &[Registration]) -> Registration {
    let (service, zone) = (service(), zone("z1"));
    let request = model_request(&service, &zone, &[]);
    match fleet.place_model(Millis(0), request, engines.iter()) {
        Ok(ModelPlan::Direct { decode, .. } | ModelPlan::Split { decode, .. }) => decode,
        Err(err) => panic!("{err:?}"),
    }
}

fn full(engine: &Registration) -> ServerLoad {
    ServerLoad {
        server: engine.id.clone(),
        requests: 10,
        tokens: CAPACITY,
    }
}

#[test]
fn engines_of_own_group_are_preferred() {
    let (mut fleet, groups) = fleet();
    let engines = engines();
    for _ in 0..200 {
        let chosen = place(&mut fleet, &engines);
        assert!(!groups.is_of_other_group(&chosen.id, &chosen.zone));
    }
}

#[test]
fn others_are_used_when_own_are_full() {
    let (mut fleet, groups) = fleet();
    let engines = engines();
    let near = groups.near().next().unwrap();
    let SocketAddr::V4(addr) = near else { panic!() };
    let near: HostId = format!("host-{}", addr.ip().octets()[3]).parse().unwrap();
    let own = |engine: &&Registration| !groups.is_of_other_group(&engine.id, &engine.zone);
    let load = PeerLoad {
        loads: engines.iter().filter(own).map(full).collect(),
        ..PeerLoad::default()
    };
    fleet.update_peer(Millis(0), near, (1, 1), load);
    let chosen = place(&mut fleet, &engines);
    assert!(groups.is_of_other_group(&chosen.id, &chosen.zone));
}

/// The load of a host that moves to another group is reported to this one no more.
#[test]
fn load_of_other_groups_is_forgotten() {
    let (mut fleet, groups) = fleet();
    let engines = engines();
    let is_far = |host: &&HostEntry| !groups.is_near(&host.id);
    let hosts = hosts();
    let far = hosts[1..].iter().find(is_far).unwrap();
    let load = PeerLoad {
        loads: engines.iter().map(full).collect(),
        waiting: vec![WaitingTokens {
            priority: 1,
            tokens: Tokens(1_000),
        }],
        ..PeerLoad::default()
    };
    fleet.update_peer(Millis(0), far.id.clone(), (1, 1), load);
    fleet.record_presence(Millis(10), &far.id);
    assert!(fleet.hears(&far.id));
    assert_eq!(fleet.peer_waiting_tokens(1), Tokens(0));
    place(&mut fleet, &engines);
}
