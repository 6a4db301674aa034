//! Simulated holders, table and engines around `Lease` and `Orders`, with an oracle engine.

mod engine;
mod network;
mod world;

pub use world::{Tally, World};
