//! Division of a pool into shards.

use crate::{Role, RunnerSpec};

/// Divides the runners of a pool into shards of at most `max` runners.
///
/// Each shard has runners of both roles if the pool has. Runners are assigned in zone order, so
/// that a shard spans few zones. A pool that has fewer runners of one role than it needs shards
/// gets fewer, larger shards.
pub fn split(runners: &[RunnerSpec], max: usize) -> Vec<Vec<RunnerSpec>> {
    let of_role = |role: Role| {
        let mut selected: Vec<&RunnerSpec> = runners.iter().filter(|r| r.role == role).collect();
        selected.sort_by(|a, b| (&a.zone, &a.id).cmp(&(&b.zone, &b.id)));
        selected
    };
    let prefill = of_role(Role::Prefill);
    let decode = of_role(Role::Decode);
    let largest_shard = |count: usize| prefill.len().div_ceil(count) + decode.len().div_ceil(count);
    let max_count = prefill.len().min(decode.len()).max(1);
    let count = (1..=max_count)
        .find(|count| largest_shard(*count) <= max)
        .unwrap_or(max_count);
    (0..count)
        .map(|index| {
            let chunk = |list: &[&RunnerSpec]| {
                let range = list.len() * index / count..list.len() * (index + 1) / count;
                list[range].iter().map(|r| (*r).clone()).collect::<Vec<_>>()
            };
            [chunk(&prefill), chunk(&decode)].concat()
        })
        .collect()
}
