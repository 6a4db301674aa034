//! Stand-ins for the external systems; each implements the published protocol of its system.

mod engine;
mod gate;
mod service;
mod table;

pub use engine::{Engine, EngineCounts, EngineFault, Exports, HeldAttempt};
pub use gate::{Gate, Zones};
pub use service::{PlainService, ServiceFault};
pub use table::{StoreFault, StoreRates, TableService};

use std::sync::atomic::{AtomicU32, Ordering};

/// Share of the calls that each fault of a stand-in affects, in thousandths.
#[derive(Debug)]
pub(crate) struct FaultRates<const N: usize>([AtomicU32; N]);

impl<const N: usize> Default for FaultRates<N> {
    fn default() -> Self {
        FaultRates(std::array::from_fn(|_| AtomicU32::new(0)))
    }
}

impl<const N: usize> FaultRates<N> {
    pub fn set(&self, fault: usize, thousandths: u32) {
        self.0[fault].store(thousandths, Ordering::Relaxed);
    }

    /// Whether the fault affects the current call; decided at random by its share.
    pub fn applies(&self, fault: usize) -> bool {
        let thousandths = self.0[fault].load(Ordering::Relaxed);
        thousandths > 0 && fastrand::u32(..1000) < thousandths
    }
}
