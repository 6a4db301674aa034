//! Stand-ins for backend servers and the platform, a bounded load, and measurement.

mod balancer;
pub mod commands;
mod deployment;
mod error;
mod hosts;
mod load;
mod observe;
mod report;
pub mod stand_in;

pub use balancer::Balancer;
pub use deployment::Deployment;
pub use error::LabError;
pub use hosts::{HostProcess, HostSpec, OPERATOR_KEY, STORE_KEY};
pub use load::{CallerFaults, Load, LoadSettings, Offered};
pub use observe::{HELD_LIMIT, Observer};
pub use report::{Report, Tally};
