//! Changes the role of engines between prefill and decode.
//!
//! Before a host sends role orders, it takes a term: a conditional write in the store that gives
//! one host the right to send one round of orders for a short time.

use std::sync::Arc;

use bv_lease::{
    PoolSplit, RequestCost, Role, RoundTimes, SplitWatch, TERM_SEND_WINDOW, Term, TermRow,
};
use bv_link::{ConnectOptions, connect};
use bv_platform::{Rows, StoreError, Table, decode_term, role_order};
use bv_roster::{Registration, Stage};
use bv_types::{Millis, ServiceId};
use futures_util::future::join_all;
use http::{StatusCode, header};
use tracing::{info, warn};

use crate::edge::Edge;
use crate::follow::{log_left_out, log_unreadable_rows};

/// Interval at which the split between prefill and decode engines is checked.
const CHECK_INTERVAL: Millis = Millis(500);
/// Longest random pause before a host takes a term for role orders, so that usually only one host
/// tries.
const TAKE_TERM_JITTER: Millis = Millis(400);
/// Pause after an attempt to change the split, successful or not.
const ATTEMPT_PAUSE: Millis = Millis(4_000);
/// Timeout of an order to an engine.
const ORDER_TIMEOUT: Millis = Millis(500);
/// Orders that are sent at once.
const CONCURRENT_ORDERS: usize = 32;
/// Time added to the configured duration of a role change, during which the engine gets neither
/// work nor another order.
const CHANGE_MARGIN: Millis = Millis(500);

/// Role change of some engines of a service, to improve its split.
struct RoleChange {
    service: ServiceId,
    role: Role,
    engines: Vec<Registration>,
    duration: Millis,
}

/// Watches the split of each service's engines and changes it when another one is better.
pub(crate) async fn balance(edge: Arc<Edge>) {
    let mut watches: Vec<(ServiceId, SplitWatch)> = Vec::new();
    let mut round_times = RoundTimes::default();
    loop {
        tokio::time::sleep(CHECK_INTERVAL.duration()).await;
        observe_era(&edge, &mut round_times);
        if edge.is_stopping() {
            return;
        }
        // The readers of the store are enough, and every other host would read the term's row too.
        if !edge.state().sources.is_reader() {
            watches.clear();
            continue;
        }
        let Some(change) = find_change(&edge, &mut watches) else {
            continue;
        };
        let jitter = Millis(fastrand::u64(..=TAKE_TERM_JITTER.0));
        tokio::time::sleep(jitter.duration()).await;
        if let Err(err) = apply_change(&edge, &change, &mut round_times).await {
            warn!(
                service = %change.service,
                error = %err,
                "roles: taking a term for role orders failed"
            );
        }
        watches.iter_mut().for_each(|(_, watch)| watch.reset());
        tokio::time::sleep(ATTEMPT_PAUSE.duration()).await;
    }
}

/// Records the era of the store early, since no round is taken for a while after its begin.
fn observe_era(edge: &Edge, round_times: &mut RoundTimes) {
    let now = edge.now();
    let state = edge.state();
    if let Some(store_time) = state.store_clock.store_time(now) {
        round_times.observe_era(state.known.era(), store_time);
    }
}

fn find_change(edge: &Edge, watches: &mut Vec<(ServiceId, SplitWatch)>) -> Option<RoleChange> {
    let now = edge.now();
    let state = edge.state();
    let table = state.in_force.table()?.clone();
    let is_idle = state.fleet.total_sends() == 0 && state.queue.is_empty();
    for service in table.services() {
        let Some(engine) = &service.engine else {
            continue;
        };
        let entries: Vec<&Registration> = state.roster.of_service(now, &service.id).collect();
        let of_stage = |stage| entries.iter().filter(move |e| e.stage == Some(stage));
        // The split is not evaluated while an engine is changing its role.
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
        let mut engines: Vec<Registration> = of_stage(from).map(|e| (*e).clone()).collect();
        engines.sort_by_key(|e| (state.fleet.own_sends(&e.id), e.id.clone()));
        engines.truncate(count);
        return Some(RoleChange {
            service: service.id.clone(),
            role,
            engines,
            duration: engine.role_change,
        });
    }
    None
}

async fn apply_change(
    edge: &Edge,
    change: &RoleChange,
    round_times: &mut RoundTimes,
) -> Result<(), StoreError> {
    let rows = edge.store.read_all(Table::Terms).await?;
    log_left_out(Table::Terms, &rows);
    let row = term_row(&rows, &change.service);
    let read_at = (rows.era, rows.store_time);
    let latest = round_times.latest(&change.service, row.as_ref(), read_at);
    let own = &edge.settings.host;
    let expected = row.map(|row| row.version);
    let replaced = (rows.era, expected.unwrap_or(rows.version));
    let Some(term) = Term::next(latest, replaced, own, rows.store_time) else {
        return Ok(());
    };
    let term_requested_at = edge.now();
    if !edge
        .store
        .take_term(&change.service, (rows.era, expected), &term)
        .await?
    {
        return Ok(());
    }
    round_times.record_taken(&change.service, term.taken_at);
    let send_until = term_requested_at + TERM_SEND_WINDOW;
    // One order after the other would take longer than the send window with many engines.
    let mut sent = Vec::new();
    for engines in change.engines.chunks(CONCURRENT_ORDERS) {
        let orders = engines
            .iter()
            .map(|engine| order_in_time(edge, engine, change, &term, send_until));
        sent.extend(join_all(orders).await);
    }
    let unsent = sent.iter().filter(|sent| !**sent).count();
    if unsent > 0 {
        warn!(
            fence = term.fence.0,
            unsent, "roles: the time for orders of this term is over, remaining orders not sent"
        );
    }
    Ok(())
}

/// The row of a service's latest round.
fn term_row(rows: &Rows, service: &ServiceId) -> Option<TermRow> {
    let row = rows.get(service.as_str())?;
    let term = decode_term(row.value.as_ref()?);
    let term = term.inspect_err(|err| log_unreadable_rows(Table::Terms, std::slice::from_ref(err)));
    Some(TermRow {
        version: row.version,
        term: term.ok(),
    })
}

/// Sends an order unless the send window of the term is over; the process may have been paused in
/// between. Returns whether it was sent.
async fn order_in_time(
    edge: &Edge,
    engine: &Registration,
    change: &RoleChange,
    term: &Term,
    send_until: Millis,
) -> bool {
    let is_in_time = edge.now() < send_until;
    if is_in_time {
        order_role_change(edge, engine, change, term).await;
    }
    is_in_time
}

async fn order_role_change(edge: &Edge, engine: &Registration, change: &RoleChange, term: &Term) {
    let until = edge.now() + change.duration + CHANGE_MARGIN;
    edge.state().fleet.record_role_change(&engine.id, until);
    edge.notify_load_changed();
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
            "roles: order not answered, the engine may carry it out later"
        ),
    }
}

async fn send_order(engine: &Registration, role: Role, term: &Term) -> Result<StatusCode, String> {
    let options = ConnectOptions {
        timeout: ORDER_TIMEOUT,
        unacknowledged: ORDER_TIMEOUT,
    };
    let mut req = role_order(&engine.id, role, term).map_err(|err| err.to_string())?;
    let host = header::HeaderValue::from_str(&engine.address.to_string());
    req.headers_mut()
        .insert(header::HOST, host.map_err(|err| err.to_string())?);
    let mut channel = connect(engine.address, options)
        .await
        .map_err(|err| err.to_string())?;
    let answer = channel.send(req).await.map_err(|err| err.to_string())?;
    Ok(answer.status())
}
