//! When each fault starts and ends.

use std::time::Duration;

use fastrand::Rng;

use super::Fault;

/// Start of the first fault of each name, as a share of the run.
const FIRST_START: f64 = 0.25;
/// Distance between the starts of a fault given more than once.
const NEXT_START: f64 = 0.2;
/// Share of the run for which a fault lasts.
const LENGTH: f64 = 0.25;
/// Largest share of the run at which a fault starts.
const LAST_START: f64 = 0.65;

/// One fault at its time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FaultEvent {
    /// The fault.
    pub fault: Fault,
    /// Start, from the start of the load.
    pub start: Duration,
    /// Time for which it lasts.
    pub length: Duration,
    /// Chooses the target.
    pub pick: usize,
}

/// The faults of a run; targets follow the seed, times the length of the run.
pub fn schedule(seed: u64, seconds: u64, faults: &[Fault]) -> Vec<FaultEvent> {
    let mut rng = Rng::with_seed(seed);
    let run = Duration::from_secs(seconds);
    let mut events = Vec::new();
    for (index, fault) in faults.iter().enumerate() {
        let earlier = faults[..index]
            .iter()
            .filter(|other| *other == fault)
            .count();
        let start = (FIRST_START + NEXT_START * earlier as f64).min(LAST_START);
        events.push(FaultEvent {
            fault: *fault,
            start: run.mul_f64(start),
            length: run.mul_f64(LENGTH),
            pick: rng.usize(..1 << 16),
        });
    }
    events
}
