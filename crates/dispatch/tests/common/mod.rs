//! Servers and asks for the tests of the dispatcher.
#![allow(dead_code)] // Each test file uses only some of the items.

use std::net::SocketAddr;

use bv_dispatch::{Action, Ask, AskId, Decision, Dispatcher};
use bv_roster::{Registration, ServerState};
use bv_types::{BackendId, HostId, Millis, ZoneId};

pub fn id(name: &str) -> BackendId {
    name.parse().unwrap()
}

pub fn host(name: &str) -> HostId {
    name.parse().unwrap()
}

pub fn zone(name: &str) -> ZoneId {
    name.parse().unwrap()
}

pub fn server(name: &str, started_at: u64) -> Registration {
    Registration {
        id: id(name),
        service: "quotes".parse().unwrap(),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        zone: zone("z0"),
        slots: 6,
        state: ServerState::Ready,
        stage: None,
        started_at: Some(Millis(started_at)),
        sequence: 1,
    }
}

/// A dispatcher that has run for a second with these servers.
pub fn dispatcher(names: &[&str]) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(Millis::ZERO);
    let servers: Vec<Registration> = names.iter().map(|name| server(name, 1)).collect();
    dispatcher.set_servers(Millis::ZERO, servers.iter());
    dispatcher.set_servers(Millis(1_000), servers.iter());
    dispatcher
}

/// A call with an objective of 200 ms and a deadline of 1,500 ms.
pub fn ask(now: u64, from: &str, call: u64) -> Ask {
    Ask {
        id: AskId {
            host: host(from),
            call,
        },
        priority: 1,
        team: None,
        zone: Some(zone("z0")),
        arrived: Millis(now),
        on_time_until: Millis(now + 200),
        deadline: Millis(now + 1_500),
        tried: Vec::new(),
        key: call,
        sent_at: Millis(now),
    }
}

/// The calls that were granted a slot.
pub fn granted(actions: &[Action]) -> Vec<u64> {
    let grants = actions
        .iter()
        .filter(|action| matches!(action.decision, Decision::Grant { .. }));
    grants.map(|action| action.id.call).collect()
}

/// Takes all free slots at a time; returns the calls that hold them.
pub fn fill(dispatcher: &mut Dispatcher, now: u64) -> Vec<AskId> {
    let mut held = Vec::new();
    for call in 1_000_000.. {
        let ask = ask(now, "filler", call);
        let id = ask.id.clone();
        let actions = dispatcher.ask(Millis(now), ask);
        if granted(&actions).is_empty() {
            dispatcher.end(Millis(now), &id, bv_dispatch::SendEnd::Unused);
            break;
        }
        held.push(id);
    }
    held
}
