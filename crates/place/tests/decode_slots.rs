//! Guards against prefills that end without a decode slot or memory for their result.

mod common;

use bv_place::{Class, Event, Policy};
use bv_types::{Millis, Tokens};
use common::{SLOTS, START, attempt, deadline_only, grants, proceeds, request, shard, spec, start};

/// Guards against more reservations than a decode engine has batch slots.
#[test]
fn full_batch_queues_requests() {
    let mut shard = shard(spec(2, 1), Policy::Planned);
    for sequence in 0..u64::from(SLOTS) {
        start(
            &mut shard,
            START,
            deadline_only(START, sequence, Class::Urgent),
        );
    }
    let queued = shard.handle(
        START,
        Event::Reserve(deadline_only(START, 9, Class::Urgent)),
    );
    assert!(queued.is_empty(), "{queued:?}");
    let freed = shard.handle(START, Event::Release(attempt("host-a", 1, 0)));
    assert_eq!(grants(&freed).len(), 1);
}

/// Guards against memory accounted by tokens although engines allocate whole pieces.
#[test]
fn memory_is_reserved_in_whole_pieces() {
    let mut shard = shard(spec(2, 1), Policy::Planned);
    for sequence in 0..2 {
        let mut request = deadline_only(START, sequence, Class::Urgent);
        request.prompt = Tokens(18_001);
        request.max_output = Tokens(200);
        start(&mut shard, START, request);
    }
    let queued = shard.handle(
        START,
        Event::Reserve(deadline_only(START, 9, Class::Urgent)),
    );
    assert!(
        queued.is_empty(),
        "20 of 20 pieces are reserved: {queued:?}"
    );
}

/// Guards against waiting work in slots that are kept free for urgent work.
#[test]
fn waiting_work_leaves_headroom() {
    let mut shard = shard(spec(2, 1), Policy::Planned);
    for sequence in 0..3 {
        start(
            &mut shard,
            START,
            deadline_only(START, sequence, Class::Waiting),
        );
    }
    let waiting = shard.handle(
        START,
        Event::Reserve(deadline_only(START, 8, Class::Waiting)),
    );
    assert!(waiting.is_empty(), "{waiting:?}");
    let urgent = shard.handle(START, Event::Reserve(request(START, 9, Class::Urgent)));
    assert_eq!(grants(&urgent).len(), 1);
}

/// Guards against a slot that stays idle during prefill, and against decode before the slot is
/// free.
#[test]
fn promised_slot_of_ending_attempt() {
    let mut shard = shard(spec(1, 1), Policy::Planned);
    for sequence in 0..4 {
        start(
            &mut shard,
            START,
            deadline_only(START, sequence, Class::Urgent),
        );
    }
    // 100 tokens in a batch of 4 take about 2.4 s.
    let early = START + Millis(500);
    let queued = shard.handle(
        early,
        Event::Reserve(deadline_only(early, 9, Class::Urgent)),
    );
    assert!(
        queued.is_empty(),
        "the slots become free too late: {queued:?}"
    );
    let near = START + Millis(2_100);
    let granted = grants(&shard.handle(near, Event::Tick));
    assert_eq!(granted.len(), 1);
    assert!(!granted[0].slot_ready);
    let done = near + Millis(30);
    let waits = shard.handle(done, Event::PrefillDone(granted[0].attempt.clone()));
    assert_eq!(proceeds(&waits), []);
    let freed = shard.handle(done, Event::Release(attempt("host-a", 1, 0)));
    assert_eq!(proceeds(&freed), [9]);
}
