//! Division of a pool into shards.

use crate::{Role, RunnerSpec};

/// Divides the runners of a pool into shards of at most `max` runners.
///
/// Each shard has runners of both roles when the pool has, and neighbours in zone order share a
/// shard, so that it spans few zones. A pool with fewer runners of one role than shards needed
/// gets fewer, larger shards.
pub fn split(runners: &[RunnerSpec], max: usize) -> Vec<Vec<RunnerSpec>> {
    let of_role = |role: Role| {
        let mut found: Vec<&RunnerSpec> = runners.iter().filter(|r| r.role == role).collect();
        found.sort_by(|a, b| (&a.zone, &a.id).cmp(&(&b.zone, &b.id)));
        found
    };
    let prefill = of_role(Role::Prefill);
    let decode = of_role(Role::Decode);
    let largest = |count: usize| prefill.len().div_ceil(count) + decode.len().div_ceil(count);
    let most = prefill.len().min(decode.len()).max(1);
    let count = (1..=most)
        .find(|count| largest(*count) <= max)
        .unwrap_or(most);
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
