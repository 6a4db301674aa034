//! Faults of a soak: in series, overlapping, with targets and times from a seed.

use std::time::Duration;

use fastrand::Rng;

use super::{Fault, FaultEvent};

/// Time before the first fault, in ms: hosts and load are settled by then.
const CALM_START_MS: u64 = 2_000;
/// Time without new faults at the end, in ms: the longest bound that is checked after a fault is 12 s.
const CALM_END_MS: u64 = 14_000;
/// Range of the time between the starts of two faults, in ms.
const NEXT_MS: std::ops::Range<u64> = 300..4_000;
/// Range of the length of a fault, in ms. Short ones end before they are detected.
const LENGTH_MS: std::ops::Range<u64> = 400..9_000;
/// Faults at the same time.
const MAX_TOGETHER: usize = 3;

/// Faults of a soak of this many seconds.
pub fn series(seed: u64, seconds: u64) -> Vec<FaultEvent> {
    let mut rng = Rng::with_seed(seed);
    let end = (seconds * 1_000).saturating_sub(CALM_END_MS);
    let mut events: Vec<FaultEvent> = Vec::new();
    let mut at = CALM_START_MS;
    while at < end {
        let start = Duration::from_millis(at);
        let present = events.iter().filter(|e| e.start + e.length > start);
        let groups: Vec<Group> = present.map(|e| group(e.fault)).collect();
        let fault = Fault::ALL[rng.usize(..Fault::ALL.len())];
        if groups.len() < MAX_TOGETHER && !groups.contains(&group(fault)) {
            events.push(FaultEvent {
                fault,
                start,
                length: Duration::from_millis(rng.u64(LENGTH_MS)),
                pick: rng.usize(..1 << 16),
            });
        }
        at += rng.u64(NEXT_MS);
    }
    events
}

/// Faults that use the same switch of a stand-in; one would undo the other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Group {
    StoreGate,
    Relay,
    Callers,
    Engines,
    Other(Fault),
}

fn group(fault: Fault) -> Group {
    match fault {
        Fault::StoreDown | Fault::FreshHostStoreDown => Group::StoreGate,
        Fault::PeerLoss | Fault::PeerDelay => Group::Relay,
        Fault::CallerGone | Fault::CallerSilent => Group::Callers,
        Fault::KillEngine | Fault::LeavingBackend | Fault::ZoneLoss => Group::Engines,
        _ => Group::Other(fault),
    }
}
