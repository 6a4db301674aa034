//! Guards against reservations and engine memory that stay after a request has ended.

mod common;

use bv_place::{Class, Event, Policy};
use bv_types::{HostId, Incarnation, Millis, Refusal};
use common::{
    START, adoption, attempt, cancels, deadline_only, denied, grants, host_dead, id, proceeds,
    request, shard, spec, start,
};

/// Guards against a withdrawn request that stays in the queue.
#[test]
fn withdrawn_request_leaves_queue() {
    let mut shard = shard(spec(1, 1), Policy::Planned);
    for sequence in 0..4 {
        start(
            &mut shard,
            START,
            deadline_only(START, sequence, Class::Urgent),
        );
    }
    shard.handle(
        START,
        Event::Reserve(deadline_only(START, 9, Class::Urgent)),
    );
    let actions = shard.handle(START, Event::Release(attempt("host-a", 1, 9)));
    assert_eq!(denied(&actions), [(9, Refusal::CallerDisconnected)]);
    assert_eq!(shard.queued(), 0);
}

/// Guards against memory reserved for a dead host process, and against cancels of grants of its
/// successor.
#[test]
fn dead_host_grants_are_cancelled() {
    let mut shard = shard(spec(1, 1), Policy::Planned);
    start(&mut shard, START, request(START, 1, Class::Urgent));
    let mut of_successor = request(START, 2, Class::Urgent);
    of_successor.attempt = attempt("host-a", 2, 2);
    start(&mut shard, START, of_successor);
    assert!(shard.handle(START, host_dead("host-a", 1)).is_empty());
    let grace = START + Millis(1_999);
    assert!(shard.handle(grace, Event::Tick).is_empty());
    let actions = shard.handle(START + Millis(2_000), Event::Tick);
    assert_eq!(
        cancels(&actions),
        [("p-1".to_owned(), 1), ("d-1".to_owned(), 1)]
    );
    assert_eq!(shard.open_grants(), 1);
}

/// Guards against cancels of grants of a host that was declared dead by mistake.
#[test]
fn host_declared_dead_by_mistake() {
    let mut shard = shard(spec(1, 1), Policy::Planned);
    start(&mut shard, START, request(START, 1, Class::Urgent));
    shard.handle(START, host_dead("host-a", 1));
    let event = Event::HostAlive {
        host: "host-a".parse::<HostId>().unwrap(),
        incarnation: Incarnation(1),
    };
    shard.handle(START + Millis(1_000), event);
    let actions = shard.handle(START + Millis(5_000), Event::Tick);
    assert!(cancels(&actions).is_empty(), "{actions:?}");
}

/// Guards against a prefill result that stays exported when no decode follows.
#[test]
fn prefill_without_decode_expires() {
    let mut shard = shard(spec(1, 1), Policy::Planned);
    let granted = shard.handle(START, Event::Reserve(request(START, 1, Class::Urgent)));
    let end = START + grants(&granted)[0].prefill_time;
    assert!(shard.handle(end + Millis(1_999), Event::Tick).is_empty());
    let actions = shard.handle(end + Millis(2_000), Event::Tick);
    assert_eq!(cancels(&actions), [("p-1".to_owned(), 1)]);
}

/// Guards against grants that outlive the deadline when their release is lost.
#[test]
fn grant_expires_without_release() {
    let mut shard = shard(spec(1, 1), Policy::Planned);
    let request = request(START, 1, Class::Urgent);
    let deadline = request.deadline;
    start(&mut shard, START, request);
    assert!(shard.handle(deadline, Event::Tick).is_empty());
    let actions = shard.handle(deadline + Millis(2_000), Event::Tick);
    assert_eq!(cancels(&actions).len(), 2);
    assert_eq!(shard.open_grants(), 0);
}

/// Guards against a new shard owner that grants slots of adopted attempts to other requests.
#[test]
fn adopted_grants_keep_their_slots() {
    let mut shard = shard(spec(1, 1), Policy::Planned);
    for sequence in 0..4 {
        let request = deadline_only(START, sequence, Class::Urgent);
        shard.handle(START, adoption(request, sequence % 2 == 0));
    }
    assert_eq!(shard.open_grants(), 4);
    let actions = shard.handle(
        START,
        Event::Reserve(deadline_only(START, 9, Class::Urgent)),
    );
    assert!(actions.is_empty(), "{actions:?}");
    let done = shard.handle(START, Event::PrefillDone(attempt("host-a", 1, 1)));
    assert_eq!(proceeds(&done), [1]);
}

/// Guards against a second reservation of a request that its entry host has placed elsewhere, while
/// it was queued here or before the grant reached the entry host.
#[test]
fn adoption_replaces_reservation() {
    let mut shard = shard(spec(1, 2), Policy::Planned);
    let first = request(START, 1, Class::Urgent);
    let granted = grants(&shard.handle(START, Event::Reserve(first.clone())));
    let other_runner = match granted[0].decode == id("d-1") {
        true => id("d-2"),
        false => id("d-1"),
    };
    let Event::Adopt(mut moved) = adoption(first, true) else {
        panic!("`adoption` does not return Event::Adopt");
    };
    moved.decode = other_runner.clone();
    shard.handle(START, Event::Adopt(moved));
    assert_eq!(shard.open_grants(), 1);
    let loaded = shard.loads().into_iter().filter(|load| load.slots > 0);
    assert_eq!(
        loaded.map(|load| load.runner).collect::<Vec<_>>(),
        [other_runner]
    );

    for sequence in 2..9 {
        start(
            &mut shard,
            START,
            deadline_only(START, sequence, Class::Urgent),
        );
    }
    let queued = deadline_only(START, 20, Class::Urgent);
    shard.handle(START, Event::Reserve(queued.clone()));
    assert_eq!(shard.queued(), 1);
    shard.handle(START, adoption(queued, true));
    assert_eq!(shard.queued(), 0);
}

/// Guards against a second reservation when a message is repeated.
#[test]
fn repeated_messages_reserve_once() {
    let mut shard = shard(spec(1, 1), Policy::Planned);
    let request = request(START, 1, Class::Urgent);
    let first = grants(&shard.handle(START, Event::Reserve(request.clone())));
    let second = grants(&shard.handle(START, Event::Reserve(request)));
    assert_eq!(first, second);
    assert_eq!(shard.open_grants(), 1);
    let id = attempt("host-a", 1, 1);
    for _ in 0..2 {
        let actions = shard.handle(START, Event::PrefillDone(id.clone()));
        assert_eq!(proceeds(&actions), [1]);
    }
    for _ in 0..2 {
        shard.handle(START, Event::Release(id.clone()));
    }
    assert_eq!(shard.open_grants(), 0);
}
