//! Guards against a burst that makes all later calls late, and against calls that are passed over
//! because of their size.

use bv_admit::{Queue, QueuedCall};
use bv_types::{Millis, Tokens};

fn queued_call(priority: u8, arrived: u64, tokens: u64) -> QueuedCall {
    QueuedCall {
        priority,
        arrived: Millis(arrived),
        on_time_until: Millis(arrived + 650),
        tokens: Tokens(tokens),
    }
}

#[test]
fn first_come_first_served() {
    let mut queue = Queue::default();
    let large = queue.push(queued_call(1, 0, 9_000));
    let small = queue.push(queued_call(1, 10, 500));
    assert_eq!(queue.first_ticket(Millis(20)), Some(large));
    assert_eq!(queue.ahead(Millis(20), small), Tokens(9_000));
    queue.remove(large);
    assert_eq!(queue.first_ticket(Millis(20)), Some(small));
    let sums = queue.tokens_by_priority();
    assert_eq!(sums.len(), 1);
    assert_eq!((sums[0].priority, sums[0].tokens), (1, Tokens(500)));
}

#[test]
fn urgent_goes_first() {
    let mut queue = Queue::default();
    queue.push(queued_call(2, 0, 1_000));
    let urgent = queue.push(queued_call(0, 500, 1_000));
    assert_eq!(queue.first_ticket(Millis(500)), Some(urgent));
}

#[test]
fn late_calls_go_last() {
    let mut queue = Queue::default();
    let late = queue.push(queued_call(1, 0, 1_000));
    let fresh = queue.push(queued_call(1, 600, 1_000));
    assert_eq!(queue.first_ticket(Millis(650)), Some(late));
    assert_eq!(queue.first_ticket(Millis(651)), Some(fresh));
    // Once both are late, the first to arrive goes first again.
    assert_eq!(queue.first_ticket(Millis(1_300)), Some(late));
}

/// Simulates a burst on one server that takes 100 ms a call, and counts the calls on time.
fn on_time_in_burst() -> usize {
    let mut queue = Queue::default();
    let mut arrivals: Vec<u64> = (0..30).map(|n| n * 33).collect();
    arrivals.extend((0..40).map(|n| 1_000 + n * 110));
    let mut tickets = Vec::new();
    let mut on_time = 0;
    let mut next = 0;
    for now in (0..8_000).step_by(100) {
        while next < arrivals.len() && arrivals[next] <= now {
            let ticket = queue.push(queued_call(1, arrivals[next], 1));
            tickets.push((ticket, arrivals[next]));
            next += 1;
        }
        if let Some(first) = queue.first_ticket(Millis(now)) {
            queue.remove(first);
            let (_, arrived) = tickets.iter().find(|(t, _)| *t == first).unwrap();
            on_time += usize::from(now <= arrived + 650);
        }
    }
    assert!(queue.is_empty(), "every call is served in the end");
    on_time
}

#[test]
fn burst_does_not_make_all_late() {
    // 70 calls in 5.4 s at 10 a second: strict arrival order makes almost all after the burst late.
    assert!(on_time_in_burst() >= 45, "{} on time", on_time_in_burst());
}
