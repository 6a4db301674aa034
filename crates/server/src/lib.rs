//! The entry host daemon as a library.

mod answer;
mod callers;
mod conf;
mod counters;
mod engine;
mod host;
mod leaving;
mod limits;
mod model;
mod operate;
mod peers;
mod plain;
mod settings;
mod shutdown;

pub use host::{Host, HostError, run};
pub use settings::{Args, LogFormat, Secret, SettingError, Settings};
