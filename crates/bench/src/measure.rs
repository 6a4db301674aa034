//! Measurement of elapsed time and memory, and the output of figures.

use std::alloc::System;
use std::fmt;
use std::hint::black_box;
use std::time::Instant;

use serde_json::{Map, Value};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

/// Allocator that counts the allocated bytes of the whole program.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// A measured value with its name and unit.
#[derive(Debug, Clone)]
pub struct Figure {
    name: String,
    value: f64,
    unit: &'static str,
}

impl Figure {
    /// Creates a figure.
    pub fn new(name: impl Into<String>, value: f64, unit: &'static str) -> Self {
        Figure {
            name: name.into(),
            value,
            unit,
        }
    }
}

impl fmt::Display for Figure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:<44} {:>12.2} {}", self.name, self.value, self.unit)
    }
}

/// Average microseconds of one call of `operation`, over `count` calls.
pub fn micros<T>(count: u64, mut operation: impl FnMut(u64) -> T) -> f64 {
    let start = Instant::now();
    for index in 0..count {
        black_box(operation(index));
    }
    start.elapsed().as_secs_f64() * 1e6 / count as f64
}

/// Returns the result of `build` and the heap bytes that it holds.
pub fn held_bytes<T>(build: impl FnOnce() -> T) -> (T, f64) {
    let region = Region::new(ALLOCATOR);
    let built = black_box(build());
    let change = region.change();
    let held = change
        .bytes_allocated
        .saturating_sub(change.bytes_deallocated);
    (built, held as f64)
}

/// All figures as one JSON object.
pub fn to_json(figures: &[Figure]) -> Value {
    let entries: Map<String, Value> = figures
        .iter()
        .map(|figure| {
            (
                format!("{} [{}]", figure.name, figure.unit),
                figure.value.into(),
            )
        })
        .collect();
    Value::Object(entries)
}
