//! Guards against requests that are accepted although they cannot be answered in time.

mod common;

use bv_place::{Class, Event, Policy, Request};
use bv_types::{Millis, Refusal, Tokens};
use common::{START, deadline_only, denied, grants, request, shard, spec, start};

type Change = fn(&mut Request);

/// Guards against admitting a request that idle runners cannot serve in time, and against refusing
/// one that they can.
#[test]
fn admission_checks_deadlines_and_size() {
    let cases: [(&str, Change, Option<Refusal>); 7] = [
        ("fits", |_| {}, None),
        (
            "larger than an engine",
            |r| r.prompt = Tokens(50_000),
            Some(Refusal::TooLarge),
        ),
        (
            "prefill longer than the first-token target",
            |r| r.prompt = Tokens(15_000),
            Some(Refusal::FirstTokenTooLate),
        ),
        (
            "first token already due",
            |r| r.first_token_by = START,
            Some(Refusal::FirstTokenTooLate),
        ),
        (
            "output longer than the deadline",
            |r| r.max_output = Tokens(2_000),
            Some(Refusal::DeadlineTooShort),
        ),
        (
            "time between tokens that no batch reaches",
            |r| r.token_gap = Millis(19),
            Some(Refusal::DeadlineTooShort),
        ),
        (
            "a batch of one reaches the target",
            |r| r.token_gap = Millis(20),
            None,
        ),
    ];
    for (name, change, expected) in cases {
        let mut shard = shard(spec(1, 1), Policy::Planned);
        let mut request = request(START, 1, Class::Urgent);
        change(&mut request);
        let actions = shard.handle(START, Event::Reserve(request));
        match expected {
            Some(reason) => assert_eq!(denied(&actions), [(1, reason)], "{name}"),
            None => assert_eq!(grants(&actions).len(), 1, "{name}"),
        }
    }
}

/// Guards against queued requests whose first token will miss its target.
#[test]
fn full_slots_refuse_first_token_targets() {
    let mut shard = shard(spec(1, 1), Policy::Planned);
    for sequence in 0..4 {
        let mut request = request(START, sequence, Class::Urgent);
        request.max_output = Tokens(1_000);
        start(&mut shard, START, request);
    }
    let actions = shard.handle(START, Event::Reserve(request(START, 9, Class::Urgent)));
    assert_eq!(denied(&actions), [(9, Refusal::FirstTokenTooLate)]);
    let actions = shard.handle(
        START,
        Event::Reserve(deadline_only(START, 10, Class::Urgent)),
    );
    assert!(
        actions.is_empty(),
        "a request without a first-token target is queued"
    );
}

/// Guards against a queue of waiting work that grows longer than the deadlines allow.
#[test]
fn long_queue_is_refused() {
    let mut shard = shard(spec(1, 1), Policy::Planned);
    let mut accepted = 0;
    let mut last = Vec::new();
    for sequence in 0..200 {
        let mut request = deadline_only(START, sequence, Class::Waiting);
        request.max_output = Tokens(200);
        last = denied(&shard.handle(START, Event::Reserve(request)));
        accepted += usize::from(last.is_empty());
    }
    assert_eq!(last, [(199, Refusal::QueueFull)]);
    // Three slots of 5 s each start at most 18 requests in the 30 s.
    assert!((3..=18).contains(&accepted), "{accepted} accepted");
}

/// Guards against a queued request that is neither granted nor refused after its latest start.
#[test]
fn late_queued_request_is_refused() {
    let mut shard = shard(spec(1, 1), Policy::Planned);
    for sequence in 0..3 {
        let mut request = deadline_only(START, sequence, Class::Waiting);
        request.max_output = Tokens(400);
        start(&mut shard, START, request);
    }
    let queued = deadline_only(START, 9, Class::Waiting);
    assert!(shard.handle(START, Event::Reserve(queued)).is_empty());
    let late = START + Millis(29_000);
    assert_eq!(
        denied(&shard.handle(late, Event::Tick)),
        [(9, Refusal::QueuedTooLong)]
    );
    assert_eq!(shard.queued(), 0);
}
