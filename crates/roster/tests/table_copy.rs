//! Guards against copies that take part of an answer, or take an answer that leaves changes out.

use bv_roster::{Answer, Extent, FeedAnswer, Rejected, Row, TableAnswer, TableCopy};
use bv_types::{Era, Millis, Version};

fn row(key: &str, value: &str, version: u64) -> Row {
    Row {
        key: key.into(),
        value: Some(value.to_owned().into()),
        version: Version(version),
    }
}

fn table(extent: Extent, rows: Vec<Row>, up_to: u64, confirmed_at: u64) -> TableAnswer {
    TableAnswer {
        era: Era(0),
        extent,
        rows,
        has_gap: false,
        up_to: Version(up_to),
        newest_stated: Version(up_to),
        confirmed_at: Millis(confirmed_at),
    }
}

fn feed(after: u64, rows: Vec<Row>, version: u64, store_time: u64) -> Answer {
    Answer::Feed(FeedAnswer {
        era: Era(0),
        after: Version(after),
        rows,
        newest_foreign: None,
        version: Version(version),
        truncated: false,
        store_time: Millis(store_time),
    })
}

fn copy_at(position: u64, confirmed_at: u64) -> TableCopy {
    let mut copy = TableCopy::default();
    let rows = vec![row("a", "1", position)];
    let whole = table(Extent::Whole, rows, position, confirmed_at);
    copy.take(Answer::Read(whole)).unwrap();
    copy
}

#[test]
fn newest_state_of_a_row() {
    let mut copy = copy_at(85, 100);
    let rows = vec![row("a", "24", 88), row("a", "28", 89)];
    let changed = copy.take(feed(85, rows, 89, 200)).unwrap();
    assert_eq!(changed, [row("a", "28", 89)]);
    assert_eq!(copy.position(), Some(Version(89)));
}

#[test]
fn changes_after_the_position() {
    let mut copy = copy_at(10, 100);
    let later = table(Extent::After(Version(12)), vec![row("b", "1", 13)], 13, 300);
    assert_eq!(copy.take(Answer::Peer(later)), Err(Rejected::Gap));
    assert_eq!(copy.position(), Some(Version(10)));
    assert_eq!(copy.confirmed_at(), Some(Millis(100)));
    assert_eq!(copy.rows().get("b"), None);
}

#[test]
fn older_answers_confirm_only() {
    let mut copy = copy_at(10, 100);
    let older = table(Extent::Whole, vec![row("a", "0", 4)], 5, 50);
    assert_eq!(copy.take(Answer::Peer(older.clone())), Ok(Vec::new()));
    assert_eq!(copy.confirmed_at(), Some(Millis(100)));
    assert_eq!(copy.take(Answer::Read(older)), Err(Rejected::Outdated));
    let older = table(Extent::After(Version(3)), vec![row("a", "0", 4)], 5, 150);
    assert_eq!(copy.take(Answer::Peer(older)), Ok(Vec::new()));
    assert_eq!(copy.confirmed_at(), Some(Millis(150)));
    assert_eq!(copy.rows().get("a"), Some(&row("a", "1", 10)));
}

#[test]
fn stated_version_is_not_the_position() {
    let mut copy = copy_at(10, 1_000);
    copy.take(feed(10, Vec::new(), 14, 2_000)).unwrap();
    assert_eq!(copy.position(), Some(Version(10)));
    copy.take(feed(10, Vec::new(), 16, 4_000)).unwrap();
    assert_eq!(copy.position(), Some(Version(14)));
}

#[test]
fn truncated_answer() {
    let mut copy = copy_at(10, 1_000);
    let Answer::Feed(answer) = feed(10, vec![row("a", "2", 11), row("b", "1", 12)], 20, 2_000)
    else {
        unreachable!("the answer of a feed");
    };
    let truncated = FeedAnswer {
        truncated: true,
        ..answer
    };
    copy.take(Answer::Feed(truncated)).unwrap();
    // Other rows of version 12 may be missing.
    assert_eq!(copy.position(), Some(Version(11)));
    assert_eq!(copy.confirmed_at(), Some(Millis(1_000)));
}

#[test]
fn foreign_rows_move_the_position() {
    let mut copy = copy_at(10, 1_000);
    let Answer::Feed(answer) = feed(10, Vec::new(), 20, 2_000) else {
        unreachable!("the answer of a feed");
    };
    let foreign = FeedAnswer {
        newest_foreign: Some(Version(14)),
        ..answer
    };
    let truncated = FeedAnswer {
        truncated: true,
        ..foreign.clone()
    };
    assert_eq!(copy.take(Answer::Feed(truncated)), Ok(Vec::new()));
    assert_eq!(copy.position(), Some(Version(13)));
    assert_eq!(copy.confirmed_at(), Some(Millis(1_000)));
    let changed = copy.take(Answer::Feed(FeedAnswer {
        after: Version(13),
        ..foreign
    }));
    assert_eq!(changed, Ok(Vec::new()));
    assert_eq!(copy.position(), Some(Version(14)));
    assert_eq!(copy.confirmed_at(), Some(Millis(2_000)));
}
