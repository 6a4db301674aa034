//! When a lease is taken, renewed and lost.

use bv_lease::{
    Action, Event, Holder, LEASE_DURATION, Lease, LeaseRow, StoredLease, TAKE_MARGIN, WriteResult,
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
                assert!(now < from + Millis(60_000), "the lease is never taken");
                actions = lease.handle(now, Event::Tick);
            }
        }
    }
}

/// Guards against a lease that is taken before its holder has lost it.
#[test]
fn time_until_taken() {
    let wait = LEASE_DURATION + TAKE_MARGIN;
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

/// Guards against a lease that counts from the answer, which may have been slow.
#[test]
fn counts_from_sending() {
    let (mut lease, sent, _) = acquired();
    assert_eq!(lease.held(sent).unwrap().until, sent + LEASE_DURATION);
    assert!(lease.handle(sent + Millis(2_900), Event::Tick).is_empty());
    let renewed = sent + Millis(3_000);
    let (write, _) = renewal(&mut lease, renewed);
    let result = WriteResult::Committed;
    lease.handle(renewed + Millis(900), Event::WriteEnded { write, result });
    assert_eq!(lease.held(renewed).unwrap().until, renewed + LEASE_DURATION);
}

/// Guards against a paused holder that still believes in its lease.
#[test]
fn lost_after_a_pause() {
    let (mut lease, sent, _) = acquired();
    let end = sent + LEASE_DURATION;
    assert!(lease.held(end - Millis(1)).is_some());
    assert!(lease.held(end).is_none());
    let actions = lease.handle(end, Event::Tick);
    assert_eq!(actions[0], Action::Lost(Fence(1)));
}

/// Guards against a renewal that counts though it was not confirmed, or from its repetition.
#[test]
fn unanswered_renewal_is_read_back() {
    let (mut lease, sent, before) = acquired();
    let first = sent + Millis(3_000);
    let (write, written) = renewal(&mut lease, first);
    let result = WriteResult::Unanswered;
    lease.handle(first + Millis(1_000), Event::WriteEnded { write, result });
    assert_eq!(lease.held(first).unwrap().until, sent + LEASE_DURATION);
    // The row is unchanged at first, so the same write is repeated; then it shows the write.
    let now = first + Millis(1_400);
    let [Action::Read { read }] = lease.handle(now, Event::Tick)[..] else {
        panic!("the row is not read back");
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

/// Guards against a holder that goes on after another process has taken the lease.
#[test]
fn taken_by_another() {
    let (mut lease, sent, row) = acquired();
    let (write, _) = renewal(&mut lease, sent + Millis(3_000));
    let other = stored(row.version.0 + 1, holder("b", 1), 2);
    let result = WriteResult::Conflict(Some(other));
    let actions = lease.handle(sent + Millis(3_100), Event::WriteEnded { write, result });
    assert_eq!(actions, [Action::Lost(Fence(1))]);
}

/// Guards against a fence below one that an engine knows, after the table was set back.
#[test]
fn fence_exceeds_reported_ones() {
    let mut lease = Lease::new(holder("a", 2));
    lease.handle(Millis(0), Event::FenceSeen(Fence(40)));
    let (_, _, row) = first_write(&mut lease, Millis(0), |_| None);
    assert_eq!(row.row.fence, Fence(41));
    // A lease that is held with a lower fence is of no use.
    let (mut lease, sent, _) = acquired();
    let actions = lease.handle(sent + Millis(500), Event::FenceSeen(Fence(40)));
    assert_eq!(actions[0], Action::Lost(Fence(1)));
}
