//! When the host of a call asks the dispatcher, and when it places the call by itself.

use bv_types::Millis;

/// Time without a reply after which an ask is repeated, since datagrams can be lost.
const REPEAT_INTERVAL: Millis = Millis(30);
/// Time without a reply after which the host places the call by itself.
pub const REPLY_TIMEOUT: Millis = Millis(60);
/// Shortest time between a reply and the next ask for a call that waits. The next ask is sent at a multiple
/// of this time, at most 100 ms later, so that the asks of a host share datagrams.
pub const RENEW_INTERVAL: Millis = Millis(50);
/// Time for which a host asks no dispatcher that did not reply.
pub const SILENCE: Millis = Millis(1_000);

/// What the host does next for a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AskStep {
    /// Asks the dispatcher.
    Send,
    /// Waits for a reply until this time.
    Wait(Millis),
    /// Places the call by itself.
    PlaceAlone,
}

/// The asks for one call.
#[derive(Debug, Clone, Copy, Default)]
pub struct Asking {
    /// Time of the first ask that has no reply yet.
    unanswered: Option<Millis>,
    sent_at: Millis,
    replied_at: Option<Millis>,
}

impl Asking {
    /// The next step; [`AskStep::Send`] counts as done.
    pub fn step(&mut self, now: Millis) -> AskStep {
        let Some(unanswered) = self.unanswered else {
            let due = self.replied_at.map_or(now, renewal_after);
            if now < due {
                return AskStep::Wait(due);
            }
            self.unanswered = Some(now);
            self.sent_at = now;
            return AskStep::Send;
        };
        if now >= unanswered + REPLY_TIMEOUT {
            return AskStep::PlaceAlone;
        }
        let repeat = self.sent_at + REPEAT_INTERVAL;
        if now < repeat {
            return AskStep::Wait(repeat.min(unanswered + REPLY_TIMEOUT));
        }
        self.sent_at = now;
        AskStep::Send
    }

    /// Records that the call is queued.
    pub fn queued(&mut self, now: Millis) {
        self.unanswered = None;
        self.replied_at = Some(now);
    }
}

/// When an ask that was replied to is renewed.
fn renewal_after(replied_at: Millis) -> Millis {
    let earliest = replied_at + RENEW_INTERVAL;
    Millis(earliest.0.next_multiple_of(RENEW_INTERVAL.0))
}

/// Whether a dispatcher replies to this host.
#[derive(Debug, Clone, Copy, Default)]
pub struct Reach {
    silent_until: Millis,
}

impl Reach {
    /// Whether the dispatcher is asked.
    pub fn may_ask(self, now: Millis) -> bool {
        now >= self.silent_until
    }

    /// Records that the dispatcher did not reply in time.
    pub fn silent(&mut self, now: Millis) {
        self.silent_until = now + SILENCE;
    }
}
