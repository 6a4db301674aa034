//! Calls to the table service and to engines for leases and orders.

use std::net::SocketAddr;

use bv_lease::{
    EngineState, Event, LeaseRow, ORDER_TIMEOUT, Order, OrderResult, StoredLease, WriteResult,
};
use bv_store::{Refused, Row, StoreError, Transacted, Write};
use bv_types::{Fence, Millis, PoolId, Version};
use serde_json::{Value, json};
use smol_str::{SmolStr, format_smolstr};
use tracing::debug;

use crate::backend::CallError;
use crate::{Host, counters};

const ORDER_PATH: &str = "/order";
const STATE_TIMEOUT: Millis = Millis(1_000);

/// Key of a pool's lease row.
pub(super) fn row_key(pool: &PoolId) -> SmolStr {
    format_smolstr!("lease/{pool}")
}

fn from_row(row: &Row) -> Option<StoredLease> {
    let body: LeaseRow = serde_json::from_str(&row.body).ok()?;
    Some(StoredLease {
        version: row.version,
        row: body,
    })
}

pub(super) async fn read_row(host: &Host, pool: &PoolId, read: u64) -> Event {
    match host.table.get(&row_key(pool)).await {
        Ok(None) => Event::Read { read, row: None },
        Ok(Some(row)) => match from_row(&row) {
            Some(stored) => Event::Read {
                read,
                row: Some(stored),
            },
            None => Event::ReadFailed { read },
        },
        Err(err) => {
            debug!(%err, "lease: reading the lease row failed");
            Event::ReadFailed { read }
        }
    }
}

pub(super) async fn write_row(
    host: &Host,
    pool: &PoolId,
    stored: &StoredLease,
    expected: Option<Version>,
) -> WriteResult {
    let Ok(body) = serde_json::to_string(&stored.row) else {
        return WriteResult::Unavailable;
    };
    let write = Write {
        row: Row {
            key: row_key(pool),
            version: stored.version,
            body,
        },
        condition: expected.into(),
        expires: None,
    };
    match host.table.transact(&[write]).await {
        Ok(Transacted::Committed) => WriteResult::Committed,
        Ok(Transacted::Refused(refused)) => match refused.into_iter().next() {
            Some(Refused::Conflict(row)) => WriteResult::Conflict(row.as_ref().and_then(from_row)),
            Some(Refused::Unaffected) | None => WriteResult::Unavailable,
        },
        Err(err @ StoreError::Unavailable { .. }) => {
            debug!(%err, "lease: writing the lease row failed");
            WriteResult::Unavailable
        }
        Err(err @ StoreError::Unanswered { .. }) => {
            debug!(%err, "lease: a write of the lease row was not confirmed");
            WriteResult::Unanswered
        }
    }
}

/// State and fence that an engine reports; `None` without an answer.
pub(super) async fn read_state(host: &Host, addr: SocketAddr) -> Option<(EngineState, Fence)> {
    let call = host.backends.get_json("state", addr, ORDER_PATH);
    let state = match tokio::time::timeout(STATE_TIMEOUT.duration(), call).await {
        Ok(Ok(state)) => state,
        Ok(Err(err)) => {
            debug!(%err, "lease: reading the role and fence of an engine failed");
            return None;
        }
        Err(_) => return None,
    };
    let role = serde_json::from_value(state["role"].clone());
    let reported = role.map_or(EngineState::NoRole, EngineState::Role);
    Some((reported, fence_of(&state)))
}

fn fence_of(state: &Value) -> Fence {
    Fence(state["fence"].as_u64().unwrap_or(0))
}

/// Sends an order unless its time has passed, which happens if this process was paused.
pub(super) async fn send_order(
    host: &Host,
    addr: SocketAddr,
    order: &Order,
    not_after: Millis,
) -> OrderResult {
    if host.clock.now() > not_after {
        return OrderResult::Refused;
    }
    let body = json!({"fence": order.fence.0, "role": order.role});
    let call = host.backends.post_json("order", addr, ORDER_PATH, &body);
    let result = match tokio::time::timeout(ORDER_TIMEOUT.duration(), call).await {
        Ok(Ok(_)) => OrderResult::Done,
        Ok(Err(CallError::Status { status, .. })) if status == hyper::StatusCode::CONFLICT => {
            stale_result(host, addr).await
        }
        Ok(Err(CallError::Status { status, .. })) if status.is_client_error() => {
            OrderResult::Refused
        }
        Ok(Err(CallError::ConnectFailed { .. })) => OrderResult::Refused,
        Ok(Err(err)) => {
            debug!(%err, "lease: an engine did not confirm an order");
            OrderResult::Unanswered
        }
        Err(_) => OrderResult::Unanswered,
    };
    counters::order_ended(match result {
        OrderResult::Done => "done",
        OrderResult::Stale(_) => "stale",
        OrderResult::Refused => "refused",
        OrderResult::Unanswered => "unanswered",
    });
    result
}

/// Result of an order that was refused as stale, with the engine's current fence.
async fn stale_result(host: &Host, addr: SocketAddr) -> OrderResult {
    match read_state(host, addr).await {
        Some((_, fence)) => OrderResult::Stale(fence),
        None => OrderResult::Refused,
    }
}
