//! Answers of a home to entry hosts.

use std::sync::Arc;

use bv_place::{Adoption, Class, Event, Request};
use bv_types::{AttemptId, Fingerprint, Millis, ParseError, Refusal, Tokens};
use bv_wire::frame::Body;
use bv_wire::{Adopt, Deny, Done, Grant, PrefillDone, Queued, Release, Reserve, Unsupported};
use tokio::sync::oneshot;

use super::home::{Home, Verdict};
use super::{lock, poll, shards};
use crate::{Host, crash};

/// Longest time for which a call is kept open.
const MAX_WAIT: Millis = Millis(2_000);

/// Answers `Reserve` when the request is granted or refused, or when its waiting time has passed.
pub(crate) async fn reserve(host: &Arc<Host>, call: Reserve) -> Body {
    let Ok(mut request) = request(host.clock.now(), &call) else {
        return Body::Unsupported(Unsupported {});
    };
    let Some(home) = home(host, &call.shard).await else {
        return deny(Refusal::NoBackend, 0);
    };
    if request.attempt.attempt > 0 {
        // The attempt before may have crashed its engine, which the home must know before it
        // chooses the next one; the regular poll comes up to 250 ms later.
        poll::poll(host.clone(), home.clone()).await;
    }
    if let Some(content) = content(&call) {
        if crash::is_convicted(host, &content) {
            return deny(Refusal::CrashesEngines, home.load_percent());
        }
        request.suspect = crash::is_suspect(host, content);
        home.note_request(&request.attempt, content);
    }
    let attempt = request.attempt.clone();
    let answer = home.ask(host, attempt, Event::Reserve(request));
    wait(&home, call.wait_ms, answer).await
}

/// Answers `PrefillDone` when decode may start.
pub(crate) async fn prefill_done(host: &Arc<Host>, call: PrefillDone) -> Body {
    let Ok(attempt) = call.attempt.parse::<AttemptId>() else {
        return Body::Unsupported(Unsupported {});
    };
    let Some(home) = home(host, &call.shard).await else {
        return deny(Refusal::NoBackend, 0);
    };
    let answer = home.ask(host, attempt.clone(), Event::PrefillDone(attempt));
    wait(&home, call.wait_ms, answer).await
}

/// Ends a grant or withdraws a queued request.
pub(crate) async fn release(host: &Arc<Host>, call: Release) -> Body {
    let Ok(attempt) = call.attempt.parse::<AttemptId>() else {
        return Body::Unsupported(Unsupported {});
    };
    if let Some(home) = find(host, &call.shard) {
        home.end(host, attempt, call.end());
    }
    Body::Done(Done {})
}

/// Takes over a grant of an earlier home.
pub(crate) async fn adopt(host: &Arc<Host>, call: Adopt) -> Body {
    let Some(reserve) = call.request else {
        return Body::Unsupported(Unsupported {});
    };
    let request = request(host.clock.now(), &reserve);
    let (Ok(request), Ok(prefill), Ok(decode)) =
        (request, call.prefill.parse(), call.decode.parse())
    else {
        return Body::Unsupported(Unsupported {});
    };
    let Some(home) = home(host, &reserve.shard).await else {
        return deny(Refusal::NoBackend, 0);
    };
    let adoption = Adoption {
        request,
        prefill,
        decode,
        decoding: call.decoding,
    };
    home.adopt(host, adoption, content(&reserve));
    Body::Done(Done {})
}

async fn wait(home: &Home, wait_ms: u64, answer: oneshot::Receiver<Verdict>) -> Body {
    let limit = Millis(wait_ms).min(MAX_WAIT);
    match tokio::time::timeout(limit.duration(), answer).await {
        Ok(Ok(Verdict::Grant(grant))) => Body::Grant(Grant {
            prefill: grant.prefill.to_string(),
            decode: grant.decode.to_string(),
            prefill_ms: grant.prefill_time.0,
            first_token_ms: grant.first_token.0,
            load_percent: home.load_percent(),
            slot_ready: grant.slot_ready,
        }),
        Ok(Ok(Verdict::Deny(reason))) => deny(reason, home.load_percent()),
        Ok(Ok(Verdict::Proceed)) => Body::Done(Done {}),
        // A newer call for the same attempt has replaced this one, or the time has passed.
        Ok(Err(_)) | Err(_) => Body::Queued(Queued {}),
    }
}

fn deny(reason: Refusal, load_percent: u32) -> Body {
    Body::Deny(Deny {
        reason: reason.code().to_owned(),
        load_percent,
    })
}

fn find(host: &Host, key: &str) -> Option<Arc<Home>> {
    let homes = lock(&host.placement.homes);
    let at = homes.binary_search_by(|h| h.key.as_str().cmp(key)).ok()?;
    Some(homes[at].clone())
}

/// The home of a shard of the inventory, with a first poll of its runners.
async fn home(host: &Arc<Host>, key: &str) -> Option<Arc<Home>> {
    let home = match find(host, key) {
        Some(home) => home,
        None => create(host, key)?,
    };
    let first = || poll::poll(host.clone(), home.clone());
    home.polled.get_or_init(first).await;
    Some(home)
}

pub(super) fn create(host: &Host, key: &str) -> Option<Arc<Home>> {
    let inventory = host.conf.current()?.inventory;
    let spec = shards::find(&inventory, key)?;
    let mut homes = lock(&host.placement.homes);
    match homes.binary_search_by(|h| h.key.as_str().cmp(key)) {
        Ok(at) => Some(homes[at].clone()),
        Err(at) => {
            let home = Arc::new(Home::new(key.into(), spec, host.placement.policy));
            homes.insert(at, home.clone());
            Some(home)
        }
    }
}

fn content(call: &Reserve) -> Option<Fingerprint> {
    let bytes = call.fingerprint.as_slice().try_into().ok()?;
    Some(Fingerprint(bytes))
}

fn request(now: Millis, call: &Reserve) -> Result<Request, ParseError> {
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
