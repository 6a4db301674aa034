//! Inventory and rules: parsing, validation and version tracking.
//!
//! ```
//! let text = r#"
//! name = "small"
//! [[zone]]
//! id = "lot-north"
//! region = "gauteng"
//! "#;
//! let inventory = bv_config::Inventory::parse(text).unwrap();
//! assert_eq!(inventory.zones.len(), 1);
//! ```

mod check;
mod checker;
mod error;
mod inventory;
mod raw;
mod versions;

pub use error::ConfigError;
pub use inventory::{
    Class, Device, EngineRole, Identity, Inventory, Model, Pool, Route, Runner, Server, Service,
    Team, Zone,
};
pub use versions::{
    APPLY_TIMEOUT, Action, Change, Document, Event, KEPT_CHANGES, NotWritten, Notice, Outcome,
    Readiness, STALE_AFTER, Versions, WriteResult, poll_interval,
};
