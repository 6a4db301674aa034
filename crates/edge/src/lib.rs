//! Shell of the platform deployment: one process on each entry host, started by
//! `burdockvaled platform`.
//!
//! The shell reads callers' requests, asks the decision crates where they may go, forwards them and
//! follows the store. What the platform calls things is known to `bv-platform` alone.

mod answer;
mod counters;
mod edge;
mod events;
mod follow;
mod guard;
mod hosts;
mod listen;
mod logs;
mod model;
mod peers;
mod plain;
mod relay;
mod request;
mod roles;
mod run;
mod send;
mod serve;
mod state;
mod stop;
mod usage;

pub use run::{EdgeError, help, run};
