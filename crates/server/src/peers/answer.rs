//! Answers to calls of other entry hosts.

use std::sync::Arc;

use bv_types::{HostId, Incarnation};
use bv_wire::Unsupported;
use bv_wire::frame::Body;

use crate::Host;

/// Answers one call; calls of one connection are answered concurrently.
pub(crate) async fn answer(
    host: &Arc<Host>,
    _from: &HostId,
    _incarnation: Incarnation,
    body: Body,
) -> Body {
    match body {
        Body::GetConfig(_) => Body::Config(host.conf.answer()),
        Body::Hello(_) | Body::Config(_) | Body::Unsupported(_) => {
            Body::Unsupported(Unsupported {})
        }
    }
}
