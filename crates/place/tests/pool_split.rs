//! Guards against shards that cannot serve a request because a role is missing, and against lost
//! runners.

mod common;

use bv_place::{Role, split};
use common::spec;

#[test]
fn shards_have_both_roles_and_all_runners() {
    let cases = [
        // (prefill runners, decode runners, max runners per shard, expected shards)
        (3, 6, 16, 1),
        (4, 8, 16, 1),
        (8, 16, 16, 2),
        (300, 600, 4, 300),
        (1, 40, 16, 1),
        (0, 3, 16, 1),
    ];
    for (prefill, decode, max, expected) in cases {
        let runners = spec(prefill, decode).runners;
        let shards = split(&runners, max);
        let name = format!("{prefill} prefill, {decode} decode, at most {max}");
        assert_eq!(shards.len(), expected, "{name}");
        let mut all = shards.concat();
        all.sort_by(|a, b| a.id.cmp(&b.id));
        let mut sorted = runners.clone();
        sorted.sort_by(|a, b| a.id.cmp(&b.id));
        assert_eq!(all, sorted, "{name}");
        for shard in &shards {
            let has = |role| shard.iter().any(|runner| runner.role == role);
            assert_eq!(has(Role::Prefill), prefill > 0, "{name}");
            assert!(has(Role::Decode), "{name}");
            assert!(
                shard.len() <= max || shards.len() == prefill.min(decode).max(1),
                "{name}"
            );
        }
    }
}
