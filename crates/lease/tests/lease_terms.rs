//! When a lease is acquired, renewed and lost.

use bv_lease::{
    Action, Event, Holder, LEASE_DURATION, Lease, LeaseRow, StoredLease, TAKEOVER_MARGIN,
    WriteResult,
};
use bv_types::{Fence, Incarnation, Millis, Version};

fn holder(host: &str, incarnation: u64) -> Holder {
    Holder {
        host: host.try_into().unwrap(),
        incarnation: Incarnation(incarnation),
    }
}

fn stored(version: u64, holder: Holder, fence: u64) -> StoredLease {
    StoredLease {
        version: Version(version),
        row: LeaseRow {
            holder,
            fence: Fence(fence),
            duration: LEASE_DURATION,
        },
    }
}

/// Answers reads with the row until the lease writes; returns the time and the write.
fn first_write(
    lease: &mut Lease,
    from: Millis,
    row: impl Fn(Millis) -> Option<StoredLease>,
) -> (Millis, u64, StoredLease) {
    let mut actions = lease.handle(from, Event::Want(true));
    let mut now = from;
    loop {
        match actions.pop() {
            Some(Action::Read { read }) => {
                let row = row(now);
                actions = lease.handle(now, Event::Read { read, row });
            }
            Some(Action::Write { write, stored, .. }) => return (now, write, stored),
            Some(other) => panic!("{other:?}"),
            None => {
                now = now + Millis(100);
                assert!(now < from + Millis(60_000), "the lease is never acquired");
                actions = lease.handle(now, Event::Tick);
            }
        }
    }
}

/// Guards against acquiring a lease before its holder has lost it.
#[test]
fn takeover_waits_for_duration_and_margin() {
    let wait = LEASE_DURATION + TAKEOVER_MARGIN;
    type Row = fn(Millis) -> Option<StoredLease>;
    let cases: [(&str, Row, Millis, u64); 4] = [
        ("no row", |_| None, wait, 1),
        (
            "unchanged row",
            |_| Some(stored(5, holder("b", 1), 7)),
            wait,
            8,
        ),
        (
            "earlier process of this host",
            |_| Some(stored(5, holder("a", 1), 7)),
            wait,
            8,
        ),
        (
            "renewed until 6 s",
            |now| Some(stored(5 + now.0.min(6_000) / 3_000, holder("b", 1), 7)),
            Millis(6_000) + wait,
            8,
        ),
    ];
    for (name, row, earliest, fence) in cases {
        let mut lease = Lease::new(holder("a", 2));
        let (at, _, written) = first_write(&mut lease, Millis(0), row);
        assert!(
            at >= earliest && at < earliest + Millis(1_200),
            "{name}: {at}"
        );
        assert_eq!(written.row.fence, Fence(fence), "{name}");
    }
}

/// A lease acquired by a write sent at `sent`, and the row.
fn acquired() -> (Lease, Millis, StoredLease) {
    let mut lease = Lease::new(holder("a", 2));
    let (sent, write, row) = first_write(&mut lease, Millis(0), |_| None);
    let result = WriteResult::Committed;
    let actions = lease.handle(sent + Millis(400), Event::WriteEnded { write, result });
    assert_eq!(actions, [Action::Acquired(Fence(1))]);
    (lease, sent, row)
}

fn renewal(lease: &mut Lease, now: Millis) -> (u64, StoredLease) {
    let mut actions = lease.handle(now, Event::Tick);
    match actions.pop() {
        Some(Action::Write { write, stored, .. }) => (write, stored),
        other => panic!("{other:?}"),
    }
}

/// Guards against a lease whose duration starts at the answer, which may have been slow.
#[test]
fn duration_starts_at_sending() {
    let (mut lease, sent, _) = acquired();
    assert_eq!(lease.held(sent).unwrap().until, sent + LEASE_DURATION);
    assert!(lease.handle(sent + Millis(2_900), Event::Tick).is_empty());
    let renewed = sent + Millis(3_000);
    let (write, _) = renewal(&mut lease, renewed);
    let result = WriteResult::Committed;
    lease.handle(renewed + Millis(900), Event::WriteEnded { write, result });
    assert_eq!(lease.held(renewed).unwrap().until, renewed + LEASE_DURATION);
}

/// Guards against a holder that treats its lease as valid after a pause past its end.
#[test]
fn lease_lost_after_a_pause() {
    let (mut lease, sent, _) = acquired();
    let end = sent + LEASE_DURATION;
    assert!(lease.held(end - Millis(1)).is_some());
    assert!(lease.held(end).is_none());
    let actions = lease.handle(end, Event::Tick);
    assert_eq!(actions[0], Action::Lost(Fence(1)));
}

/// Guards against a renewal that extends the lease before it is confirmed, or whose duration starts
/// when the write was repeated.
#[test]
fn unanswered_renewal_is_read_back() {
    let (mut lease, sent, before) = acquired();
    let first = sent + Millis(3_000);
    let (write, written) = renewal(&mut lease, first);
    let result = WriteResult::Unanswered;
    lease.handle(first + Millis(1_000), Event::WriteEnded { write, result });
    assert_eq!(lease.held(first).unwrap().until, sent + LEASE_DURATION);
    // The first read returns the old row, so the same write is repeated; its conflict returns the
    // written row.
    let now = first + Millis(1_400);
    let [Action::Read { read }] = lease.handle(now, Event::Tick)[..] else {
        panic!("the row is not read after an unanswered renewal");
    };
    let row = Some(before);
    let actions = lease.handle(now, Event::Read { read, row });
    let [Action::Write { write, stored, .. }] = &actions[..] else {
        panic!("{actions:?}");
    };
    assert_eq!(*stored, written);
    let result = WriteResult::Conflict(Some(written));
    let write = *write;
    lease.handle(now + Millis(100), Event::WriteEnded { write, result });
    assert_eq!(lease.held(now).unwrap().until, first + LEASE_DURATION);
}

/// Guards against a holder that keeps its lease after another process has taken it over.
#[test]
fn lease_taken_over() {
    let (mut lease, sent, row) = acquired();
    let (write, _) = renewal(&mut lease, sent + Millis(3_000));
    let other = stored(row.version.0 + 1, holder("b", 1), 2);
    let result = WriteResult::Conflict(Some(other));
    let actions = lease.handle(sent + Millis(3_100), Event::WriteEnded { write, result });
    assert_eq!(actions, [Action::Lost(Fence(1))]);
}

/// Guards against a fence below one that an engine knows, after a restore of the table.
#[test]
fn fence_exceeds_reported_ones() {
    let mut lease = Lease::new(holder("a", 2));
    lease.handle(Millis(0), Event::FenceSeen(Fence(40)));
    let (_, _, row) = first_write(&mut lease, Millis(0), |_| None);
    assert_eq!(row.row.fence, Fence(41));
    // A held lease with a lower fence is given up, because the engine refuses its orders.
    let (mut lease, sent, _) = acquired();
    let actions = lease.handle(sent + Millis(500), Event::FenceSeen(Fence(40)));
    assert_eq!(actions[0], Action::Lost(Fence(1)));
}

/// Guards against a fence that wraps around to a low one.
#[test]
fn highest_fence_has_no_successor() {
    let mut lease = Lease::new(holder("a", 2));
    lease.handle(Millis(0), Event::FenceSeen(Fence(u64::MAX)));
    let mut actions = lease.handle(Millis(0), Event::Want(true));
    for second in 1..60 {
        let now = Millis::from_secs(second);
        for action in std::mem::take(&mut actions) {
            match action {
                Action::Read { read } => {
                    actions = lease.handle(now, Event::Read { read, row: None });
                }
                other => panic!("{other:?}"),
            }
        }
        actions.extend(lease.handle(now, Event::Tick));
    }
}
