//! Simulated table, network, hosts and operators around `Versions`, with a simple oracle.

mod check;
mod network;
mod table;
mod world;

pub use world::{Faults, Tally, World};
