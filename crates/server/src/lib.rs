//! The entry host daemon as a library.

mod backend;
mod begun_head;
mod body;
mod callers;
mod conf;
mod counters;
mod crash;
mod device;
mod dispatch;
mod error_response;
mod events;
mod host;
mod http_limits;
mod leaving;
mod limits;
mod members;
mod model;
mod open_attempt;
mod open_calls;
mod operate;
mod orders;
mod peers;
mod placement;
mod plain;
mod rows;
mod servers;
mod settings;
mod shutdown;

pub use host::{Host, HostError, run};
pub use settings::{Args, LogFormat, Secret, SettingError, Settings};
