//! Guards against work for servers that left, and against the loss of servers whose rows expired
//! during an outage of the store.

use bv_roster::{EXPIRY_GRACE, Registration, Roster, RowEffect, ServerState};
use bv_types::{BackendId, Millis};

fn registration(id: &str, state: ServerState, started_at: u64, sequence: u64) -> Registration {
    Registration {
        id: id.parse().unwrap(),
        service: "bookings".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "lot-north".parse().unwrap(),
        slots: 6,
        state,
        stage: None,
        started_at: Some(Millis(started_at)),
        sequence,
    }
}

fn id(text: &str) -> BackendId {
    text.parse().unwrap()
}

fn is_usable(roster: &Roster, now: u64, server: &str) -> bool {
    roster.usable(Millis(now), &id(server)).is_some()
}

#[test]
fn leaving_is_final_for_a_process() {
    let mut roster = Roster::default();
    let now = Millis(0);
    assert_eq!(
        roster.put(now, registration("a", ServerState::Ready, 1, 4)),
        RowEffect::Joined
    );
    assert_eq!(
        roster.put(now, registration("a", ServerState::Leaving, 1, 5)),
        RowEffect::Left
    );
    assert_eq!(
        roster.put(now, registration("a", ServerState::Ready, 1, 4)),
        RowEffect::Stale
    );
    assert_eq!(
        roster.put(now, registration("a", ServerState::Ready, 1, 6)),
        RowEffect::Stale
    );
    assert!(!is_usable(&roster, 0, "a"));
}

#[test]
fn restarted_server_is_usable() {
    let mut roster = Roster::default();
    roster.put(Millis(0), registration("a", ServerState::Leaving, 1, 9));
    // After a restart under the same id the sequence numbers of reports start again.
    assert_eq!(
        roster.put(Millis(5), registration("a", ServerState::Ready, 2, 0)),
        RowEffect::Joined
    );
    assert_eq!(
        roster.put(Millis(6), registration("a", ServerState::Leaving, 1, 10)),
        RowEffect::Stale
    );
    assert!(is_usable(&roster, 6, "a"));
}

#[test]
fn removed_server_is_not_usable() {
    let mut roster = Roster::default();
    roster.put(Millis(0), registration("a", ServerState::Ready, 1, 4));
    assert_eq!(roster.remove(Millis(1), &id("a")), RowEffect::Left);
    assert!(!is_usable(&roster, 1, "a"));
    // A late report from before the removal does not make it usable again, a new one does.
    assert_eq!(
        roster.put(Millis(2), registration("a", ServerState::Ready, 1, 3)),
        RowEffect::Stale
    );
    assert_eq!(
        roster.put(Millis(3), registration("a", ServerState::Ready, 1, 5)),
        RowEffect::Joined
    );
}

#[test]
fn expired_registration_is_usable_during_grace() {
    let mut roster = Roster::default();
    roster.put(Millis(0), registration("a", ServerState::Ready, 1, 4));
    roster.put(Millis(0), registration("b", ServerState::Ready, 1, 4));
    roster.store_recovered(Millis(10_000));
    roster.replace(Millis(10_010), Vec::new());
    let grace_end = 10_000 + EXPIRY_GRACE.0;
    assert!(is_usable(&roster, grace_end - 1, "a"));
    assert!(
        !is_usable(&roster, grace_end, "a"),
        "a server that is still missing after the grace is removed"
    );
    roster.put(
        Millis(grace_end - 5),
        registration("b", ServerState::Ready, 1, 8),
    );
    assert!(is_usable(&roster, grace_end + 1_000, "b"));
}

#[test]
fn leaving_server_has_no_grace() {
    let mut roster = Roster::default();
    roster.put(Millis(0), registration("a", ServerState::Leaving, 1, 4));
    roster.store_recovered(Millis(10));
    assert_eq!(roster.remove(Millis(11), &id("a")), RowEffect::Unchanged);
    assert!(!is_usable(&roster, 11, "a"));
}

#[test]
fn result_is_independent_of_row_order() {
    // Oracle: the newest report of the newest process decides, unless that process left before.
    for seed in 0..300 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut rows = Vec::new();
        for started_at in 1..=3 {
            let leaves_at = rng.u64(2..8);
            for sequence in 0..rng.u64(1..8) {
                let state = match sequence >= leaves_at {
                    true => ServerState::Leaving,
                    false => ServerState::Ready,
                };
                rows.push(registration("a", state, started_at, sequence));
            }
        }
        let newest = rows
            .iter()
            .max_by_key(|e| (e.started_at, e.sequence))
            .cloned();
        rng.shuffle(&mut rows);
        let mut roster = Roster::default();
        for row in rows {
            roster.put(Millis(0), row);
        }
        let expected = newest.is_some_and(|e| e.state == ServerState::Ready);
        assert_eq!(is_usable(&roster, 0, "a"), expected, "seed {seed}");
    }
}

#[test]
fn hidden_server_comes_back_with_its_own_row() {
    let mut roster = Roster::default();
    let ready = registration("a", ServerState::Ready, 1, 4);
    roster.put(Millis(0), ready.clone());
    assert_eq!(roster.hide(Millis(1), &id("a")), RowEffect::Left);
    assert_eq!(roster.hide(Millis(2), &id("a")), RowEffect::Unchanged);
    assert!(!is_usable(&roster, 2, "a"));
    let late = registration("a", ServerState::Ready, 1, 3);
    assert_eq!(roster.put(Millis(3), late), RowEffect::Stale);
    assert_eq!(roster.put(Millis(4), ready.clone()), RowEffect::Joined);
    // The removal of the other writer's row is followed by a newer report of the server.
    roster.hide(Millis(5), &id("a"));
    roster.remove(Millis(6), &id("a"));
    assert_eq!(roster.put(Millis(7), ready), RowEffect::Stale);
    let newer = registration("a", ServerState::Ready, 1, 5);
    assert_eq!(roster.put(Millis(8), newer), RowEffect::Joined);
}

#[test]
fn hidden_server_is_not_used_after_an_outage() {
    let mut roster = Roster::default();
    roster.put(Millis(0), registration("a", ServerState::Ready, 1, 4));
    roster.store_recovered(Millis(10));
    assert_eq!(roster.hide(Millis(11), &id("a")), RowEffect::Left);
    assert_eq!(roster.remove(Millis(12), &id("a")), RowEffect::Unchanged);
    assert!(!is_usable(&roster, 12, "a"));
}

#[test]
fn hiding_does_not_undo_leaving_or_removal() {
    let mut roster = Roster::default();
    roster.put(Millis(0), registration("a", ServerState::Leaving, 1, 4));
    roster.hide(Millis(1), &id("a"));
    for sequence in 4..7 {
        let late = registration("a", ServerState::Ready, 1, sequence);
        assert_eq!(roster.put(Millis(2), late), RowEffect::Stale);
    }
    let ready = registration("b", ServerState::Ready, 1, 4);
    roster.put(Millis(0), ready.clone());
    roster.remove(Millis(1), &id("b"));
    roster.hide(Millis(2), &id("b"));
    assert_eq!(roster.put(Millis(3), ready), RowEffect::Stale);
    assert!(!is_usable(&roster, 3, "a") && !is_usable(&roster, 3, "b"));
}
