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

/// Sends of one request, several of which may be in flight.
///
/// A send that arrives at a server is a retry unless it is the first of its request; it makes no
/// difference whether the server accepts it. The first prefill that an engine accepts does not
/// count. Each retry is taken from the budget before the send, as if the sends in flight were
/// refused.
#[derive(Debug, Default)]
pub struct RequestSends {
    /// Sends that arrived, without the first accepted prefill.
    arrivals: u32,
    has_free_prefill: bool,
    in_flight: u32,
    /// Retries taken from the budget and not given back.
    taken: u32,
    /// Retries among them whose sends have arrived.
    settled: u32,
    /// Whether the next sends are paid twice, to return to a server that was left.
    keeps_return: bool,
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
        let sends = sends * if self.keeps_return { 2 } else { 1 };
        retries_among(self.most_arrivals() + sends).saturating_sub(self.taken)
    }

    /// Largest possible number of arrivals, if all sends in flight count.
    fn most_arrivals(&self) -> u32 {
        self.arrivals + self.in_flight
    }

    /// Sets whether the next sends have to be paid twice, because the request may return to a server
    /// that was left; meanwhile, [`RequestSends::release`] gives nothing back.
    pub fn keep_return(&mut self, keeps: bool) {
        self.keeps_return = keeps;
    }

    /// Whether the next sends have to be paid twice.
    pub fn keeps_return(&self) -> bool {
        self.keeps_return
    }

    /// Records retries that were taken from the budget for the next sends.
    pub fn hold(&mut self, retries: u32) {
        self.taken += retries;
    }

    /// Records the start of a send.
    pub fn begin(&mut self) {
        self.in_flight += 1;
        debug_assert!(
            retries_among(self.most_arrivals()) <= self.taken,
            "the retry was not taken"
        );
    }

    /// Records the end of a send in flight.
    pub fn end(&mut self, kind: SendKind, delivery: Delivery) -> Settlement {
        self.in_flight = self.in_flight.saturating_sub(1);
        let is_accepted_prefill = kind == SendKind::Prefill && delivery == Delivery::Accepted;
        let is_free_prefill = is_accepted_prefill && !self.has_free_prefill;
        self.has_free_prefill |= is_free_prefill;
        if !is_free_prefill && delivery != Delivery::NotSent {
            self.arrivals += 1;
        }
        self.settle()
    }

    /// Gives back the retries that neither arrived sends nor those in flight need, unless they are
    /// kept for a return.
    pub fn release(&mut self) -> Settlement {
        if self.keeps_return {
            return Settlement::default();
        }
        let needed = retries_among(self.most_arrivals());
        let returned = self.taken.saturating_sub(needed);
        self.taken -= returned;
        Settlement {
            arrived: 0,
            returned,
        }
    }

    /// Ends the request at any point. Sends in flight count as arrived.
    pub fn abandon(&mut self) -> Settlement {
        self.arrivals += std::mem::take(&mut self.in_flight);
        self.keeps_return = false;
        let Settlement { returned, .. } = self.release();
        let Settlement { arrived, .. } = self.settle();
        Settlement { arrived, returned }
    }

    /// Whether the next run repeats a send that reached a server.
    pub fn is_repeat(&self) -> bool {
        self.arrivals > 0
    }

    /// Whether a send is in flight.
    pub fn is_in_flight(&self) -> bool {
        self.in_flight > 0
    }

    /// Settles the retries of the sends that have arrived since the last call.
    fn settle(&mut self) -> Settlement {
        let arrived = retries_among(self.arrivals).min(self.taken) - self.settled;
        self.settled += arrived;
        Settlement {
            arrived,
            returned: 0,
        }
    }
}

/// Number of retries among this many arrivals of one request.
fn retries_among(arrivals: u32) -> u32 {
    arrivals.saturating_sub(1)
}
