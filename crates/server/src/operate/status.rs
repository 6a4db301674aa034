//! State of the entry host: `GET /v1/status`.

use std::sync::Arc;

use axum::Json;
use axum::extract::State;
use serde_json::{Value, json};

use super::not_ready;
use crate::Host;

pub(super) async fn show(State(host): State<Arc<Host>>) -> Json<Value> {
    let advert = host.conf.advert();
    let (age, stale) = host.conf.freshness();
    let not_ready = not_ready(&host);
    let members: Vec<Value> = host
        .peers
        .alive()
        .into_iter()
        .map(|member| {
            json!({
                "host": member.host.as_str(),
                "incarnation": member.incarnation.0,
                "addr": member.addr.to_string(),
            })
        })
        .collect();
    let leaving: Vec<Value> = host
        .leaving
        .lock()
        .leaving()
        .into_iter()
        .map(|mark| {
            json!({
                "backend": mark.backend.as_str(),
                "incarnation": mark.incarnation.0,
            })
        })
        .collect();
    Json(json!({
        "host": host.settings.host_id.as_str(),
        "zone": host.settings.zone.as_str(),
        "incarnation": host.incarnation.0,
        "now_ms": host.clock.now().0,
        "version": advert.map_or(0, |advert| advert.version.0),
        "digest": advert.map(|advert| advert.digest.to_string()),
        "confirmed_ms_ago": age.map(|age| age.0),
        "stale": stale,
        "ready": not_ready.is_none(),
        "not_ready": not_ready,
        "members": members,
        "leaving": leaving,
    }))
}
