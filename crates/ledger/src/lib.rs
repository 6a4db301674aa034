//! Request ledger that runs non-idempotent calls at most once.
//!
//! Each call claims a row of the table before it is dispatched. [`Ledger`] decides when a call may
//! be dispatched and how its caller is answered; [`GroupCommit`] batches the writes of one host
//! into transactions. Neither does I/O: the driver, which is the code that embeds them, performs
//! the [`Action`]s and reports their results as [`Event`]s.
//!
//! ```
//! use bv_ledger::{Action, CallId, Event, Ledger, StoreAnswer};
//! use bv_types::{HostId, Incarnation, Millis};
//!
//! let host: HostId = "host-a".parse().unwrap();
//! let mut ledger = Ledger::new(host, Incarnation(1), 7);
//! let call = CallId(1);
//! let actions = ledger.handle(
//!     Millis(100),
//!     Event::Arrive {
//!         call,
//!         key: "call/booking/17".into(),
//!         deadline: Millis(5_100),
//!         resend_window: Millis::from_secs(600),
//!     },
//! );
//! let Action::Write { op, .. } = actions[0] else { panic!("a claim is written first") };
//! let answer = StoreAnswer::Written;
//! let actions = ledger.handle(Millis(110), Event::StoreAnswer { op, answer });
//! assert_eq!(actions, [Action::Dispatch { call, attempt: 0 }]);
//! assert!(ledger.start(Millis(110), call, 0));
//! ```

mod call;
mod commit;
mod dead_hosts;
mod event;
mod identity;
mod ledger;
mod reply;
mod row;

pub use commit::{
    GroupCommit, MAX_TRANSACTION_BYTES, MAX_TRANSACTION_ROWS, RowResult, TransactionResult,
    commit_interval,
};
pub use event::{Action, CallId, Event, Precondition, RowWrite, StoreAnswer, StoreOpId, StoredRow};
pub use identity::{IdentityRule, ResentCall, row_key};
pub use ledger::Ledger;
pub use reply::{Answer, MAX_STORED_BYTES, Reply, UnknownReason};
pub use row::{RowBody, RowState};

use bv_types::Millis;

/// Time after the claim during which a call may be dispatched.
pub const DISPATCH_WINDOW: Millis = Millis(10_000);
/// Time for which a row is kept after the end of its resend window.
pub const ROW_GRACE: Millis = Millis::from_secs(3_600);
