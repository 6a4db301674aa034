//! Answers of the owner of a shard to other entry hosts.

use std::sync::Arc;

use bv_place::{Adoption, Class, Event, Request};
use bv_types::{AttemptId, Fingerprint, Millis, ParseError, Refusal, Tokens};
use bv_wire::frame::Body;
use bv_wire::{Adopt, Deny, Done, Grant, PrefillDone, Queued, Release, Reserve, Unsupported};
use tokio::sync::oneshot;

use super::owned_shard::{OwnedShard, ShardAnswer};
use super::{lock, maintenance, shards};
use crate::{Host, crash};

/// Longest time for which a call is held open.
const MAX_WAIT: Millis = Millis(2_000);

/// Answers `Reserve` when the request is granted or refused, or when the wait limit of the call has
/// passed.
pub(crate) async fn reserve(host: &Arc<Host>, call: Reserve) -> Body {
    let Ok(mut request) = parse_request(host.clock.now(), &call) else {
        return Body::Unsupported(Unsupported {});
    };
    let Some(shard) = owned_shard(host, &call.shard).await else {
        return deny(Refusal::NoBackend, 0);
    };
    if request.attempt.attempt > 0 {
        // The previous attempt may have crashed its engine, which must be known before the next
        // engine is chosen; the regular poll comes up to 250 ms later.
        maintenance::poll_runners(host.clone(), shard.clone()).await;
    }
    if let Some(fingerprint) = fingerprint_of(&call) {
        if crash::is_blocked(host, &fingerprint) {
            return deny(Refusal::CrashesEngines, shard.load_percent());
        }
        request.suspect = crash::is_suspect(host, fingerprint);
        shard.record_request(&request.attempt, fingerprint);
    }
    let attempt = request.attempt.clone();
    let answer = shard.submit(host, attempt, Event::Reserve(request));
    wait_for_answer(&shard, call.wait_ms, answer).await
}

/// Answers `PrefillDone` when decode may start.
pub(crate) async fn prefill_done(host: &Arc<Host>, call: PrefillDone) -> Body {
    let Ok(attempt) = call.attempt.parse::<AttemptId>() else {
        return Body::Unsupported(Unsupported {});
    };
    let Some(shard) = owned_shard(host, &call.shard).await else {
        return deny(Refusal::NoBackend, 0);
    };
    let answer = shard.submit(host, attempt.clone(), Event::PrefillDone(attempt));
    wait_for_answer(&shard, call.wait_ms, answer).await
}

/// Ends a grant or withdraws a queued request.
pub(crate) async fn release(host: &Arc<Host>, call: Release) -> Body {
    let Ok(attempt) = call.attempt.parse::<AttemptId>() else {
        return Body::Unsupported(Unsupported {});
    };
    if let Some(shard) = find(host, &call.shard) {
        shard.end(host, attempt, call.end());
    }
    Body::Done(Done {})
}

/// Takes over a grant of an earlier owner.
pub(crate) async fn adopt(host: &Arc<Host>, call: Adopt) -> Body {
    let Some(reserve) = call.request else {
        return Body::Unsupported(Unsupported {});
    };
    let request = parse_request(host.clock.now(), &reserve);
    let (Ok(request), Ok(prefill), Ok(decode)) =
        (request, call.prefill.parse(), call.decode.parse())
    else {
        return Body::Unsupported(Unsupported {});
    };
    let Some(shard) = owned_shard(host, &reserve.shard).await else {
        return deny(Refusal::NoBackend, 0);
    };
    let adoption = Adoption {
        request,
        prefill,
        decode,
        decoding: call.decoding,
    };
    shard.adopt(host, adoption, fingerprint_of(&reserve));
    Body::Done(Done {})
}

async fn wait_for_answer(
    shard: &OwnedShard,
    wait_ms: u64,
    answer: oneshot::Receiver<ShardAnswer>,
) -> Body {
    let limit = Millis(wait_ms).min(MAX_WAIT);
    match tokio::time::timeout(limit.duration(), answer).await {
        Ok(Ok(ShardAnswer::Grant(grant))) => Body::Grant(Grant {
            prefill: grant.prefill.to_string(),
            decode: grant.decode.to_string(),
            prefill_ms: grant.prefill_time.0,
            first_token_ms: grant.first_token.0,
            load_percent: shard.load_percent(),
            slot_ready: grant.slot_ready,
        }),
        Ok(Ok(ShardAnswer::Deny(reason))) => deny(reason, shard.load_percent()),
        Ok(Ok(ShardAnswer::StartDecode)) => Body::Done(Done {}),
        // A newer call for the same attempt has replaced this one, or the wait limit has passed.
        Ok(Err(_)) | Err(_) => Body::Queued(Queued {}),
    }
}

fn deny(reason: Refusal, load_percent: u32) -> Body {
    Body::Deny(Deny {
        reason: reason.code().to_owned(),
        load_percent,
    })
}

fn find(host: &Host, key: &str) -> Option<Arc<OwnedShard>> {
    let owned_shards = lock(&host.placement.owned_shards);
    let at = owned_shards
        .binary_search_by(|shard| shard.key.as_str().cmp(key))
        .ok()?;
    Some(owned_shards[at].clone())
}

/// The state of a shard, created if the inventory contains it. Waits until its runners have been
/// polled once.
async fn owned_shard(host: &Arc<Host>, key: &str) -> Option<Arc<OwnedShard>> {
    let shard = match find(host, key) {
        Some(shard) => shard,
        None => get_or_create(host, key)?,
    };
    let first_poll = || maintenance::poll_runners(host.clone(), shard.clone());
    shard.polled.get_or_init(first_poll).await;
    Some(shard)
}

/// The state of a shard, created if the inventory contains it.
pub(super) fn get_or_create(host: &Host, key: &str) -> Option<Arc<OwnedShard>> {
    let inventory = host.conf.current()?.inventory;
    let spec = shards::find(&inventory, key)?;
    let mut owned_shards = lock(&host.placement.owned_shards);
    match owned_shards.binary_search_by(|shard| shard.key.as_str().cmp(key)) {
        Ok(at) => Some(owned_shards[at].clone()),
        Err(at) => {
            let shard = Arc::new(OwnedShard::new(key.into(), spec, host.placement.policy));
            owned_shards.insert(at, shard.clone());
            Some(shard)
        }
    }
}

fn fingerprint_of(call: &Reserve) -> Option<Fingerprint> {
    let bytes = call.fingerprint.as_slice().try_into().ok()?;
    Some(Fingerprint(bytes))
}

fn parse_request(now: Millis, call: &Reserve) -> Result<Request, ParseError> {
    Ok(Request {
        attempt: call.attempt.parse()?,
        team: call.team.as_str().into(),
        class: match call.may_wait {
            true => Class::Waiting,
            false => Class::Urgent,
        },
        prompt: Tokens(call.prompt_tokens),
        max_output: Tokens(call.output_tokens),
        prefix: call.prefix,
        zone: call.zone.parse()?,
        first_token_by: now + Millis(call.first_token_ms),
        token_gap: Millis(call.token_gap_ms),
        deadline: now + Millis(call.deadline_ms),
        avoid: call.avoid.iter().filter_map(|id| id.parse().ok()).collect(),
        suspect: false,
    })
}
