//! Guards against an owner of a full shard that answers its calls too late because it plans the
//! queued requests for too long.

mod common;

use std::time::{Duration, Instant};

use bv_place::{Action, Class, Event, Policy, Report, Role, Shard, ShardSpec};
use bv_types::{Millis, Pieces, Tokens};
use common::{START, attempt, denied, grants, request, shard, spec};

const SLOTS: u32 = 20;
const PIECES: u32 = 60;
const RUNNERS: u64 = 12;
/// Twice the decode slots.
const REQUESTS: u64 = 320;
/// An owner answers within 20 ms, if only that the request is queued; the reports of a poll arrive
/// together.
const POLL_LIMIT: Duration = Duration::from_millis(20);
/// A busy machine lengthens single polls; the fastest shows the work of the shard.
const POLLS: u64 = 10;

fn full_spec() -> ShardSpec {
    let mut spec = spec(4, 8);
    spec.pool.slots = SLOTS;
    spec.pool.pieces = Pieces(PIECES);
    spec
}

/// A shard in which requests decode in all slots and as many are queued.
fn full_shard() -> Shard {
    let spec = full_spec();
    let mut shard = shard(spec.clone(), Policy::Planned);
    let mut now = START;
    for sequence in 0..REQUESTS {
        let mut request = request(now, sequence, Class::Waiting);
        request.max_output = Tokens(300);
        request.first_token_by = START + Millis::from_secs(60);
        request.deadline = request.first_token_by;
        let mut actions = shard.handle(now, Event::Reserve(request));
        assert!(denied(&actions).is_empty(), "{actions:?}");
        while let Some(grant) = grants(&actions).pop() {
            now = now + Millis(5);
            actions = shard.handle(now, Event::PrefillDone(grant.attempt));
        }
    }
    for runner in shard.loads().iter().filter(|r| r.role == Role::Decode) {
        assert!(runner.slots + 2 >= SLOTS, "{runner:?}");
    }
    shard
}

/// Applies the reports of one poll of all runners; none has changed since the last one.
fn poll(shard: &mut Shard, now: Millis) -> Vec<Action> {
    let loads = shard.loads();
    assert_eq!(loads.len() as u64, RUNNERS);
    let events = loads.into_iter().map(|load| Event::Report {
        report: Report {
            at: now,
            running: load.slots,
            free_pieces: Pieces(PIECES - load.pieces),
            ..common::report(now)
        },
        runner: load.runner,
    });
    events.flat_map(|event| shard.handle(now, event)).collect()
}

#[test]
fn polls_leave_time_for_calls() {
    let mut shard = full_shard();
    let now = START + Millis::from_secs(2);
    assert!(shard.queued() as u64 > REQUESTS / 4, "{}", shard.queued());
    let times = (0..POLLS).map(|n| {
        let start = Instant::now();
        poll(&mut shard, now + Millis(n));
        start.elapsed()
    });
    let fastest = times.min().unwrap();
    println!("fastest poll: {fastest:?}");
    assert!(fastest < POLL_LIMIT, "{fastest:?}");
    let freed = shard.handle(now + Millis(POLLS), Event::Release(attempt("host-a", 1, 0)));
    assert_eq!(grants(&freed).len(), 1, "{freed:?}");
}
