//! Placement of model calls: homes of shards, and requests to them.

mod answer;
mod ask;
mod blind;
mod flights;
mod grants;
mod home;
mod poll;
mod shards;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bv_place::Policy;
use bv_types::{AttemptId, BackendId, HostId, Millis, Refusal};
use smol_str::SmolStr;

pub(crate) use answer::{adopt, prefill_done, release, reserve};
pub(crate) use ask::{Ask, ask, report_prefill, wait_for_slot};
pub(crate) use grants::{GrantGuard, OpenGrant};
pub(crate) use poll::follow;

use home::Home;

/// Where a shard's state is kept for a grant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Keeper {
    /// The home of the shard.
    Home(HostId),
    /// No home answered; this host counts the grant itself.
    Blind,
}

/// Placement state of an entry host.
#[derive(Debug)]
pub(crate) struct Placement {
    policy: Policy,
    /// Shards of which this host is or was the home, sorted by key.
    homes: Mutex<Vec<Arc<Home>>>,
    /// Grants held by requests of this host.
    open: Mutex<Vec<OpenGrant>>,
    /// Withdrawals under way: the attempt and the home that did not answer.
    withdrawals: Mutex<Vec<(AttemptId, HostId)>>,
    /// Grants without a home, by runner.
    blind: Mutex<Vec<(BackendId, u32)>>,
    /// Homes that did not answer, and until when they are passed over.
    silent: Mutex<Vec<(HostId, Millis)>>,
    /// Last known load of each shard in percent, sorted by key.
    loads: Mutex<Vec<(SmolStr, u32)>>,
}

impl Placement {
    /// Placement by the policy of this name; an unknown name is logged and replaced.
    pub fn new(policy: &str) -> Self {
        let policy = Policy::find(policy).unwrap_or_else(|| {
            tracing::warn!(policy, "place: unknown policy, using \"planned\"");
            Policy::Planned
        });
        Placement {
            policy,
            homes: Mutex::default(),
            open: Mutex::default(),
            withdrawals: Mutex::default(),
            blind: Mutex::default(),
            silent: Mutex::default(),
            loads: Mutex::default(),
        }
    }

    fn note_silent(&self, home: &HostId, until: Millis) {
        let mut silent = lock(&self.silent);
        silent.retain(|(known, _)| known != home);
        silent.push((home.clone(), until));
    }

    fn is_silent(&self, home: &HostId, now: Millis) -> bool {
        let silent = lock(&self.silent);
        silent
            .iter()
            .any(|(known, until)| known == home && now < *until)
    }

    fn note_load(&self, shard: &SmolStr, percent: u32) {
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

/// Reason of a refusal from another host; an unknown code of a newer version maps to `NoBackend`.
fn refusal_of(code: &str) -> Refusal {
    Refusal::from_code(code).unwrap_or(Refusal::NoBackend)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
