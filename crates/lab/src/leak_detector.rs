//! Finds engine memory that is still held after its caller disconnected or its entry host stopped.

use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::stand_in::HeldAttempt;

/// Time within which engine memory must be released after its caller disconnected or its entry host
/// stopped.
pub const RELEASE_LIMIT: Duration = Duration::from_secs(12);

/// Disconnected callers and stopped entry hosts, and the attempts that hold memory for them.
#[derive(Debug, Default)]
pub struct LeakDetector(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    /// Nonces of requests whose caller disconnected, sorted, with the time.
    disconnected_callers: Vec<(String, Instant)>,
    /// Entry hosts that were killed or paused, with the time.
    stopped_hosts: Vec<(String, Instant)>,
    /// Nonces of the attempts that held memory at the last check.
    held_nonces: Vec<String>,
    /// Longest observed time for which memory was held after its caller disconnected or its entry
    /// host stopped.
    longest_retention: Duration,
    /// Attempts that exceeded the limit, sorted; each counts once.
    leaked: Vec<String>,
}

impl LeakDetector {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(|err| err.into_inner())
    }

    /// Records that the caller of this request disconnected or stopped reading now.
    pub fn caller_disconnected(&self, nonce: &str) {
        let mut state = self.lock();
        let now = Instant::now();
        match state
            .disconnected_callers
            .binary_search_by(|(known, _)| known.as_str().cmp(nonce))
        {
            Ok(index) => state.disconnected_callers[index].1 = now,
            Err(index) => state
                .disconnected_callers
                .insert(index, (nonce.to_owned(), now)),
        }
    }

    /// Records that this entry host was killed or paused; attempts that it started before must be
    /// cancelled.
    pub fn host_stopped(&self, host: &str) {
        self.lock()
            .stopped_hosts
            .push((host.to_owned(), Instant::now()));
    }

    /// Records that a paused entry host is running again.
    pub fn host_resumed(&self, host: &str) {
        self.lock().stopped_hosts.retain(|(known, _)| known != host);
    }

    /// Checks the attempts that currently hold memory.
    pub fn check(&self, held: &[HeldAttempt]) {
        let mut state = self.lock();
        state.held_nonces = held.iter().map(|held| held.nonce.clone()).collect();
        for attempt in held {
            let Some(release_due_since) = state.release_due_since(attempt) else {
                continue;
            };
            let retention = release_due_since.elapsed();
            state.longest_retention = state.longest_retention.max(retention);
            if retention <= RELEASE_LIMIT {
                continue;
            }
            if let Err(index) = state.leaked.binary_search(&attempt.attempt) {
                eprintln!(
                    "lab: attempt {} holds engine memory {} ms after its caller disconnected or its \
                     entry host stopped",
                    attempt.attempt,
                    retention.as_millis()
                );
                state.leaked.insert(index, attempt.attempt.clone());
            }
        }
    }

    /// Whether an engine held memory for this request at the last check.
    pub fn is_held(&self, nonce: &str) -> bool {
        self.lock().held_nonces.iter().any(|held| held == nonce)
    }

    /// Longest observed time for which memory was held after its caller disconnected or its entry
    /// host stopped.
    pub fn longest_retention(&self) -> Duration {
        self.lock().longest_retention
    }

    /// Number of attempts that held memory longer than [`RELEASE_LIMIT`] after their caller
    /// disconnected or their entry host stopped.
    pub fn leak_count(&self) -> u64 {
        self.lock().leaked.len() as u64
    }
}

impl State {
    /// When the caller of an attempt disconnected or its entry host stopped, whichever was first.
    fn release_due_since(&self, attempt: &HeldAttempt) -> Option<Instant> {
        let caller = self
            .disconnected_callers
            .binary_search_by(|(known, _)| known.as_str().cmp(&attempt.nonce))
            .ok()
            .map(|index| self.disconnected_callers[index].1);
        let host = attempt.attempt.split('.').next().unwrap_or_default();
        let host = self
            .stopped_hosts
            .iter()
            .filter(|(known, at)| known == host && *at >= attempt.since)
            .map(|(_, at)| *at)
            .min();
        caller.into_iter().chain(host).min()
    }
}
