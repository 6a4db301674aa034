//! Guards against calls that go to full, failing or unresponsive servers while others are free.

mod common;

use bv_admit::{Fault, Fleet, PlacementError, Report, SendOutcome, Work};
use bv_roster::Registration;
use bv_types::{BackendId, Millis, Tokens};
use common::{call_request, id, server, service, zone};

const CALL: Work = Work {
    tokens: Tokens(0),
    stuck_after: Millis(240),
};

fn servers() -> Vec<Registration> {
    vec![
        server("a", "north", None),
        server("b", "south", None),
        server("c", "south", None),
    ]
}

fn choose(fleet: &mut Fleet, now: u64, tried: &[BackendId]) -> Result<String, PlacementError> {
    let (service, zone) = (service(), zone("north"));
    let servers = servers();
    let choice = fleet.place_call(
        Millis(now),
        call_request(&service, &zone, tried),
        servers.iter(),
    );
    choice.map(|choice| choice.server.id.to_string())
}

#[test]
fn own_zone_first() {
    let mut fleet = Fleet::new(1);
    for _ in 0..50 {
        assert_eq!(choose(&mut fleet, 0, &[]).as_deref(), Ok("a"));
    }
}

#[test]
fn full_server_is_passed_over() {
    let mut fleet = Fleet::new(1);
    for _ in 0..20 {
        fleet.begin(Millis(0), &id("a"), CALL);
    }
    assert_ne!(choose(&mut fleet, 0, &[]).as_deref(), Ok("a"));
}

#[test]
fn reported_load_fades() {
    let mut fleet = Fleet::new(1);
    let report = Report {
        running: 6,
        waiting: 14,
        pace: None,
    };
    fleet.record_report(Millis(0), &id("a"), report);
    assert_ne!(choose(&mut fleet, 0, &[]).as_deref(), Ok("a"));
    assert_eq!(choose(&mut fleet, 1_000, &[]).as_deref(), Ok("a"));
}

#[test]
fn faulty_server_is_avoided_then_probed() {
    let mut fleet = Fleet::new(1);
    let send = fleet.begin(Millis(0), &id("a"), CALL);
    fleet.end(
        Millis(10),
        &id("a"),
        send,
        SendOutcome::Failed(Fault::Connect),
    );
    assert_ne!(choose(&mut fleet, 20, &[]).as_deref(), Ok("a"));
    assert_eq!(choose(&mut fleet, 400, &[]).as_deref(), Ok("a"));
    // One request probes it; the others avoid it until that one is answered.
    let probe = fleet.begin(Millis(400), &id("a"), CALL);
    assert_ne!(choose(&mut fleet, 410, &[]).as_deref(), Ok("a"));
    fleet.end(
        Millis(420),
        &id("a"),
        probe,
        SendOutcome::Answered { error: false },
    );
    assert_eq!(choose(&mut fleet, 420, &[]).as_deref(), Ok("a"));
}

#[test]
fn unresponsive_server_is_avoided() {
    let mut fleet = Fleet::new(1);
    fleet.begin(Millis(0), &id("a"), CALL);
    assert_eq!(choose(&mut fleet, 200, &[]).as_deref(), Ok("a"));
    assert_ne!(choose(&mut fleet, 240, &[]).as_deref(), Ok("a"));
}

#[test]
fn failing_server_is_avoided() {
    // Half of one server's answers are errors, a tenth of the others'.
    let mut fleet = Fleet::new(1);
    for at in 0..200 {
        for (server, errors) in [("a", 2), ("b", 10), ("c", 10)] {
            let send = fleet.begin(Millis(at), &id(server), CALL);
            let error = at % errors == 0;
            fleet.end(
                Millis(at),
                &id(server),
                send,
                SendOutcome::Answered { error },
            );
        }
    }
    assert_ne!(choose(&mut fleet, 200, &[]).as_deref(), Ok("a"));
}

#[test]
fn avoided_server_is_used_if_alone() {
    // Avoidance lowers the rank of a server; it must not refuse a call that has no other server.
    let mut fleet = Fleet::new(1);
    let send = fleet.begin(Millis(0), &id("a"), CALL);
    fleet.end(
        Millis(0),
        &id("a"),
        send,
        SendOutcome::Failed(Fault::NoAnswer),
    );
    let others = [id("b"), id("c")];
    assert_eq!(choose(&mut fleet, 10, &others).as_deref(), Ok("a"));
    let all = [id("a"), id("b"), id("c")];
    assert_eq!(choose(&mut fleet, 10, &all), Err(PlacementError::NoServer));
}

#[test]
fn call_that_would_be_late_is_refused() {
    let mut fleet = Fleet::new(1);
    for server in ["a", "b", "c"] {
        for _ in 0..400 {
            fleet.begin(Millis(0), &id(server), CALL);
        }
    }
    let refused = choose(&mut fleet, 0, &[]);
    assert!(
        matches!(refused, Err(PlacementError::TooLate { .. })),
        "{refused:?}"
    );
}

#[test]
fn misdirected_server_is_avoided_longer() {
    // Its row stays outdated for a second or more; until then each further send would be refused.
    let mut fleet = Fleet::new(1);
    let send = fleet.begin(Millis(0), &id("a"), CALL);
    fleet.end(
        Millis(0),
        &id("a"),
        send,
        SendOutcome::Failed(Fault::Misdirected),
    );
    assert_ne!(choose(&mut fleet, 1_000, &[]).as_deref(), Ok("a"));
    assert_eq!(choose(&mut fleet, 1_300, &[]).as_deref(), Ok("a"));
}

/// Guards against calls to a server that has just reported that work takes twice as long there, and
/// against an old report that still keeps calls away.
#[test]
fn slow_pace_counts_while_it_is_new() {
    let mut fleet = Fleet::new(1);
    let report = |pace| Report {
        running: 1,
        waiting: 0,
        pace: Some(pace),
    };
    fleet.record_report(Millis(0), &id("a"), report(240));
    assert_ne!(choose(&mut fleet, 0, &[]).as_deref(), Ok("a"));
    assert_eq!(choose(&mut fleet, 300, &[]).as_deref(), Ok("a"));
    // A pace that cannot be true counts as the slowest that is believed.
    fleet.record_report(Millis(400), &id("a"), report(u32::MAX));
    for server in ["b", "c"] {
        fleet.begin(Millis(400), &id(server), CALL);
        let full = (0..12).map(|_| fleet.begin(Millis(400), &id(server), CALL));
        assert_eq!(full.count(), 12);
    }
    assert_eq!(choose(&mut fleet, 400, &[]).as_deref(), Ok("a"));
}
