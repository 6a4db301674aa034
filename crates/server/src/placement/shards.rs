//! Shards of an inventory.

use bv_config::{self as config, EngineRole, Inventory};
use bv_member::{Member, rendezvous};
use bv_place::{Class, PoolSpec, Role, RunnerSpec, ShardSpec, split};
use bv_types::{HostId, PoolId};
use smol_str::{SmolStr, format_smolstr};

/// One batch slot in this many, rounded up, is kept for urgent work.
const HEADROOM_DIVISOR: u32 = 5;

/// Keys of the shards of a pool.
pub(super) fn keys(inventory: &Inventory, pool: &PoolId) -> Vec<SmolStr> {
    let count = split(&runners(inventory, pool), inventory.shard_runners).len();
    (0..count).map(|index| key(pool, index)).collect()
}

/// The shard with this key.
pub(super) fn find(inventory: &Inventory, wanted: &str) -> Option<ShardSpec> {
    let (pool, index) = wanted.split_once('/')?;
    let pool = inventory.pool(&pool.parse().ok()?)?;
    let index: usize = index.parse().ok()?;
    let runners = split(&runners(inventory, &pool.id), inventory.shard_runners)
        .into_iter()
        .nth(index)?;
    let has_urgent = inventory
        .models
        .iter()
        .any(|model| model.pool == pool.id && model.class == config::Class::Urgent);
    Some(ShardSpec {
        pool: pool_spec(pool),
        runners,
        zone_delay_ms: inventory.zone_delay_ms,
        zone_price: inventory.zone_price,
        headroom_slots: match has_urgent {
            true => pool.slots.div_ceil(HEADROOM_DIVISOR),
            false => 0,
        },
    })
}

/// Hosts in the order in which they become owner of a shard.
pub(super) fn owner_candidates(shard: &SmolStr, members: &[Member]) -> Vec<HostId> {
    rendezvous(shard.as_bytes(), members)
        .into_iter()
        .map(|member| member.host.clone())
        .collect()
}

/// Converts the class of a model in the inventory to the class used by placement.
pub(crate) fn class_of(class: config::Class) -> Class {
    match class {
        config::Class::Urgent => Class::Urgent,
        config::Class::Waiting => Class::Waiting,
    }
}

fn key(pool: &PoolId, index: usize) -> SmolStr {
    format_smolstr!("{pool}/{index}")
}

fn runners(inventory: &Inventory, pool: &PoolId) -> Vec<RunnerSpec> {
    inventory
        .runners_of(pool)
        .map(|runner| RunnerSpec {
            id: runner.id.clone(),
            role: match runner.role {
                EngineRole::Prefill => Role::Prefill,
                EngineRole::Decode => Role::Decode,
            },
            zone: runner.zone.clone(),
        })
        .collect()
}

fn pool_spec(pool: &config::Pool) -> PoolSpec {
    PoolSpec {
        slots: pool.slots,
        pieces: pool.pieces,
        prefill: pool.prefill,
        token_gap_ms: pool.token_gap_ms,
        token_gap_slope_ms: pool.token_gap_slope_ms,
        link: pool.link,
        kv_per_token: pool.kv_per_token,
        eviction: pool.eviction,
    }
}
