//! Sends of one request that count towards the retry budget.

/// A send of a request to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendKind {
    /// The prompt is prefilled for a decode at another engine.
    Prefill,
    /// The request runs: a plain call, or a decode.
    Run,
}

/// What is known of a send that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// Nothing reached the server.
    NotSent,
    /// The server accepted the send.
    Accepted,
    /// The server refused the send, or its answer is unknown.
    Refused,
}

/// What happens to retries that were taken from the budget.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[must_use]
pub struct Settlement {
    /// Retries whose sends have arrived.
    pub arrived: u32,
    /// Retries that are given back.
    pub returned: u32,
}

/// Sends of one request.
///
/// A send that arrives at a server is a retry unless it is the first of its request; it makes no
/// difference whether the server accepts it. The first prefill that an engine accepts does not
/// count. Each retry is taken from the budget before the send.
#[derive(Debug, Default)]
pub struct RequestSends {
    /// Sends that arrived, without the first accepted prefill.
    arrivals: u32,
    has_free_prefill: bool,
    /// Retries taken from the budget for sends that were not made yet.
    held: u32,
    /// Whether the send in flight used a retry.
    in_flight: Option<bool>,
}

impl RequestSends {
    /// Number of retries to take from the budget before a prompt is prefilled and decoded. Both are
    /// taken before the prefill, because a prompt whose decode has no retry left is prefilled in
    /// vain.
    pub fn missing_for_split(&self) -> u32 {
        // A refused prefill uses the retry that the decode would use after an accepted first one.
        let sends = if self.has_free_prefill { 2 } else { 1 };
        self.missing(sends)
    }

    /// Number of retries to take from the budget before a run.
    pub fn missing_for_run(&self) -> u32 {
        self.missing(1)
    }

    fn missing(&self, sends: u32) -> u32 {
        let first = u32::from(self.arrivals == 0);
        (sends - first).saturating_sub(self.held)
    }

    /// Records retries that were taken from the budget for the next sends.
    pub fn hold(&mut self, retries: u32) {
        self.held += retries;
    }

    /// Records the start of a send.
    pub fn begin(&mut self) {
        let is_retry = self.arrivals > 0;
        debug_assert!(!is_retry || self.held > 0, "the retry was not taken");
        self.held = self.held.saturating_sub(u32::from(is_retry));
        self.in_flight = Some(is_retry);
    }

    /// Records the end of the send in flight.
    pub fn end(&mut self, kind: SendKind, delivery: Delivery) -> Settlement {
        let Some(is_retry) = self.in_flight.take() else {
            return Settlement::default();
        };
        let is_accepted_prefill = kind == SendKind::Prefill && delivery == Delivery::Accepted;
        let is_free_prefill = is_accepted_prefill && !self.has_free_prefill;
        self.has_free_prefill |= is_free_prefill;
        if is_free_prefill || delivery == Delivery::NotSent {
            // The retry is used by the next send.
            self.held += u32::from(is_retry);
            return Settlement::default();
        }
        self.arrivals += 1;
        Settlement {
            arrived: u32::from(is_retry),
            returned: 0,
        }
    }

    /// Gives back the retries that were not used.
    pub fn release(&mut self) -> Settlement {
        Settlement {
            arrived: 0,
            returned: std::mem::take(&mut self.held),
        }
    }

    /// Ends the request at any point. A send in flight counts as arrived.
    pub fn abandon(&mut self) -> Settlement {
        let in_flight = self.in_flight.take();
        Settlement {
            arrived: u32::from(in_flight == Some(true)),
            returned: std::mem::take(&mut self.held),
        }
    }

    /// Whether the next run repeats a send that reached a server.
    pub fn is_repeat(&self) -> bool {
        self.arrivals > 0
    }
}
