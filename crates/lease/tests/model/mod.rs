//! Simulated holders, table and engines around `Lease` and `Orders`, with an oracle engine.

mod engine;
mod network;
mod simulation;

pub use simulation::{CaseCounts, Simulation};
