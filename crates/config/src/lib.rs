//! Inventory and rules: parsing, checking and version tracking.
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
mod error;
mod inventory;
mod raw;

pub use error::ConfigError;
pub use inventory::{
    Class, Device, EngineRole, Identity, Inventory, Model, Pool, Route, Runner, Server, Service,
    Team, Zone,
};
