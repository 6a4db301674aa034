//! Stand-ins for the outside systems, each behind its published protocol.

mod engine;
mod service;
mod table;

pub use engine::{Engine, EngineCounts, Exports};
pub use service::PlainService;
pub use table::TableService;
