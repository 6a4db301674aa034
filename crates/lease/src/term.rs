//! Right to send one round of orders, acquired by a single conditional write.

use bv_types::{Fence, HostId, Millis};

/// Minimum time between two rounds. An unanswered order may be carried out up to 12 s later, and
/// two holders must not alternate within the lease time of the engines.
pub const MIN_TERM_INTERVAL: Millis = Millis(16_000);
/// Time after sending the write within which orders may be sent under its term.
pub const TERM_SEND_WINDOW: Millis = Millis(600);

/// One round of orders, as recorded in its row in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Term {
    /// The host that sends the orders.
    pub holder: HostId,
    /// Fencing number; higher for each round.
    pub fence: Fence,
    /// The store's steady clock before the write.
    pub taken_at: Millis,
}

impl Term {
    /// The next round for `host`, or none while orders of an earlier one may still take effect.
    pub fn next(current: Option<&Term>, host: &HostId, store_time: Millis) -> Option<Term> {
        let fence = match current {
            None => Fence(1),
            // The store's clock was set back, so the age of the earlier round is not known.
            Some(term) if store_time < term.taken_at => return None,
            Some(term) if store_time < term.taken_at + MIN_TERM_INTERVAL => return None,
            // No higher fence exists, so engines would refuse the orders.
            Some(term) => Fence(term.fence.0.checked_add(1)?),
        };
        Some(Term {
            holder: host.clone(),
            fence,
            taken_at: store_time,
        })
    }
}
