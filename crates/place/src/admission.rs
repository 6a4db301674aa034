//! Admission check: refuses a new request that is predicted to miss its deadlines.

use bv_types::{Millis, Refusal};

use crate::predict::ceil_millis;
use crate::shard::Shard;
use crate::{Class, Request, Role};

/// Limit of queued requests per class, which bounds the memory of a shard.
const MAX_QUEUED_PER_CLASS: usize = 1_000;
/// Factor on the predicted queue time of waiting work, because urgent work that arrives later is
/// started before it.
const WAITING_CLASS_MARGIN: f64 = 1.2;

impl Shard {
    /// Refuses a request that cannot meet its deadlines, before any work is done for it.
    pub(crate) fn check_admission(&self, now: Millis, request: &Request) -> Result<(), Refusal> {
        let pool = &self.spec.pool;
        if request.pieces() > pool.pieces {
            return Err(Refusal::TooLarge);
        }
        if self.usable(Role::Prefill).next().is_none() || self.usable(Role::Decode).next().is_none()
        {
            return Err(Refusal::NoBackend);
        }
        if pool.max_batch(request.token_gap) == 0 {
            return Err(Refusal::DeadlineTooShort);
        }
        let service = pool.service_time(request);
        let decode = pool.decode_time(request.max_output, 1);
        if now + service > request.first_token_by {
            return Err(Refusal::FirstTokenTooLate);
        }
        if now + service + decode > request.deadline {
            return Err(Refusal::DeadlineTooShort);
        }
        if self.queue(request.class).len() >= MAX_QUEUED_PER_CLASS {
            return Err(Refusal::QueueFull);
        }
        let first_token = now + self.queue_wait(now, request) + service;
        if first_token > request.first_token_by {
            return Err(Refusal::FirstTokenTooLate);
        }
        match first_token + decode > request.deadline {
            true => Err(Refusal::QueueFull),
            false => Ok(()),
        }
    }

    /// Latest time at which a start on idle runners still meets both deadlines.
    pub(crate) fn latest_start(&self, request: &Request) -> Millis {
        let pool = &self.spec.pool;
        let decode = pool.decode_time(request.max_output, 1);
        let first_by = request.first_token_by.min(request.deadline - decode);
        first_by - pool.service_time(request)
    }

    /// Predicted time that a new request spends in the admission queue.
    fn queue_wait(&self, now: Millis, request: &Request) -> Millis {
        let tag = self.queue(request.class).next_start_tag(&request.team);
        let mut ahead = 0;
        let mut prompt_ms = 0.0;
        let mut count = |prompt| {
            ahead += 1;
            prompt_ms += self.spec.pool.prefill_ms(prompt);
        };
        for entry in self.urgent.iter() {
            if request.class == Class::Waiting || entry.start_tag <= tag {
                count(entry.request.prompt);
            }
        }
        if request.class == Class::Waiting {
            let earlier = self.waiting.iter().filter(|e| e.start_tag <= tag);
            earlier.for_each(|entry| count(entry.request.prompt));
        }
        let prefill = self.prefill_wait(now, prompt_ms);
        let decode = self.decode_wait(now, request, ahead);
        let wait = prefill.max(decode);
        match request.class {
            Class::Urgent => wait,
            Class::Waiting => ceil_millis(wait.0 as f64 * WAITING_CLASS_MARGIN),
        }
    }

    fn prefill_wait(&self, now: Millis, queued_ms: f64) -> Millis {
        let mut runners = 0.0;
        let mut shortest = f64::INFINITY;
        for (_, runner) in self.usable(Role::Prefill) {
            runners += 1.0;
            shortest = shortest.min(runner.prefill_wait_ms(now, &self.spec.pool));
        }
        ceil_millis((shortest + queued_ms / runners).max(0.0))
    }

    /// Predicted time until a decode slot is free for a request with `ahead` requests before it.
    fn decode_wait(&self, now: Millis, request: &Request, ahead: usize) -> Millis {
        let pool = &self.spec.pool;
        let limit = self.spec.waiting_limit();
        let mut free = 0;
        for (_, runner) in self.usable(Role::Decode) {
            let usage = runner.usage();
            let slots = pool
                .slots
                .saturating_sub(usage.slots + usage.promised_slots);
            free += match request.class {
                Class::Urgent => slots,
                Class::Waiting => slots.min(limit.saturating_sub(usage.waiting_slots)),
            } as usize;
        }
        if ahead < free {
            return Millis::ZERO;
        }
        let position = ahead - free;
        let urgent = request.class == Class::Urgent;
        let mut ends: Vec<Millis> = self
            .usable(Role::Decode)
            .flat_map(|(_, runner)| runner.predicted_ends(now, pool))
            .filter(|(_, reservation)| urgent || reservation.request.class == Class::Waiting)
            .map(|(end, _)| end - now)
            .collect();
        ends.sort_unstable();
        let Some(last) = ends.last() else {
            return Millis::ZERO;
        };
        // After the last predicted end, slots are assumed to become free at the same rate again.
        let rounds = (position / ends.len()) as u64;
        Millis(last.0 * rounds) + ends[position % ends.len()]
    }
}
