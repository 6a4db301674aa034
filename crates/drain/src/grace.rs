//! The time from the signal to stop to the end of the process.

use bv_types::Millis;

/// Time after the signal during which all requests are accepted. By then the load balancer has
/// noticed that the host is not ready, and callers have been told to close their connections.
const ACCEPT_TIME: Millis = Millis(2_900);
/// Time after the signal until idle connections are closed.
const IDLE_CLOSE_DELAY: Millis = Millis(3_200);
/// Time before the end of the grace period at which the process exits in any case.
const EXIT_MARGIN: Millis = Millis(300);
/// Time before the exit at which the calls that are left are answered.
const ANSWER_MARGIN: Millis = Millis(200);
/// Time before the exit from which on no connection is accepted.
const LAST_ACCEPT_MARGIN: Millis = Millis(1_500);

/// Phase of the grace period.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum GracePhase {
    /// Connections stay open.
    Serving,
    /// Open connections close as soon as they are idle; new ones serve one request.
    CloseIdle,
    /// No connection is accepted; the remaining ones close as soon as they are idle.
    StopAccepting,
    /// Calls that are left are answered without their servers' answers.
    AnswerAll,
    /// The process exits.
    Exit,
}

/// A request that arrives in the grace period.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LateRequest {
    /// A call that is answered within this time.
    Call(Millis),
    /// A stream, whose length is not known.
    Stream,
}

/// The grace period of a process.
///
/// ```
/// use bv_drain::{GracePeriod, LateRequest};
/// use bv_types::Millis;
///
/// let grace = GracePeriod::new(Millis(1_000), Millis::from_secs(8));
/// let call = LateRequest::Call(Millis(600));
/// assert!(grace.may_accept(Millis(6_000), call));
/// assert!(!grace.may_accept(Millis(8_000), call));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GracePeriod {
    began: Millis,
    length: Millis,
}

impl GracePeriod {
    /// A grace period that begins with the signal to stop.
    pub fn new(began: Millis, length: Millis) -> Self {
        GracePeriod { began, length }
    }

    /// When the signal was received.
    pub fn began(&self) -> Millis {
        self.began
    }

    /// The phase at `now`.
    pub fn phase(&self, now: Millis) -> GracePhase {
        let exit_at = self.exit_at();
        let close_idle_at = self.began + IDLE_CLOSE_DELAY;
        match now {
            now if now >= exit_at => GracePhase::Exit,
            now if now >= self.answer_at() => GracePhase::AnswerAll,
            now if now >= close_idle_at && now + LAST_ACCEPT_MARGIN >= exit_at => {
                GracePhase::StopAccepting
            }
            now if now >= close_idle_at => GracePhase::CloseIdle,
            _ => GracePhase::Serving,
        }
    }

    /// Whether a request that arrives at `now` can be answered before the process ends. Another host
    /// can serve one that is refused.
    pub fn may_accept(&self, now: Millis, request: LateRequest) -> bool {
        let accept_time = ACCEPT_TIME.min(Millis(self.length.0 / 2));
        if now < self.began + accept_time {
            return true;
        }
        match request {
            LateRequest::Call(time_limit) => now + time_limit <= self.answer_at(),
            LateRequest::Stream => false,
        }
    }

    fn answer_at(&self) -> Millis {
        self.exit_at() - ANSWER_MARGIN
    }

    fn exit_at(&self) -> Millis {
        self.began + (self.length - EXIT_MARGIN)
    }
}
