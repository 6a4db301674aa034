//! Delivery, transmission bounds and expiry of gossip updates.

mod common;

use bv_member::{Action, Event, GossipUpdate, Kind, Membership, Message, SentGossipUpdate};
use bv_types::{Fingerprint, Millis, Version};
use common::{Faults, Net, config, leaving, member};

const HOSTS: usize = 8;
const TICK_MS: u64 = 50;
/// Time for an update to reach all hosts. Leaving marks have a bound of 3 s, of which the report
/// takes 1 s.
const DELIVERY_MS: u64 = 2_000;

fn with_loss() -> Faults {
    Faults {
        loss: 0.05,
        delay: 4,
        jitter: 40,
        ..Faults::default()
    }
}

/// Guards against a mark or configuration that reaches other hosts too late.
#[test]
fn updates_reach_all_hosts_in_time() {
    for seed in 0..200 {
        let mut net = Net::new(HOSTS, 2, TICK_MS, seed);
        net.run(10_000);
        net.faults = with_loss();
        net.add_mark(3, leaving(1, 1));
        net.set_config(4, 7);
        net.run(DELIVERY_MS);
        for (at, node) in net.nodes.iter().enumerate() {
            assert_eq!(node.marks, [leaving(1, 1)], "host {at}, seed {seed}");
            assert_eq!(node.config, 7, "host {at}, seed {seed}");
        }
    }
}

fn ping(gossip_updates: Vec<SentGossipUpdate>) -> Event {
    Event::Packet(Message {
        from: member(1, 1),
        counter: 0,
        seq: 1,
        kind: Kind::Ping,
        member_updates: Vec::new(),
        view_digest: 0,
        gossip_digest: 0,
        gossip_updates,
    })
}

fn sent_marks(actions: &[Action]) -> usize {
    let count = |a: &Action| match a {
        Action::Send { message, .. } => message
            .gossip_updates
            .iter()
            .filter(|r| !matches!(r.update, GossipUpdate::Config { .. }))
            .count(),
        _ => 0,
    };
    actions.iter().map(count).sum()
}

fn digest_of(actions: &[Action]) -> u64 {
    let mut digests = actions.iter().filter_map(|a| match a {
        Action::Send { message, .. } => Some(message.gossip_digest),
        _ => None,
    });
    digests.next().unwrap()
}

/// A ping from a host whose gossip updates have this digest.
fn ping_with(gossip_digest: u64) -> Event {
    let Event::Packet(message) = ping(Vec::new()) else {
        panic!("a ping is a packet");
    };
    Event::Packet(Message {
        gossip_digest,
        ..message
    })
}

/// Guards against sending updates forever to hosts that already have them.
#[test]
fn transmissions_are_bounded() {
    let mut machine = Membership::new(member(0, 1), vec![], 1, Millis(0));
    machine.handle(Millis(0), ping(Vec::new()));
    machine.handle(Millis(200), Event::Tick);
    let first = machine.handle(Millis(200), Event::AddGossipUpdate(leaving(1, 1)));
    let digest = digest_of(&first);
    let mut sent = sent_marks(&first);
    for at in 1..2_000 {
        let now = Millis(200 + at * 100);
        sent += sent_marks(&machine.handle(now, Event::Tick));
        sent += sent_marks(&machine.handle(now, ping_with(digest)));
    }
    assert_eq!(sent, 3, "3·log2(2) for two members");
}

/// Guards against flooding a host that cannot store the updates, and against sending updates after
/// they have expired.
#[test]
fn resends_are_bounded() {
    let mut machine = Membership::new(member(0, 1), vec![], 1, Millis(0));
    machine.handle(Millis(0), ping(Vec::new()));
    machine.handle(Millis(0), Event::AddGossipUpdate(leaving(1, 1)));
    let mut sent = Vec::new();
    for second in 0..20 {
        let mut in_second = 0;
        for ms in 0..1_000 {
            let now = Millis(1_000 + second * 100_000 + ms);
            in_second += sent_marks(&machine.handle(now, Event::Tick));
            in_second += sent_marks(&machine.handle(now, ping_with(0)));
        }
        sent.push(in_second);
    }
    assert!(sent[0] <= 3 + 2, "{sent:?}");
    assert!(sent[1..6].iter().all(|n| (1..=2).contains(n)), "{sent:?}");
    // Marks are gossiped for 10 minutes.
    assert!(sent[7..].iter().all(|n| *n == 0), "{sent:?}");
}

/// Guards against messages that exceed a datagram when many updates are pending.
#[test]
fn messages_stay_small() {
    let mut machine = Membership::new(member(0, 1), vec![], 1, Millis(0));
    machine.handle(Millis(0), ping(Vec::new()));
    machine.handle(Millis(0), Event::AddGossipUpdate(config(9)));
    for backend in 0..500 {
        machine.handle(
            Millis(0),
            Event::AddGossipUpdate(leaving(backend, u64::MAX)),
        );
    }
    for at in 2..500 {
        let mut message = match ping(Vec::new()) {
            Event::Packet(message) => message,
            other => panic!("{other:?}"),
        };
        message.from = member(at, u64::MAX);
        for action in machine.handle(Millis(1), Event::Packet(message)) {
            let Action::Send { message, .. } = action else {
                continue;
            };
            let bytes = message.max_bytes();
            assert!(bytes <= bv_member::MAX_MESSAGE_BYTES, "{bytes} bytes");
        }
    }
}

/// Guards against an expired update that comes back from a host that received it later.
#[test]
fn expired_update_does_not_return() {
    let mut machine = Membership::new(member(0, 1), vec![], 1, Millis(0));
    let late = SentGossipUpdate {
        update: leaving(1, 1),
        ttl: Millis(100),
    };
    let actions = machine.handle(Millis(0), ping(vec![late]));
    assert!(
        !actions
            .iter()
            .any(|a| matches!(a, Action::GossipUpdate { .. }))
    );
}

/// Guards against taking the end of a block from another host's clock.
#[test]
fn block_uses_local_clock() {
    let fingerprint = Fingerprint([7; 16]);
    let sent = SentGossipUpdate {
        update: GossipUpdate::BlockedRequest {
            fingerprint,
            until: Millis(999_999_999),
        },
        ttl: Millis::from_secs(600),
    };
    let now = Millis(5_000);
    let mut machine = Membership::new(member(0, 1), vec![], 1, now);
    let received = Action::GossipUpdate {
        from: member(1, 1).host,
        update: GossipUpdate::BlockedRequest {
            fingerprint,
            until: now + Millis::from_secs(600),
        },
    };
    assert!(
        machine
            .handle(now, ping(vec![sent.clone()]))
            .contains(&received)
    );
    let again = machine.handle(now + Millis(1_000), ping(vec![sent]));
    assert!(
        !again.contains(&received),
        "a repeated update is not reported again"
    );
}

/// Guards against a confirmation that never ages because two hosts pass it back and forth.
#[test]
fn confirmation_ages() {
    let of_age = |age| GossipUpdate::Config {
        version: Version(3),
        digest: Fingerprint([3; 16]),
        age,
    };
    let mut net = Net::new(2, 2, TICK_MS, 1);
    net.run(5_000);
    net.faults.delay = 400;
    for at in 0..2 {
        net.handle(at, Event::AddGossipUpdate(of_age(Millis::ZERO)));
    }
    net.run(60_000);
    let now = net.now;
    let probe = Message {
        from: member(1, 1),
        counter: 50,
        seq: 9,
        kind: Kind::Ping,
        member_updates: Vec::new(),
        view_digest: 0,
        gossip_digest: 0,
        gossip_updates: Vec::new(),
    };
    let machine = net.nodes[0].machine.as_mut().unwrap();
    let actions = machine.handle(now, Event::Packet(probe));
    let ages: Vec<u64> = actions
        .iter()
        .filter_map(|a| match a {
            Action::Send { message, .. } => message.gossip_updates.first(),
            _ => None,
        })
        .map(|sent| match sent.update {
            GossipUpdate::Config { age, .. } => age.0,
            _ => panic!("{sent:?}"),
        })
        .collect();
    assert!(ages.iter().all(|age| *age >= 60_000), "{ages:?}");
    assert!(!ages.is_empty());
}

/// Guards against an older update that lowers the score of a suspect.
#[test]
fn newer_updates_replace_older() {
    let suspect = |score| GossipUpdate::SuspectRequest {
        fingerprint: Fingerprint([1; 16]),
        score,
    };
    let sent = |update| SentGossipUpdate {
        update,
        ttl: Millis::from_secs(60),
    };
    let mut machine = Membership::new(member(0, 1), vec![], 1, Millis(0));
    let mut is_new = |update: GossipUpdate| {
        let actions = machine.handle(Millis(0), ping(vec![sent(update.clone())]));
        actions.contains(&Action::GossipUpdate {
            from: member(1, 1).host,
            update,
        })
    };
    assert!(is_new(suspect(1)));
    assert!(is_new(suspect(2)));
    assert!(!is_new(suspect(1)));
    assert!(is_new(leaving(1, 5)));
    assert!(!is_new(leaving(1, 4)));
    assert!(is_new(leaving(1, 6)));
}
