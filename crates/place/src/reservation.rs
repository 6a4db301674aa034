//! Reservations of granted attempts.

use bv_types::{AttemptId, Millis};

use crate::Request;

/// Progress of a granted attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The prompt is being computed.
    Prefill,
    /// The prefill has ended and decode waits for a batch slot.
    Ready,
    /// Decode has been allowed to start.
    Decode,
}

/// Reservation of a granted attempt, stored with its decode runner.
#[derive(Debug, Clone)]
pub(crate) struct Reservation {
    pub request: Request,
    /// Index of the prefill runner.
    pub prefill: usize,
    pub pieces: u32,
    /// Largest batch that keeps the time between tokens within this request's target.
    pub max_batch: u32,
    pub phase: Phase,
    /// Whether a slot and memory are reserved now. Otherwise those of a running attempt are
    /// promised, and are reserved when that attempt ends.
    pub owns_slot: bool,
    pub granted_at: Millis,
    pub prefill_end: Millis,
    pub first_token: Millis,
    pub decode_start: Millis,
    /// Predicted end of decode at the time of the grant.
    pub predicted_end: Millis,
    /// Token counter of the decode runner at the start of decode and at its expected end.
    pub token_counter_range: (f64, f64),
    pub expires: Millis,
}

impl Reservation {
    pub fn attempt(&self) -> &AttemptId {
        &self.request.attempt
    }

    pub fn start_decode(&mut self, now: Millis, counter: f64, tokens: f64, expires: Millis) {
        self.phase = Phase::Decode;
        self.decode_start = now;
        self.token_counter_range = (counter, counter + tokens);
        self.expires = expires;
    }
}

/// Index of the decode runner of each reservation, sorted by attempt.
#[derive(Debug, Default)]
pub(crate) struct ReservationIndex(Vec<(AttemptId, usize)>);

impl ReservationIndex {
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
        self.0.binary_search_by(|(entry, _)| entry.cmp(attempt))
    }
}
