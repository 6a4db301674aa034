//! What a host has in progress at one backend server, and what the server reported.

use bv_types::{BackendId, Millis, Tokens};

use crate::fleet::{SendId, Work};
use crate::health::Health;

/// Time over which a report fades. Engines report with a lag of 900 ms.
const REPORT_FADES: Millis = Millis(1_000);
/// Time for which a server that refused a request counts as full.
const FULL_FOR: Millis = Millis(200);
/// Tokens assumed for a request of another host that is known only from a report.
const USUAL_TOKENS: f64 = 4_200.0;

/// Load that a server reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Requests that it ran.
    pub running: u32,
    /// Requests that waited there.
    pub waiting: u32,
}

/// Requests and tokens in progress.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Load {
    pub requests: f64,
    pub tokens: f64,
}

#[derive(Debug, Clone)]
pub(crate) struct Send {
    pub id: SendId,
    /// Start, or the latest sign of progress.
    pub at: Millis,
    pub work: Work,
    /// Whether the server has not said yet that it has room.
    pub is_asking: bool,
}

#[derive(Debug, Clone)]
pub(crate) struct Server {
    pub id: BackendId,
    pub sends: Vec<Send>,
    pub health: Health,
    /// What other hosts said they have in progress here.
    pub peers: Load,
    /// Requests of other hosts at the time of the latest report.
    reported: f64,
    reported_at: Millis,
    full_until: Millis,
    /// Until when the engine changes its role.
    pub changing_until: Millis,
}

impl Server {
    pub fn new(id: BackendId) -> Self {
        Server {
            id,
            sends: Vec::new(),
            health: Health::default(),
            peers: Load::default(),
            reported: 0.0,
            reported_at: Millis::ZERO,
            full_until: Millis::ZERO,
            changing_until: Millis::ZERO,
        }
    }

    /// Takes a report over; the host's own requests are subtracted.
    pub fn report(&mut self, now: Millis, report: Report) {
        let total = f64::from(report.running + report.waiting);
        self.reported = (total - self.sends.len() as f64).max(0.0);
        self.reported_at = now;
    }

    /// Records that the server refused a request.
    pub fn refused(&mut self, now: Millis) {
        self.full_until = now + FULL_FOR;
    }

    /// Whether the server refused a request a moment ago, or changes its role.
    pub fn is_full(&self, now: Millis) -> bool {
        now < self.full_until || now < self.changing_until
    }

    /// Load of other hosts: what they said, or, while some of them are silent, what the latest
    /// report still tells if that is more.
    fn others(&self, now: Millis, all_heard: bool) -> Load {
        if all_heard {
            return self.peers;
        }
        let age = (now - self.reported_at).0 as f64 / REPORT_FADES.0 as f64;
        let requests = self.reported * (1.0 - age).max(0.0);
        Load {
            requests: self.peers.requests.max(requests),
            tokens: self.peers.tokens.max(requests * USUAL_TOKENS),
        }
    }

    /// Load of all hosts.
    pub fn load(&self, now: Millis, all_heard: bool) -> Load {
        let others = self.others(now, all_heard);
        Load {
            requests: self.sends.len() as f64 + others.requests,
            tokens: self.own_tokens().0 as f64 + others.tokens,
        }
    }

    /// Tokens of the own requests in progress.
    pub fn own_tokens(&self) -> Tokens {
        Tokens(self.sends.iter().map(|send| send.work.tokens.0).sum())
    }

    /// Whether a request has been without any sign of progress for longer than it may.
    fn is_stuck(&self, now: Millis) -> bool {
        self.sends
            .iter()
            .any(|send| now >= send.at + send.work.stuck_after)
    }

    /// Whether the server is avoided while others can take the work.
    pub fn is_avoided(&self, now: Millis) -> bool {
        self.health.is_avoided(now, self.sends.len()) || self.is_stuck(now)
    }
}
