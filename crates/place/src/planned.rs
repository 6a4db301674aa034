//! The `planned` policy: it chooses a pair of runners by predicted times.

use bv_types::{Millis, Tokens};

use crate::affinity::score;
use crate::predict::ceil_millis;
use crate::reservation::{Phase, Reservation};
use crate::runner::{Runner, Usage};
use crate::shard::Shard;
use crate::{Class, Request, Role};

/// Longest prefill queue to which a runner still gets work. Other work stays in the admission
/// queue, where urgent work can overtake it. The limit covers the round trip of `PrefillDone` and
/// the next grant, so that a runner does not become idle in between.
const MAX_PREFILL_QUEUE_MS: f64 = 100.0;
/// Longest time from the report of the end of prefill until the decode slot is free. It leaves
/// 100 ms of the shortest eviction time of 800 ms for the import.
const MAX_SLOT_WAIT_MS: f64 = 700.0;
/// Allowed error of the predicted end of an attempt.
const END_PREDICTION_ERROR: Millis = Millis(300);
/// Time after its predicted end for which an attempt is still expected to end soon.
const MAX_OVERDUE: Millis = Millis(200);
/// Share of a prompt that the preferred runner is expected to have in its prefix cache.
const CACHED_PROMPT_SHARE: f64 = 0.5;
/// Number of tokens for which the time between tokens counts as cost, so that smaller batches are
/// preferred.
const GAP_COST_TOKENS: f64 = 4.0;

/// Result of planning a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Choice {
    /// The request can start.
    Start(Plan),
    /// No pair of runners has free capacity.
    Busy,
    /// There is free capacity, but every pair is predicted to miss a deadline.
    TooLate,
}

/// A pair of runners, by index, and the predicted times.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Plan {
    pub prefill: usize,
    pub decode: usize,
    pub owns_slot: bool,
    /// When the entry host learns of the end of prefill.
    pub prefill_end: Millis,
    pub transfer_end: Millis,
    pub first_token: Millis,
    pub end: Millis,
    cost_ms: f64,
}

/// When a decode runner has capacity for one more request.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Capacity {
    Now,
    /// Milliseconds from now until an attempt ends and frees enough.
    Later(f64),
}

/// Use of a decode runner, the same for all requests that are planned at one moment.
#[derive(Debug)]
pub(crate) struct DecodeUse {
    index: usize,
    usage: Usage,
    /// What attempts that are expected to end free, by their predicted ends.
    ending: Vec<(Millis, Usage)>,
}

impl Shard {
    /// Use of the usable decode runners.
    pub(crate) fn decode_uses(&self, now: Millis) -> Vec<DecodeUse> {
        self.usable(Role::Decode)
            .map(|(index, runner)| DecodeUse {
                index,
                usage: runner.usage(),
                ending: self.ending(now, runner),
            })
            .collect()
    }

    /// Decoding attempts of a runner, by their predicted ends.
    fn ending(&self, now: Millis, runner: &Runner) -> Vec<(Millis, Usage)> {
        // The prediction for a long overdue attempt was wrong, so it may still run for a long time.
        let mut ending: Vec<_> = runner
            .predicted_ends(now, &self.spec.pool)
            .filter(|(end, reservation)| {
                reservation.phase == Phase::Decode
                    && reservation.owns_slot
                    && *end + MAX_OVERDUE > now
            })
            .map(|(end, reservation)| (end, freed_by(reservation)))
            .collect();
        ending.sort_by_key(|(end, _)| *end);
        ending
    }

    /// Chooses the pair of runners with the lowest predicted cost.
    pub(crate) fn plan(&self, now: Millis, request: &Request, uses: &[DecodeUse]) -> Choice {
        let preferred = self.preferred_prefill(request);
        let max_batch = self.spec.pool.max_batch(request.token_gap);
        let candidates = self.candidates(Role::Decode, request);
        let decodes: Vec<&DecodeUse> = uses
            .iter()
            .filter(|decode| candidates.contains(&decode.index))
            .filter(|decode| self.may_fit(request, &decode.usage, max_batch))
            .collect();
        let mut best: Option<Plan> = None;
        let mut too_late = false;
        for prefill in self.candidates(Role::Prefill, request) {
            let runner = &self.runners[prefill];
            let wait_ms = runner.prefill_wait_ms(now, &self.spec.pool);
            if wait_ms > MAX_PREFILL_QUEUE_MS {
                continue;
            }
            let prefill_ms = runner.prefill_ms(request.prompt, &self.spec.pool);
            let cached_ms = match preferred == Some(prefill) {
                true => prefill_ms * CACHED_PROMPT_SHARE,
                false => 0.0,
            };
            for decode in &decodes {
                let plan = self.plan_pair(now, request, prefill, decode, wait_ms + prefill_ms);
                let Some(plan) = plan else {
                    continue;
                };
                if plan.first_token > request.first_token_by || plan.end > request.deadline {
                    too_late = true;
                    continue;
                }
                let cost_ms = plan.cost_ms - cached_ms;
                if best.is_none_or(|b| cost_ms < b.cost_ms) {
                    best = Some(Plan { cost_ms, ..plan });
                }
            }
        }
        match best {
            Some(plan) => Choice::Start(plan),
            None if too_late => Choice::TooLate,
            None => Choice::Busy,
        }
    }

    /// Usable runners. Those on which the request has failed are left out if there are others.
    fn candidates(&self, role: Role, request: &Request) -> Vec<usize> {
        let all: Vec<usize> = self
            .usable(role)
            .map(|(index, _)| index)
            .filter(|index| !request.suspect || !self.has_suspect(*index))
            .collect();
        let failed = |index: &usize| request.avoid.contains(&self.runners[*index].spec.id);
        let others: Vec<usize> = all.iter().copied().filter(|i| !failed(i)).collect();
        match others.is_empty() {
            true => all,
            false => others,
        }
    }

    /// Whether a suspect request uses or will use a runner.
    fn has_suspect(&self, index: usize) -> bool {
        self.runners.iter().enumerate().any(|(decode, runner)| {
            let uses_runner = |reservation: &Reservation| match reservation.phase {
                Phase::Prefill => reservation.prefill == index || decode == index,
                Phase::Ready | Phase::Decode => decode == index,
            };
            runner
                .reservations
                .iter()
                .any(|reservation| reservation.request.suspect && uses_runner(reservation))
        })
    }

    /// Cheap check that rules out full runners before pairs are examined.
    fn may_fit(&self, request: &Request, usage: &Usage, max_batch: u32) -> bool {
        let waiting = request.class == Class::Waiting;
        let limit = self.spec.waiting_limit();
        let ending = usage.promised_slots < usage.slots;
        let free = usage.slots + usage.promised_slots < self.spec.pool.slots;
        (!waiting || usage.waiting_slots < limit || ending)
            && (free || ending)
            && usage.max_batch.min(max_batch) > 0
    }

    /// Predicts the times for one pair; `None` if the decode runner has no capacity in time.
    fn plan_pair(
        &self,
        now: Millis,
        request: &Request,
        prefill: usize,
        decode: &DecodeUse,
        prefill_ms: f64,
    ) -> Option<Plan> {
        let pool = &self.spec.pool;
        let prefill_runner = &self.runners[prefill];
        let decode_runner = &self.runners[decode.index];
        let to_prefill = self.hop_ms(&request.zone, &prefill_runner.spec.zone);
        let to_decode = self.hop_ms(&request.zone, &decode_runner.spec.zone);
        let between = self.hop_ms(&prefill_runner.spec.zone, &decode_runner.spec.zone);
        let computed = to_prefill + prefill_ms;
        // The entry host starts decode once the prefill runner has reported the end of prefill.
        let reported = computed + to_prefill;
        let capacity = self.capacity(now, request, decode, reported)?;
        let slot = match capacity {
            Capacity::Now => reported,
            Capacity::Later(ms) => reported.max(ms),
        };
        let link_free = (decode_runner.link_busy_until - now).0 as f64;
        let transfer = pool.transfer_ms(request.prompt) + between;
        let transferred = (slot + to_decode).max(link_free) + transfer;
        let batch = decode.usage.slots.min(pool.slots - 1) + 1;
        let gap = pool.gap_ms(batch);
        let first = transferred + gap + to_decode;
        let output = request.max_output.0.saturating_sub(1);
        let zone_crossings = [to_prefill, to_decode, between]
            .into_iter()
            .filter(|ms| *ms > 0.0);
        let zone_cost = zone_crossings.count() as f64 * self.spec.zone_price.0 as f64;
        Some(Plan {
            prefill,
            decode: decode.index,
            owns_slot: capacity == Capacity::Now,
            prefill_end: now + ceil_millis(reported),
            transfer_end: now + ceil_millis(transferred),
            first_token: now + ceil_millis(first),
            end: now + ceil_millis(first) + pool.decode_time(Tokens(output), batch),
            cost_ms: first + zone_cost + gap * GAP_COST_TOKENS,
        })
    }

    /// When a decode runner has a free slot and memory; `None` if too late after prefill.
    fn capacity(
        &self,
        now: Millis,
        request: &Request,
        decode: &DecodeUse,
        reported_ms: f64,
    ) -> Option<Capacity> {
        if self.fits(request, &decode.usage, &Usage::default()) {
            return Some(Capacity::Now);
        }
        let until = now + ceil_millis(reported_ms + MAX_SLOT_WAIT_MS);
        let in_time = |end: Millis| end + END_PREDICTION_ERROR <= until;
        let mut freed = Usage::default();
        for (end, usage) in decode.ending.iter().take_while(|(end, _)| in_time(*end)) {
            freed.slots += usage.slots;
            freed.pieces += usage.pieces;
            freed.waiting_slots += usage.waiting_slots;
            if self.fits(request, &decode.usage, &freed) {
                return Some(Capacity::Later((*end - now).0 as f64));
            }
        }
        None
    }

    /// Whether a request fits next to all reserved and promised slots once `freed` is released.
    fn fits(&self, request: &Request, usage: &Usage, freed: &Usage) -> bool {
        let pool = &self.spec.pool;
        let slots = (usage.slots + usage.promised_slots + 1).saturating_sub(freed.slots);
        let pieces = (usage.pieces + usage.promised_pieces + request.pieces().0)
            .saturating_sub(freed.pieces);
        let waiting = (usage.waiting_slots + 1).saturating_sub(freed.waiting_slots);
        let max_batch = usage.max_batch.min(pool.max_batch(request.token_gap));
        let limit = self.spec.waiting_limit();
        slots <= pool.slots.min(max_batch)
            && pieces <= pool.pieces.0
            && (request.class == Class::Urgent || waiting <= limit)
    }

    /// The prefill runner preferred for all prompts with this prefix, because its prefix cache is
    /// likely to hold it.
    fn preferred_prefill(&self, request: &Request) -> Option<usize> {
        self.usable(Role::Prefill)
            .max_by_key(|(_, runner)| score(request.prefix, runner.spec.id.as_str()))
            .map(|(index, _)| index)
    }
}

/// What the end of an attempt frees.
fn freed_by(reservation: &Reservation) -> Usage {
    Usage {
        slots: 1,
        pieces: reservation.pieces,
        waiting_slots: u32::from(reservation.request.class == Class::Waiting),
        ..Usage::default()
    }
}

impl Plan {
    /// A plan of a baseline policy, which reserves a slot without regard to free capacity.
    pub(crate) fn baseline(
        prefill: usize,
        decode: usize,
        prefill_end: Millis,
        transfer_end: Millis,
        first_token: Millis,
        end: Millis,
    ) -> Self {
        Plan {
            prefill,
            decode,
            owns_slot: true,
            prefill_end,
            transfer_end,
            first_token,
            end,
            cost_ms: 0.0,
        }
    }
}
