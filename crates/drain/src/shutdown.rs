//! Phases of a graceful shutdown.

use bv_types::Millis;

/// Time limit for announcing the departure to the other entry hosts.
const ANNOUNCE_TIMEOUT: Millis = Millis::from_secs(2);

/// Time limits of the phases of a shutdown.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Time during which connections are still accepted.
    pub lame_duck: Millis,
    /// Time for requests in progress to finish after the listener is closed.
    pub drain: Millis,
    /// Time to write the remaining entries of the ledger.
    pub flush: Millis,
}

/// Input of [`Shutdown`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The process was requested to stop.
    Stop,
    /// The listener is closed and all requests have finished.
    Drained,
    /// The departure is announced to other entry hosts.
    Left,
    /// The ledger is written.
    Flushed,
    /// Time has passed.
    Tick,
}

/// Output of [`Shutdown`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Fail the readiness check.
    NotReady,
    /// Accept no more connections, and close each one when its requests have finished.
    CloseListener,
    /// Announce the departure.
    Leave,
    /// Write the remaining entries of the ledger.
    Flush,
    /// End the process.
    Exit {
        /// Whether all requests finished within the limit.
        drained: bool,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Serving,
    LameDuck { deadline: Millis },
    Draining { deadline: Millis },
    Leaving { deadline: Millis, drained: bool },
    Flushing { deadline: Millis, drained: bool },
    Ended,
}

/// State machine of a graceful shutdown. It passes through these phases once each: not ready,
/// listener closed, requests finished, departure announced, ledger written, process ended.
///
/// ```
/// use bv_drain::{Action, Event, Limits, Shutdown};
/// use bv_types::Millis;
///
/// let limits = Limits { lame_duck: Millis(5_000), drain: Millis(600_000), flush: Millis(5_000) };
/// let mut shutdown = Shutdown::new(limits);
/// assert_eq!(shutdown.handle(Millis(0), Event::Stop), [Action::NotReady]);
/// assert_eq!(shutdown.wake_at(), Some(Millis(5_000)));
/// assert_eq!(shutdown.handle(Millis(5_000), Event::Tick), [Action::CloseListener]);
/// assert_eq!(shutdown.handle(Millis(9_000), Event::Drained), [Action::Leave]);
/// ```
#[derive(Debug)]
pub struct Shutdown {
    limits: Limits,
    phase: Phase,
}

impl Shutdown {
    /// Creates the state machine of a host that serves requests.
    pub fn new(limits: Limits) -> Self {
        Shutdown {
            limits,
            phase: Phase::Serving,
        }
    }

    /// Time of the next [`Event::Tick`] that is needed, if any.
    pub fn wake_at(&self) -> Option<Millis> {
        match self.phase {
            Phase::Serving | Phase::Ended => None,
            Phase::LameDuck { deadline }
            | Phase::Draining { deadline }
            | Phase::Leaving { deadline, .. }
            | Phase::Flushing { deadline, .. } => Some(deadline),
        }
    }

    /// Handles one event; events that do not belong to the current phase are ignored.
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Action> {
        let is_overdue = self.wake_at().is_some_and(|deadline| now >= deadline);
        let (phase, action) = match (self.phase, event) {
            (Phase::Serving, Event::Stop) => {
                let deadline = now + self.limits.lame_duck;
                (Phase::LameDuck { deadline }, Action::NotReady)
            }
            (Phase::LameDuck { .. }, _) if is_overdue => {
                let deadline = now + self.limits.drain;
                (Phase::Draining { deadline }, Action::CloseListener)
            }
            (Phase::Draining { .. }, Event::Drained) => start_leaving(now, true),
            (Phase::Draining { .. }, _) if is_overdue => start_leaving(now, false),
            (Phase::Leaving { drained, .. }, Event::Left) => self.start_flushing(now, drained),
            (Phase::Leaving { drained, .. }, _) if is_overdue => self.start_flushing(now, drained),
            (Phase::Flushing { drained, .. }, Event::Flushed) => finish(drained),
            (Phase::Flushing { drained, .. }, _) if is_overdue => finish(drained),
            _ => return Vec::new(),
        };
        self.phase = phase;
        vec![action]
    }

    fn start_flushing(&self, now: Millis, drained: bool) -> (Phase, Action) {
        let deadline = now + self.limits.flush;
        (Phase::Flushing { deadline, drained }, Action::Flush)
    }
}

fn start_leaving(now: Millis, drained: bool) -> (Phase, Action) {
    let deadline = now + ANNOUNCE_TIMEOUT;
    (Phase::Leaving { deadline, drained }, Action::Leave)
}

fn finish(drained: bool) -> (Phase, Action) {
    (Phase::Ended, Action::Exit { drained })
}
