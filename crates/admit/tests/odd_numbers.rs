//! Guards against overflows by numbers that servers and other hosts report.

mod common;

use bv_admit::{Fleet, PeerLoad, Queue, QueuedCall, Report, ServerLoad, WaitingTokens, Work};
use bv_types::{Millis, Tokens};
use common::{call_request, id, model_request, server, service, zone};

const MOST: Tokens = Tokens(u64::MAX);

#[test]
fn largest_report_of_a_server() {
    let mut fleet = Fleet::new(1);
    let report = Report {
        running: u32::MAX,
        waiting: u32::MAX,
        pace: Some(u32::MAX),
    };
    fleet.record_report(Millis(0), &id("a"), report);
    let (service, zone) = (service(), zone("north"));
    let servers = [server("a", "north", None), server("b", "south", None)];
    let req = call_request(&service, &zone, &[]);
    let choice = fleet.place_call(Millis(0), req, servers.iter()).unwrap();
    assert_eq!(choice.server.id, id("b"));
}

#[test]
fn largest_numbers_of_tokens() {
    let mut fleet = Fleet::new(1);
    let now = Millis(0);
    for host in ["host-1", "host-2"] {
        let load = PeerLoad {
            loads: vec![ServerLoad {
                server: id("a"),
                requests: u32::MAX,
                tokens: MOST,
            }],
            waiting: vec![WaitingTokens {
                priority: 1,
                tokens: MOST,
            }],
            ..PeerLoad::default()
        };
        fleet.update_peer(now, host.parse().unwrap(), (1, 1), load);
    }
    for _ in 0..2 {
        let work = Work {
            tokens: MOST,
            stuck_after: Millis::MAX,
        };
        fleet.begin(now, &id("b"), work);
    }
    assert_eq!(fleet.peer_waiting_tokens(1), MOST);
    assert!(fleet.own_loads().iter().all(|load| load.tokens == MOST));
    let (service, zone) = (service(), zone("north"));
    let servers = [
        server("a", "north", None),
        server("b", "north", None),
        server("c", "south", None),
    ];
    let mut req = model_request(&service, &zone, &[]);
    assert!(fleet.place_model(now, req, servers.iter()).is_ok());
    req.total = MOST;
    fleet.capacity_wait(now, &req, MOST, servers.iter());
    assert!(fleet.place_model(now, req, servers.iter()).is_ok());
}

#[test]
fn largest_calls_in_a_queue() {
    let mut queue = Queue::default();
    let call = QueuedCall {
        priority: 1,
        arrived: Millis::MAX,
        on_time_until: Millis::MAX,
        tokens: MOST,
    };
    queue.push(call);
    queue.push(call);
    let last = queue.push(call);
    let sums = queue.tokens_by_priority();
    assert!(sums.iter().all(|sum| sum.tokens == MOST), "{sums:?}");
    assert_eq!(queue.ahead(Millis::MAX, last), Tokens(0));
}
