//! Changing engines between reading prompts and producing tokens.

use std::sync::Arc;

use bv_lease::{PoolSplit, RequestCost, Role, SplitWatch, TERM_ORDERS, Term};
use bv_link::{ConnectTerms, connect};
use bv_platform::{StoreError, Table, decode_term, role_order};
use bv_roster::{Entry, Stage};
use bv_types::{Millis, ServiceId, Version};
use http::{StatusCode, header};
use tracing::{info, warn};

use crate::edge::Edge;

/// Interval at which the split is looked at.
const INTERVAL: Millis = Millis(500);
/// Longest random pause before a host takes a round of orders, so that usually only one tries.
const TAKE_JITTER: Millis = Millis(400);
/// Pause after a try, successful or not.
const TRY_PAUSE: Millis = Millis(4_000);
/// Longest time for the answer to an order.
const ORDER_TIMEOUT: Millis = Millis(500);
/// Time beyond the stated one for which an engine that changes is left alone.
const CHANGE_MARGIN: Millis = Millis(500);

/// Pool of engines whose split is not the best one.
struct Change {
    service: ServiceId,
    role: Role,
    engines: Vec<Entry>,
    takes: Millis,
}

/// Watches the split of the engines and changes it.
pub(crate) async fn balance(edge: Arc<Edge>) {
    let mut watches: Vec<(ServiceId, SplitWatch)> = Vec::new();
    loop {
        tokio::time::sleep(INTERVAL.duration()).await;
        if edge.is_stopping() {
            return;
        }
        let Some(change) = wanted(&edge, &mut watches) else {
            continue;
        };
        let jitter = Millis(fastrand::u64(..=TAKE_JITTER.0));
        tokio::time::sleep(jitter.duration()).await;
        if let Err(err) = carry_out(&edge, &change).await {
            warn!(service = %change.service, error = %err, "roles: no round of orders taken");
        }
        watches.iter_mut().for_each(|(_, watch)| watch.reset());
        tokio::time::sleep(TRY_PAUSE.duration()).await;
    }
}

fn wanted(edge: &Edge, watches: &mut Vec<(ServiceId, SplitWatch)>) -> Option<Change> {
    let now = edge.now();
    let state = edge.state();
    let table = state.in_force.table()?.clone();
    let is_idle = state.fleet.total_sends() == 0 && state.queue.is_empty();
    for service in table.services() {
        let Some(engine) = &service.engine else {
            continue;
        };
        let entries: Vec<&Entry> = state.roster.of_service(now, &service.id).collect();
        let of_stage = |stage| entries.iter().filter(move |e| e.stage == Some(stage));
        // While an engine changes, the split is not settled.
        if entries.iter().any(|e| state.fleet.is_changing(now, &e.id)) {
            continue;
        }
        let split = PoolSplit {
            prefill: of_stage(Stage::Prefill).count(),
            decode: of_stage(Stage::Decode).count(),
        };
        if split.prefill + split.decode < 2 {
            continue;
        }
        let (prefill_ms, decode_ms) = state.fleet.usual_cost(&service.id, engine.kv_capacity);
        let cost = RequestCost {
            prefill_ms,
            decode_ms,
        };
        let found = watches.iter().position(|(id, _)| *id == service.id);
        let at = found.unwrap_or_else(|| {
            watches.push((service.id.clone(), SplitWatch::default()));
            watches.len() - 1
        });
        let Some((role, count)) = watches[at].1.observe(now, split, cost, is_idle) else {
            continue;
        };
        let from = match role {
            Role::Decode => Stage::Prefill,
            Role::Prefill => Stage::Decode,
        };
        let mut engines: Vec<Entry> = of_stage(from).map(|e| (*e).clone()).collect();
        engines.sort_by_key(|e| (state.fleet.own_sends(&e.id), e.id.clone()));
        engines.truncate(count);
        return Some(Change {
            service: service.id.clone(),
            role,
            engines,
            takes: engine.role_change,
        });
    }
    None
}

async fn carry_out(edge: &Edge, change: &Change) -> Result<(), StoreError> {
    let rows = edge.store.read_all(Table::Terms).await?;
    let row = rows.get(change.service.as_str());
    let current = match row.and_then(|row| row.value.as_ref()) {
        Some(body) => Some(decode_term(body)?),
        None => None,
    };
    let expected: Option<Version> = row.filter(|row| row.value.is_some()).map(|row| row.version);
    let own = &edge.settings.host;
    let Some(term) = Term::next(current.as_ref(), own, rows.store_time) else {
        return Ok(());
    };
    let sent_at = edge.now();
    if !edge
        .store
        .take_term(&change.service, expected, &term)
        .await?
    {
        return Ok(());
    }
    for engine in &change.engines {
        // Orders end with the round, also if the process was frozen meanwhile.
        if edge.now() >= sent_at + TERM_ORDERS {
            warn!(fence = term.fence.0, "roles: the round of orders is over");
            break;
        }
        order(edge, engine, change, &term).await;
    }
    Ok(())
}

async fn order(edge: &Edge, engine: &Entry, change: &Change, term: &Term) {
    let until = edge.now() + change.takes + CHANGE_MARGIN;
    edge.state().fleet.change_role(&engine.id, until);
    edge.use_changed();
    let sending = send_order(engine, change.role, term);
    let result = match tokio::time::timeout(ORDER_TIMEOUT.duration(), sending).await {
        Ok(result) => result,
        Err(_) => Err(format!("no answer within {ORDER_TIMEOUT}")),
    };
    match result {
        Ok(status) => info!(
            server = %engine.id,
            role = ?change.role,
            fence = term.fence.0,
            status = status.as_u16(),
            "roles: order sent"
        ),
        Err(err) => warn!(
            server = %engine.id,
            role = ?change.role,
            fence = term.fence.0,
            error = err,
            "roles: order not answered, it may be carried out later"
        ),
    }
}

async fn send_order(engine: &Entry, role: Role, term: &Term) -> Result<StatusCode, String> {
    let terms = ConnectTerms {
        timeout: ORDER_TIMEOUT,
        unacknowledged: ORDER_TIMEOUT,
    };
    let mut req = role_order(&engine.id, role, term).map_err(|err| err.to_string())?;
    let host = header::HeaderValue::from_str(&engine.address.to_string());
    req.headers_mut()
        .insert(header::HOST, host.map_err(|err| err.to_string())?);
    let mut channel = connect(engine.address, terms)
        .await
        .map_err(|err| err.to_string())?;
    let answer = channel.send(req).await.map_err(|err| err.to_string())?;
    Ok(answer.status())
}
