//! Outcomes of changes reported to operators, for sequences of store answers.

use bv_config::{Action, Document, Event, NotWritten, Outcome, Versions, WriteResult};
use bv_types::{Millis, Version};

fn document(version: u64, change: &str) -> Document {
    Document::new(Version(version), change.into(), "text".into(), Vec::new())
}

fn started(version: u64) -> Versions {
    let mut versions = Versions::new(false);
    versions.handle(Millis(0), Event::Tick);
    let read = Event::StoreRead {
        read: 0,
        document: Some(document(version, "base")),
    };
    versions.handle(Millis(0), read);
    assert_eq!(versions.version(), Version(version));
    versions
}

/// An answer of the store. A case lists its answers in order; the last one repeats.
#[derive(Clone, Copy)]
enum Answer {
    /// A read returns this version, produced by this change.
    Read(u64, &'static str),
    ReadFails,
    Committed,
    /// The row has this version, produced by this change.
    Conflict(u64, &'static str),
    Unavailable,
    Unanswered,
}
use Answer::*;

/// Name, expected version, answers of the store, reported outcome. The host starts with version 5
/// in force.
type Case = (&'static str, u64, &'static [Answer], Outcome);

const CASES: &[Case] = &[
    (
        "plain",
        5,
        &[Read(5, "base"), Committed],
        Outcome::Accepted(Version(6)),
    ),
    (
        "expected too low",
        4,
        &[Read(5, "base")],
        Outcome::Conflict(Version(5)),
    ),
    (
        "expected too high",
        9,
        &[Read(5, "base")],
        Outcome::Conflict(Version(5)),
    ),
    (
        "another change first",
        5,
        &[Read(6, "other")],
        Outcome::Conflict(Version(6)),
    ),
    (
        "another change in between",
        5,
        &[Read(5, "base"), Conflict(6, "other")],
        Outcome::Conflict(Version(6)),
    ),
    (
        "repeated after acceptance",
        5,
        &[Read(6, "mine")],
        Outcome::Accepted(Version(6)),
    ),
    (
        "answer lost, written",
        5,
        &[Read(5, "base"), Unanswered, Read(6, "mine")],
        Outcome::Accepted(Version(6)),
    ),
    (
        "answer lost, not written",
        5,
        &[Read(5, "base"), Unanswered, Read(5, "base"), Committed],
        Outcome::Accepted(Version(6)),
    ),
    (
        "answer lost, written late",
        5,
        &[
            Read(5, "base"),
            Unanswered,
            Read(5, "base"),
            Conflict(6, "mine"),
        ],
        Outcome::Accepted(Version(6)),
    ),
    (
        "answer lost, another change won",
        5,
        &[Read(5, "base"), Unanswered, Read(6, "other")],
        Outcome::Conflict(Version(6)),
    ),
    (
        "answer lost, then an outage",
        5,
        &[Read(5, "base"), Unanswered, ReadFails],
        Outcome::Unknown,
    ),
    (
        "outage",
        5,
        &[ReadFails],
        Outcome::NotWritten(NotWritten::StoreUnavailable),
    ),
    (
        "outage after the read",
        5,
        &[Read(5, "base"), Unavailable, ReadFails],
        Outcome::NotWritten(NotWritten::StoreUnavailable),
    ),
    (
        "the read lags behind this host",
        5,
        &[
            Read(4, "older"),
            Conflict(5, "base"),
            Read(5, "base"),
            Committed,
        ],
        Outcome::Accepted(Version(6)),
    ),
];

/// Guards against a losing change that is not reported as a conflict, and against "not written"
/// after a write that took effect.
#[test]
fn reported_outcomes() {
    for (name, expected, answers, outcome) in CASES {
        let mut versions = started(5);
        let mut answers = answers.iter().copied();
        let mut answer = ReadFails;
        let apply = Event::Apply {
            change: "mine".into(),
            expected: Version(*expected),
            text: "new".into(),
        };
        // Polls stay unanswered, so that only the change reads and writes the store.
        let mut queue = versions.handle(Millis(1), apply);
        let mut outcomes = Vec::new();
        for round in 0..60 {
            let now = Millis(1 + round * 200);
            let poll_index = queue.len();
            queue.extend(versions.handle(now, Event::Tick));
            if round == 5 {
                // Removes the first poll after the start, which is the first action of this tick.
                queue.remove(poll_index);
            }
            while !queue.is_empty() {
                let action = queue.remove(0);
                let event = match action {
                    Action::ReadStore { read } => {
                        answer = answers.next().unwrap_or(answer);
                        match answer {
                            Read(version, change) => Event::StoreRead {
                                read,
                                document: Some(document(version, change)),
                            },
                            _ => Event::ReadFailed { read },
                        }
                    }
                    Action::WriteStore { write, .. } => {
                        answer = answers.next().unwrap_or(answer);
                        let result = match answer {
                            Committed => WriteResult::Committed,
                            Conflict(version, change) => {
                                WriteResult::Conflict(Some(document(version, change)))
                            }
                            Unanswered => WriteResult::Unanswered,
                            _ => WriteResult::Unavailable,
                        };
                        Event::WriteEnded { write, result }
                    }
                    Action::Reply { outcome, .. } => {
                        outcomes.push(outcome);
                        continue;
                    }
                    _ => continue,
                };
                queue.extend(versions.handle(now, event));
            }
        }
        assert_eq!(outcomes, [*outcome], "{name}");
    }
}

/// Guards against a conflict reported for an accepted change that another change has followed.
#[test]
fn superseded_change_is_recognised() {
    let mine = Document::after(Some(&document(5, "base")), "mine".into(), "a".into());
    let next = Document::after(Some(&mine), "other".into(), "b".into());
    let mut versions = started(5);
    let apply = Event::Apply {
        change: "mine".into(),
        expected: Version(5),
        text: "a".into(),
    };
    let actions = versions.handle(Millis(1), apply);
    let [Action::ReadStore { read }] = actions[..] else {
        panic!("{actions:?}");
    };
    let row = Event::StoreRead {
        read,
        document: Some(next),
    };
    let reply = Action::Reply {
        change: "mine".into(),
        outcome: Outcome::Accepted(Version(6)),
    };
    assert!(versions.handle(Millis(2), row).contains(&reply));
}
