//! A simulated plain server.

use std::collections::VecDeque;

use fastrand::Rng;

/// Calls that it runs at once.
pub const SLOTS: usize = 6;
/// Calls that wait there; others are rejected.
const QUEUE: usize = 24;
/// Time for which the noise of its machine stays the same, in ms.
const NOISE_MS: u64 = 120;

/// Where a call is at its arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admitted {
    Runs,
    Waits,
    Rejected,
}

#[derive(Debug)]
pub struct Server {
    seed: u64,
    pub running: usize,
    pub waiting: VecDeque<usize>,
}

impl Server {
    pub fn new(seed: u64, number: usize) -> Self {
        Server {
            seed: seed * 100 + number as u64,
            running: 0,
            waiting: VecDeque::new(),
        }
    }

    pub fn admit(&mut self, call: usize) -> Admitted {
        if self.running < SLOTS {
            self.running += 1;
            return Admitted::Runs;
        }
        if self.waiting.len() >= QUEUE {
            return Admitted::Rejected;
        }
        self.waiting.push_back(call);
        Admitted::Waits
    }

    /// Ends a call; returns the one that runs next.
    pub fn end(&mut self) -> Option<usize> {
        self.running = self.running.saturating_sub(1);
        let next = self.waiting.pop_front()?;
        self.running += 1;
        Some(next)
    }

    /// Factor on the time of work at a moment: mostly little, at times up to `most`.
    pub fn noise(&self, now: u64, most: f64) -> f64 {
        let mut rng = Rng::with_seed(self.seed * 1_000_003 + now / NOISE_MS);
        let share = rng.f64();
        1.0 + (most - 1.0) * share * share
    }

    /// The pace that it reports.
    pub fn pace(&self, now: u64, most: f64, is_false: bool) -> u32 {
        let noise = match is_false {
            true => self.noise(now + 77_777_777, 4.0),
            false => self.noise(now, most),
        };
        (noise * 100.0) as u32
    }
}
