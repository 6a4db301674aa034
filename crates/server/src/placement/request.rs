//! Grant requests of this host to the owners of shards.

use std::sync::Arc;

use bv_config::{Inventory, Model};
use bv_place::{Class, score};
use bv_types::{AttemptId, BackendId, Fingerprint, HostId, Millis, Refusal, RetryReason, Tokens};
use bv_wire::frame::Body;
use bv_wire::{Grant, PrefillDone, Reserve};
use smol_str::SmolStr;
use tokio::task::JoinSet;
use tracing::debug;

use super::grants::{GrantGuard, OpenGrant, send_withdrawal};
use super::shards::class_of;
use super::{GrantOwner, refusal_of, shards};
use crate::peers::PeerError;
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

/// A call to an owner, its time and its result.
type ReserveAnswer = (Reserve, Millis, Result<Body, PeerError>);

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
    let mut calls = JoinSet::new();
    let mut wait = FIRST_CALL_WAIT;
    let mut timeout = FIRST_CALL_TIMEOUT;
    loop {
        let start_call = |calls: &mut JoinSet<ReserveAnswer>, wait, timeout| {
            let sent_at = host.clock.now();
            let reserve = reserve_message(host, model, request, shard, sent_at, wait);
            let (host, owner) = (host.clone(), owner.clone());
            calls.spawn(async move {
                let call = Body::Reserve(reserve.clone());
                let answer = host.peers.call(&owner, call, timeout).await;
                (reserve, sent_at, answer)
            });
        };
        start_call(&mut calls, wait, timeout + SECOND_CALL_TIMEOUT);
        let second_call_at = tokio::time::Instant::now() + timeout.duration();
        let mut is_second_call = false;
        let mut is_queued = false;
        loop {
            let answer = tokio::select! {
                answer = calls.join_next() => answer,
                () = tokio::time::sleep_until(second_call_at), if !is_second_call => {
                    debug!(
                        %owner,
                        "place: the owner of the shard did not answer in time; calling it again"
                    );
                    // The first call stays open: the owner may answer each call late.
                    start_call(&mut calls, FIRST_CALL_WAIT, SECOND_CALL_TIMEOUT);
                    is_second_call = true;
                    continue;
                }
            };
            let Some(answer) = answer else {
                break;
            };
            let Ok((reserve, sent_at, answer)) = answer else {
                continue;
            };
            match answer {
                Ok(Body::Grant(grant)) => {
                    host.placement.record_load(shard, grant.load_percent);
                    let opened =
                        open_grant(host, owner, &request.attempt, &grant, reserve, sent_at);
                    let Some(opened) = opened else {
                        return OwnerAnswer::Denied(Refusal::NoBackend);
                    };
                    withdraw.attempt = None;
                    return_second_grant(host, calls, &request.attempt, shard, owner);
                    return OwnerAnswer::Granted(Box::new(opened));
                }
                Ok(Body::Deny(deny)) => {
                    withdraw.attempt = None;
                    host.placement.record_load(shard, deny.load_percent);
                    return_second_grant(host, calls, &request.attempt, shard, owner);
                    return OwnerAnswer::Denied(refusal_of(&deny.reason));
                }
                // Also the answer to a call that a later one has replaced.
                Ok(Body::Queued(_)) => is_queued = true,
                Ok(_) => return OwnerAnswer::Unreachable,
                Err(err) if calls.is_empty() && !is_queued => {
                    debug!(%err, "place: call to the owner of the shard failed; skipping the owner");
                    host.placement
                        .mark_unresponsive(owner, host.clock.now() + UNRESPONSIVE_TIME);
                    return OwnerAnswer::Unreachable;
                }
                Err(err) => debug!(%err, "place: call to the owner of the shard failed"),
            }
            if calls.is_empty() {
                break;
            }
        }
        if !is_queued {
            return OwnerAnswer::Unreachable;
        }
        wait = QUEUED_WAIT;
        timeout = QUEUED_WAIT + QUEUED_MARGIN;
    }
}

/// Records a grant of an owner; `None` if its runners have no valid ids.
fn open_grant(
    host: &Arc<Host>,
    owner: &HostId,
    attempt: &AttemptId,
    grant: &Grant,
    reserve: Reserve,
    sent_at: Millis,
) -> Option<(GrantGuard, OpenGrant)> {
    let grant = OpenGrant {
        attempt: attempt.clone(),
        owner: GrantOwner::Host(owner.clone()),
        prefill: grant.prefill.parse().ok()?,
        decode: grant.decode.parse().ok()?,
        prefill_time: Millis(grant.prefill_ms),
        first_token: Millis(grant.first_token_ms),
        slot_ready: grant.slot_ready,
        decoding: false,
        copied_to: None,
        is_registering: false,
        reserve,
        granted_at: sent_at,
    };
    Some((GrantGuard::new(host, grant.clone()), grant))
}

/// Waits for the other call for an attempt that was answered, and then ends what the owner granted
/// to that call after it had refused the attempt or the grant had been released.
fn return_second_grant(
    host: &Arc<Host>,
    mut calls: JoinSet<ReserveAnswer>,
    attempt: &AttemptId,
    shard: &SmolStr,
    owner: &HostId,
) {
    if calls.is_empty() {
        return;
    }
    let (host, attempt) = (host.clone(), attempt.clone());
    let (shard, owner) = (shard.clone(), owner.clone());
    tokio::spawn(async move {
        while calls.join_next().await.is_some() {}
        if !host.placement.is_open(&attempt, &shard) {
            send_withdrawal(&host, owner, shard, attempt);
        }
    });
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
    let mut calls = JoinSet::new();
    let mut is_call_due = true;
    loop {
        let GrantOwner::Host(owner) = guard.owner() else {
            return Ok(());
        };
        let left = end - host.clock.now();
        if left == Millis::ZERO {
            return Err(RetryReason::PrefillEvicted);
        }
        if is_call_due {
            let call = prefill_done_message(grant, left.min(SLOT_WAIT));
            let host = host.clone();
            calls.spawn(async move { host.peers.call(&owner, call, left).await });
        }
        let timeout = left.min(SLOT_WAIT + FIRST_CALL_TIMEOUT);
        match tokio::time::timeout(timeout.duration(), calls.join_next()).await {
            // Also the answer to a call that a later one has replaced.
            Ok(Some(Ok(Ok(Body::Queued(_))))) => is_call_due = calls.is_empty(),
            Ok(Some(Ok(Ok(_)))) => return Ok(()),
            // Reporting twice is harmless, so the call is repeated. The grant moves to another
            // owner if this one is dead.
            Ok(Some(Ok(Err(err)))) => {
                debug!(
                    %err,
                    "place: reporting a finished prefill to the owner of the shard failed"
                );
                counters::retried(RetryReason::OwnerUnreachable);
                tokio::time::sleep(SLOT_RETRY_INTERVAL.duration()).await;
                is_call_due = true;
            }
            Ok(Some(Err(_)) | None) => is_call_due = true,
            // The earlier calls stay open: the owner may answer each call late.
            Err(_) => {
                debug!(
                    "place: the owner of the shard did not answer the report of a finished \
                     prefill in time; reporting again"
                );
                counters::retried(RetryReason::OwnerUnreachable);
                is_call_due = true;
            }
        }
    }
}
