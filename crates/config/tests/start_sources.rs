//! Sources that a starting host needs before it serves.

use bv_config::{Action, Document, Event, Readiness, Versions};
use bv_types::{HostId, Millis, Version};

fn document(version: u64) -> Option<Document> {
    (version > 0).then(|| {
        let change = format!("change-{version}").as_str().into();
        Document::new(Version(version), change, "text".into(), Vec::new())
    })
}

fn peer(index: usize) -> HostId {
    format!("peer-{index}").as_str().try_into().unwrap()
}

/// The store's answer to the first read.
#[derive(Clone, Copy)]
enum Store {
    /// The row has this version; 0 for an empty table.
    Has(u64),
    Down,
    /// Never answers.
    Unanswered,
}

/// Name, store, peers' answers (`None` for a peer that does not answer), version in force (`None`
/// if the host must not have started).
type Case = (&'static str, Store, &'static [Option<u64>], Option<u64>);

const CASES: &[Case] = &[
    ("store only", Store::Has(3), &[], Some(3)),
    ("empty table", Store::Has(0), &[], Some(0)),
    ("nothing answers", Store::Down, &[], None),
    (
        "old copy in the store",
        Store::Has(3),
        &[Some(5), Some(4)],
        Some(5),
    ),
    ("peers lag", Store::Has(5), &[Some(3), Some(4)], Some(5)),
    ("peers fail", Store::Has(5), &[None, None, None], Some(5)),
    (
        "store down, two peers",
        Store::Down,
        &[Some(4), Some(5)],
        Some(5),
    ),
    (
        "store down, only one known",
        Store::Down,
        &[Some(4)],
        Some(4),
    ),
    (
        "store down, one of two answers",
        Store::Down,
        &[Some(4), None],
        None,
    ),
    (
        "store down, first of three peers fails",
        Store::Down,
        &[None, Some(4), Some(3)],
        Some(4),
    ),
    (
        "store down, peers empty",
        Store::Down,
        &[Some(0), Some(0)],
        None,
    ),
    (
        "store does not answer",
        Store::Unanswered,
        &[Some(4), Some(5)],
        None,
    ),
];

/// Guards against a host that starts from too few sources, or waits for unreachable ones.
#[test]
fn sources_at_start() {
    for (name, store, peers, expected) in CASES {
        let mut versions = Versions::new(!peers.is_empty());
        let ids = (0..peers.len()).map(peer).collect();
        let mut queue = versions.handle(Millis(0), Event::Peers(ids));
        let mut in_force = Vec::new();
        for round in 0..10 {
            let now = Millis(round * 600);
            queue.extend(versions.handle(now, Event::Tick));
            for action in std::mem::take(&mut queue) {
                let event = match action {
                    Action::ReadStore { read } => match store {
                        Store::Has(version) => Event::StoreRead {
                            read,
                            document: document(*version),
                        },
                        Store::Down => Event::ReadFailed { read },
                        Store::Unanswered => continue,
                    },
                    Action::QueryPeer(id) => {
                        let index = (0..peers.len()).find(|i| peer(*i) == id).unwrap();
                        match peers[index] {
                            Some(version) => Event::PeerAnswer {
                                peer: id,
                                document: document(version),
                                age: Some(Millis(100)),
                            },
                            None => Event::PeerFailed { peer: id },
                        }
                    }
                    Action::PutInForce(document) => {
                        in_force.push(document.version.0);
                        continue;
                    }
                    _ => continue,
                };
                queue.extend(versions.handle(now, event));
            }
        }
        let expected_in_force: Vec<u64> = expected.filter(|v| *v > 0).into_iter().collect();
        assert_eq!(in_force, expected_in_force, "{name}");
        let ready = versions.readiness(Millis(6_000)) == Readiness::Ready;
        assert_eq!(ready, expected.is_some_and(|version| version > 0), "{name}");
    }
}

/// Guards against a start with an outdated document of the store before membership has found a
/// peer.
#[test]
fn host_with_seed_hosts_waits_for_peers() {
    let mut versions = Versions::new(true);
    versions.handle(Millis(0), Event::Tick);
    let read = Event::StoreRead {
        read: 0,
        document: document(3),
    };
    versions.handle(Millis(10), read);
    assert_eq!(versions.version(), Version(0));
    versions.handle(Millis(3_100), Event::Tick);
    assert_eq!(versions.version(), Version(3));
}
