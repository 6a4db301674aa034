//! Part of the retry budget that requests earn, around a restart of all hosts.

use bv_retry::{BudgetLimits, HostBudgets, Purpose, Settlement};
use bv_types::{Millis, ServiceId};

const LIMITS: BudgetLimits = BudgetLimits {
    ratio: 0.2,
    extra: 56.0,
    window: Millis(10_000),
};
const HOSTS: usize = 8;
/// Time between two requests at one host.
const REQUEST_GAP: u64 = 125;
const RESTART: u64 = 30_000;

/// Guards against requests of one window that earn retries before a restart and others after it.
#[test]
fn earned_before_and_after() {
    let service: ServiceId = "pool".parse().unwrap();
    let arrived = Settlement {
        arrived: 1,
        returned: 0,
    };
    let (mut requests, mut retries) = (0, 0);
    for _ in 0..HOSTS {
        let mut budgets = HostBudgets::new(Millis(0), true);
        budgets.set_hosts(Millis(0), Some(HOSTS));
        // Engines refuse from shortly before the restart on.
        for now in (0..RESTART + 9_500).step_by(REQUEST_GAP as usize) {
            let at = Millis(now);
            if now == RESTART {
                budgets = HostBudgets::new(at, false);
                budgets.set_hosts(at, Some(HOSTS));
            }
            budgets.request(at, &service, LIMITS);
            if now + 500 < RESTART {
                continue;
            }
            requests += 1;
            while budgets.take(at, &service, LIMITS, Purpose::Start, 1) {
                budgets.settle(at, &service, LIMITS, arrived);
                retries += 1;
            }
        }
    }
    let allowed = LIMITS.ratio * f64::from(requests) + LIMITS.extra;
    assert!(
        f64::from(retries) <= allowed,
        "{retries} retries for {requests} requests, allowed {allowed}"
    );
}
