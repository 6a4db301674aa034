//! Placement of model calls on runners.
//!
//! The runners of a pool are split into shards. Each shard is owned by one entry host, which grants
//! its capacity; every entry host, including the owner, requests grants from the owner.

mod grants;
mod in_flight;
mod local;
mod maintenance;
mod owned_shard;
mod owner_calls;
mod request;
mod shards;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bv_place::Policy;
use bv_types::{AttemptId, BackendId, HostId, Millis, Refusal};
use smol_str::SmolStr;

pub(crate) use grants::{GrantGuard, OpenGrant};
pub(crate) use maintenance::run;
pub(crate) use owner_calls::{adopt, prefill_done, release, reserve};
pub(crate) use request::{PlacementRequest, report_prefill, request_grant, wait_for_slot};

use owned_shard::OwnedShard;

/// Who counts a grant against the capacity of its shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum GrantOwner {
    /// The host that owns the shard.
    Host(HostId),
    /// No owner answered; this host counts the grant itself.
    Local,
}

/// Placement state of an entry host.
#[derive(Debug)]
pub(crate) struct Placement {
    policy: Policy,
    /// Shards that this host owns or owned, sorted by key.
    owned_shards: Mutex<Vec<Arc<OwnedShard>>>,
    /// Grants held by requests of this host.
    open_grants: Mutex<Vec<OpenGrant>>,
    /// Withdrawals in progress: the attempt and the owner that did not answer.
    withdrawals: Mutex<Vec<(AttemptId, HostId)>>,
    /// Number of grants placed without an owner, sorted by runner.
    local_counts: Mutex<Vec<(BackendId, u32)>>,
    /// Owners that did not answer, and the time until which they are skipped.
    unresponsive: Mutex<Vec<(HostId, Millis)>>,
    /// Last reported load of each shard in percent, sorted by key.
    loads: Mutex<Vec<(SmolStr, u32)>>,
}

impl Placement {
    /// Creates the state for the named policy; an unknown name is logged and replaced by "planned".
    pub fn new(policy: &str) -> Self {
        let policy = Policy::find(policy).unwrap_or_else(|| {
            tracing::warn!(policy, "place: unknown policy, using \"planned\"");
            Policy::Planned
        });
        Placement {
            policy,
            owned_shards: Mutex::default(),
            open_grants: Mutex::default(),
            withdrawals: Mutex::default(),
            local_counts: Mutex::default(),
            unresponsive: Mutex::default(),
            loads: Mutex::default(),
        }
    }

    fn mark_unresponsive(&self, owner: &HostId, until: Millis) {
        let mut unresponsive = lock(&self.unresponsive);
        unresponsive.retain(|(known, _)| known != owner);
        unresponsive.push((owner.clone(), until));
    }

    fn is_unresponsive(&self, owner: &HostId, now: Millis) -> bool {
        let unresponsive = lock(&self.unresponsive);
        unresponsive
            .iter()
            .any(|(known, until)| known == owner && now < *until)
    }

    /// Whether a request of this host holds a grant of the shard for this attempt.
    fn is_open(&self, attempt: &AttemptId, shard: &SmolStr) -> bool {
        let open = lock(&self.open_grants);
        open.iter()
            .any(|grant| grant.attempt == *attempt && grant.reserve.shard == *shard)
    }

    fn record_load(&self, shard: &SmolStr, percent: u32) {
        let mut loads = lock(&self.loads);
        match loads.binary_search_by(|(key, _)| key.cmp(shard)) {
            Ok(at) => loads[at].1 = percent,
            Err(at) => loads.insert(at, (shard.clone(), percent)),
        }
    }

    fn load_of(&self, shard: &SmolStr) -> u32 {
        let loads = lock(&self.loads);
        match loads.binary_search_by(|(key, _)| key.cmp(shard)) {
            Ok(at) => loads[at].1,
            Err(_) => 0,
        }
    }
}

/// Parses the reason of a refusal by another host; an unknown code of a newer version maps to
/// `NoBackend`.
fn refusal_of(code: &str) -> Refusal {
    Refusal::from_code(code).unwrap_or(Refusal::NoBackend)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
