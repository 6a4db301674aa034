//! Retry budgets, backoff, ejection and silence of backend servers.
//!
//! ```
//! use bv_retry::{Backoff, Budget, Ejection, Outcome};
//! use bv_types::{BackendId, Millis};
//!
//! let now = Millis(1_000);
//! let mut budget = Budget::new(now);
//! budget.first_attempt(now);
//! assert!(budget.take(now));
//!
//! let mut backoff = Backoff::new(7);
//! assert!(backoff.delay(0) <= Millis(25));
//!
//! let servers: Vec<BackendId> = ["a", "b"].map(|id| id.parse().unwrap()).to_vec();
//! let mut group = Ejection::new(servers.clone());
//! for _ in 0..3 {
//!     group.record(now, &servers[0], Outcome::ConnectFailed);
//! }
//! assert_eq!(group.weight(now, &servers[0]), 0.0);
//! assert_eq!(group.weight(now, &servers[1]), 1.0);
//! ```

mod backoff;
mod budget;
mod ejection;
mod host;
mod sends;
mod shared;
mod silence;

pub use backoff::Backoff;
pub use budget::Budget;
pub use ejection::{Ejection, Outcome};
pub use host::{Balance, HostBudgets};
pub use sends::{Delivery, RequestSends, SendKind, Settlement};
pub use shared::{BudgetLimits, Purpose, SharedBudget};
pub use silence::{OVERLAP, RETURN_PERIOD, Silence, SilenceStep};
