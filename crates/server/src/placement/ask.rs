//! Requests of this host to the homes of shards.

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
use super::{Keeper, refusal_of, shards};
use crate::peers::PeerCause;
use crate::{Host, counters};

/// Time within which a home must answer, if only that the request is queued.
const FIRST_TIMEOUT: Millis = Millis(150);
/// Time for a second call to the same home. Another home would not know its reservations and
/// grant them again, so a short pause of a busy home must not lead there.
const SECOND_TIMEOUT: Millis = Millis(350);
/// Time for which a home that answered neither call is passed over.
const SILENT_TIME: Millis = Millis(1_000);
/// Time for which a home keeps the first call; a busy home needs the rest of the timeout.
const FIRST_WAIT: Millis = Millis(20);
/// Time for which a home keeps a further call for a queued request.
const NEXT_WAIT: Millis = Millis(1_000);
/// Time beyond the wait within which a home must answer a further call. The home is known to work,
/// and a second home would not know its reservations.
const NEXT_MARGIN: Millis = Millis(500);
/// Time for which a home keeps the report of a prefill that waits for its slot.
const SLOT_WAIT: Millis = Millis(100);
const SLOT_RETRY: Millis = Millis(20);
/// Homes asked in order of rank before placement without a home.
const HOMES_ASKED: usize = 2;
/// Load above which the second shard in rank is used if it has less.
const BUSY_PERCENT: u32 = 90;

/// A model call that needs runners.
#[derive(Debug, Clone)]
pub(crate) struct Ask {
    pub attempt: AttemptId,
    pub team: SmolStr,
    pub prompt: Tokens,
    pub max_output: Tokens,
    pub prefix: u64,
    pub first_token_by: Millis,
    pub deadline: Millis,
    pub fingerprint: Fingerprint,
    /// Runners on which earlier attempts failed.
    pub avoid: Vec<BackendId>,
}

/// What one home answered.
enum Reply {
    Granted(Box<(GrantGuard, OpenGrant)>),
    Denied(Refusal),
    Unreachable,
}

/// Asks for runners until the request is granted or refused.
///
/// # Errors
/// Returns the reason of the refusal; the request did not run.
pub(crate) async fn ask(
    host: &Arc<Host>,
    inventory: &Inventory,
    model: &Model,
    ask: &Ask,
) -> Result<(GrantGuard, OpenGrant), Refusal> {
    let mut refusal = Refusal::NoBackend;
    for shard in ranked_shards(host, inventory, model, ask.prefix) {
        let mut answered = false;
        for home in shards::homes(&shard, &host.peers.alive())
            .into_iter()
            .take(HOMES_ASKED)
        {
            if host.placement.is_silent(&home, host.clock.now()) {
                continue;
            }
            match ask_home(host, model, ask, &shard, &home).await {
                Reply::Granted(granted) => return Ok(*granted),
                Reply::Denied(reason) => {
                    refusal = reason;
                    answered = true;
                    break;
                }
                Reply::Unreachable => counters::retried(RetryReason::HomeUnreachable),
            }
        }
        if !answered {
            return place_blind(host, inventory, model, ask, &shard);
        }
        // Another shard may have live runners; a full queue is not passed on to the others.
        if refusal != Refusal::NoBackend {
            break;
        }
    }
    Err(refusal)
}

/// Shards of the model in the order in which they are asked.
fn ranked_shards(host: &Host, inventory: &Inventory, model: &Model, prefix: u64) -> Vec<SmolStr> {
    let mut keys = shards::keys(inventory, &model.pool);
    keys.sort_by_key(|key| std::cmp::Reverse(score(prefix, key)));
    if let [first, second, ..] = &mut keys[..] {
        let load = host.placement.load_of(first);
        if load > BUSY_PERCENT && host.placement.load_of(second) < load {
            std::mem::swap(first, second);
        }
    }
    keys
}

async fn ask_home(
    host: &Arc<Host>,
    model: &Model,
    ask: &Ask,
    shard: &SmolStr,
    home: &HostId,
) -> Reply {
    let mut withdraw = Withdraw {
        host,
        home,
        shard,
        attempt: Some(ask.attempt.clone()),
    };
    let mut wait = FIRST_WAIT;
    let mut timeout = FIRST_TIMEOUT;
    let mut is_repeated = false;
    loop {
        let now = host.clock.now();
        let reserve = reserve(host, model, ask, shard, now, wait);
        let call = Body::Reserve(reserve.clone());
        match host.peers.call(home, call, timeout).await {
            Ok(Body::Grant(grant)) => {
                host.placement.note_load(shard, grant.load_percent);
                let (Ok(prefill), Ok(decode)) = (grant.prefill.parse(), grant.decode.parse())
                else {
                    return Reply::Denied(Refusal::NoBackend);
                };
                withdraw.attempt = None;
                let grant = OpenGrant {
                    attempt: ask.attempt.clone(),
                    keeper: Keeper::Home(home.clone()),
                    prefill,
                    decode,
                    prefill_time: Millis(grant.prefill_ms),
                    first_token: Millis(grant.first_token_ms),
                    slot_ready: grant.slot_ready,
                    decoding: false,
                    copied_to: None,
                    is_registering: false,
                    reserve,
                    at: now,
                };
                let guard = GrantGuard::new(host, grant.clone());
                return Reply::Granted(Box::new((guard, grant)));
            }
            Ok(Body::Deny(deny)) => {
                withdraw.attempt = None;
                host.placement.note_load(shard, deny.load_percent);
                return Reply::Denied(refusal_of(&deny.reason));
            }
            Ok(Body::Queued(_)) => {
                wait = NEXT_WAIT;
                timeout = NEXT_WAIT + NEXT_MARGIN;
                is_repeated = false;
            }
            Ok(_) => return Reply::Unreachable,
            Err(err) if matches!(err.cause, PeerCause::Timeout(_)) && !is_repeated => {
                debug!(%err, "place: asking the home again");
                timeout = SECOND_TIMEOUT;
                is_repeated = true;
            }
            Err(err) => {
                debug!(%err, "place: the home does not answer");
                host.placement
                    .note_silent(home, host.clock.now() + SILENT_TIME);
                return Reply::Unreachable;
            }
        }
    }
}

/// Withdraws a request from the queue of a home when the caller goes.
struct Withdraw<'a> {
    host: &'a Arc<Host>,
    home: &'a HostId,
    shard: &'a SmolStr,
    attempt: Option<AttemptId>,
}

impl Drop for Withdraw<'_> {
    fn drop(&mut self) {
        if let Some(attempt) = self.attempt.take() {
            send_withdrawal(self.host, self.home.clone(), self.shard.clone(), attempt);
        }
    }
}

fn reserve(
    host: &Host,
    model: &Model,
    ask: &Ask,
    shard: &SmolStr,
    now: Millis,
    wait: Millis,
) -> Reserve {
    Reserve {
        shard: shard.to_string(),
        attempt: ask.attempt.to_string(),
        team: ask.team.to_string(),
        may_wait: class_of(model.class) == Class::Waiting,
        prompt_tokens: ask.prompt.0,
        output_tokens: ask.max_output.0,
        prefix: ask.prefix,
        zone: host.settings.zone.to_string(),
        first_token_ms: (ask.first_token_by - now).0,
        token_gap_ms: model.token_gap.0,
        deadline_ms: (ask.deadline - now).0,
        wait_ms: wait.0,
        avoid: ask.avoid.iter().map(ToString::to_string).collect(),
        fingerprint: ask.fingerprint.0.to_vec(),
    }
}

fn place_blind(
    host: &Arc<Host>,
    inventory: &Inventory,
    model: &Model,
    ask: &Ask,
    shard: &SmolStr,
) -> Result<(GrantGuard, OpenGrant), Refusal> {
    let is_leaving = |runner: &BackendId| host.leaving.lock().is_leaving(runner);
    let (prefill, decode) = host
        .placement
        .place_blind(inventory, model, ask.prefix, &ask.avoid, is_leaving)
        .ok_or(Refusal::NoBackend)?;
    counters::blind_placement();
    let now = host.clock.now();
    let left = ask.first_token_by - now;
    let grant = OpenGrant {
        attempt: ask.attempt.clone(),
        keeper: Keeper::Blind,
        prefill,
        decode,
        prefill_time: left,
        first_token: left,
        slot_ready: true,
        decoding: false,
        copied_to: None,
        is_registering: false,
        reserve: reserve(host, model, ask, shard, now, Millis::ZERO),
        at: now,
    };
    Ok((GrantGuard::new(host, grant.clone()), grant))
}

/// Reports the end of prefill for a grant whose slot is reserved.
pub(crate) fn report_prefill(host: &Arc<Host>, guard: &GrantGuard, grant: &OpenGrant) {
    let Keeper::Home(home) = guard.keeper() else {
        return;
    };
    let host = host.clone();
    let call = prefill_done(grant, FIRST_WAIT);
    tokio::spawn(async move {
        // If it is lost, the home assumes that decode has started once prefill is overdue.
        let _ = host.peers.call(&home, call, FIRST_TIMEOUT).await;
    });
}

fn prefill_done(grant: &OpenGrant, wait: Millis) -> Body {
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
        let Keeper::Home(home) = guard.keeper() else {
            return Ok(());
        };
        let left = end - host.clock.now();
        if left == Millis::ZERO {
            return Err(RetryReason::PrefillEvicted);
        }
        let wait = left.min(SLOT_WAIT);
        let call = prefill_done(grant, wait);
        let timeout = left.min(SLOT_WAIT + FIRST_TIMEOUT);
        match host.peers.call(&home, call, timeout).await {
            Ok(Body::Queued(_)) => {}
            Ok(_) => return Ok(()),
            // The call may be repeated. The grant moves to another home if this one is dead.
            Err(err) => {
                debug!(%err, "place: the home does not answer after prefill");
                counters::retried(RetryReason::HomeUnreachable);
                tokio::time::sleep(SLOT_RETRY.duration()).await;
            }
        }
    }
}
