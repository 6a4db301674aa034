//! Stand-ins for backend servers and the platform, a bounded load, and measurement.

pub mod commands;
mod deployment;
mod error;
mod hosts;
mod load;
mod report;
pub mod stand_in;

pub use deployment::Deployment;
pub use error::LabError;
pub use hosts::{CLUSTER_KEY, HostProcess, HostSpec, OPERATOR_KEY, STORE_KEY};
pub use load::{Load, LoadSettings};
pub use report::Report;
