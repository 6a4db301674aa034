//! Guards against grants on the wrong runner.

mod common;

use bv_place::{Class, Event, Policy, Report};
use bv_types::{Incarnation, Millis, Pieces, Refusal, Tokens};
use common::{
    PIECES, SLOTS, START, attempt, deadline_only, denied, grants, id, rate, report, request, shard,
    spec, start,
};

const POLICIES: [Policy; 3] = [Policy::RoundRobin, Policy::LeastLoaded, Policy::Planned];

fn leaving(runner: &str, incarnation: u64) -> Event {
    Event::Leaving {
        runner: id(runner),
        incarnation: Incarnation(incarnation),
    }
}

fn report_event(runner: &str, report: Report) -> Event {
    Event::Report {
        runner: id(runner),
        report,
    }
}

/// Guards against new work on a leaving runner, and against a leaving mark that applies to the next
/// process of the runner.
#[test]
fn leaving_runner_gets_no_work() {
    for policy in POLICIES {
        let mut shard = shard(spec(1, 2), policy);
        shard.handle(START, leaving("d-1", 1));
        for sequence in 0..4 {
            let grant = start(
                &mut shard,
                START,
                deadline_only(START, sequence, Class::Urgent),
            );
            assert_eq!(grant.decode, id("d-2"), "{policy:?}");
        }
        let mut report = report(START);
        report.incarnation = Incarnation(2);
        shard.handle(START, report_event("d-1", report));
        shard.handle(START, leaving("d-1", 1));
        shard.handle(START, leaving("d-2", 1));
        let grant = start(&mut shard, START, deadline_only(START, 9, Class::Urgent));
        assert_eq!(grant.decode, id("d-1"), "{policy:?}");
    }
}

/// Guards against work on a runner that does not answer.
#[test]
fn failed_runner_gets_no_work() {
    let mut shard = shard(spec(1, 1), Policy::Planned);
    shard.handle(START, Event::RunnerFailed(id("d-1")));
    let actions = shard.handle(START, Event::Reserve(request(START, 1, Class::Urgent)));
    assert_eq!(denied(&actions), [(1, Refusal::NoBackend)]);
    shard.handle(START, report_event("d-1", report(START + Millis(1))));
    start(&mut shard, START, request(START, 2, Class::Urgent));
}

/// Guards against a retry on the runner that has just failed.
#[test]
fn retry_avoids_failed_runner() {
    for (avoid, expected) in [(vec!["d-1"], "d-2"), (vec!["d-2"], "d-1")] {
        let mut shard = shard(spec(1, 2), Policy::Planned);
        let mut request = request(START, 1, Class::Urgent);
        request.avoid = avoid.into_iter().map(id).collect();
        assert_eq!(start(&mut shard, START, request).decode, id(expected));
    }
    let mut shard = shard(spec(1, 1), Policy::Planned);
    let mut request = request(START, 1, Class::Urgent);
    request.avoid = vec![id("d-1")];
    start(&mut shard, START, request);
}

/// Guards against ignored load that another router or the previous shard owner has placed on a
/// runner.
#[test]
fn foreign_load_counts() {
    let mut shard = shard(spec(1, 2), Policy::Planned);
    for at in [1, 2] {
        let mut report = report(START + Millis(at));
        report.running = SLOTS;
        shard.handle(START, report_event("d-1", report));
    }
    for sequence in 0..4 {
        let grant = start(
            &mut shard,
            START,
            deadline_only(START, sequence, Class::Urgent),
        );
        assert_eq!(grant.decode, id("d-2"));
    }
    let actions = shard.handle(
        START,
        Event::Reserve(deadline_only(START, 9, Class::Urgent)),
    );
    assert!(actions.is_empty(), "{actions:?}");
}

/// Guards against grants of the shard that are counted twice, as grants and in a report.
#[test]
fn own_load_in_reports_counts_once() {
    let mut shard = shard(spec(1, 1), Policy::Planned);
    start(&mut shard, START, deadline_only(START, 1, Class::Urgent));
    let ended = START + Millis(300);
    for at in [100, 200, 301] {
        let mut report = report(START + Millis(at));
        report.running = 1;
        report.free_pieces = Pieces(PIECES - 1);
        if at == 301 {
            shard.handle(ended, Event::Release(attempt("host-a", 1, 1)));
        }
        shard.handle(START + Millis(at), report_event("d-1", report));
        let load = &shard.loads()[1];
        let open = shard.open_grants() as u32;
        assert_eq!((load.slots, load.pieces), (open, open), "report at {at} ms");
    }
}

/// Guards against a queue at the preferred prefill runner while another runner is idle.
#[test]
fn affinity_does_not_queue() {
    let mut shard = shard(spec(2, 2), Policy::Planned);
    let mut first = deadline_only(START, 1, Class::Urgent);
    first.prompt = Tokens(1_200);
    let preferred = grants(&shard.handle(START, Event::Reserve(first.clone())))[0]
        .prefill
        .clone();
    first.attempt = attempt("host-a", 1, 2);
    let other = grants(&shard.handle(START, Event::Reserve(first.clone())))[0]
        .prefill
        .clone();
    assert_ne!(preferred, other);
    let later = START + Millis(200);
    for sequence in [1, 2] {
        shard.handle(later, Event::PrefillDone(attempt("host-a", 1, sequence)));
    }
    first.attempt = attempt("host-a", 1, 3);
    let again = grants(&shard.handle(later, Event::Reserve(first)))[0]
        .prefill
        .clone();
    assert_eq!(
        preferred, again,
        "the same prefix prefers the same idle runner"
    );
}

/// Guards against transfers and streams across zones while the own zone has free capacity.
#[test]
fn own_zone_is_preferred() {
    for (zone, expected) in [("zone-a", "d-1"), ("zone-b", "d-2")] {
        let mut shard = shard(spec(2, 2), Policy::Planned);
        let mut request = request(START, 1, Class::Urgent);
        request.zone = zone.parse().unwrap();
        assert_eq!(start(&mut shard, START, request).decode, id(expected));
    }
}

/// Guards against predictions in which several transfers use the whole link at the same time.
#[test]
fn transfers_share_the_link() {
    let mut spec = spec(4, 1);
    // 240 tokens of 50,000 bytes take 300 ms.
    spec.pool.link = rate(40e6);
    let mut shard = shard(spec, Policy::Planned);
    let mut granted = 0;
    for sequence in 0..4 {
        let actions = shard.handle(
            START,
            Event::Reserve(request(START, sequence, Class::Urgent)),
        );
        granted += grants(&actions).len();
    }
    assert_eq!(granted, 3, "the fourth transfer would end after 1.2 s");
}

/// Guards against baselines that queue or refuse requests, which would make them other policies.
#[test]
fn baselines_grant_at_once() {
    for policy in [Policy::RoundRobin, Policy::LeastLoaded] {
        let mut shard = shard(spec(2, 2), policy);
        for sequence in 0..100 {
            let actions = shard.handle(
                START,
                Event::Reserve(request(START, sequence, Class::Waiting)),
            );
            assert_eq!(grants(&actions).len(), 1, "{policy:?}");
        }
    }
}
