//! The right to send one round of orders, taken by a single conditional write.

use bv_types::{Fence, HostId, Millis};

/// Time after which another round may be sent. An order without an answer may be carried out up to
/// 12 s later, and two holders may not take turns within the lease time of the engines.
pub const TERM_PAUSE: Millis = Millis(16_000);
/// Time after the write was sent in which orders may be sent under it.
pub const TERM_SEND_WINDOW: Millis = Millis(600);

/// One round of orders, as its row in the store says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Term {
    /// The host that sends the orders.
    pub holder: HostId,
    /// Grows with each round.
    pub fence: Fence,
    /// The store's steady clock before the write.
    pub taken_at: Millis,
}

impl Term {
    /// The next round for `host`, or none while an earlier one may still have an effect.
    pub fn next(current: Option<&Term>, host: &HostId, store_time: Millis) -> Option<Term> {
        let fence = match current {
            None => Fence(1),
            // A store whose clock was set back makes no earlier round newer than now.
            Some(term) if store_time < term.taken_at => return None,
            Some(term) if store_time < term.taken_at + TERM_PAUSE => return None,
            Some(term) => Fence(term.fence.0 + 1),
        };
        Some(Term {
            holder: host.clone(),
            fence,
            taken_at: store_time,
        })
    }
}
