//! Phases of a graceful shutdown.

use bv_types::Millis;

/// Time for the announcement of the departure.
const LEAVE_LIMIT: Millis = Millis::from_secs(2);

/// Times of a shutdown.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Time during which connections are still accepted.
    pub lame_duck: Millis,
    /// Time for requests in progress once the listener is closed.
    pub drain: Millis,
    /// Time to write what the ledger still holds.
    pub flush: Millis,
}

/// Input of [`Shutdown`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The process is asked to stop.
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
    /// Write what the ledger holds.
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
    LameDuck { until: Millis },
    Draining { until: Millis },
    Leaving { until: Millis, drained: bool },
    Flushing { until: Millis, drained: bool },
    Ended,
}

/// The phases, each entered once: not ready, listener closed, requests finished, departure
/// announced, ledger written, end.
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
    /// A host that serves.
    pub fn new(limits: Limits) -> Self {
        Shutdown {
            limits,
            phase: Phase::Serving,
        }
    }

    /// When a [`Event::Tick`] is needed, if at all.
    pub fn wake_at(&self) -> Option<Millis> {
        match self.phase {
            Phase::Serving | Phase::Ended => None,
            Phase::LameDuck { until }
            | Phase::Draining { until }
            | Phase::Leaving { until, .. }
            | Phase::Flushing { until, .. } => Some(until),
        }
    }

    /// Takes one event; events that do not belong to the current phase change nothing.
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Action> {
        let overdue = self.wake_at().is_some_and(|until| now >= until);
        let (phase, action) = match (self.phase, event) {
            (Phase::Serving, Event::Stop) => {
                let until = now + self.limits.lame_duck;
                (Phase::LameDuck { until }, Action::NotReady)
            }
            (Phase::LameDuck { .. }, _) if overdue => {
                let until = now + self.limits.drain;
                (Phase::Draining { until }, Action::CloseListener)
            }
            (Phase::Draining { .. }, Event::Drained) => leaving(now, true),
            (Phase::Draining { .. }, _) if overdue => leaving(now, false),
            (Phase::Leaving { drained, .. }, Event::Left) => self.flushing(now, drained),
            (Phase::Leaving { drained, .. }, _) if overdue => self.flushing(now, drained),
            (Phase::Flushing { drained, .. }, Event::Flushed) => ended(drained),
            (Phase::Flushing { drained, .. }, _) if overdue => ended(drained),
            _ => return Vec::new(),
        };
        self.phase = phase;
        vec![action]
    }

    fn flushing(&self, now: Millis, drained: bool) -> (Phase, Action) {
        let until = now + self.limits.flush;
        (Phase::Flushing { until, drained }, Action::Flush)
    }
}

fn leaving(now: Millis, drained: bool) -> (Phase, Action) {
    let until = now + LEAVE_LIMIT;
    (Phase::Leaving { until, drained }, Action::Leave)
}

fn ended(drained: bool) -> (Phase, Action) {
    (Phase::Ended, Action::Exit { drained })
}
