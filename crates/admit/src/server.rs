//! What a host has in progress at one backend server, and what the server reported.

use bv_types::{BackendId, Millis, Tokens};

use crate::fleet::{SendId, Work};
use crate::health::Health;

/// Time over which a report fades. Engines report with a lag of 900 ms, and most requests are over
/// by then.
const REPORT_FADES: Millis = Millis(1_000);

/// Load that a server reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Requests that it ran.
    pub running: u32,
    /// Requests that waited there.
    pub waiting: u32,
}

#[derive(Debug, Clone)]
pub(crate) struct Send {
    pub id: SendId,
    pub at: Millis,
    pub work: Work,
}

#[derive(Debug, Clone)]
pub(crate) struct Server {
    pub id: BackendId,
    pub sends: Vec<Send>,
    pub health: Health,
    /// Requests of other hosts at the time of the latest report.
    others: f64,
    reported_at: Millis,
}

impl Server {
    pub fn new(id: BackendId) -> Self {
        Server {
            id,
            sends: Vec::new(),
            health: Health::default(),
            others: 0.0,
            reported_at: Millis::ZERO,
        }
    }

    /// Takes a report over; the caller's own requests are subtracted.
    pub fn report(&mut self, now: Millis, report: Report) {
        let total = f64::from(report.running + report.waiting);
        self.others = (total - self.sends.len() as f64).max(0.0);
        self.reported_at = now;
    }

    /// Requests of other hosts, as far as the latest report still tells.
    pub fn others(&self, now: Millis) -> f64 {
        let age = (now - self.reported_at).0 as f64 / REPORT_FADES.0 as f64;
        self.others * (1.0 - age).max(0.0)
    }

    /// Requests in progress, with those of other hosts.
    pub fn in_progress(&self, now: Millis) -> f64 {
        self.sends.len() as f64 + self.others(now)
    }

    /// Tokens of the own requests in progress.
    pub fn own_tokens(&self) -> Tokens {
        Tokens(self.sends.iter().map(|send| send.work.tokens.0).sum())
    }

    /// Whether a request has been without any sign of progress for longer than it may.
    pub fn is_stuck(&self, now: Millis) -> bool {
        self.sends
            .iter()
            .any(|send| now >= send.at + send.work.stuck_after)
    }

    /// Whether the server is avoided while others can take the work.
    pub fn is_avoided(&self, now: Millis) -> bool {
        self.health.is_avoided(now, self.sends.len()) || self.is_stuck(now)
    }
}
