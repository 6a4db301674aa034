//! Guards against an order of service that is unfair or misses deadlines.

mod common;

use bv_place::{Class, Event, Policy, Request, Shard};
use bv_types::{Millis, Tokens};
use common::{START, attempt, deadline_only, grants, shard, spec, start};

/// A shard whose slots are all used by the long urgent requests 0 to 3.
fn full_shard() -> Shard {
    let mut shard = shard(spec(1, 1), Policy::Planned);
    for sequence in 0..4 {
        let mut request = deadline_only(START, sequence, Class::Urgent);
        request.max_output = Tokens(400);
        start(&mut shard, START, request);
    }
    shard
}

fn queue(shard: &mut Shard, request: Request) {
    let actions = shard.handle(START, Event::Reserve(request));
    assert!(actions.is_empty(), "{actions:?}");
}

/// Frees the slots one at a time and returns the queued requests in the order of their start.
fn start_order(shard: &mut Shard, now: Millis) -> Vec<u64> {
    let mut order: Vec<u64> = Vec::new();
    for running in 0..4 {
        let mut next = Some(attempt("host-a", 1, running));
        while let Some(id) = next.take() {
            for grant in grants(&shard.handle(now, Event::Release(id))) {
                order.push(grant.attempt.request.sequence);
                next = Some(grant.attempt);
            }
        }
    }
    order
}

/// Guards against urgent work that is served after waiting work which was queued earlier.
#[test]
fn urgent_first() {
    let mut shard = full_shard();
    queue(&mut shard, deadline_only(START, 10, Class::Waiting));
    queue(&mut shard, deadline_only(START, 11, Class::Urgent));
    assert_eq!(start_order(&mut shard, START), [11, 10]);
}

/// Guards against a team that fills the queue and delays all others.
#[test]
fn fair_by_tokens() {
    let mut shard = full_shard();
    for sequence in 10..14 {
        queue(&mut shard, deadline_only(START, sequence, Class::Waiting));
    }
    let mut other = deadline_only(START, 20, Class::Waiting);
    other.team = "team-b".into();
    queue(&mut shard, other);
    assert_eq!(start_order(&mut shard, START), [10, 20, 11, 12, 13]);
}

/// Guards against waiting work that misses its deadline behind work with a later deadline.
#[test]
fn aged_request_first() {
    let mut shard = full_shard();
    let mut long_deadline = deadline_only(START, 10, Class::Waiting);
    long_deadline.deadline = START + Millis(60_000);
    long_deadline.first_token_by = long_deadline.deadline;
    queue(&mut shard, long_deadline.clone());
    long_deadline.attempt = attempt("host-a", 1, 11);
    queue(&mut shard, long_deadline);
    queue(&mut shard, deadline_only(START, 12, Class::Waiting));
    let later = START + Millis(22_000);
    assert_eq!(start_order(&mut shard, later), [12, 10, 11]);
}
