//! Detection of engine memory held after a caller has disconnected or an entry host has stopped.

use std::time::{Duration, Instant};

use bv_lab::stand_in::HeldAttempt;
use bv_lab::{LeakDetector, RELEASE_LIMIT};

fn held(attempt: &str, nonce: &str) -> HeldAttempt {
    HeldAttempt {
        attempt: attempt.to_owned(),
        nonce: nonce.to_owned(),
        since: Instant::now(),
    }
}

/// Guards against memory that is held too long and not counted, or counted although it is in use.
#[tokio::test]
async fn held_too_long() {
    let leak_detector = LeakDetector::default();
    let before = [
        held("host-0.1.1.0", "n1-1"),
        held("host-1.1.1.0", "n1-2"),
        held("host-1.1.2.0", "n1-3"),
        held("host-2.1.1.0", "n1-4"),
    ];
    leak_detector.caller_disconnected("n1-1");
    leak_detector.host_stopped("host-1");
    leak_detector.host_stopped("host-2");
    leak_detector.host_resumed("host-2");
    tokio::time::sleep(Duration::from_millis(5)).await;
    let mut now = before.to_vec();
    now.push(held("host-1.2.1.0", "n1-5"));
    leak_detector.check(&now);
    assert_eq!(leak_detector.leak_count(), 0);
    assert!(leak_detector.is_held("n1-5") && !leak_detector.is_held("n1-6"));
    tokio::time::sleep(RELEASE_LIMIT).await;
    leak_detector.check(&now);
    leak_detector.check(&now);
    // Not counted: the host that came back, and the attempt of the host's next process.
    assert_eq!(leak_detector.leak_count(), 3);
    assert!(leak_detector.longest_retention() > RELEASE_LIMIT);
}
