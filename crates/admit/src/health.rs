//! Passive health of one backend server, from the outcome of a host's own sends.

use bv_types::Millis;

/// Avoidance after the first of consecutive faults; doubles with each further one.
const FIRST_AVOIDANCE: Millis = Millis(300);
/// Longest avoidance. Crashed servers are back after some seconds.
const MAX_AVOIDANCE: Millis = Millis(4_000);
/// Consecutive faults that a misdirected request counts for: it stays so until the server's row
/// changes, which takes a second or more.
const MISDIRECTED_FAULTS: u32 = 3;
/// Weight of the newest answer in the share of errors; about the latest ten answers count.
const ERROR_WEIGHT: f64 = 0.12;
/// Share of errors above which a server counts as failing. Some requests fail at any server, so
/// that the share of its peers counts too.
const FAILING_SHARE: f64 = 0.25;
/// A failing server has this many times the errors of its peers.
const FAILING_FACTOR: f64 = 2.5;

/// How a send failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The connection could not be opened.
    Connect,
    /// The connection broke or no answer came.
    Lost,
    /// The answer was damaged or belonged to another request.
    Garbled,
    /// Another process has the address, or the engine has another role than its row says.
    Misdirected,
}

/// What is known of one server.
#[derive(Debug, Clone, Default)]
pub struct Health {
    faults: u32,
    avoid_until: Millis,
    error_share: f64,
}

impl Health {
    /// Records a fault.
    pub fn fault(&mut self, now: Millis, fault: Fault) {
        // A damaged answer says little about the next one; it does not add up.
        self.faults = match fault {
            Fault::Garbled => self.faults.max(1),
            Fault::Connect | Fault::Lost => self.faults.saturating_add(1),
            Fault::Misdirected => self.faults.saturating_add(1).max(MISDIRECTED_FAULTS),
        };
        let doublings = self.faults.saturating_sub(1).min(8);
        let avoidance = Millis(FIRST_AVOIDANCE.0 << doublings).min(MAX_AVOIDANCE);
        self.avoid_until = self.avoid_until.max(now + avoidance);
    }

    /// Records an answer; `error` if the server itself failed the request.
    pub fn answer(&mut self, error: bool) {
        self.faults = 0;
        self.avoid_until = Millis::ZERO;
        let sample = if error { 1.0 } else { 0.0 };
        self.error_share += (sample - self.error_share) * ERROR_WEIGHT;
    }

    /// Whether the server is avoided while others can take the work. After the avoidance one
    /// request at a time tries it until it answers.
    pub fn is_avoided(&self, now: Millis, in_progress: usize) -> bool {
        now < self.avoid_until || (self.faults > 0 && in_progress > 0)
    }

    /// Share of the latest answers that were errors.
    pub fn error_share(&self) -> f64 {
        self.error_share
    }

    /// Whether the server fails far more than its peers, which fail `peers` of their requests.
    pub fn is_failing(&self, peers: f64) -> bool {
        self.error_share > FAILING_SHARE && self.error_share > FAILING_FACTOR * peers
    }
}
