//! Engine memory held after a caller or an entry host is gone.

use std::time::{Duration, Instant};

use bv_lab::stand_in::HeldAttempt;
use bv_lab::{HELD_LIMIT, Observer};

fn held(attempt: &str, nonce: &str) -> HeldAttempt {
    HeldAttempt {
        attempt: attempt.to_owned(),
        nonce: nonce.to_owned(),
        since: Instant::now(),
    }
}

/// Guards against memory that is held too long and not counted, or counted without reason.
#[tokio::test]
async fn held_too_long() {
    let observer = Observer::default();
    let before = [
        held("host-0.1.1.0", "n1-1"),
        held("host-1.1.1.0", "n1-2"),
        held("host-1.1.2.0", "n1-3"),
        held("host-2.1.1.0", "n1-4"),
    ];
    observer.caller_gone("n1-1");
    observer.host_gone("host-1");
    observer.host_gone("host-2");
    observer.host_back("host-2");
    tokio::time::sleep(Duration::from_millis(5)).await;
    let mut now = before.to_vec();
    now.push(held("host-1.2.1.0", "n1-5"));
    observer.check(&now);
    assert_eq!(observer.held_after_gone(), 0);
    assert!(observer.is_held("n1-5") && !observer.is_held("n1-6"));
    tokio::time::sleep(HELD_LIMIT).await;
    observer.check(&now);
    observer.check(&now);
    // Not counted: the host that came back, and the attempt of the host's next process.
    assert_eq!(observer.held_after_gone(), 3);
    assert!(observer.longest_held() > HELD_LIMIT);
}
