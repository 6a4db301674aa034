//! Callers and entry hosts that are gone, and the engine memory still held for them.

use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::stand_in::HeldAttempt;

/// Time after which no engine memory may be held for a caller or entry host that is gone.
pub const RELEASE_LIMIT: Duration = Duration::from_secs(12);

/// Who is gone and since when.
#[derive(Debug, Default)]
pub struct LeakDetector(Mutex<Seen>);

#[derive(Debug, Default)]
struct Seen {
    /// Nonces of requests whose caller is gone, sorted.
    callers: Vec<(String, Instant)>,
    /// Entry hosts that are killed or paused.
    hosts: Vec<(String, Instant)>,
    /// Nonces of the attempts that hold memory now.
    held: Vec<String>,
    /// Longest time for which memory was seen held after its owner was gone.
    longest: Duration,
    /// Attempts already counted, sorted.
    counted: Vec<String>,
}

impl LeakDetector {
    fn lock(&self) -> MutexGuard<'_, Seen> {
        self.0.lock().unwrap_or_else(|err| err.into_inner())
    }

    /// The caller of this request is gone from now on.
    pub fn caller_disconnected(&self, nonce: &str) {
        let mut seen = self.lock();
        let now = Instant::now();
        match seen
            .callers
            .binary_search_by(|(known, _)| known.as_str().cmp(nonce))
        {
            Ok(index) => seen.callers[index].1 = now,
            Err(index) => seen.callers.insert(index, (nonce.to_owned(), now)),
        }
    }

    /// This entry host is gone; attempts it started before now are to be cancelled.
    pub fn host_stopped(&self, host: &str) {
        self.lock().hosts.push((host.to_owned(), Instant::now()));
    }

    /// This entry host was paused and runs again.
    pub fn host_resumed(&self, host: &str) {
        self.lock().hosts.retain(|(known, _)| known != host);
    }

    /// Looks at the attempts that hold memory now.
    pub fn check(&self, held: &[HeldAttempt]) {
        let mut seen = self.lock();
        seen.held = held.iter().map(|held| held.nonce.clone()).collect();
        for attempt in held {
            let Some(gone_at) = seen.gone_at(attempt) else {
                continue;
            };
            let gone = gone_at.elapsed();
            seen.longest = seen.longest.max(gone);
            if gone <= RELEASE_LIMIT {
                continue;
            }
            if let Err(index) = seen.counted.binary_search(&attempt.attempt) {
                eprintln!(
                    "lab: {} holds memory after its owner was gone",
                    attempt.attempt
                );
                seen.counted.insert(index, attempt.attempt.clone());
            }
        }
    }

    /// Whether an engine holds memory for this request, as of the last look.
    pub fn is_held(&self, nonce: &str) -> bool {
        self.lock().held.iter().any(|held| held == nonce)
    }

    /// Longest time for which memory was seen held after its owner was gone.
    pub fn longest_retention(&self) -> Duration {
        self.lock().longest
    }

    /// Attempts that held memory for too long.
    pub fn leak_count(&self) -> u64 {
        self.lock().counted.len() as u64
    }
}

impl Seen {
    fn gone_at(&self, attempt: &HeldAttempt) -> Option<Instant> {
        let caller = self
            .callers
            .binary_search_by(|(known, _)| known.as_str().cmp(&attempt.nonce))
            .ok()
            .map(|index| self.callers[index].1);
        let host = attempt.attempt.split('.').next().unwrap_or_default();
        let host = self
            .hosts
            .iter()
            .filter(|(known, at)| known == host && *at >= attempt.since)
            .map(|(_, at)| *at)
            .min();
        caller.into_iter().chain(host).min()
    }
}
