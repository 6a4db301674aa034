//! Simulation of `Versions` with a table, a network, hosts and operators, and its invariants.

mod check;
mod network;
mod table;
mod world;

pub use world::{Faults, OutcomeCounts, World};
