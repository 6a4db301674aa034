//! What to do while a server that works on a request is silent.

use bv_types::Millis;

/// Time after a search for another server without success until the next one.
const SEARCH_INTERVAL: Millis = Millis(200);

/// Longest time for which a silent server keeps a request that was sent to another one and neither
/// accepted nor refused there. Two servers must not work on a request for longer than 400 ms, and a
/// host whose processor time is limited may act 100 ms late.
pub const OVERLAP: Millis = Millis(200);

/// Time after the first search during which a stream that has begun moves only with a retry for the
/// way back. With a patience of 1.2 s the server has then been silent for 3 s; a sound one pauses
/// for a shorter time.
pub const RETURN_PERIOD: Millis = Millis(1_800);

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
    /// Until when a move needs a way back; `None` if it never does.
    return_until: Option<Millis>,
}

impl Silence {
    /// A silence that begins now. Another server is sought after `patience`.
    pub fn new(now: Millis, patience: Millis, deadline: Millis) -> Self {
        Silence {
            began: now,
            search_at: now + patience,
            deadline,
            return_until: None,
        }
    }

    /// Makes moves need a way back for [`RETURN_PERIOD`] after the patience, but for no longer than
    /// half of the time that is left then: the rest is for a move without one.
    pub fn with_return(self) -> Self {
        let half = Millis((self.deadline - self.search_at).0 / 2);
        Silence {
            return_until: Some(self.search_at + half.min(RETURN_PERIOD)),
            ..self
        }
    }

    /// Whether a move that starts now needs a way back, since the silent server may be sound.
    pub fn needs_return(&self, now: Millis) -> bool {
        self.return_until.is_some_and(|until| now < until)
    }

    /// Whether moves need a way back at first.
    pub fn has_return(&self) -> bool {
        self.return_until.is_some()
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
