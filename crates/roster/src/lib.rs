//! Backend servers that may receive work, from registration rows that arrive late, out of order or
//! damaged, and the hosts that read these rows from the store for all hosts.

mod age_bounds;
mod entry;
mod host_lists;
mod readers;
mod roster;
mod row_log;
mod sources;
mod store_clock;
pub mod store_intervals;
mod table_copy;

pub use age_bounds::AgeBounds;
pub use entry::{Registration, ServerState, Stage};
pub use host_lists::{HostChanges, HostLists};
pub use readers::HostEntry;
pub use roster::{EXPIRY_GRACE, Roster, RowEffect};
pub use row_log::{Row, RowLog, RowsSince};
pub use sources::SourceChoice;
pub use store_clock::StoreClock;
pub use table_copy::{Answer, Extent, FeedAnswer, MAX_HIDING, Rejected, TableAnswer, TableCopy};
