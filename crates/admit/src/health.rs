//! Passive health checks of one backend server, from the outcomes of this host's own sends.

use bv_types::Millis;

/// Time for which a server is avoided after a fault; doubles with each consecutive fault.
const FIRST_AVOIDANCE: Millis = Millis(300);
/// Longest time for which a server is avoided. Crashed servers are back after some seconds.
const MAX_AVOIDANCE: Millis = Millis(4_000);
/// Least number of consecutive faults assumed after a misdirected request: requests stay
/// misdirected until the server's row changes, which takes a second or more.
const MISDIRECTED_FAULTS: u32 = 3;
/// Weight of the newest answer in the moving average of errors; about the latest ten answers count.
const ERROR_WEIGHT: f64 = 0.12;
/// Share of errors above which a server counts as failing. Some requests fail at any server, so the
/// share is also compared with that of the other servers.
const FAILING_SHARE: f64 = 0.25;
/// Least ratio of a failing server's share of errors to that of the other servers.
const FAILING_FACTOR: f64 = 2.5;

/// How a send failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The connection could not be opened.
    Connect,
    /// The connection broke or no answer arrived.
    NoAnswer,
    /// The answer was damaged or belonged to another request.
    InvalidAnswer,
    /// Another process has the address, or the engine has another role than its row says.
    Misdirected,
}

/// Health of one server, as observed by this host.
#[derive(Debug, Clone, Default)]
pub struct Health {
    consecutive_faults: u32,
    avoid_until: Millis,
    error_share: f64,
}

impl Health {
    /// Records a fault.
    pub fn record_fault(&mut self, now: Millis, fault: Fault) {
        // A damaged answer says little about the next one, so these faults do not accumulate.
        self.consecutive_faults = match fault {
            Fault::InvalidAnswer => self.consecutive_faults.max(1),
            Fault::Connect | Fault::NoAnswer => self.consecutive_faults.saturating_add(1),
            Fault::Misdirected => self
                .consecutive_faults
                .saturating_add(1)
                .max(MISDIRECTED_FAULTS),
        };
        let doublings = self.consecutive_faults.saturating_sub(1).min(8);
        let avoidance = Millis(FIRST_AVOIDANCE.0 << doublings).min(MAX_AVOIDANCE);
        self.avoid_until = self.avoid_until.max(now + avoidance);
    }

    /// Records an answer; `error` if the server itself failed the request.
    pub fn record_answer(&mut self, error: bool) {
        self.consecutive_faults = 0;
        self.avoid_until = Millis::ZERO;
        let sample = if error { 1.0 } else { 0.0 };
        self.error_share += (sample - self.error_share) * ERROR_WEIGHT;
    }

    /// Whether the server is avoided while others can take the work. When the avoidance has
    /// expired, one request at a time probes the server until it answers.
    pub fn is_avoided(&self, now: Millis, in_progress: usize) -> bool {
        now < self.avoid_until || (self.consecutive_faults > 0 && in_progress > 0)
    }

    /// Moving average of the share of answers that were errors.
    pub fn error_share(&self) -> f64 {
        self.error_share
    }

    /// Whether the server fails far more requests than the other servers, whose share of errors is
    /// `baseline_error_share`.
    pub fn is_failing(&self, baseline_error_share: f64) -> bool {
        self.error_share > FAILING_SHARE && self.error_share > FAILING_FACTOR * baseline_error_share
    }
}
