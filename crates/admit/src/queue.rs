//! Queue of the model calls that wait for engine capacity at a host.

use bv_types::{Millis, Tokens};

/// Identifies a waiting call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ticket(u64);

/// A call that waits in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuedCall {
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// When the call arrived.
    pub arrived: Millis,
    /// Latest time at which it can be placed and still be answered on time.
    pub on_time_until: Millis,
    /// Tokens that it needs.
    pub tokens: Tokens,
}

/// Tokens that calls of one priority wait for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitingTokens {
    /// Priority of the calls; 0 is the most urgent.
    pub priority: u8,
    /// Their tokens.
    pub tokens: Tokens,
}

/// Waiting calls, in order of arrival.
///
/// During a burst not all calls can be on time. Calls with a more urgent priority go first. Within
/// a priority, calls that can still be on time go before those that are late already, so that a
/// burst does not make all later calls late; otherwise the order is that of arrival. The size of a
/// call does not count, so that no size is starved.
#[derive(Debug, Default)]
pub struct Queue {
    waiting: Vec<(Ticket, QueuedCall)>,
    next: u64,
}

impl Queue {
    /// Adds a call.
    pub fn push(&mut self, call: QueuedCall) -> Ticket {
        self.next += 1;
        let ticket = Ticket(self.next);
        let at = self
            .waiting
            .partition_point(|(_, other)| other.arrived <= call.arrived);
        self.waiting.insert(at, (ticket, call));
        ticket
    }

    /// Removes a call that was placed or is no longer waiting.
    pub fn remove(&mut self, ticket: Ticket) {
        self.waiting.retain(|(other, _)| *other != ticket);
    }

    /// Ticket of the call that is placed next.
    pub fn first_ticket(&self, now: Millis) -> Option<Ticket> {
        let best = self.waiting.iter().min_by_key(|(_, w)| rank(now, w));
        best.map(|(ticket, _)| *ticket)
    }

    /// The call that is placed next.
    pub fn first(&self, now: Millis) -> Option<QueuedCall> {
        let best = self.waiting.iter().min_by_key(|(_, w)| rank(now, w));
        best.map(|(_, call)| *call)
    }

    /// Tokens of the calls that are placed before this one.
    pub fn ahead(&self, now: Millis, ticket: Ticket) -> Tokens {
        let Some((_, own)) = self.waiting.iter().find(|(t, _)| *t == ticket) else {
            return Tokens(0);
        };
        let own = rank(now, own);
        let before = self
            .waiting
            .iter()
            .filter(|(t, w)| *t != ticket && rank(now, w) < own);
        before.map(|(_, w)| w.tokens).sum()
    }

    /// Tokens of the waiting calls of each priority, the most urgent first.
    pub fn tokens_by_priority(&self) -> Vec<WaitingTokens> {
        let mut sums: Vec<WaitingTokens> = Vec::new();
        for (_, call) in &self.waiting {
            match sums.binary_search_by_key(&call.priority, |sum| sum.priority) {
                Ok(at) => sums[at].tokens = sums[at].tokens + call.tokens,
                Err(at) => sums.insert(
                    at,
                    WaitingTokens {
                        priority: call.priority,
                        tokens: call.tokens,
                    },
                ),
            }
        }
        sums
    }

    /// Number of waiting calls.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

/// Sort key of a waiting call; the call with the lowest one is placed first.
pub(crate) fn rank(now: Millis, call: &QueuedCall) -> (u8, bool, Millis) {
    let is_late = now > call.on_time_until;
    (call.priority, is_late, call.arrived)
}
