//! Grants that requests of this host hold.

use std::sync::Arc;

use bv_types::{AttemptId, BackendId, HostId, Millis};
use bv_wire::frame::Body;
use bv_wire::{Adopt, AttemptEnd, Release, Reserve};
use smol_str::SmolStr;
use tracing::debug;

use super::{Keeper, lock, shards};
use crate::Host;

/// Time for a message to a home.
const CALL_TIMEOUT: Millis = Millis(500);
/// Attempts to deliver a release; afterwards the home learns of the end by grant expiry.
const RELEASE_TRIES: u32 = 4;

/// A grant held by a request of this host.
#[derive(Debug, Clone)]
pub(crate) struct OpenGrant {
    /// The attempt.
    pub attempt: AttemptId,
    /// Who counts it.
    pub keeper: Keeper,
    /// Prefill runner.
    pub prefill: BackendId,
    /// Decode runner.
    pub decode: BackendId,
    /// Predicted time to the end of prefill.
    pub prefill_time: Millis,
    /// Predicted time to the first token.
    pub first_token: Millis,
    /// Whether the decode slot is reserved already.
    pub slot_ready: bool,
    /// Whether decode has started.
    pub decoding: bool,
    /// Host that knows the grant too, because this host is itself the home.
    pub(super) copied_to: Option<HostId>,
    /// Whether a message that registers the grant is under way.
    pub(super) is_registering: bool,
    /// The request as it was granted.
    pub(super) reserve: Reserve,
    /// Time of the grant.
    pub(super) at: Millis,
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
        lock(&host.placement.open).push(grant);
        register_where(host, |open| open.attempt == attempt);
        GrantGuard {
            host: host.clone(),
            attempt,
            end: AttemptEnd::Stopped,
        }
    }

    /// Notes how the attempt ended, for the release.
    pub fn ended(&mut self, end: AttemptEnd) {
        self.end = end;
    }

    /// Notes that decode starts.
    pub fn decoding(&self) {
        let mut open = lock(&self.host.placement.open);
        if let Some(grant) = open.iter_mut().find(|g| g.attempt == self.attempt) {
            grant.decoding = true;
        }
    }

    /// Current home of the grant; it changes when the home dies.
    pub fn keeper(&self) -> Keeper {
        lock(&self.host.placement.open)
            .iter()
            .find(|g| g.attempt == self.attempt)
            .map_or(Keeper::Blind, |g| g.keeper.clone())
    }
}

impl Drop for GrantGuard {
    fn drop(&mut self) {
        let mut open = lock(&self.host.placement.open);
        let Some(at) = open.iter().position(|g| g.attempt == self.attempt) else {
            return;
        };
        let grant = open.swap_remove(at);
        drop(open);
        if let Some(second) = grant.copied_to.clone() {
            let (shard, attempt) = (grant.shard(), grant.attempt.clone());
            send_release(&self.host, second, shard, attempt, self.end);
        }
        match grant.keeper.clone() {
            Keeper::Blind => {
                let placement = &self.host.placement;
                placement.release_blind([&grant.prefill, &grant.decode]);
            }
            Keeper::Home(home) => {
                send_release(&self.host, home, grant.shard(), grant.attempt, self.end);
            }
        }
    }
}

/// Tells a home that an attempt has ended.
pub(super) fn send_release(
    host: &Arc<Host>,
    home: HostId,
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
            let sent = host.peers.call(&home, call.clone(), CALL_TIMEOUT).await;
            let Err(err) = sent else {
                return;
            };
            debug!(%err, %attempt, "place: release failed");
            tokio::time::sleep(CALL_TIMEOUT.duration()).await;
        }
    });
}

/// Tells a home that did not answer that it is not asked any more. The attempt may have been placed
/// without it meanwhile; the home then learns of the grant, and a late withdrawal must not end it.
pub(super) fn send_withdrawal(host: &Arc<Host>, home: HostId, shard: SmolStr, attempt: AttemptId) {
    let host = host.clone();
    let call = Body::Release(Release {
        shard: shard.to_string(),
        attempt: attempt.to_string(),
        end: AttemptEnd::Stopped.into(),
    });
    let entry = (attempt.clone(), home.clone());
    lock(&host.placement.withdrawals).push(entry.clone());
    tokio::spawn(async move {
        for _ in 0..RELEASE_TRIES {
            let sent = host.peers.call(&home, call.clone(), CALL_TIMEOUT).await;
            let Err(err) = sent else {
                break;
            };
            debug!(%err, %attempt, "place: withdrawal failed");
            if lock(&host.placement.open)
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

/// A host that must learn of a grant, so that it can cancel the work when this host dies.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Registration {
    /// The present home of the shard, for a grant of an earlier home or of none.
    Home(HostId),
    /// The second host in rank, because this host is itself the home.
    Copy(HostId),
}

impl Registration {
    fn receiver(&self) -> &HostId {
        match self {
            Registration::Home(home) => home,
            Registration::Copy(second) => second,
        }
    }
}

/// Tells the present homes of open grants about those that they do not know. A message that is lost
/// is sent again at the next call.
pub(super) fn register(host: &Arc<Host>) {
    register_where(host, |_| true);
}

fn register_where(host: &Arc<Host>, is_meant: impl Fn(&OpenGrant) -> bool) {
    let members = host.peers.alive();
    let mut missing = Vec::new();
    let withdrawals = lock(&host.placement.withdrawals).clone();
    for grant in lock(&host.placement.open).iter_mut() {
        if grant.is_registering || !is_meant(grant) {
            continue;
        }
        let homes = shards::homes(&grant.shard(), &members);
        let missed = missing_registration(&host.settings.host_id, &homes, grant);
        let Some(registration) = missed else {
            continue;
        };
        let receiver = registration.receiver();
        let is_withdrawing = withdrawals
            .iter()
            .any(|(attempt, home)| *attempt == grant.attempt && home == receiver);
        if !is_withdrawing {
            grant.is_registering = true;
            missing.push((registration, grant.clone()));
        }
    }
    for (registration, grant) in missing {
        tokio::spawn(send_registration(host.clone(), registration, grant));
    }
}

/// Who must still learn of a grant of `this` host; `homes` are in order of rank.
fn missing_registration(
    this: &HostId,
    homes: &[HostId],
    grant: &OpenGrant,
) -> Option<Registration> {
    let first = homes.first()?;
    if grant.keeper != Keeper::Home(first.clone()) {
        return Some(Registration::Home(first.clone()));
    }
    let second = homes.get(1).filter(|_| first == this)?;
    (grant.copied_to.as_ref() != Some(second)).then(|| Registration::Copy(second.clone()))
}

async fn send_registration(host: Arc<Host>, registration: Registration, mut grant: OpenGrant) {
    let receiver = registration.receiver().clone();
    if let Registration::Copy(_) = registration {
        // The copy lasts until the release or the deadline, whatever becomes of the prefill.
        grant.decoding = true;
    }
    let call = adopt(host.clock.now(), &grant);
    let is_known = match host.peers.call(&receiver, call, CALL_TIMEOUT).await {
        Ok(Body::Done(_)) => true,
        Ok(_) => {
            debug!(home = %receiver, attempt = %grant.attempt, "place: the grant is not adopted");
            false
        }
        Err(err) => {
            debug!(%err, attempt = %grant.attempt, "place: registering a grant failed");
            false
        }
    };
    let mut open = lock(&host.placement.open);
    let Some(known) = open.iter_mut().find(|g| g.attempt == grant.attempt) else {
        drop(open);
        // The attempt ended while the message was under way.
        let (shard, end) = (grant.shard(), AttemptEnd::Stopped);
        send_release(&host, receiver, shard, grant.attempt, end);
        return;
    };
    known.is_registering = false;
    if !is_known {
        return;
    }
    match registration {
        Registration::Copy(second) => {
            let before = known.copied_to.replace(second);
            drop(open);
            if let Some(before) = before {
                let (shard, end) = (grant.shard(), AttemptEnd::Stopped);
                send_release(&host, before, shard, grant.attempt, end);
            }
        }
        Registration::Home(home) => {
            let before = std::mem::replace(&mut known.keeper, Keeper::Home(home));
            drop(open);
            if before == Keeper::Blind {
                let pair = [&grant.prefill, &grant.decode];
                host.placement.release_blind(pair);
            }
        }
    }
}

fn adopt(now: Millis, grant: &OpenGrant) -> Body {
    let elapsed = (now - grant.at).0;
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
