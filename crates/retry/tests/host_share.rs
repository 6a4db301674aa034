//! Share of one host in a retry budget, after its start and while the number of hosts changes.

use bv_retry::{BudgetLimits, HostBudgets};
use bv_types::{Millis, ServiceId};

const LIMITS: BudgetLimits = BudgetLimits {
    ratio: 0.0,
    extra: 80.0,
    window: Millis(10_000),
};

fn service() -> ServiceId {
    "pool".parse().unwrap()
}

fn allowed(budgets: &mut HostBudgets, now: u64) -> f64 {
    let balance = budgets.balance(Millis(now), &service(), LIMITS);
    (balance.allowed * 100.0).round() / 100.0
}

/// Guards against a restarted process that uses what the one before it has used already.
#[test]
fn restarted_process() {
    let mut budgets = HostBudgets::new(Millis(1_000), false);
    budgets.set_hosts(Millis(1_000), Some(8));
    assert_eq!(allowed(&mut budgets, 1_000), 0.0);
    assert_eq!(allowed(&mut budgets, 6_000), 0.75);
    assert_eq!(allowed(&mut budgets, 10_999), 1.5);
    assert_eq!(allowed(&mut budgets, 11_000), 8.5);
}

/// Guards against a system that starts for the first time with no share.
#[test]
fn first_start() {
    let mut budgets = HostBudgets::new(Millis(1_000), true);
    assert_eq!(allowed(&mut budgets, 1_000), 0.0, "the hosts are not known");
    budgets.set_hosts(Millis(1_000), Some(8));
    assert_eq!(allowed(&mut budgets, 1_000), 8.5);
}

/// Guards against a larger part while hosts that are no longer seen may still be running.
#[test]
fn fewer_hosts() {
    let mut budgets = HostBudgets::new(Millis(0), true);
    budgets.set_hosts(Millis(0), Some(8));
    budgets.set_hosts(Millis(50_000), Some(2));
    budgets.set_hosts(Millis(60_000), Some(4));
    assert_eq!(allowed(&mut budgets, 169_999), 8.5);
    assert_eq!(allowed(&mut budgets, 170_000), 17.0);
    budgets.set_hosts(Millis(180_000), Some(16));
    assert_eq!(allowed(&mut budgets, 180_000), 4.25);
}
