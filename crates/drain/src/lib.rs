//! Drain of backend servers and graceful shutdown of entry hosts.
//!
//! ```
//! use bv_drain::LeavingMarks;
//! use bv_types::{BackendId, Incarnation};
//!
//! let engine: BackendId = "decode-1".parse().unwrap();
//! let mut marks = LeavingMarks::default();
//! assert!(marks.mark(&engine, Incarnation(5)));
//! assert!(marks.is_leaving(&engine));
//! marks.observe(&engine, Incarnation(6));
//! assert!(!marks.is_leaving(&engine));
//! ```

mod grace;
mod marks;
mod shutdown;

pub use grace::{GracePeriod, GracePhase, LateRequest};
pub use marks::{LeavingMark, LeavingMarks};
pub use shutdown::{Action, Event, Limits, Shutdown};
