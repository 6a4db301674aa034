//! Guards against requests that join a batch and slow down an earlier one beyond its deadline.

mod common;

use bv_place::{Class, Event, Policy};
use bv_types::{Millis, Pieces, Tokens};
use common::{START, deadline_only, grants, shard, spec, start};

const SLOTS: u32 = 20;
const OUTPUT: u64 = 64;
/// Enough for 64 tokens in a batch of 8, but not in a batch of 20.
const DEADLINE: Millis = Millis(2_100);
const LATER_REQUESTS: u64 = 40;

/// Time for the output of the first request in a batch of this size, without its first token.
fn decode_ms(batch: u32) -> f64 {
    let pool = spec(1, 1).pool;
    let gap_ms = pool.token_gap_ms + pool.token_gap_slope_ms * f64::from(batch - 1);
    gap_ms * (OUTPUT - 1) as f64
}

#[test]
fn later_requests_keep_the_deadline() {
    let mut spec = spec(1, 1);
    spec.pool.slots = SLOTS;
    spec.pool.pieces = Pieces(3 * SLOTS);
    let mut shard = shard(spec, Policy::Planned);
    let mut first = deadline_only(START, 0, Class::Urgent);
    first.max_output = Tokens(OUTPUT);
    first.deadline = START + DEADLINE;
    first.first_token_by = first.deadline;
    let first_token = start(&mut shard, START, first).first_token;
    let mut now = START;
    for sequence in 1..=LATER_REQUESTS {
        now = now + Millis(25);
        let request = deadline_only(now, sequence, Class::Waiting);
        for grant in grants(&shard.handle(now, Event::Reserve(request))) {
            shard.handle(now, Event::PrefillDone(grant.attempt));
        }
    }
    let decode = shard
        .loads()
        .into_iter()
        .find(|r| r.runner.as_str() == "d-1");
    let batch = decode.unwrap().slots;
    assert!(batch > 4, "the engine is used: {batch}");
    let end_ms = first_token.0 as f64 + decode_ms(batch);
    assert!(
        end_ms <= DEADLINE.0 as f64,
        "a batch of {batch} ends after {end_ms} ms of {DEADLINE}"
    );
}
