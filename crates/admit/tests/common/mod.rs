//! Backend servers and requests for the placement tests.

use std::net::SocketAddr;

use bv_admit::{CallRequest, ModelRequest};
use bv_roster::{Registration, ServerState, Stage};
use bv_types::{BackendId, Millis, ServiceId, Tokens, ZoneId};

/// KV cache of one engine.
pub const CAPACITY: Tokens = Tokens(40_000);

pub fn id(name: &str) -> BackendId {
    name.parse().unwrap()
}

pub fn service() -> ServiceId {
    "drafting".parse().unwrap()
}

pub fn zone(name: &str) -> ZoneId {
    name.parse().unwrap()
}

pub fn server(name: &str, in_zone: &str, stage: Option<Stage>) -> Registration {
    Registration {
        id: id(name),
        service: service(),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        zone: zone(in_zone),
        slots: if stage.is_some() { 64 } else { 6 },
        state: ServerState::Ready,
        stage,
        started_at: Some(Millis(1)),
        sequence: 1,
    }
}

#[allow(dead_code)] // Used by the tests of plain calls.
pub fn call_request<'a>(
    service: &'a ServiceId,
    zone: &'a ZoneId,
    tried: &'a [BackendId],
) -> CallRequest<'a> {
    CallRequest {
        service,
        zone,
        tried,
        remaining: Millis(600),
    }
}

#[allow(dead_code)] // Used by the tests of model calls.
pub fn model_request<'a>(
    service: &'a ServiceId,
    zone: &'a ZoneId,
    tried: &'a [BackendId],
) -> ModelRequest<'a> {
    ModelRequest {
        service,
        zone,
        tried,
        prompt: Tokens(3_000),
        total: Tokens(4_000),
        kv_capacity: CAPACITY,
        peers_before: 0,
        remaining: Millis(14_000),
    }
}
