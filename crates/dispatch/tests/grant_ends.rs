//! Guards against slots that stay taken after their call has ended, and against slots that are granted
//! twice.

mod common;

use bv_dispatch::{Ask, AskStep, Asking, Decision, Dispatcher, SendEnd, ServerReport};
use bv_types::Millis;
use common::{ask, dispatcher, fill, granted, host, id, server};

#[test]
fn repeated_ask_gets_the_same_grant() {
    let mut dispatcher = dispatcher(&["a", "b"]);
    let first = dispatcher.ask(Millis(1_000), ask(1_000, "h", 1));
    let again = dispatcher.ask(Millis(1_030), ask(1_000, "h", 1));
    let server = |action: &bv_dispatch::Action| match &action.decision {
        Decision::Grant { server, .. } => server.clone(),
        other => panic!("{other:?}"),
    };
    assert_eq!(server(&first[0]), server(&again[0]));
    assert_eq!(dispatcher.stats().granted, 1);
}

#[test]
fn grant_of_a_dead_host_ends_with_its_lease() {
    let mut dispatcher = dispatcher(&["a"]);
    let held = fill(&mut dispatcher, 1_000);
    let waits = |now| ask(now, "h", 1);
    assert!(granted(&dispatcher.ask(Millis(1_900), waits(1_900))).is_empty());
    assert_eq!(granted(&dispatcher.tick(Millis(2_000))), [1]);
    assert_eq!(dispatcher.stats().expired, held.len() as u64);
}

#[test]
fn renewed_grant_lasts_at_most_to_the_deadline() {
    let mut dispatcher = dispatcher(&["a"]);
    let held = fill(&mut dispatcher, 1_000);
    for now in [1_300, 1_600, 1_900, 2_200] {
        dispatcher.tick(Millis(now));
        held.iter().for_each(|id| dispatcher.renew(Millis(now), id));
    }
    assert_eq!(dispatcher.stats().expired, 0);
    dispatcher.tick(Millis(2_500));
    assert_eq!(dispatcher.stats().expired, held.len() as u64);
}

#[test]
fn unused_grant_goes_to_the_next_call() {
    let mut dispatcher = dispatcher(&["a"]);
    let held = fill(&mut dispatcher, 1_000);
    dispatcher.ask(Millis(1_000), ask(1_000, "h", 1));
    let freed = dispatcher.end(Millis(1_010), &held[0], SendEnd::Unused);
    assert_eq!(granted(&freed), [1]);
    // A repeated end frees no second slot.
    dispatcher.ask(Millis(1_010), ask(1_010, "h", 2));
    assert!(
        dispatcher
            .end(Millis(1_020), &held[0], SendEnd::Unused)
            .is_empty()
    );
}

#[test]
fn rejected_call_goes_to_another_server() {
    let mut dispatcher = dispatcher(&["a", "b"]);
    let first = dispatcher.ask(Millis(1_000), ask(1_000, "h", 1));
    let Decision::Grant { server, .. } = &first[0].decision else {
        panic!("{first:?}");
    };
    dispatcher.end(Millis(1_010), &first[0].id, SendEnd::Rejected);
    let again = Ask {
        tried: vec![server.clone()],
        ..ask(1_010, "h", 1)
    };
    let second = dispatcher.ask(Millis(1_010), again);
    let Decision::Grant { server: other, .. } = &second[0].decision else {
        panic!("{second:?}");
    };
    assert_ne!(server, other);
}

/// A dispatcher without memory grants no slot that calls of its predecessor use.
#[test]
fn new_dispatcher_counts_what_hosts_and_servers_state() {
    let now = Millis(5_000);
    let servers = [server("a", 1), server("b", 1)];
    let mut dispatcher = Dispatcher::new(now);
    dispatcher.set_servers(now, servers.iter());
    dispatcher.set_uses(now, &host("h1"), vec![(id("a"), 6)]);
    let report = ServerReport {
        running: 6,
        waiting: 0,
        pace: Some(100),
    };
    dispatcher.record_report(now, &id("b"), report);
    assert!(granted(&dispatcher.ask(now, ask(5_000, "h2", 1))).is_empty());
    dispatcher.set_uses(now + Millis(50), &host("h1"), vec![(id("a"), 5)]);
    assert_eq!(granted(&dispatcher.tick(now + Millis(50))), [1]);
}

#[test]
fn silent_dispatcher_is_left_after_60_ms() {
    let mut asking = Asking::default();
    assert_eq!(asking.step(Millis(0)), AskStep::Send);
    assert_eq!(asking.step(Millis(0)), AskStep::Wait(Millis(30)));
    assert_eq!(asking.step(Millis(30)), AskStep::Send);
    assert_eq!(asking.step(Millis(59)), AskStep::Wait(Millis(60)));
    assert_eq!(asking.step(Millis(60)), AskStep::PlaceAlone);
    let mut queued = Asking::default();
    queued.step(Millis(0));
    queued.queued(Millis(10));
    assert_eq!(queued.step(Millis(99)), AskStep::Wait(Millis(100)));
    assert_eq!(queued.step(Millis(100)), AskStep::Send);
    assert_eq!(queued.step(Millis(160)), AskStep::PlaceAlone);
}

/// A dispatcher whose host does not know the servers yet, or whose servers pause, refuses nothing.
#[test]
fn unknown_and_paused_servers_are_no_reason_to_refuse() {
    let mut unaware = Dispatcher::new(Millis(0));
    assert!(unaware.ask(Millis(1_000), ask(1_000, "h", 1)).is_empty());
    let mut dispatcher = dispatcher(&["a"]);
    let first = dispatcher.ask(Millis(1_000), ask(1_000, "h", 1));
    dispatcher.end(Millis(1_010), &first[0].id, SendEnd::Failed);
    let short = Ask {
        deadline: Millis(1_620),
        ..ask(1_020, "h", 2)
    };
    let actions = dispatcher.ask(Millis(1_020), short);
    assert!(
        matches!(actions[0].decision, Decision::Queued { .. }),
        "{actions:?}"
    );
    assert_eq!(granted(&dispatcher.tick(Millis(1_210))), [2]);
}

/// Guards against a dispatcher that refuses all calls after some slow answers, and so never sees a quick one.
#[test]
fn slow_answers_are_no_reason_to_refuse_all() {
    let mut dispatcher = dispatcher(&["a"]);
    let mut now = 1_000;
    for call in 0..200 {
        let actions = dispatcher.ask(Millis(now), ask(now, "h", call));
        assert_eq!(granted(&actions), [call]);
        now += 1_400;
        let slow = SendEnd::Answered {
            took: Millis(1_400),
        };
        dispatcher.renew(Millis(now - 700), &actions[0].id);
        dispatcher.end(Millis(now), &actions[0].id, slow);
    }
    let actions = dispatcher.ask(Millis(now), ask(now, "h", 1_000));
    assert_eq!(granted(&actions), [1_000]);
}

/// Guards against calls that wait without end behind those of hosts that place alone.
#[test]
fn calls_without_grants_leave_some_slots() {
    let mut dispatcher = dispatcher(&["a"]);
    dispatcher.set_uses(Millis(1_000), &host("alone"), vec![(id("a"), 20)]);
    assert_eq!(
        granted(&dispatcher.ask(Millis(1_000), ask(1_000, "h", 1))),
        [1]
    );
    assert_eq!(
        granted(&dispatcher.ask(Millis(1_000), ask(1_000, "h", 2))),
        [2]
    );
    assert!(granted(&dispatcher.ask(Millis(1_000), ask(1_000, "h", 3))).is_empty());
}
