//! Open grants.

use bv_types::{AttemptId, Millis};

use crate::Request;

/// How far a granted attempt has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The prompt is being computed.
    Prefill,
    /// The prefill has ended and decode waits for a batch slot.
    Ready,
    /// Decode has been allowed to start.
    Decode,
}

/// An open grant; it belongs to its decode runner.
#[derive(Debug, Clone)]
pub(crate) struct Hold {
    pub request: Request,
    pub prefill: usize,
    pub pieces: u32,
    /// Largest batch that keeps this request's time between tokens.
    pub max_batch: u32,
    pub phase: Phase,
    /// Whether a slot and memory are reserved now; otherwise those of an ending attempt will be.
    pub owns_slot: bool,
    pub granted_at: Millis,
    pub prefill_end: Millis,
    pub first_token: Millis,
    /// Start of decode.
    pub since: Millis,
    /// Predicted end of decode at the time of the grant.
    pub end: Millis,
    /// Token counter of the runner at the start of decode, and at its end.
    pub tokens: (f64, f64),
    pub expires: Millis,
}

impl Hold {
    pub fn attempt(&self) -> &AttemptId {
        &self.request.attempt
    }

    pub fn start_decode(&mut self, now: Millis, counter: f64, tokens: f64, expires: Millis) {
        self.phase = Phase::Decode;
        self.since = now;
        self.tokens = (counter, counter + tokens);
        self.expires = expires;
    }
}

/// Decode runner of each open grant, sorted by attempt.
#[derive(Debug, Default)]
pub(crate) struct HoldIndex(Vec<(AttemptId, usize)>);

impl HoldIndex {
    pub fn decode_of(&self, attempt: &AttemptId) -> Option<usize> {
        let index = self.position(attempt).ok()?;
        Some(self.0[index].1)
    }

    pub fn insert(&mut self, attempt: AttemptId, decode: usize) {
        match self.position(&attempt) {
            Ok(index) => self.0[index].1 = decode,
            Err(index) => self.0.insert(index, (attempt, decode)),
        }
    }

    pub fn remove(&mut self, attempt: &AttemptId) {
        if let Ok(index) = self.position(attempt) {
            self.0.remove(index);
        }
    }

    pub fn clear(&mut self) {
        self.0.clear();
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    fn position(&self, attempt: &AttemptId) -> Result<usize, usize> {
        self.0.binary_search_by(|(held, _)| held.cmp(attempt))
    }
}
