//! Guards against copies and servers that mix rows of a store with those of its restored copy.

use bv_roster::{
    Answer, Extent, FeedAnswer, Registration, Rejected, Roster, Row, RowEffect, ServerState,
    TableAnswer, TableCopy,
};
use bv_types::{BackendId, Era, Millis, Version};

fn row(key: &str, value: &str, version: u64) -> Row {
    Row {
        key: key.into(),
        value: Some(value.to_owned().into()),
        version: Version(version),
    }
}

fn removal(key: &str, version: u64) -> Row {
    Row {
        value: None,
        ..row(key, "", version)
    }
}

fn whole(era: u64, rows: Vec<Row>, up_to: u64) -> TableAnswer {
    TableAnswer {
        era: Era(era),
        extent: Extent::Whole,
        rows,
        has_gap: true,
        up_to: Version(up_to),
        newest_stated: Version(up_to),
        confirmed_at: Millis(up_to * 10),
    }
}

fn feed(era: u64, after: u64, rows: Vec<Row>, version: u64) -> Answer {
    Answer::Feed(FeedAnswer {
        era: Era(era),
        after: Version(after),
        rows,
        newest_foreign: None,
        version: Version(version),
        truncated: false,
        store_time: Millis(5_000),
    })
}

/// A copy with the rows `a` and `b` at version 50 of era 0.
fn copy_at_50() -> TableCopy {
    let mut copy = TableCopy::default();
    let rows = vec![row("a", "new", 50), row("b", "new", 45)];
    copy.take(Answer::Read(whole(0, rows, 50))).unwrap();
    copy
}

/// Guards against a host that waits until the versions of the restored store have caught up.
#[test]
fn whole_table_begins_an_era() {
    let mut copy = copy_at_50();
    let read = Answer::Read(whole(1, vec![row("a", "old", 20)], 30));
    let changed = copy.take(read).unwrap();
    assert_eq!(changed, [removal("b", 30), row("a", "old", 20)]);
    assert_eq!((copy.era(), copy.position()), (Era(1), Some(Version(30))));
    assert_eq!(copy.newest_stated(), (Era(1), Version(30)));
    let changed = copy.take(feed(1, 30, vec![row("b", "new", 31)], 31));
    assert_eq!(changed, Ok(vec![row("b", "new", 31)]));
}

/// Guards against a call of the old era that is answered in the new one: the changes between the copy
/// and that version are not in the answer.
#[test]
fn call_of_the_old_era_answered_in_the_new_one() {
    let mut copy = copy_at_50();
    let before = copy.clone();
    let answer = feed(1, 50, vec![row("a", "newer", 51)], 51);
    assert_eq!(copy.take(answer.clone()), Err(Rejected::LaterEra));
    assert_eq!(copy, before);
    // Another host has provided the new era meanwhile.
    let reply = Answer::Peer(whole(1, vec![row("a", "old", 20)], 30));
    copy.take(reply).unwrap();
    assert_eq!(copy.take(answer), Err(Rejected::Gap));
    assert_eq!(copy.position(), Some(Version(30)));
}

/// Guards against rows of a host that was cut off or frozen across the restoration.
#[test]
fn earlier_eras_change_and_confirm_nothing() {
    let mut copy = copy_at_50();
    copy.take(Answer::Read(whole(1, vec![row("a", "old", 20)], 30)))
        .unwrap();
    let before = copy.clone();
    let late = [
        Answer::Read(whole(0, vec![row("a", "newest", 70)], 70)),
        Answer::Peer(whole(0, vec![row("a", "newest", 70)], 70)),
        feed(0, 30, vec![row("a", "newest", 70)], 70),
    ];
    for answer in late {
        assert_eq!(copy.take(answer), Err(Rejected::EarlierEra));
        assert_eq!(copy, before);
    }
}

/// Guards against an answer of changes between hosts whose eras differ.
#[test]
fn hosts_of_different_eras() {
    let old = copy_at_50();
    let mut new = copy_at_50();
    new.take(Answer::Read(whole(1, vec![row("a", "old", 20)], 60)))
        .unwrap();
    // The host with the old era has a version that the new era has too.
    let reply = new.since(Some((Era(0), Version(50)))).unwrap();
    assert_eq!(reply.extent, Extent::Whole);
    let mut behind = old.clone();
    behind.take(Answer::Peer(reply)).unwrap();
    assert_eq!(behind.rows().all(), new.rows().all());
    assert_eq!(behind.newest_stated(), new.newest_stated());
    let reply = old.since(Some((Era(1), Version(20)))).unwrap();
    assert_eq!(reply.rows, []);
    assert_eq!(new.take(Answer::Peer(reply)), Err(Rejected::EarlierEra));
    assert!(new.newest_change() > old.newest_change());
}

fn registration(state: ServerState, sequence: u64) -> Registration {
    Registration {
        id: "a".parse().unwrap(),
        service: "bookings".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "z1".parse().unwrap(),
        slots: 6,
        state,
        stage: None,
        started_at: Some(Millis(1)),
        sequence,
    }
}

fn id() -> BackendId {
    "a".parse().unwrap()
}

/// Guards against the loss of a server whose row the copy lacks: it writes the same row again.
#[test]
fn lost_row_is_written_again() {
    let mut roster = Roster::default();
    roster.put(Millis(0), registration(ServerState::Ready, 4));
    roster.store_recovered(Millis(10));
    assert_eq!(roster.lose(Millis(10), &id()), RowEffect::Lapsed);
    assert!(roster.usable(Millis(11), &id()).is_some());
    let later = Millis(9_000);
    assert!(roster.usable(later, &id()).is_none());
    let effect = roster.put(later, registration(ServerState::Ready, 4));
    assert_eq!(effect, RowEffect::Joined);
    // A removal is final for the same report again.
    roster.remove(later, &id());
    let effect = roster.put(later, registration(ServerState::Ready, 4));
    assert_eq!(effect, RowEffect::Stale);
}

/// Guards against a server that was removed before the restoration and that the copy shows ready.
#[test]
fn removed_server_stays_away() {
    let mut roster = Roster::default();
    roster.put(Millis(0), registration(ServerState::Ready, 4));
    roster.remove(Millis(5), &id());
    roster.store_recovered(Millis(10));
    let effect = roster.put(Millis(10), registration(ServerState::Ready, 4));
    assert_eq!(effect, RowEffect::Stale);
    roster.lose(Millis(20), &id());
    let effect = roster.put(Millis(30), registration(ServerState::Ready, 4));
    assert_eq!(effect, RowEffect::Stale);
    assert!(roster.usable(Millis(30), &id()).is_none());
}

/// Guards against a server that registered and was removed between two answers: its registration is not
/// known when the copy shows it.
#[test]
fn removed_unknown_server_stays_away() {
    let mut roster = Roster::default();
    roster.remove(Millis(0), &id());
    let effect = roster.put_restored(Millis(10), registration(ServerState::Ready, 4));
    assert_eq!(effect, RowEffect::Stale);
    assert!(roster.usable(Millis(10), &id()).is_none());
    // It writes its row again.
    let effect = roster.put(Millis(20), registration(ServerState::Ready, 4));
    assert_eq!(effect, RowEffect::Joined);
}

/// Guards against a draining server that the copy shows ready, or does not show.
#[test]
fn draining_server_stays_away() {
    let mut roster = Roster::default();
    roster.put(Millis(0), registration(ServerState::Leaving, 5));
    roster.store_recovered(Millis(10));
    roster.put(Millis(10), registration(ServerState::Ready, 4));
    assert!(roster.usable(Millis(10), &id()).is_none());
    roster.lose(Millis(20), &id());
    roster.put(Millis(20), registration(ServerState::Ready, 4));
    assert!(roster.usable(Millis(20), &id()).is_none());
}
