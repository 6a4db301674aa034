//! Random, overlapping faults of a soak; the seed determines targets and times.

use std::time::Duration;

use fastrand::Rng;

use super::{Fault, FaultEvent};

/// Time before the first fault, in ms; by then hosts and load have reached a steady state.
const WARM_UP_MS: u64 = 2_000;
/// Time without new faults at the end, in ms; the longest limit checked after a fault is 12 s.
const COOL_DOWN_MS: u64 = 14_000;
/// Time between the starts of two faults, in ms.
const START_INTERVAL_MS: std::ops::Range<u64> = 300..4_000;
/// Duration of a fault, in ms; short faults end before the platform detects them.
const DURATION_MS: std::ops::Range<u64> = 400..9_000;
/// Largest number of faults at the same time.
const MAX_CONCURRENT: usize = 3;

/// The faults of a soak of this length.
pub fn soak_schedule(seed: u64, seconds: u64) -> Vec<FaultEvent> {
    let mut rng = Rng::with_seed(seed);
    let end = (seconds * 1_000).saturating_sub(COOL_DOWN_MS);
    let mut events: Vec<FaultEvent> = Vec::new();
    let mut at = WARM_UP_MS;
    while at < end {
        let start = Duration::from_millis(at);
        let active = events.iter().filter(|e| e.start + e.duration > start);
        let groups: Vec<ConflictGroup> = active.map(|e| conflict_group(e.fault)).collect();
        let fault = Fault::ALL[rng.usize(..Fault::ALL.len())];
        if groups.len() < MAX_CONCURRENT && !groups.contains(&conflict_group(fault)) {
            events.push(FaultEvent {
                fault,
                start,
                duration: Duration::from_millis(rng.u64(DURATION_MS)),
                target_selector: rng.usize(..1 << 16),
            });
        }
        at += rng.u64(START_INTERVAL_MS);
    }
    events
}

/// Faults of one group control the same setting of a stand-in and never overlap, because the end of
/// one would undo the other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConflictGroup {
    StoreGate,
    Relay,
    Callers,
    Engines,
    Other(Fault),
}

fn conflict_group(fault: Fault) -> ConflictGroup {
    match fault {
        Fault::StoreDown | Fault::FreshHostStoreDown => ConflictGroup::StoreGate,
        Fault::PeerLoss | Fault::PeerDelay => ConflictGroup::Relay,
        Fault::CallerGone | Fault::CallerSilent => ConflictGroup::Callers,
        Fault::KillEngine | Fault::LeavingBackend | Fault::ZoneLoss => ConflictGroup::Engines,
        _ => ConflictGroup::Other(fault),
    }
}
