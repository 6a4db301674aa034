//! Backend servers that may receive work, from registration rows that arrive late, out of order or
//! damaged.

mod entry;
mod roster;
pub mod store_intervals;

pub use entry::{Registration, ServerState, Stage};
pub use roster::{EXPIRY_GRACE, Roster, RowEffect};
