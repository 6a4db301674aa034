//! The baseline policies: they grant at once, without queue or admission.

use bv_types::Millis;

use crate::planned::Plan;
use crate::predict::ceil;
use crate::shard::Shard;
use crate::{Policy, Request, Role};

impl Shard {
    /// Chooses runners without regard to what they can take.
    pub(crate) fn choose_at_once(&mut self, now: Millis, request: &Request) -> Option<Plan> {
        let turn = self.turn;
        self.turn = self.turn.wrapping_add(1);
        let prefill = self.choose(Role::Prefill, turn)?;
        let decode = self.choose(Role::Decode, turn)?;
        let pool = &self.spec.pool;
        let wait = self.runners[prefill].prefill_wait_ms(now, pool).max(0.0);
        let prefill_end = now + ceil(wait + pool.prefill_ms(request.prompt));
        let transfer_end = prefill_end + ceil(pool.transfer_ms(request.prompt));
        let first_token = transfer_end + ceil(pool.gap_ms(pool.slots));
        let end = first_token + pool.decode_time(request.max_output, pool.slots);
        Some(Plan::at_once(
            prefill,
            decode,
            prefill_end,
            transfer_end,
            first_token,
            end,
        ))
    }

    fn choose(&self, role: Role, turn: usize) -> Option<usize> {
        let candidates: Vec<usize> = (0..self.runners.len())
            .filter(|index| self.runners[*index].spec.role == role)
            .filter(|index| self.runners[*index].leaving.is_none())
            .collect();
        if candidates.is_empty() {
            return None;
        }
        if self.policy == Policy::RoundRobin {
            return Some(candidates[turn % candidates.len()]);
        }
        let reported = |index: &usize| {
            let report = self.runners[*index].report.as_ref();
            report.map_or(0, |r| r.running.saturating_add(r.waiting))
        };
        candidates.into_iter().min_by_key(reported)
    }
}
