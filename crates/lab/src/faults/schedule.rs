//! Start and end times of the faults of a run.

use std::time::Duration;

use fastrand::Rng;

use super::Fault;

/// Start of the first occurrence of each fault, as a share of the run.
const FIRST_START_SHARE: f64 = 0.25;
/// Time between the starts of a fault that is given more than once, as a share of the run.
const REPEAT_INTERVAL_SHARE: f64 = 0.2;
/// Duration of a fault, as a share of the run.
const DURATION_SHARE: f64 = 0.25;
/// Latest start of a fault, as a share of the run.
const LAST_START_SHARE: f64 = 0.65;

/// A fault with its start, duration and target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FaultEvent {
    /// The fault.
    pub fault: Fault,
    /// Start, from the start of the load.
    pub start: Duration,
    /// Time from the start until the fault is undone.
    pub duration: Duration,
    /// Random number that selects the target, modulo the number of possible targets.
    pub target_selector: usize,
}

/// The faults of a run. The seed determines the targets, the length of the run the times.
pub fn run_schedule(seed: u64, seconds: u64, faults: &[Fault]) -> Vec<FaultEvent> {
    let mut rng = Rng::with_seed(seed);
    let run = Duration::from_secs(seconds);
    let mut events = Vec::new();
    for (index, fault) in faults.iter().enumerate() {
        let earlier = faults[..index]
            .iter()
            .filter(|other| *other == fault)
            .count();
        let start =
            (FIRST_START_SHARE + REPEAT_INTERVAL_SHARE * earlier as f64).min(LAST_START_SHARE);
        events.push(FaultEvent {
            fault: *fault,
            start: run.mul_f64(start),
            duration: run.mul_f64(DURATION_SHARE),
            target_selector: rng.usize(..1 << 16),
        });
    }
    events
}
