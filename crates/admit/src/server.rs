//! Load of one backend server: the host's own sends, the load of other hosts, and the server's
//! reports.

use bv_types::{BackendId, Millis, Tokens};

use crate::fleet::{SendId, Work};
use crate::health::Health;

/// Time over which the weight of a report falls to zero. Engines report with a lag of 900 ms.
const REPORT_FADE_TIME: Millis = Millis(1_000);
/// Time for which a server counts as full after it refused a request or a reservation; doubles with
/// each consecutive refusal of a request.
const FULL_DURATION: Millis = Millis(200);
/// Longest time for which a server counts as full.
const MAX_FULL_DURATION: Millis = Millis(1_600);
/// Time after a refusal for which servers that refuse no requests are preferred.
const REFUSAL_MEMORY: Millis = Millis(3_000);
/// Tokens assumed for a request of another host that is known only from a report.
const USUAL_REQUEST_TOKENS: f64 = 4_200.0;

/// Time over which the weight of a reported pace falls to zero. It changes many times a second, since
/// servers share their machines with others.
const PACE_FADE_TIME: Millis = Millis(300);
/// Bounds of the factor that a reported pace puts on the time of a call, so that a false one costs
/// little. The noise of shared machines is up to 2.5 times.
const PACE_BOUNDS: (f64, f64) = (0.5, 2.5);

/// Load that a server reported.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Report {
    /// Requests that it ran.
    pub running: u32,
    /// Requests that waited there.
    pub waiting: u32,
    /// How long work took there, in percent of the usual time; none if the server does not report it.
    pub pace: Option<u32>,
}

/// Requests and tokens in progress.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Load {
    pub requests: f64,
    pub tokens: f64,
}

#[derive(Debug, Clone)]
pub(crate) struct InFlightSend {
    pub id: SendId,
    /// Start of the send, or its latest sign of progress.
    pub last_progress_at: Millis,
    pub work: Work,
    /// Whether the server has not confirmed yet that it has capacity.
    pub is_unconfirmed: bool,
}

#[derive(Debug, Clone)]
pub(crate) struct Server {
    pub id: BackendId,
    pub sends: Vec<InFlightSend>,
    pub health: Health,
    /// Sum of what other hosts report to have in progress here.
    pub peers: Load,
    /// Requests of other hosts at the time of the latest report.
    reported_peer_requests: f64,
    reported_at: Millis,
    /// The latest reported pace and its time.
    pace: Option<(u32, Millis)>,
    full_until: Millis,
    /// Requests refused in a row.
    consecutive_refusals: u32,
    /// The latest send that was refused.
    refused_send: Option<SendId>,
    /// Time until which other servers are preferred after a refusal of this host's request.
    refusing_until: Millis,
    /// Time until which other servers are preferred because another host reported a refusal.
    pub peer_refusing_until: Millis,
    /// Time until which the engine is assumed to change its role.
    pub changing_until: Millis,
}

impl Server {
    pub fn new(id: BackendId) -> Self {
        Server {
            id,
            sends: Vec::new(),
            health: Health::default(),
            peers: Load::default(),
            reported_peer_requests: 0.0,
            reported_at: Millis::ZERO,
            pace: None,
            full_until: Millis::ZERO,
            consecutive_refusals: 0,
            refused_send: None,
            refusing_until: Millis::ZERO,
            peer_refusing_until: Millis::ZERO,
            changing_until: Millis::ZERO,
        }
    }

    /// Records a report; the host's own requests are subtracted.
    pub fn record_report(&mut self, now: Millis, report: Report) {
        let total = f64::from(report.running) + f64::from(report.waiting);
        self.reported_peer_requests = (total - self.sends.len() as f64).max(0.0);
        self.reported_at = now;
        self.pace = report.pace.map(|pace| (pace, now));
    }

    /// Factor on the usual time of a call, by the pace that the server reported; 1 if it reports none.
    pub fn pace_factor(&self, now: Millis) -> f64 {
        let Some((pace, reported_at)) = self.pace else {
            return 1.0;
        };
        let age = (now - reported_at).0 as f64 / PACE_FADE_TIME.0 as f64;
        let (least, most) = PACE_BOUNDS;
        let factor = (f64::from(pace) / 100.0).clamp(least, most);
        1.0 + (factor - 1.0) * (1.0 - age).max(0.0)
    }

    /// Records that the server refused a reservation.
    pub fn record_full(&mut self, now: Millis) {
        self.full_until = self.full_until.max(now + FULL_DURATION);
    }

    /// Records that the server refused a request.
    pub fn record_refusal(&mut self, now: Millis, send: SendId) {
        self.refused_send = self.refused_send.max(Some(send));
        // Requests that were under way at the first refusal say nothing more.
        if self.consecutive_refusals > 0 && now < self.full_until {
            return;
        }
        let doublings = self.consecutive_refusals.min(8);
        let duration = Millis(FULL_DURATION.0 << doublings).min(MAX_FULL_DURATION);
        self.consecutive_refusals = self.consecutive_refusals.saturating_add(1);
        self.full_until = now + duration;
        self.refusing_until = now + REFUSAL_MEMORY;
    }

    /// Records that the server accepted a request. One that was sent before the latest refusal does
    /// not end the refusals.
    pub fn record_acceptance(&mut self, send: SendId) {
        if Some(send) > self.refused_send {
            self.consecutive_refusals = 0;
            self.refusing_until = Millis::ZERO;
        }
    }

    /// Whether the server refused this host's latest request.
    pub fn refuses_own(&self, now: Millis) -> bool {
        now < self.refusing_until
    }

    /// Whether the server refused a request lately.
    pub fn is_refusing(&self, now: Millis) -> bool {
        self.refuses_own(now) || now < self.peer_refusing_until
    }

    /// Whether the server refused a request a moment ago or is changing its role.
    pub fn is_unavailable(&self, now: Millis) -> bool {
        now < self.full_until || now < self.changing_until
    }

    /// Load of other hosts: the sum of their own messages or, while messages of some hosts are
    /// missing, the faded report of the server if that is more.
    fn peer_load(&self, now: Millis, all_peers_known: bool) -> Load {
        if all_peers_known {
            return self.peers;
        }
        let age = (now - self.reported_at).0 as f64 / REPORT_FADE_TIME.0 as f64;
        let requests = self.reported_peer_requests * (1.0 - age).max(0.0);
        Load {
            requests: self.peers.requests.max(requests),
            tokens: self.peers.tokens.max(requests * USUAL_REQUEST_TOKENS),
        }
    }

    /// Load of all hosts.
    pub fn load(&self, now: Millis, all_peers_known: bool) -> Load {
        let peer_load = self.peer_load(now, all_peers_known);
        Load {
            requests: self.sends.len() as f64 + peer_load.requests,
            tokens: self.own_tokens().0 as f64 + peer_load.tokens,
        }
    }

    /// Tokens of this host's requests in progress.
    pub fn own_tokens(&self) -> Tokens {
        self.sends.iter().map(|send| send.work.tokens).sum()
    }

    /// Whether a request has made no progress for longer than its `stuck_after`.
    fn is_stuck(&self, now: Millis) -> bool {
        self.sends
            .iter()
            .any(|send| now >= send.last_progress_at + send.work.stuck_after)
    }

    /// Whether the server is avoided while others can take the work.
    pub fn is_avoided(&self, now: Millis) -> bool {
        self.health.is_avoided(now, self.sends.len()) || self.is_stuck(now)
    }
}
