//! Grant requests of this host to the owners of shards.

use std::sync::Arc;

use bv_config::{Inventory, Model};
use bv_place::{Class, score};
use bv_types::{AttemptId, BackendId, Fingerprint, HostId, Millis, Refusal, RetryReason, Tokens};
use bv_wire::frame::Body;
use bv_wire::{PrefillDone, Reserve};
use smol_str::SmolStr;
use tracing::debug;

use super::grants::{GrantGuard, OpenGrant, send_withdrawal};
use super::shards::class_of;
use super::{GrantOwner, refusal_of, shards};
use crate::peers::PeerCause;
use crate::{Host, counters};

/// Time within which an owner must answer, if only that the request is queued.
const FIRST_CALL_TIMEOUT: Millis = Millis(150);
/// Time for a second call to the same owner, long enough for a short pause of a busy owner: the
/// next candidate does not know the owner's reservations and would grant the same capacity again.
const SECOND_CALL_TIMEOUT: Millis = Millis(350);
/// Time for which an owner is skipped after a call to it failed, or the second call timed out.
const UNRESPONSIVE_TIME: Millis = Millis(1_000);
/// Time for which an owner may hold the first call open; a busy owner needs the rest of the
/// timeout.
const FIRST_CALL_WAIT: Millis = Millis(20);
/// Time for which an owner may hold open the next call for a request that it has queued.
const QUEUED_WAIT: Millis = Millis(1_000);
/// Time beyond `QUEUED_WAIT` within which the owner of a queued request must answer. It is longer
/// than for a first call: the owner has answered before, and the next candidate would not know its
/// reservations.
const QUEUED_MARGIN: Millis = Millis(500);
/// Time for which an owner may hold open the report of a prefill that waits for its decode slot.
const SLOT_WAIT: Millis = Millis(100);
const SLOT_RETRY_INTERVAL: Millis = Millis(20);
/// Candidates called in order of rank before the request is placed without an owner.
const MAX_OWNERS_CALLED: usize = 2;
/// Load above which the second shard in rank is tried first if its load is lower.
const BUSY_LOAD_PERCENT: u32 = 90;

/// A model call that needs runners.
#[derive(Debug, Clone)]
pub(crate) struct PlacementRequest {
    pub attempt: AttemptId,
    pub team: SmolStr,
    pub prompt: Tokens,
    pub max_output: Tokens,
    pub prefix_key: u64,
    pub first_token_by: Millis,
    pub deadline: Millis,
    pub fingerprint: Fingerprint,
    /// Runners on which earlier attempts failed.
    pub avoid: Vec<BackendId>,
}

/// Answer of one owner.
enum OwnerAnswer {
    Granted(Box<(GrantGuard, OpenGrant)>),
    Denied(Refusal),
    Unreachable,
}

/// Requests runners until the request is granted or refused.
///
/// # Errors
/// Returns the reason of the refusal; the request did not run.
pub(crate) async fn request_grant(
    host: &Arc<Host>,
    inventory: &Inventory,
    model: &Model,
    request: &PlacementRequest,
) -> Result<(GrantGuard, OpenGrant), Refusal> {
    let mut refusal = Refusal::NoBackend;
    for shard in ranked_shards(host, inventory, model, request.prefix_key) {
        let mut answered = false;
        for owner in shards::owner_candidates(&shard, &host.peers.alive())
            .into_iter()
            .take(MAX_OWNERS_CALLED)
        {
            if host.placement.is_unresponsive(&owner, host.clock.now()) {
                continue;
            }
            match call_owner(host, model, request, &shard, &owner).await {
                OwnerAnswer::Granted(granted) => return Ok(*granted),
                OwnerAnswer::Denied(reason) => {
                    refusal = reason;
                    answered = true;
                    break;
                }
                OwnerAnswer::Unreachable => counters::retried(RetryReason::OwnerUnreachable),
            }
        }
        if !answered {
            return place_locally(host, inventory, model, request, &shard);
        }
        // Another shard may have live runners. Every other refusal, such as a full queue, is final.
        if refusal != Refusal::NoBackend {
            break;
        }
    }
    Err(refusal)
}

/// Shards of the model in the order in which they are tried.
fn ranked_shards(
    host: &Host,
    inventory: &Inventory,
    model: &Model,
    prefix_key: u64,
) -> Vec<SmolStr> {
    let mut keys = shards::keys(inventory, &model.pool);
    keys.sort_by_key(|key| std::cmp::Reverse(score(prefix_key, key)));
    if let [first, second, ..] = &mut keys[..] {
        let load = host.placement.load_of(first);
        if load > BUSY_LOAD_PERCENT && host.placement.load_of(second) < load {
            std::mem::swap(first, second);
        }
    }
    keys
}

async fn call_owner(
    host: &Arc<Host>,
    model: &Model,
    request: &PlacementRequest,
    shard: &SmolStr,
    owner: &HostId,
) -> OwnerAnswer {
    let mut withdraw = WithdrawOnDrop {
        host,
        owner,
        shard,
        attempt: Some(request.attempt.clone()),
    };
    let mut wait = FIRST_CALL_WAIT;
    let mut timeout = FIRST_CALL_TIMEOUT;
    let mut is_second_call = false;
    loop {
        let now = host.clock.now();
        let reserve = reserve_message(host, model, request, shard, now, wait);
        let call = Body::Reserve(reserve.clone());
        match host.peers.call(owner, call, timeout).await {
            Ok(Body::Grant(grant)) => {
                host.placement.record_load(shard, grant.load_percent);
                let (Ok(prefill), Ok(decode)) = (grant.prefill.parse(), grant.decode.parse())
                else {
                    return OwnerAnswer::Denied(Refusal::NoBackend);
                };
                withdraw.attempt = None;
                let grant = OpenGrant {
                    attempt: request.attempt.clone(),
                    owner: GrantOwner::Host(owner.clone()),
                    prefill,
                    decode,
                    prefill_time: Millis(grant.prefill_ms),
                    first_token: Millis(grant.first_token_ms),
                    slot_ready: grant.slot_ready,
                    decoding: false,
                    copied_to: None,
                    is_registering: false,
                    reserve,
                    granted_at: now,
                };
                let guard = GrantGuard::new(host, grant.clone());
                return OwnerAnswer::Granted(Box::new((guard, grant)));
            }
            Ok(Body::Deny(deny)) => {
                withdraw.attempt = None;
                host.placement.record_load(shard, deny.load_percent);
                return OwnerAnswer::Denied(refusal_of(&deny.reason));
            }
            Ok(Body::Queued(_)) => {
                wait = QUEUED_WAIT;
                timeout = QUEUED_WAIT + QUEUED_MARGIN;
                is_second_call = false;
            }
            Ok(_) => return OwnerAnswer::Unreachable,
            Err(err) if matches!(err.cause, PeerCause::Timeout(_)) && !is_second_call => {
                debug!(
                    %err,
                    "place: the owner of the shard did not answer in time; calling it again"
                );
                timeout = SECOND_CALL_TIMEOUT;
                is_second_call = true;
            }
            Err(err) => {
                debug!(%err, "place: call to the owner of the shard failed; skipping the owner");
                host.placement
                    .mark_unresponsive(owner, host.clock.now() + UNRESPONSIVE_TIME);
                return OwnerAnswer::Unreachable;
            }
        }
    }
}

/// Withdraws a request from an owner when dropped, because the caller disconnected or the owner
/// gave no usable answer. Setting `attempt` to `None` disarms it.
struct WithdrawOnDrop<'a> {
    host: &'a Arc<Host>,
    owner: &'a HostId,
    shard: &'a SmolStr,
    attempt: Option<AttemptId>,
}

impl Drop for WithdrawOnDrop<'_> {
    fn drop(&mut self) {
        if let Some(attempt) = self.attempt.take() {
            send_withdrawal(self.host, self.owner.clone(), self.shard.clone(), attempt);
        }
    }
}

fn reserve_message(
    host: &Host,
    model: &Model,
    request: &PlacementRequest,
    shard: &SmolStr,
    now: Millis,
    wait: Millis,
) -> Reserve {
    Reserve {
        shard: shard.to_string(),
        attempt: request.attempt.to_string(),
        team: request.team.to_string(),
        may_wait: class_of(model.class) == Class::Waiting,
        prompt_tokens: request.prompt.0,
        output_tokens: request.max_output.0,
        prefix: request.prefix_key,
        zone: host.settings.zone.to_string(),
        first_token_ms: (request.first_token_by - now).0,
        token_gap_ms: model.token_gap.0,
        deadline_ms: (request.deadline - now).0,
        wait_ms: wait.0,
        avoid: request.avoid.iter().map(ToString::to_string).collect(),
        fingerprint: request.fingerprint.0.to_vec(),
    }
}

fn place_locally(
    host: &Arc<Host>,
    inventory: &Inventory,
    model: &Model,
    request: &PlacementRequest,
    shard: &SmolStr,
) -> Result<(GrantGuard, OpenGrant), Refusal> {
    let is_leaving = |runner: &BackendId| host.leaving.lock().is_leaving(runner);
    let (prefill, decode) = host
        .placement
        .choose_local_pair(
            inventory,
            model,
            request.prefix_key,
            &request.avoid,
            is_leaving,
        )
        .ok_or(Refusal::NoBackend)?;
    counters::local_placement();
    let now = host.clock.now();
    let left = request.first_token_by - now;
    let grant = OpenGrant {
        attempt: request.attempt.clone(),
        owner: GrantOwner::Local,
        prefill,
        decode,
        prefill_time: left,
        first_token: left,
        slot_ready: true,
        decoding: false,
        copied_to: None,
        is_registering: false,
        reserve: reserve_message(host, model, request, shard, now, Millis::ZERO),
        granted_at: now,
    };
    Ok((GrantGuard::new(host, grant.clone()), grant))
}

/// Reports the end of prefill for a grant whose slot is reserved.
pub(crate) fn report_prefill(host: &Arc<Host>, guard: &GrantGuard, grant: &OpenGrant) {
    let GrantOwner::Host(owner) = guard.owner() else {
        return;
    };
    let host = host.clone();
    let call = prefill_done_message(grant, FIRST_CALL_WAIT);
    tokio::spawn(async move {
        // If the report is lost, the owner assumes that decode has started once prefill is overdue.
        let _ = host.peers.call(&owner, call, FIRST_CALL_TIMEOUT).await;
    });
}

fn prefill_done_message(grant: &OpenGrant, wait: Millis) -> Body {
    Body::PrefillDone(PrefillDone {
        shard: grant.reserve.shard.clone(),
        attempt: grant.attempt.to_string(),
        wait_ms: wait.0,
    })
}

/// Reports the end of prefill and waits until decode may start.
///
/// # Errors
/// Fails if no slot became free within `limit`; the prefill result is then evicted.
pub(crate) async fn wait_for_slot(
    host: &Arc<Host>,
    guard: &GrantGuard,
    grant: &OpenGrant,
    limit: Millis,
) -> Result<(), RetryReason> {
    let end = host.clock.now() + limit;
    loop {
        let GrantOwner::Host(owner) = guard.owner() else {
            return Ok(());
        };
        let left = end - host.clock.now();
        if left == Millis::ZERO {
            return Err(RetryReason::PrefillEvicted);
        }
        let wait = left.min(SLOT_WAIT);
        let call = prefill_done_message(grant, wait);
        let timeout = left.min(SLOT_WAIT + FIRST_CALL_TIMEOUT);
        match host.peers.call(&owner, call, timeout).await {
            Ok(Body::Queued(_)) => {}
            Ok(_) => return Ok(()),
            // Reporting twice is harmless, so the call is repeated. The grant moves to another
            // owner if this one is dead.
            Err(err) => {
                debug!(
                    %err,
                    "place: reporting a finished prefill to the owner of the shard failed"
                );
                counters::retried(RetryReason::OwnerUnreachable);
                tokio::time::sleep(SLOT_RETRY_INTERVAL.duration()).await;
            }
        }
    }
}
