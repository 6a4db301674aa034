//! Open grants of requests that this host serves.

use std::sync::Arc;

use bv_types::{AttemptId, BackendId, HostId, Millis};
use bv_wire::frame::Body;
use bv_wire::{Adopt, AttemptEnd, Release, Reserve};
use smol_str::SmolStr;
use tracing::debug;

use super::{GrantOwner, lock, shards};
use crate::Host;

/// Time for a call to a shard's owner.
const CALL_TIMEOUT: Millis = Millis(500);
/// Largest number of tries to deliver a release or a withdrawal, one `CALL_TIMEOUT` apart; after
/// them the owner ends the grant when it expires.
const RELEASE_TRIES: u32 = 4;

/// A grant held by a request of this host.
#[derive(Debug, Clone)]
pub(crate) struct OpenGrant {
    pub attempt: AttemptId,
    /// Who counts the grant.
    pub owner: GrantOwner,
    pub prefill: BackendId,
    pub decode: BackendId,
    /// Predicted time to the end of prefill.
    pub prefill_time: Millis,
    /// Predicted time to the first token.
    pub first_token: Millis,
    /// Whether the decode slot is already reserved.
    pub slot_ready: bool,
    /// Whether decode has started.
    pub decoding: bool,
    /// Host that has a copy of the grant, because this host itself owns the shard.
    pub(super) copied_to: Option<HostId>,
    /// Whether a call that registers the grant is in progress.
    pub(super) is_registering: bool,
    /// The request as it was granted.
    pub(super) reserve: Reserve,
    /// Time of the grant.
    pub(super) granted_at: Millis,
}

impl OpenGrant {
    pub(super) fn shard(&self) -> SmolStr {
        self.reserve.shard.as_str().into()
    }
}

/// Releases its grant when dropped.
pub(crate) struct GrantGuard {
    host: Arc<Host>,
    attempt: AttemptId,
    end: AttemptEnd,
}

impl GrantGuard {
    pub(super) fn new(host: &Arc<Host>, grant: OpenGrant) -> Self {
        let attempt = grant.attempt.clone();
        lock(&host.placement.open_grants).push(grant);
        register_where(host, |open| open.attempt == attempt);
        GrantGuard {
            host: host.clone(),
            attempt,
            end: AttemptEnd::Stopped,
        }
    }

    /// Sets how the attempt ended, which the release reports.
    pub fn set_end(&mut self, end: AttemptEnd) {
        self.end = end;
    }

    /// Records that decode starts.
    pub fn mark_decoding(&self) {
        let mut open = lock(&self.host.placement.open_grants);
        if let Some(grant) = open.iter_mut().find(|g| g.attempt == self.attempt) {
            grant.decoding = true;
        }
    }

    /// Current owner of the grant; it changes when the owner dies.
    pub fn owner(&self) -> GrantOwner {
        lock(&self.host.placement.open_grants)
            .iter()
            .find(|g| g.attempt == self.attempt)
            .map_or(GrantOwner::Local, |g| g.owner.clone())
    }
}

impl Drop for GrantGuard {
    fn drop(&mut self) {
        let mut open = lock(&self.host.placement.open_grants);
        let Some(at) = open.iter().position(|g| g.attempt == self.attempt) else {
            return;
        };
        let grant = open.swap_remove(at);
        drop(open);
        if let Some(copy_holder) = grant.copied_to.clone() {
            let (shard, attempt) = (grant.shard(), grant.attempt.clone());
            send_release(&self.host, copy_holder, shard, attempt, self.end);
        }
        match grant.owner.clone() {
            GrantOwner::Local => {
                let placement = &self.host.placement;
                placement.release_local([&grant.prefill, &grant.decode]);
            }
            GrantOwner::Host(owner) => {
                send_release(&self.host, owner, grant.shard(), grant.attempt, self.end);
            }
        }
    }
}

/// Reports the end of an attempt to the owner of its shard.
pub(super) fn send_release(
    host: &Arc<Host>,
    owner: HostId,
    shard: SmolStr,
    attempt: AttemptId,
    end: AttemptEnd,
) {
    let host = host.clone();
    let call = Body::Release(Release {
        shard: shard.to_string(),
        attempt: attempt.to_string(),
        end: end.into(),
    });
    tokio::spawn(async move {
        for _ in 0..RELEASE_TRIES {
            let sent = host.peers.call(&owner, call.clone(), CALL_TIMEOUT).await;
            let Err(err) = sent else {
                return;
            };
            debug!(%err, %attempt, "place: release failed");
            tokio::time::sleep(CALL_TIMEOUT.duration()).await;
        }
    });
}

/// Withdraws a request from an owner that gave no usable answer. If the attempt has been placed
/// without that owner meanwhile, its grant is later registered with this owner too, and a late
/// withdrawal must not end it: withdrawals are not repeated once the grant is open, and the
/// registration waits until they have ended.
pub(super) fn send_withdrawal(host: &Arc<Host>, owner: HostId, shard: SmolStr, attempt: AttemptId) {
    let host = host.clone();
    let call = Body::Release(Release {
        shard: shard.to_string(),
        attempt: attempt.to_string(),
        end: AttemptEnd::Stopped.into(),
    });
    let entry = (attempt.clone(), owner.clone());
    lock(&host.placement.withdrawals).push(entry.clone());
    tokio::spawn(async move {
        for _ in 0..RELEASE_TRIES {
            let sent = host.peers.call(&owner, call.clone(), CALL_TIMEOUT).await;
            let Err(err) = sent else {
                break;
            };
            debug!(%err, %attempt, "place: withdrawal failed");
            if lock(&host.placement.open_grants)
                .iter()
                .any(|g| g.attempt == attempt)
            {
                break;
            }
            tokio::time::sleep(CALL_TIMEOUT.duration()).await;
        }
        lock(&host.placement.withdrawals).retain(|known| *known != entry);
    });
}

/// A host with which a grant must be registered, so that it can cancel the attempt at the runners if
/// this host dies.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Registration {
    /// The current owner of the shard, for a grant of an earlier owner or without one.
    Owner(HostId),
    /// The second candidate, because this host itself owns the shard.
    Copy(HostId),
}

impl Registration {
    fn receiver(&self) -> &HostId {
        match self {
            Registration::Owner(owner) => owner,
            Registration::Copy(second) => second,
        }
    }
}

/// Registers open grants with the current owners of their shards where this is missing. The next
/// call of this function repeats a registration that failed.
pub(super) fn register(host: &Arc<Host>) {
    register_where(host, |_| true);
}

fn register_where(host: &Arc<Host>, is_included: impl Fn(&OpenGrant) -> bool) {
    let members = host.peers.alive();
    let mut missing = Vec::new();
    let withdrawals = lock(&host.placement.withdrawals).clone();
    for grant in lock(&host.placement.open_grants).iter_mut() {
        if grant.is_registering || !is_included(grant) {
            continue;
        }
        let candidates = shards::owner_candidates(&grant.shard(), &members);
        let registration = missing_registration(&host.settings.host_id, &candidates, grant);
        let Some(registration) = registration else {
            continue;
        };
        let receiver = registration.receiver();
        let is_withdrawing = withdrawals
            .iter()
            .any(|(attempt, owner)| *attempt == grant.attempt && owner == receiver);
        if !is_withdrawing {
            grant.is_registering = true;
            missing.push((registration, grant.clone()));
        }
    }
    for (registration, grant) in missing {
        tokio::spawn(send_registration(host.clone(), registration, grant));
    }
}

/// The registration that a grant of `this` host lacks; `candidates` are in order of rank.
fn missing_registration(
    this: &HostId,
    candidates: &[HostId],
    grant: &OpenGrant,
) -> Option<Registration> {
    let first = candidates.first()?;
    if grant.owner != GrantOwner::Host(first.clone()) {
        return Some(Registration::Owner(first.clone()));
    }
    let second = candidates.get(1).filter(|_| first == this)?;
    (grant.copied_to.as_ref() != Some(second)).then(|| Registration::Copy(second.clone()))
}

async fn send_registration(host: Arc<Host>, registration: Registration, mut grant: OpenGrant) {
    let receiver = registration.receiver().clone();
    if let Registration::Copy(_) = registration {
        // A grant in decode lasts until its release or deadline, so the copy does not depend on
        // reports of the prefill.
        grant.decoding = true;
    }
    let call = adopt_message(host.clock.now(), &grant);
    let is_registered = match host.peers.call(&receiver, call, CALL_TIMEOUT).await {
        Ok(Body::Done(_)) => true,
        Ok(_) => {
            debug!(
                // Log field names are stable; this one keeps an earlier word for the owner.
                home = %receiver,
                attempt = %grant.attempt,
                "place: the host refused to register a grant"
            );
            false
        }
        Err(err) => {
            debug!(%err, attempt = %grant.attempt, "place: registering a grant failed");
            false
        }
    };
    let mut open = lock(&host.placement.open_grants);
    let Some(open_grant) = open.iter_mut().find(|g| g.attempt == grant.attempt) else {
        drop(open);
        // The attempt ended during the call.
        let (shard, end) = (grant.shard(), AttemptEnd::Stopped);
        send_release(&host, receiver, shard, grant.attempt, end);
        return;
    };
    open_grant.is_registering = false;
    if !is_registered {
        return;
    }
    match registration {
        Registration::Copy(copy_holder) => {
            let previous = open_grant.copied_to.replace(copy_holder);
            drop(open);
            if let Some(previous) = previous {
                let (shard, end) = (grant.shard(), AttemptEnd::Stopped);
                send_release(&host, previous, shard, grant.attempt, end);
            }
        }
        Registration::Owner(owner) => {
            let previous = std::mem::replace(&mut open_grant.owner, GrantOwner::Host(owner));
            drop(open);
            if previous == GrantOwner::Local {
                let pair = [&grant.prefill, &grant.decode];
                host.placement.release_local(pair);
            }
        }
    }
}

fn adopt_message(now: Millis, grant: &OpenGrant) -> Body {
    let elapsed = (now - grant.granted_at).0;
    let mut reserve = grant.reserve.clone();
    reserve.deadline_ms = reserve.deadline_ms.saturating_sub(elapsed);
    reserve.first_token_ms = reserve.first_token_ms.saturating_sub(elapsed);
    Body::Adopt(Adopt {
        request: Some(reserve),
        prefill: grant.prefill.to_string(),
        decode: grant.decode.to_string(),
        decoding: grant.decoding,
    })
}
