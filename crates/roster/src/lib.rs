//! Backend servers that may receive work, from rows that come late, out of order or damaged.

mod entry;
mod roster;
pub mod store_intervals;

pub use entry::{Entry, Stage, State};
pub use roster::{LAPSE_GRACE, Outcome, Roster};
