//! The baseline policies: they grant immediately, without queue or admission check.

use bv_types::Millis;

use crate::planned::Plan;
use crate::predict::ceil_millis;
use crate::shard::Shard;
use crate::{Policy, Request, Role};

impl Shard {
    /// Chooses a pair of runners without regard to their free capacity.
    pub(crate) fn plan_baseline(&mut self, now: Millis, request: &Request) -> Option<Plan> {
        let counter = self.round_robin_counter;
        self.round_robin_counter = self.round_robin_counter.wrapping_add(1);
        let prefill = self.choose_runner(Role::Prefill, counter)?;
        let decode = self.choose_runner(Role::Decode, counter)?;
        let pool = &self.spec.pool;
        let wait = self.runners[prefill].prefill_wait_ms(now, pool).max(0.0);
        let prefill_end = now + ceil_millis(wait + pool.prefill_ms(request.prompt));
        let transfer_end = prefill_end + ceil_millis(pool.transfer_ms(request.prompt));
        let first_token = transfer_end + ceil_millis(pool.gap_ms(pool.slots));
        let end = first_token + pool.decode_time(request.max_output, pool.slots);
        Some(Plan::baseline(
            prefill,
            decode,
            prefill_end,
            transfer_end,
            first_token,
            end,
        ))
    }

    fn choose_runner(&self, role: Role, counter: usize) -> Option<usize> {
        let candidates: Vec<usize> = (0..self.runners.len())
            .filter(|index| self.runners[*index].spec.role == role)
            .filter(|index| self.runners[*index].leaving.is_none())
            .collect();
        if candidates.is_empty() {
            return None;
        }
        if self.policy == Policy::RoundRobin {
            return Some(candidates[counter % candidates.len()]);
        }
        let reported_requests = |index: &usize| {
            let report = self.runners[*index].report.as_ref();
            report.map_or(0, |r| r.running.saturating_add(r.waiting))
        };
        candidates.into_iter().min_by_key(reported_requests)
    }
}
