//! Leases with fencing numbers, the orders sent to engines under them, and role changes.
//!
//! Each engine group has at most one lease holder at a time. [`Lease`] obtains and renews the lease
//! in the table service, [`Orders`] sends orders under it, and [`RoleBalance`] decides when an
//! engine should change its role. None of them does I/O: the driver, which is the code that embeds
//! them, performs the actions that they return and reports the results as events.
//!
//! ```
//! use bv_lease::{Action, Event, Holder, Lease};
//! use bv_types::{Fence, Incarnation, Millis};
//!
//! let this_process = Holder { host: "host-a".parse().unwrap(), incarnation: Incarnation(1) };
//! let mut lease = Lease::new(this_process);
//! let mut now = Millis(0);
//! let mut actions = lease.handle(now, Event::Want(true));
//! // The row does not exist; the lease is acquired after it has been absent for long enough.
//! let write = loop {
//!     now = now + Millis(500);
//!     actions = match actions[..] {
//!         [Action::Read { read }] => lease.handle(now, Event::Read { read, row: None }),
//!         [Action::Write { write, .. }] => break write,
//!         _ => lease.handle(now, Event::Tick),
//!     };
//! };
//! let sent = now - Millis(500);
//! let committed = Event::WriteEnded { write, result: bv_lease::WriteResult::Committed };
//! assert_eq!(lease.handle(now, committed), [Action::Acquired(Fence(1))]);
//! // The duration of the lease starts when the write was sent.
//! assert_eq!(lease.held(now).unwrap().until, sent + Millis(9_000));
//! ```

mod event;
mod lease;
mod orders;
mod roles;
mod split;
mod term;

pub use event::{Action, Event, HeldLease, Holder, LeaseRow, StoredLease, WriteResult};
pub use lease::{LEASE_DURATION, Lease, TAKEOVER_MARGIN};
pub use orders::{
    EngineSpec, EngineState, FIRST_ORDER_WAIT, LATE_ORDER_LIMIT, MIN_LEASE_LEFT, ORDER_TIMEOUT,
    Order, OrderAction, OrderEvent, OrderResult, Orders,
};
pub use roles::{MIN_CHANGE_INTERVAL, MIN_SHORTAGE_TIME, RoleBalance, RoleLoad};
pub use split::{PoolSplit, RequestCost, SplitWatch, prefill_target};
pub use term::{MIN_TERM_INTERVAL, RoundTimes, TERM_SEND_WINDOW, Term, TermRow};

use serde::{Deserialize, Serialize};

/// Task of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Computes KV cache from prompts.
    Prefill,
    /// Generates tokens from imported KV cache.
    Decode,
}
