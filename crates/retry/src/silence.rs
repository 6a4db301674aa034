//! What to do while a server that works on a request is silent.

use bv_types::Millis;

/// Time after a search for another server without success until the next one.
const SEARCH_INTERVAL: Millis = Millis(200);

/// Longest time for which a silent server keeps a request that was sent to another one and neither
/// accepted nor refused there. Two servers must not work on a request for longer than 400 ms, and a
/// host whose processor time is limited may act 100 ms late.
pub const OVERLAP: Millis = Millis(200);

/// What to do about a silent server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilenceStep {
    /// Wait this long for the server.
    Wait(Millis),
    /// Look for another server while the request stays at this one.
    Search,
    /// The time of the request is over.
    DeadlinePassed,
}

/// The silence of a server that works on a request.
///
/// A sound server may pause for a second or more, so silence is no reason to end a request: it only
/// starts the search for another server, and the silent one is left when another one has accepted
/// the request, or after [`OVERLAP`].
#[derive(Debug, Clone)]
pub struct Silence {
    began: Millis,
    search_at: Millis,
    deadline: Millis,
}

impl Silence {
    /// A silence that begins now. Another server is sought after `patience`.
    pub fn new(now: Millis, patience: Millis, deadline: Millis) -> Self {
        Silence {
            began: now,
            search_at: now + patience,
            deadline,
        }
    }

    /// How long the server has been silent.
    pub fn length(&self, now: Millis) -> Millis {
        now - self.began
    }

    /// The next step. `may_move` tells whether the request may run at another server.
    pub fn step(&self, now: Millis, may_move: bool) -> SilenceStep {
        if now >= self.deadline {
            return SilenceStep::DeadlinePassed;
        }
        match may_move {
            true if now >= self.search_at => SilenceStep::Search,
            true => SilenceStep::Wait(self.search_at.min(self.deadline) - now),
            false => SilenceStep::Wait(self.deadline - now),
        }
    }

    /// Records that no other server was found.
    pub fn search_failed(&mut self, now: Millis) {
        self.search_at = now + SEARCH_INTERVAL;
    }
}
