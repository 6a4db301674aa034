//! Oracle engine: carries out orders and panics if those of two holders interleave or those of one
//! holder are out of sequence.

use bv_lease::{EngineSpec, Order, OrderResult, Role};

pub(super) struct Engine {
    pub spec: EngineSpec,
    pub role: Role,
    /// Orders that took effect, in this sequence.
    pub applied: Vec<Order>,
}

impl Engine {
    /// Carries out an order unless the engine checks fences and knows a higher one.
    pub fn order(&mut self, order: Order) -> OrderResult {
        let highest = self.applied.iter().map(|order| order.fence).max();
        if let Some(highest) = highest.filter(|highest| order.fence < *highest) {
            if self.spec.checks_fence {
                return OrderResult::Stale(highest);
            }
            panic!(
                "an order with fence {} took effect at {} after one with fence {highest}",
                order.fence, self.spec.id
            );
        }
        if let Some(last) = self.applied.last() {
            assert!(
                (order.fence, order.sequence) > (last.fence, last.sequence),
                "{order:?} took effect after {last:?} of the same holder"
            );
        }
        self.applied.push(order);
        self.role = order.role;
        OrderResult::Done
    }
}
