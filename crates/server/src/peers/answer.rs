//! Answers to calls of other entry hosts.

use std::sync::Arc;

use bv_types::{HostId, Incarnation};
use bv_wire::Unsupported;
use bv_wire::frame::Body;

use crate::{Host, placement};

/// Answers one call; calls of one connection are answered concurrently.
pub(crate) async fn answer(
    host: &Arc<Host>,
    from: &HostId,
    incarnation: Incarnation,
    body: Body,
) -> Body {
    match body {
        Body::GetConfig(_) => Body::Config(host.conf.answer()),
        Body::TakeAllowance(take) => host.limits.answer_take(host, (from, incarnation), &take),
        Body::GiveBack(back) => host.limits.answer_give_back((from, incarnation), &back),
        Body::Reserve(call) => placement::reserve(host, call).await,
        Body::PrefillDone(call) => placement::prefill_done(host, call).await,
        Body::Release(call) => placement::release(host, call).await,
        Body::Adopt(call) => placement::adopt(host, call).await,
        Body::Hello(_)
        | Body::Config(_)
        | Body::Allowance(_)
        | Body::Unsupported(_)
        | Body::Grant(_)
        | Body::Deny(_)
        | Body::Queued(_)
        | Body::Done(_) => Body::Unsupported(Unsupported {}),
    }
}
