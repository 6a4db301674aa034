//! Backend servers that may receive work, from registration rows that arrive late, out of order or
//! damaged, and the hosts that read these rows from the store for all hosts.

mod entry;
mod readers;
mod roster;
mod row_log;
pub mod store_intervals;

pub use entry::{Registration, ServerState, Stage};
pub use readers::{HostEntry, Source, SourceChoice};
pub use roster::{EXPIRY_GRACE, Roster, RowEffect};
pub use row_log::{Row, RowLog, RowsSince};
