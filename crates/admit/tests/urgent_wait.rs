//! Guards against the refusal of an urgent call because of less urgent ones that wait at other hosts: it
//! goes before them, so they do not lengthen its wait.

mod common;

use bv_admit::{Fleet, PeerLoad, Queue, QueuedCall, ServerLoad, WaitingTokens, Work};
use bv_roster::Stage;
use bv_types::{Millis, Tokens};
use common::{id, model_request, server, service, zone};

const HOSTS: usize = 63;

fn waiting(priority: u8, tokens: u64) -> WaitingTokens {
    WaitingTokens {
        priority,
        tokens: Tokens(tokens),
    }
}

/// A fleet of one full engine, with calls of several priorities that wait at all other hosts.
fn overloaded_fleet() -> Fleet {
    let mut fleet = Fleet::new(1);
    for host in 0..HOSTS {
        let load = PeerLoad {
            waiting: vec![waiting(1, 1_000), waiting(2, 8_000)],
            ..PeerLoad::default()
        };
        let host = format!("host-{host}").parse().unwrap();
        fleet.update_peer(Millis(0), host, (1, 1), load);
    }
    let work = Work {
        tokens: Tokens(30_000),
        stuck_after: Millis(60_000),
    };
    fleet.begin(Millis(0), &id("d1"), work);
    fleet
}

#[test]
fn less_urgent_peers() {
    let fleet = overloaded_fleet();
    assert_eq!(fleet.peer_waiting_tokens(0), Tokens(0));
    assert_eq!(fleet.peer_waiting_tokens(1), Tokens(63_000));
    assert_eq!(fleet.peer_waiting_tokens(2), Tokens(567_000));
}

#[test]
fn wait_by_priority() {
    let fleet = overloaded_fleet();
    let engines = [server("d1", "north", Some(Stage::Decode))];
    let (service, zone) = (service(), zone("north"));
    let request = model_request(&service, &zone, &[]);
    let wait = |priority| {
        let ahead = fleet.peer_waiting_tokens(priority);
        fleet.capacity_wait(Millis(0), &request, ahead, engines.iter())
    };
    // Capacity for the urgent call itself, within the time for which it waits.
    assert!(wait(0) < Millis(2_850), "{}", wait(0));
    assert!(wait(2) > Millis(2_850), "{}", wait(2));
}

#[test]
fn sums_by_priority() {
    let mut queue = Queue::default();
    for (priority, tokens) in [(2, 300), (0, 100), (2, 400), (1, 50)] {
        queue.push(QueuedCall {
            priority,
            arrived: Millis(0),
            on_time_until: Millis(650),
            tokens: Tokens(tokens),
        });
    }
    let sums = queue.tokens_by_priority();
    assert_eq!(sums, [waiting(0, 100), waiting(1, 50), waiting(2, 700)]);
}

#[test]
fn engines_in_use_count() {
    // The load of other hosts at the engines is no waiting call.
    let mut fleet = overloaded_fleet();
    let load = PeerLoad {
        loads: vec![ServerLoad {
            server: id("d1"),
            requests: 3,
            tokens: Tokens(9_000),
        }],
        ..PeerLoad::default()
    };
    fleet.update_peer(Millis(10), "host-0".parse().unwrap(), (1, 2), load);
    assert_eq!(fleet.peer_waiting_tokens(2), Tokens(558_000));
}
