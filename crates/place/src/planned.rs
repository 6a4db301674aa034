//! The `planned` policy: choice of a pair of runners by predicted times.

use bv_types::{Millis, Tokens};

use crate::affinity::score;
use crate::hold::{Hold, Phase};
use crate::predict::ceil;
use crate::runner::{Runner, Usage};
use crate::shard::Shard;
use crate::{Class, Request, Role};

/// Longest queue of a prefill runner to which work is added; the rest waits in the admission
/// queue, where urgent work can pass it. It covers the round trip of `PrefillDone` and the grant.
const PREFILL_AHEAD_MS: f64 = 100.0;
/// Time after the end of prefill within which the decode slot must be there. It leaves 100 ms of
/// the shortest eviction time of 800 ms for the import.
const SLOT_WAIT_MS: f64 = 700.0;
/// Error of a predicted end that is allowed for.
const END_ERROR: Millis = Millis(300);
/// Time after its predicted end in which an attempt is still expected to end soon.
const OVERDUE: Millis = Millis(200);
/// Share of a prefill that the preferred runner is expected to have in its prefix cache.
const AFFINITY_SHARE: f64 = 0.5;
/// Tokens over which the longer time between tokens in a fuller batch is counted as cost.
const SPREAD_TOKENS: f64 = 4.0;

/// Result of planning a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Choice {
    /// It can start.
    Start(Plan),
    /// No pair of runners has room.
    Busy,
    /// There is room, but every prediction misses a deadline.
    TooLate,
}

/// A pair of runners and the predicted times.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Plan {
    pub prefill: usize,
    pub decode: usize,
    pub owns_slot: bool,
    pub prefill_end: Millis,
    pub transfer_end: Millis,
    pub first_token: Millis,
    pub end: Millis,
    cost_ms: f64,
}

/// Room on a decode runner for one more request.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Room {
    Now,
    /// From this time on, in milliseconds after now.
    Later(f64),
}

impl Shard {
    /// Chooses the pair of runners with the lowest predicted cost.
    pub(crate) fn plan(&self, now: Millis, request: &Request) -> Choice {
        let preferred = self.preferred_prefill(request);
        let max_batch = self.spec.pool.max_batch(request.token_gap);
        let decodes: Vec<(usize, Usage)> = self
            .candidates(Role::Decode, request)
            .into_iter()
            .map(|index| (index, self.runners[index].usage()))
            .filter(|(_, usage)| self.may_fit(request, usage, max_batch))
            .collect();
        let mut best: Option<Plan> = None;
        let mut too_late = false;
        for prefill in self.candidates(Role::Prefill, request) {
            let runner = &self.runners[prefill];
            let wait = runner.prefill_wait_ms(now, &self.spec.pool);
            if wait > PREFILL_AHEAD_MS {
                continue;
            }
            let time = runner.prefill_ms(request.prompt, &self.spec.pool);
            let bonus = match preferred == Some(prefill) {
                true => time * AFFINITY_SHARE,
                false => 0.0,
            };
            for (decode, usage) in &decodes {
                let Some(plan) = self.pair(now, request, (prefill, *decode), usage, wait + time)
                else {
                    continue;
                };
                if plan.first_token > request.first_token_by || plan.end > request.deadline {
                    too_late = true;
                    continue;
                }
                let cost_ms = plan.cost_ms - bonus;
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

    /// Usable runners; those on which the request failed only if there are no others.
    fn candidates(&self, role: Role, request: &Request) -> Vec<usize> {
        let all: Vec<usize> = self
            .usable(role)
            .map(|(index, _)| index)
            .filter(|index| !request.suspect || !self.holds_suspect(*index))
            .collect();
        let failed = |index: &usize| request.avoid.contains(&self.runners[*index].spec.id);
        let others: Vec<usize> = all.iter().copied().filter(|i| !failed(i)).collect();
        match others.is_empty() {
            true => all,
            false => others,
        }
    }

    /// Whether a suspect prefills or decodes on a runner, or will do so.
    fn holds_suspect(&self, index: usize) -> bool {
        self.runners.iter().enumerate().any(|(decode, runner)| {
            let here = |hold: &Hold| match hold.phase {
                Phase::Prefill => hold.prefill == index || decode == index,
                Phase::Ready | Phase::Decode => decode == index,
            };
            runner
                .holds
                .iter()
                .any(|hold| hold.request.suspect && here(hold))
        })
    }

    /// Quick check that leaves out full runners before pairs are examined.
    fn may_fit(&self, request: &Request, usage: &Usage, max_batch: u32) -> bool {
        let waiting = request.class == Class::Waiting;
        let limit = self.spec.waiting_limit();
        let ending = usage.promised_slots < usage.slots;
        let free = usage.slots + usage.promised_slots < self.spec.pool.slots;
        (!waiting || usage.waiting_slots < limit || ending)
            && (free || ending)
            && usage.max_batch.min(max_batch) > 0
    }

    /// Predicts the times for one pair; `None` if the decode runner has no room in time.
    fn pair(
        &self,
        now: Millis,
        request: &Request,
        (prefill, decode): (usize, usize),
        usage: &Usage,
        prefill_ms: f64,
    ) -> Option<Plan> {
        let pool = &self.spec.pool;
        let (from, to) = (&self.runners[prefill], &self.runners[decode]);
        let to_prefill = self.hop_ms(&request.zone, &from.spec.zone);
        let to_decode = self.hop_ms(&request.zone, &to.spec.zone);
        let between = self.hop_ms(&from.spec.zone, &to.spec.zone);
        let computed = to_prefill + prefill_ms;
        // The entry host hears of the end of prefill and then starts decode.
        let known = computed + to_prefill;
        let room = self.room(now, request, to, usage, known)?;
        let slot = match room {
            Room::Now => known,
            Room::Later(ms) => known.max(ms),
        };
        let link_free = (to.link_until - now).0 as f64;
        let transfer = pool.transfer_ms(request.prompt) + between;
        let transferred = (slot + to_decode).max(link_free) + transfer;
        let batch = usage.slots.min(pool.slots - 1) + 1;
        let gap = pool.gap_ms(batch);
        let first = transferred + gap + to_decode;
        let output = request.max_output.0.saturating_sub(1);
        let crossings = [to_prefill, to_decode, between]
            .into_iter()
            .filter(|ms| *ms > 0.0);
        let price = crossings.count() as f64 * self.spec.zone_price.0 as f64;
        Some(Plan {
            prefill,
            decode,
            owns_slot: room == Room::Now,
            prefill_end: now + ceil(known),
            transfer_end: now + ceil(transferred),
            first_token: now + ceil(first),
            end: now + ceil(first) + pool.decode_time(Tokens(output), batch),
            cost_ms: first + price + gap * SPREAD_TOKENS,
        })
    }

    /// When a slot and memory are free on a decode runner, if in time after prefill.
    fn room(
        &self,
        now: Millis,
        request: &Request,
        runner: &Runner,
        usage: &Usage,
        known_ms: f64,
    ) -> Option<Room> {
        if self.fits(request, usage, &Usage::default()) {
            return Some(Room::Now);
        }
        let until = now + ceil(known_ms + SLOT_WAIT_MS);
        // An attempt that is long overdue has a wrong prediction and may run on.
        let mut ending: Vec<_> = runner
            .holds
            .iter()
            .filter(|hold| hold.phase == Phase::Decode && hold.owns_slot)
            .map(|hold| (runner.end_of(now, hold, &self.spec.pool), hold))
            .filter(|(end, _)| *end + OVERDUE > now && *end + END_ERROR <= until)
            .collect();
        ending.sort_by_key(|(end, _)| *end);
        let mut freed = Usage::default();
        for (end, hold) in ending {
            freed.slots += 1;
            freed.pieces += hold.pieces;
            freed.waiting_slots += u32::from(hold.request.class == Class::Waiting);
            if self.fits(request, usage, &freed) {
                return Some(Room::Later((end - now).0 as f64));
            }
        }
        None
    }

    /// Whether a request fits with all reservations and promises once `freed` has ended.
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

    /// The prefill runner that other prompts with the same start use.
    fn preferred_prefill(&self, request: &Request) -> Option<usize> {
        self.usable(Role::Prefill)
            .max_by_key(|(_, runner)| score(request.prefix, runner.spec.id.as_str()))
            .map(|(index, _)| index)
    }
}

impl Plan {
    /// A plan of a baseline policy; it reserves its slot without regard to room.
    pub(crate) fn at_once(
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
