//! Guards against shards that cannot serve a request or that lose a runner.

mod common;

use bv_place::{Role, split};
use common::spec;

#[test]
fn shards_of_pools() {
    let cases = [
        // (prefill, decode, most, shards)
        (3, 6, 16, 1),
        (4, 8, 16, 1),
        (8, 16, 16, 2),
        (300, 600, 4, 300),
        (1, 40, 16, 1),
        (0, 3, 16, 1),
    ];
    for (prefill, decode, most, expected) in cases {
        let runners = spec(prefill, decode).runners;
        let shards = split(&runners, most);
        let name = format!("{prefill} prefill, {decode} decode, {most} at most");
        assert_eq!(shards.len(), expected, "{name}");
        let mut all = shards.concat();
        all.sort_by(|a, b| a.id.cmp(&b.id));
        let mut wanted = runners.clone();
        wanted.sort_by(|a, b| a.id.cmp(&b.id));
        assert_eq!(all, wanted, "{name}");
        for shard in &shards {
            let has = |role| shard.iter().any(|runner| runner.role == role);
            assert_eq!(has(Role::Prefill), prefill > 0, "{name}");
            assert!(has(Role::Decode), "{name}");
            assert!(
                shard.len() <= most || shards.len() == prefill.min(decode).max(1),
                "{name}"
            );
        }
    }
}
