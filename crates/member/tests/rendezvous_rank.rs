//! Ranking of members for a key.

mod common;

use bv_member::{Member, rendezvous};
use common::member;

const MEMBERS: usize = 8;
const KEYS: usize = 8_000;

fn members() -> Vec<Member> {
    (0..MEMBERS).map(|at| member(at, 1)).collect()
}

fn owner(key: usize, members: &[Member]) -> Member {
    rendezvous(&key.to_le_bytes(), members)[0].clone()
}

/// Guards against hosts of different versions or builds that choose different owners.
#[test]
fn rank_is_fixed() {
    let members = members();
    let ids: Vec<&str> = rendezvous(b"shard-1", &members)
        .into_iter()
        .map(|m| m.host.as_str())
        .collect();
    let expected = [
        "host-004", "host-006", "host-005", "host-002", "host-003", "host-007", "host-001",
        "host-000",
    ];
    assert_eq!(ids, expected);
}

/// Guards against owners that depend on the order of the members or on incarnations.
#[test]
fn order_and_incarnations_do_not_matter() {
    let members = members();
    let mut reversed = members.clone();
    reversed.reverse();
    for m in &mut reversed {
        m.incarnation.0 += 1;
    }
    for key in 0..KEYS {
        assert_eq!(owner(key, &members).host, owner(key, &reversed).host);
    }
}

/// Guards against uneven shares, and against keys that move although their owner remains.
#[test]
fn shares_are_even_and_stable() {
    let members = members();
    let mut remaining = members.clone();
    let removed = remaining.remove(3);
    let mut owned = [0; MEMBERS];
    for key in 0..KEYS {
        let before = owner(key, &members);
        let after = owner(key, &remaining);
        let second = rendezvous(&key.to_le_bytes(), &members)[1];
        match before == removed {
            true => assert_eq!(after, *second),
            false => assert_eq!(after, before),
        }
        owned[usize::from(before.addr.port()) - 1] += 1;
    }
    // 1,000 keys each on average, with a standard deviation of 30.
    assert!(owned.iter().all(|n| (850..=1_150).contains(n)), "{owned:?}");
}
