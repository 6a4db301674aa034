//! Order of versions, repair of older copies in the store, and freshness.

use bv_config::{
    Action, Document, Event, Notice, Readiness, STALE_AFTER, Versions, WriteResult, poll_interval,
};
use bv_types::{HostId, Millis, Version};

fn document(version: u64, change: &str) -> Document {
    Document::new(Version(version), change.into(), "text".into(), Vec::new())
}

fn peer(name: &str) -> HostId {
    name.try_into().unwrap()
}

/// A host with version 5 in force and two live peers, and the id of its poll in progress.
fn started() -> (Versions, u64) {
    let mut versions = Versions::new(false);
    versions.handle(Millis(0), Event::Tick);
    let read = Event::StoreRead {
        read: 0,
        document: Some(document(5, "five")),
    };
    versions.handle(Millis(0), read);
    versions.handle(Millis(0), Event::Peers(vec![peer("a"), peer("b")]));
    let actions = versions.handle(Millis(1_000), Event::Tick);
    let [Action::ReadStore { read }] = actions[..] else {
        panic!("{actions:?}");
    };
    (versions, read)
}

fn peer_answer(from: &str, document: Document, age: Option<Millis>) -> Event {
    Event::PeerAnswer {
        peer: peer(from),
        document: Some(document),
        age,
    }
}

fn advertisement_from_a(document: &Document, age: Option<Millis>) -> Event {
    Event::Advertised {
        peer: peer("a"),
        version: document.version,
        digest: document.digest(),
        age,
    }
}

/// Guards against a lower version that replaces the one in force, from any source.
#[test]
fn lower_versions_are_ignored() {
    let (mut versions, read) = started();
    let four = document(4, "four");
    let advertisement = advertisement_from_a(&four, Some(Millis::ZERO));
    let events = [
        peer_answer("a", four.clone(), Some(Millis::ZERO)),
        advertisement,
        Event::StoreRead {
            read,
            document: Some(four),
        },
        Event::WriteEnded {
            write: read + 1,
            result: WriteResult::Conflict(Some(document(3, "three"))),
        },
    ];
    for event in events {
        versions.handle(Millis(1_010), event);
        assert_eq!(versions.version(), Version(5));
    }
}

/// Guards against an older copy that stays in the store, and against an unconditional repair write.
#[test]
fn older_row_in_the_store_is_repaired() {
    for (stored, expected) in [(Some(3), Some(Version(3))), (None, None)] {
        let (mut versions, read) = started();
        let document_read = stored.map(|version| document(version, "old"));
        let row = Event::StoreRead {
            read,
            document: document_read,
        };
        let actions = versions.handle(Millis(1_010), row);
        let repair = actions.iter().find_map(|action| match action {
            Action::WriteStore {
                document, expected, ..
            } => Some((document.version, *expected)),
            _ => None,
        });
        assert_eq!(repair, Some((Version(5), expected)));
    }
}

/// Guards against hosts that keep different documents with the same version.
#[test]
fn store_decides_between_equal_versions() {
    let (mut versions, read) = started();
    let other = document(5, "other");
    let diverged = Action::Notice(Notice::Diverged {
        version: Version(5),
    });
    let actions = versions.handle(
        Millis(1_010),
        peer_answer("a", other.clone(), Some(Millis::ZERO)),
    );
    assert_eq!(actions, [diverged]);
    let row = Event::StoreRead {
        read,
        document: Some(other.clone()),
    };
    let actions = versions.handle(Millis(1_020), row);
    assert_eq!(actions, [Action::PutInForce(other)]);
}

/// Guards against an advertised version that is not fetched.
#[test]
fn newer_versions_are_fetched() {
    let (mut versions, _) = started();
    let six = document(6, "six");
    let advertisement = Event::Advertised {
        peer: peer("b"),
        version: Version(6),
        digest: six.digest(),
        age: Some(Millis::ZERO),
    };
    let actions = versions.handle(Millis(1_010), advertisement);
    assert_eq!(actions, [Action::QueryPeer(peer("b"))]);
    let actions = versions.handle(
        Millis(1_020),
        peer_answer("b", six.clone(), Some(Millis(40))),
    );
    assert_eq!(actions, [Action::PutInForce(six)]);
    // The age includes the time since the request, 10 ms.
    assert_eq!(versions.age(Millis(1_020)), Some(Millis(50)));
}

/// Guards against two hosts that confirm each other's document forever without the store.
#[test]
fn peers_without_the_store_become_stale() {
    let (mut versions, read) = started();
    let five = document(5, "five");
    let mut other_host = versions.clone();
    let lost = versions.handle(Millis(1_100), Event::ReadFailed { read });
    assert!(lost.contains(&Action::Notice(Notice::StoreUnavailable)));
    let mut notices = 0;
    for elapsed_s in 2..=20 {
        let now = Millis(elapsed_s * 1_000);
        let age = other_host.age(now);
        let mut actions = versions.handle(now, advertisement_from_a(&five, age));
        let age = versions.age(now);
        other_host.handle(now, advertisement_from_a(&five, age));
        actions.extend(versions.handle(now, Event::Tick));
        notices += usize::from(actions.contains(&Action::Notice(Notice::Stale)));
        assert_eq!(versions.is_stale(now), now >= STALE_AFTER, "{now}");
    }
    assert_eq!(notices, 1);
    assert_eq!(versions.readiness(Millis(20_000)), Readiness::Ready);
    versions.handle(Millis(20_000), Event::Peers(Vec::new()));
    assert_eq!(versions.readiness(Millis(20_000)), Readiness::StaleAlone);
}

/// Guards against more than 70 polls of the store per second by all hosts.
#[test]
fn poll_interval_grows() {
    for (hosts, ms) in [(1, 1_000), (8, 1_000), (70, 1_000), (350, 5_000)] {
        assert_eq!(poll_interval(hosts), Millis(ms));
    }
}
