//! When orders are sent to engines that check fences and to those that do not.

use bv_lease::{
    EngineSpec, EngineState, FIRST_ORDER_WAIT, HeldLease, LATE_ORDER_LIMIT, MIN_LEASE_LEFT, Order,
    OrderAction, OrderEvent, OrderResult, Orders, Role,
};
use bv_types::{BackendId, Fence, Millis};

const ACQUIRED: Millis = Millis(100_000);

fn engine() -> BackendId {
    "engine-a".parse().unwrap()
}

fn held(fence: u64, until: Millis) -> HeldLease {
    HeldLease {
        fence: Fence(fence),
        acquired: ACQUIRED,
        until,
    }
}

fn orders(checks_fence: bool) -> Orders {
    let mut orders = Orders::default();
    let spec = EngineSpec {
        id: engine(),
        checks_fence,
    };
    orders.handle(Millis(0), None, OrderEvent::Engines(vec![spec]));
    orders.handle(Millis(0), None, OrderEvent::Want(engine(), Role::Decode));
    orders
}

/// Ticks until an order is sent, answering state reads with `role`.
fn first_order(
    orders: &mut Orders,
    from: Millis,
    until: Millis,
    lease: impl Fn(Millis) -> HeldLease,
    role: impl Into<Option<Role>>,
) -> Option<(Millis, Order)> {
    let role = role.into();
    let mut now = from;
    while now < until {
        let mut actions = orders.handle(now, Some(lease(now)), OrderEvent::Tick);
        while let Some(action) = actions.pop() {
            match action {
                OrderAction::ReadState { engine, read } => {
                    let state = match role {
                        Some(role) => EngineState::Role(role),
                        None => EngineState::NoRole,
                    };
                    let state = OrderEvent::State {
                        engine,
                        read,
                        state,
                    };
                    actions.extend(orders.handle(now, Some(lease(now)), state));
                }
                OrderAction::Send { order, .. } => return Some((now, order)),
                OrderAction::FenceSeen(_) => {}
            }
        }
        now = now + Millis(1);
    }
    None
}

fn long_lease(_: Millis) -> HeldLease {
    held(3, ACQUIRED + Millis(60_000))
}

/// Guards against a first order that interleaves with a late order of the previous holder.
#[test]
fn first_order_waits() {
    for (checks_fence, wait) in [(false, FIRST_ORDER_WAIT), (true, Millis(0))] {
        let mut orders = orders(checks_fence);
        let end = ACQUIRED + Millis(9_000);
        let (at, order) =
            first_order(&mut orders, ACQUIRED, end, long_lease, Role::Prefill).unwrap();
        assert_eq!(at, ACQUIRED + wait);
        assert_eq!((order.fence, order.role), (Fence(3), Role::Decode));
    }
}

/// Guards against an order that takes effect under the next holder's lease.
#[test]
fn no_order_near_lease_end() {
    let from = ACQUIRED + FIRST_ORDER_WAIT;
    for (checks_fence, left, sent) in [
        (false, MIN_LEASE_LEFT, true),
        (false, MIN_LEASE_LEFT - Millis(1), false),
        (true, Millis(1), true),
        (true, Millis(0), false),
    ] {
        let mut orders = orders(checks_fence);
        let lease = |_| held(3, from + left);
        let order = first_order(&mut orders, from, from + Millis(1), lease, Role::Prefill);
        assert_eq!(order.is_some(), sent, "checks {checks_fence}, left {left}");
    }
}

/// Guards against orders without a lease, and against orders for a role that the engine already
/// has.
#[test]
fn no_order_without_lease_or_change() {
    let mut unleased = orders(true);
    assert!(unleased.handle(ACQUIRED, None, OrderEvent::Tick).is_empty());
    let mut settled = orders(true);
    let end = ACQUIRED + Millis(3_000);
    assert_eq!(
        first_order(&mut settled, ACQUIRED, end, long_lease, Role::Decode),
        None
    );
    assert_eq!(settled.known(&engine()), Some(Role::Decode));
}

/// Guards against a next order that is sent too early after the result of the first, or never.
#[test]
fn next_order_after_a_result() {
    let cases = [
        (OrderResult::Done, None),
        (OrderResult::Refused, Some(Millis(500))),
        (OrderResult::Stale(Fence(9)), Some(Millis(500))),
        (OrderResult::Unanswered, Some(LATE_ORDER_LIMIT)),
    ];
    for (result, wait) in cases {
        let mut orders = orders(true);
        let end = ACQUIRED + Millis(9_000);
        let (sent, order) =
            first_order(&mut orders, ACQUIRED, end, long_lease, Role::Prefill).unwrap();
        let ended = OrderEvent::Ended {
            engine: engine(),
            sequence: order.sequence,
            result,
        };
        let actions = orders.handle(sent, Some(long_lease(sent)), ended);
        let stale = matches!(result, OrderResult::Stale(_));
        assert_eq!(actions.contains(&OrderAction::FenceSeen(Fence(9))), stale);
        let next = first_order(&mut orders, sent, end, long_lease, Role::Prefill);
        assert_eq!(
            next.map(|(at, _)| at),
            wait.map(|wait| sent + wait),
            "{result:?}"
        );
    }
}

/// Guards against never ordering an engine that reports no role.
#[test]
fn engine_without_a_role_is_ordered() {
    let mut orders = orders(true);
    let end = ACQUIRED + Millis(1_000);
    let order = first_order(&mut orders, ACQUIRED, end, long_lease, None);
    assert_eq!(order.map(|(_, order)| order.role), Some(Role::Decode));
}

/// Guards against trusting a known role forever, although a late order may have changed it.
#[test]
fn role_is_read_again() {
    let mut orders = orders(true);
    let end = ACQUIRED + Millis(5_000);
    assert_eq!(
        first_order(&mut orders, ACQUIRED, end, long_lease, Role::Decode),
        None
    );
    let later = ACQUIRED + Millis(20_000);
    assert!(first_order(&mut orders, end, later, long_lease, Role::Prefill).is_some());
}
