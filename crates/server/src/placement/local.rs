//! Placement by this host alone, when no owner of the shard answers.

use bv_config::{EngineRole, Inventory, Model};
use bv_place::score;
use bv_types::BackendId;

use super::{Placement, lock};

impl Placement {
    /// Chooses a pair of runners and counts it. Leaving runners are skipped, and runners in `avoid`
    /// are used only if there are no others; among the runners that this host uses least,
    /// rendezvous hashing decides.
    pub(super) fn choose_local_pair(
        &self,
        inventory: &Inventory,
        model: &Model,
        prefix_key: u64,
        avoid: &[BackendId],
        is_leaving: impl Fn(&BackendId) -> bool,
    ) -> Option<(BackendId, BackendId)> {
        let mut counts = lock(&self.local_counts);
        let mut choose = |role: EngineRole| {
            let count = |id: &BackendId| match counts.binary_search_by(|(known, _)| known.cmp(id)) {
                Ok(at) => counts[at].1,
                Err(_) => 0,
            };
            let chosen = inventory
                .runners_of(&model.pool)
                .filter(|runner| runner.role == role && !is_leaving(&runner.id))
                .map(|runner| &runner.id)
                .min_by_key(|id| {
                    let rank = std::cmp::Reverse(score(prefix_key, id.as_str()));
                    (avoid.contains(id), count(id), rank)
                })?
                .clone();
            match counts.binary_search_by(|(known, _)| known.cmp(&chosen)) {
                Ok(at) => counts[at].1 += 1,
                Err(at) => counts.insert(at, (chosen.clone(), 1)),
            }
            Some(chosen)
        };
        Some((choose(EngineRole::Prefill)?, choose(EngineRole::Decode)?))
    }

    /// Stops counting a pair that was placed without an owner.
    pub(super) fn release_local(&self, pair: [&BackendId; 2]) {
        let mut counts = lock(&self.local_counts);
        for id in pair {
            if let Ok(at) = counts.binary_search_by(|(known, _)| known.cmp(id)) {
                counts[at].1 = counts[at].1.saturating_sub(1);
            }
        }
    }
}
