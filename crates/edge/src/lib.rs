//! Entry host process of the platform deployment, started by `burdockvaled platform`. One runs on
//! each entry host.
//!
//! This crate does the I/O: it reads callers' requests, lets `bv-admit`, `bv-retry` and `bv-route`
//! decide where they go, forwards them and follows the tables of the store or another host that does. The platform's names
//! and formats are defined in `bv-platform` only.

mod announce;
mod announced;
mod answer;
mod answer_log;
mod catch_up;
mod connection;
mod counters;
mod crash_logs;
mod crash_reports;
mod crash_rows;
mod crashes;
mod dispatch;
mod dispatch_messages;
mod dispatch_state;
mod edge;
mod event_order;
mod events;
mod follow;
mod guard;
mod hosts;
mod listen;
mod logs;
mod model;
mod owner;
mod peers;
mod plain;
mod plain_place;
mod quota;
mod quota_messages;
mod relay;
mod reload;
mod replies;
mod request;
mod retries;
mod roles;
mod row_messages;
mod run;
mod send;
mod serve;
mod shared_replies;
mod silence;
mod slots;
mod state;
mod stop;
mod store_health;
mod subscribe;
mod trials;
mod usage;

pub use run::{EdgeError, help, run};
