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
    pub(super) fn new(host: &Arc<Host>, mut grant: OpenGrant) -> Self {
        let attempt = grant.attempt.clone();
        grant.copied_to = copy_holder(host, &grant);
        if let Some(second) = grant.copied_to.clone() {
            tokio::spawn(send_copy(host.clone(), second, grant.clone()));
        }
        lock(&host.placement.open).push(grant);
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

/// Tells a home that an attempt has ended or is withdrawn.
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

/// Registers open grants with the present homes of their shards.
pub(super) fn move_to_new_homes(host: &Arc<Host>) {
    let members = host.peers.alive();
    let mut moved = Vec::new();
    for grant in lock(&host.placement.open).iter() {
        let first = shards::homes(&grant.shard(), &members).into_iter().next();
        match (&grant.keeper, first) {
            (Keeper::Home(home), Some(first)) if *home != first => {
                moved.push((first, grant.clone()));
            }
            _ => {}
        }
    }
    for (home, grant) in moved {
        tokio::spawn(send_adopt(host.clone(), home, grant));
    }
}

/// Second home in rank, if this host is the first. Nobody else would know the grants of a host
/// that is home of its own requests, and cancel them when it dies.
fn copy_holder(host: &Host, grant: &OpenGrant) -> Option<HostId> {
    let this = &host.settings.host_id;
    if grant.keeper != Keeper::Home(this.clone()) {
        return None;
    }
    let ranked = shards::homes(&grant.shard(), &host.peers.alive());
    ranked.into_iter().find(|home| home != this)
}

async fn send_copy(host: Arc<Host>, second: HostId, mut grant: OpenGrant) {
    // The copy lasts until the release or the deadline, whatever becomes of the prefill.
    grant.decoding = true;
    let call = adopt(host.clock.now(), &grant);
    if let Err(err) = host.peers.call(&second, call, CALL_TIMEOUT).await {
        debug!(%err, "place: copying a grant failed");
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

async fn send_adopt(host: Arc<Host>, home: HostId, grant: OpenGrant) {
    let shard = grant.shard();
    let call = adopt(host.clock.now(), &grant);
    match host.peers.call(&home, call, CALL_TIMEOUT).await {
        Ok(Body::Done(_)) => {}
        Ok(_) => return,
        Err(err) => {
            debug!(%err, "place: adopt failed");
            return;
        }
    }
    let mut open = lock(&host.placement.open);
    if let Some(known) = open.iter_mut().find(|g| g.attempt == grant.attempt) {
        known.keeper = Keeper::Home(home);
        return;
    }
    drop(open);
    // The attempt ended while the message was under way.
    send_release(&host, home, shard, grant.attempt, AttemptEnd::Stopped);
}
