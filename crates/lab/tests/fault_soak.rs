//! A short soak in CI, and every seed that has violated a guarantee.

use std::path::Path;

use bv_lab::commands::Soak;
use bv_lab::{Fault, measure_events, soak_schedule};

/// Length of a soak in CI; longer ones are run by hand.
const SOAK_MINUTES: f64 = 0.5;

async fn soak(seed: u64, minutes: f64) {
    let mut settings = Soak { seed, minutes }.settings();
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    settings.inventory = root.join(&settings.inventory);
    let events = soak_schedule(seed, settings.load_seconds());
    let report = measure_events(&settings, events).await.unwrap();
    assert_eq!(report.violations(), 0, "seed {seed}: {}", report.summary());
}

/// Guards against guarantees that hold only under one fault at a time.
#[tokio::test(flavor = "multi_thread")]
async fn short_soak() {
    soak(1, SOAK_MINUTES).await;
}

/// Guards against a soak that injects only a few kinds of faults, or overlaps two faults of one
/// kind, the first of which would end the second.
#[test]
fn varied_faults() {
    let mut seen: Vec<&str> = Vec::new();
    for seed in 0..50 {
        let events = soak_schedule(seed, 60);
        assert_eq!(events, soak_schedule(seed, 60));
        assert!(events.len() >= 8, "seed {seed}: {} faults", events.len());
        for event in &events {
            let same = events.iter().filter(|other| other.fault == event.fault);
            let overlapping = same.filter(|other| {
                other.start < event.start + event.duration
                    && event.start < other.start + other.duration
            });
            assert_eq!(overlapping.count(), 1, "seed {seed}: {:?}", event.fault);
        }
        seen.extend(events.iter().map(|event| event.fault.name()));
    }
    seen.sort_unstable();
    seen.dedup();
    assert_eq!(seen.len(), Fault::ALL.len());
}
