//! Test bench: stand-ins for backend servers and the platform, a load generator and measurement.

mod balancer;
pub mod commands;
mod deployment;
mod error;
mod faults;
mod fleet;
mod hosts;
mod leak_detector;
mod load;
mod monitor;
mod plot;
mod relay;
mod report;
mod run;
pub mod stand_in;
mod summary;

pub use balancer::Balancer;
pub use deployment::Deployment;
pub use error::LabError;
pub use faults::{Fault, FaultEvent, FaultInjector, run_schedule, soak_schedule};
pub use fleet::Fleet;
pub use hosts::{CLUSTER_KEY, HostProcess, HostSpec, OPERATOR_KEY, STORE_KEY};
pub use leak_detector::{LeakDetector, RELEASE_LIMIT};
pub use load::{CallerFaults, Load, LoadResult, LoadSettings};
pub use relay::{Relay, RelayFaults};
pub use report::{Report, Tally};
pub use run::{RunSettings, measure, measure_events, measure_until_signal};
pub use summary::{DataPoint, MedianAndRange, RunCollection};
