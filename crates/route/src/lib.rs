//! Routes of callers' requests, and the version of them that is in force.
//!
//! ```
//! use bv_route::{Kind, Limits, Route, RouteTable, Target};
//! use bv_types::{Millis, Version};
//!
//! let route = Route {
//!     name: "bookings".into(),
//!     host: "lot.example".into(),
//!     path_prefix: "/seats/".into(),
//!     kind: Kind::AtMostOnce,
//!     timeout: Millis(600),
//!     objective: Millis(120),
//!     max_attempts: 1,
//!     priority: 2,
//!     targets: vec![Target { service: "bookings".parse().unwrap(), weight: 1 }],
//!     event_gap: None,
//!     uses_model: false,
//!     is_public: false,
//! };
//! let table = RouteTable::new(Version(7), vec![route], Vec::new(), Limits::default());
//! assert!(table.find("lot.example", "/seats/42").is_some());
//! assert!(table.find("lot.example", "/other").is_none());
//! ```

mod idle_timeouts;
mod in_force;
mod route;
mod table;
mod team;

pub use idle_timeouts::IdleTimeouts;
pub use in_force::{ApplyResult, InForce};
pub use route::{EngineFacts, Kind, Limits, Route, Service, Target};
pub use table::RouteTable;
pub use team::{
    Credential, KeyDigest, KeyError, ParseDigestError, QuotaUnit, Team, TeamQuota, Teams,
    TeamsError, request_priority,
};
