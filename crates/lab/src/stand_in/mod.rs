//! Stand-ins for the outside systems, each behind its published protocol.

mod engine;
mod gate;
mod service;
mod table;

pub use engine::{Engine, EngineCounts, EngineFault, Exports, HeldAttempt};
pub use gate::{Gate, Zones};
pub use service::{PlainService, ServiceFault};
pub use table::{StoreFault, StoreRates, TableService};

use std::sync::atomic::{AtomicU32, Ordering};

/// Shares of calls hit by each fault of a stand-in, in thousandths.
#[derive(Debug)]
pub(crate) struct Shares<const N: usize>([AtomicU32; N]);

impl<const N: usize> Default for Shares<N> {
    fn default() -> Self {
        Shares(std::array::from_fn(|_| AtomicU32::new(0)))
    }
}

impl<const N: usize> Shares<N> {
    pub fn set(&self, fault: usize, thousandths: u32) {
        self.0[fault].store(thousandths, Ordering::Relaxed);
    }

    /// Whether the fault hits this call.
    pub fn hits(&self, fault: usize) -> bool {
        let share = self.0[fault].load(Ordering::Relaxed);
        share > 0 && fastrand::u32(..1000) < share
    }
}
