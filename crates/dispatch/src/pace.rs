//! Limit of the calls in progress at one server, over all hosts together.
//!
//! The load: servers that start slow, flap, are released in turn or return with their whole zone. The
//! limit of a server that is new or has failed starts low. It rises while the server answers as quickly as
//! its peers, and falls before the server sheds load.

use bv_types::Millis;

/// Limit of a server that has just started or recovered. With 1, one slow answer would hold it up.
const START_LIMIT: f64 = 2.0;
/// Largest limit in slots. What is beyond the slots covers the time between the end of a call and the
/// arrival of the next one: two zones are 5.4 ms apart and work takes 30 ms. With 1.5, slots stay empty
/// on heavy days; with 3, urgent calls wait at the servers behind others.
const MAX_LIMIT_SLOTS: f64 = 2.0;
/// Increase of the limit for each quick answer below the slots: it doubles in about two response times.
const QUICK_STEP: f64 = 0.5;
/// Response time, as a multiple of that of the peers, up to which answers count as quick. The smoothed
/// time of a server with noise stays within it.
const QUICK_RATIO: f64 = 1.4;
/// Response time from which the limit falls. Shared machines have noise of up to 2.5 times.
const SLOW_RATIO: f64 = 2.5;
/// Factor of the limit for each answer beyond that time.
const SLOW_FACTOR: f64 = 0.97;
/// Factor of the limit after a rejection.
const REJECTED_FACTOR: f64 = 0.7;
/// Factor of the limit after a failure.
const FAILED_FACTOR: f64 = 0.5;
/// Shortest time between two decreases: sends that were under way at the first one say nothing more.
const DECREASE_INTERVAL: Millis = Millis(100);
/// Pause after a failure, or after a rejection by a server with free slots; doubles each time in a row.
const PAUSE: Millis = Millis(200);
/// Longest pause.
const MAX_PAUSE: Millis = Millis(1_600);
/// Weight of the newest response time.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Adaptive limit of the calls in progress at one server.
#[derive(Debug, Clone)]
pub struct Pace {
    slots: f64,
    limit: f64,
    /// Smoothed response time without waits at the server, in ms; 0 before the first answer.
    response_ms: f64,
    decreased_at: Option<Millis>,
    paused_until: Millis,
    pauses: u32,
}

impl Pace {
    /// A server that has just started.
    pub fn starting(slots: u32) -> Self {
        Pace {
            limit: START_LIMIT.min(f64::from(slots.max(1))),
            ..Pace::running(slots)
        }
    }

    /// A server that ran before the dispatcher began.
    pub fn running(slots: u32) -> Self {
        let slots = f64::from(slots.max(1));
        Pace {
            slots,
            limit: slots,
            response_ms: 0.0,
            decreased_at: None,
            paused_until: Millis::ZERO,
            pauses: 0,
        }
    }

    /// Sets the number of slots.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = f64::from(slots.max(1));
        self.limit = self.limit.min(self.most());
    }

    /// Largest number of calls in progress now.
    pub fn limit(&self, now: Millis) -> u32 {
        match now < self.paused_until {
            true => 0,
            false => self.limit as u32,
        }
    }

    /// Calls that the server runs at once, also while it is paused: pauses are shorter than most deadlines.
    pub fn running_slots(&self) -> f64 {
        self.limit.min(self.slots)
    }

    /// Smoothed response time without waits at the server, in ms; none before the first answer.
    pub fn response_ms(&self) -> Option<f64> {
        (self.response_ms > 0.0).then_some(self.response_ms)
    }

    /// Whether the limit has reached the slots, so that its response time is a measure for others.
    pub fn is_settled(&self) -> bool {
        self.limit >= self.slots
    }

    /// Records an answer. `at_once` is the number of calls in progress when it was sent, and `peers_ms` the
    /// usual response time of the other servers, if there is one.
    pub fn answered(&mut self, took: Millis, at_once: u32, peers_ms: Option<f64>) {
        let waits = (f64::from(at_once) / self.slots).max(1.0);
        let sample = (took.0 as f64).max(1.0) / waits;
        self.response_ms = match self.response_ms > 0.0 {
            true => self.response_ms + (sample - self.response_ms) * SAMPLE_WEIGHT,
            false => sample,
        };
        self.pauses = 0;
        let ratio = self.response_ms / peers_ms.unwrap_or(self.response_ms);
        if ratio > SLOW_RATIO {
            self.limit = (self.limit * SLOW_FACTOR).max(1.0);
            return;
        }
        let is_quick = ratio <= QUICK_RATIO;
        let (step, most) = match (is_quick, self.limit < self.slots) {
            (true, true) => (QUICK_STEP, self.slots),
            (true, false) => (1.0 / self.limit, self.most()),
            (false, _) => (1.0 / self.limit, self.slots.max(self.limit)),
        };
        self.limit = (self.limit + step).min(most);
    }

    /// Records that the server rejected a call, with this many calls in progress.
    pub fn rejected(&mut self, now: Millis, at_once: u32) {
        if !self.decrease(now, REJECTED_FACTOR) {
            return;
        }
        // A server that rejects calls while it has free slots does not serve at all.
        if f64::from(at_once) <= self.slots {
            self.pause(now);
        }
    }

    /// Records that the server did not answer a call.
    pub fn failed(&mut self, now: Millis) {
        if self.decrease(now, FAILED_FACTOR) {
            self.limit = self.limit.min(START_LIMIT);
            self.pause(now);
        }
    }

    fn pause(&mut self, now: Millis) {
        let pause = Millis(PAUSE.0 << self.pauses.min(8)).min(MAX_PAUSE);
        self.pauses = self.pauses.saturating_add(1);
        self.paused_until = now + pause;
    }

    fn decrease(&mut self, now: Millis, factor: f64) -> bool {
        if self
            .decreased_at
            .is_some_and(|at| now < at + DECREASE_INTERVAL)
        {
            return false;
        }
        self.decreased_at = Some(now);
        self.limit = (self.limit * factor).max(1.0);
        true
    }

    fn most(&self) -> f64 {
        (self.slots * MAX_LIMIT_SLOTS).ceil()
    }
}
