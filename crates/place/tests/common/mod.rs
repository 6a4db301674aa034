//! Builders of shards and requests, and filters for actions.
#![allow(dead_code, reason = "each test binary uses only some of the helpers")]

use bv_place::{
    Action, Adoption, Class, Event, Grant, Policy, PoolSpec, Report, Request, Role, RunnerSpec,
    Shard, ShardSpec,
};
use bv_types::{
    AttemptId, BackendId, Bytes, HostId, Incarnation, Millis, Pieces, RatePerSec, Refusal, Tokens,
};

pub const START: Millis = Millis(1_000_000);
pub const HEADROOM_SLOTS: u32 = 1;
pub const SLOTS: u32 = 4;
pub const PIECES: u32 = 20;

pub fn rate(value: f64) -> RatePerSec {
    RatePerSec::try_from(value).unwrap()
}

pub fn id(text: &str) -> BackendId {
    text.parse().unwrap()
}

pub fn attempt(host: &str, incarnation: u64, sequence: u64) -> AttemptId {
    format!("{host}.{incarnation}.{sequence}.0")
        .parse()
        .unwrap()
}

/// Prefill runners `p-1`… and decode runners `d-1`…, alternating between `zone-a` and `zone-b`.
pub fn spec(prefill: usize, decode: usize) -> ShardSpec {
    let runner = |name: &str, role, index: usize| RunnerSpec {
        id: id(&format!("{name}-{}", index + 1)),
        role,
        zone: ["zone-a", "zone-b"][index % 2].parse().unwrap(),
    };
    let prefills = (0..prefill).map(|index| runner("p", Role::Prefill, index));
    let decodes = (0..decode).map(|index| runner("d", Role::Decode, index));
    ShardSpec {
        pool: PoolSpec {
            slots: SLOTS,
            pieces: Pieces(PIECES),
            prefill: rate(12_000.0),
            token_gap_ms: 20.0,
            token_gap_slope_ms: 1.5,
            link: rate(2.5e9),
            kv_per_token: Bytes(50_000),
            eviction: Millis(800),
        },
        runners: prefills.chain(decodes).collect(),
        zone_delay_ms: 4.5,
        zone_price: Millis(5),
        headroom_slots: HEADROOM_SLOTS,
    }
}

pub fn report(at: Millis) -> Report {
    Report {
        at,
        incarnation: Incarnation(1),
        running: 0,
        waiting: 0,
        free_pieces: Pieces(PIECES),
        leaving: false,
    }
}

/// A shard whose runners have all reported that they are idle.
pub fn shard(spec: ShardSpec, policy: Policy) -> Shard {
    let mut shard = Shard::new(spec.clone(), policy);
    for runner in spec.runners {
        let event = Event::Report {
            runner: runner.id,
            report: report(START),
        };
        shard.handle(START, event);
    }
    shard
}

pub fn request(now: Millis, sequence: u64, class: Class) -> Request {
    Request {
        attempt: attempt("host-a", 1, sequence),
        team: "team-a".into(),
        class,
        prompt: Tokens(240),
        max_output: Tokens(100),
        prefix: 7,
        zone: "zone-a".parse().unwrap(),
        first_token_by: now + Millis(1_100),
        token_gap: Millis(71),
        deadline: now + Millis::from_secs(30),
        avoid: Vec::new(),
        suspect: false,
    }
}

/// A request with a deadline and no first-token target.
pub fn deadline_only(now: Millis, sequence: u64, class: Class) -> Request {
    let mut request = request(now, sequence, class);
    request.first_token_by = request.deadline;
    request
}

pub fn grants(actions: &[Action]) -> Vec<Grant> {
    let grant = |action: &Action| match action {
        Action::Grant(grant) => Some(grant.clone()),
        _ => None,
    };
    actions.iter().filter_map(grant).collect()
}

pub fn denied(actions: &[Action]) -> Vec<(u64, Refusal)> {
    let deny = |action: &Action| match action {
        Action::Deny { attempt, reason } => Some((attempt.request.sequence, *reason)),
        _ => None,
    };
    actions.iter().filter_map(deny).collect()
}

pub fn cancels(actions: &[Action]) -> Vec<(String, u64)> {
    let cancel = |action: &Action| match action {
        Action::Cancel { runner, attempt } => Some((runner.to_string(), attempt.request.sequence)),
        _ => None,
    };
    actions.iter().filter_map(cancel).collect()
}

pub fn proceeds(actions: &[Action]) -> Vec<u64> {
    let proceed = |action: &Action| match action {
        Action::Proceed(attempt) => Some(attempt.request.sequence),
        _ => None,
    };
    actions.iter().filter_map(proceed).collect()
}

/// Requests runners, checks that they are granted at once, and reports the end of prefill.
pub fn start(shard: &mut Shard, now: Millis, request: Request) -> Grant {
    let attempt = request.attempt.clone();
    let granted = grants(&shard.handle(now, Event::Reserve(request)));
    assert_eq!(granted.len(), 1, "{attempt} is granted at once");
    shard.handle(now, Event::PrefillDone(attempt));
    granted.into_iter().next().unwrap()
}

pub fn adoption(request: Request, decoding: bool) -> Event {
    Event::Adopt(Adoption {
        request,
        prefill: id("p-1"),
        decode: id("d-1"),
        decoding,
    })
}

pub fn host_dead(host: &str, incarnation: u64) -> Event {
    Event::HostDead {
        host: host.parse::<HostId>().unwrap(),
        incarnation: Incarnation(incarnation),
    }
}
