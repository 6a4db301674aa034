//! How many engines of a pool should read prompts.

use bv_types::Millis;

use crate::Role;

/// Time for which a better split must have been seen while requests are served. Crashed engines are
/// back within some seconds, and a change takes six.
const SUSTAINED_BUSY: Millis = Millis(6_000);
/// The same while nothing is served: a change costs nothing then.
const SUSTAINED_IDLE: Millis = Millis(1_200);

/// Engines by which a split may be off while requests are served: a change takes an engine away for
/// seconds, and the measured cost varies.
const BUSY_TOLERANCE: usize = 1;

/// Engine time that one usual request takes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestCost {
    /// Time that a prefill engine reads its prompt, in ms.
    pub prefill_ms: f64,
    /// Time in a decode engine, as the share of the engine's memory that it holds, in ms.
    pub decode_ms: f64,
}

/// Engines of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolSplit {
    /// Engines that read prompts.
    pub prefill: usize,
    /// Engines that produce tokens.
    pub decode: usize,
}

/// Number of prefill engines at which both kinds of engine are equally busy, rounded up: too few of
/// them leave decode memory unused.
pub fn prefill_target(engines: usize, cost: RequestCost) -> usize {
    let share = cost.prefill_ms / (cost.prefill_ms + cost.decode_ms);
    let target = (engines as f64 * share).ceil() as usize;
    target.clamp(1, engines.saturating_sub(1).max(1))
}

/// Watches the split of one pool.
#[derive(Debug, Clone, Default)]
pub struct SplitWatch {
    /// The role that is short of engines, and since when.
    short: Option<(Role, Millis)>,
    /// Engines at the last look.
    engines: usize,
}

impl SplitWatch {
    /// Takes the current split, and returns the role that so many engines should change to.
    pub fn observe(
        &mut self,
        now: Millis,
        split: PoolSplit,
        cost: RequestCost,
        is_idle: bool,
    ) -> Option<(Role, usize)> {
        let engines = split.prefill + split.decode;
        if is_idle && engines != self.engines {
            // Engines that join one by one are counted together: the next round comes much later.
            self.short = None;
        }
        self.engines = engines;
        let target = prefill_target(engines, cost);
        let apart = split.prefill.abs_diff(target);
        let is_lopsided = split.prefill == 0 || split.decode == 0;
        let tolerated = if is_idle || is_lopsided {
            0
        } else {
            BUSY_TOLERANCE
        };
        if apart <= tolerated {
            self.short = None;
            return None;
        }
        let (role, count) = match split.prefill > target {
            true => (Role::Decode, apart),
            false => (Role::Prefill, apart),
        };
        let since = match self.short {
            Some((before, since)) if before == role => since,
            _ => now,
        };
        self.short = Some((role, since));
        let sustained = if is_idle {
            SUSTAINED_IDLE
        } else {
            SUSTAINED_BUSY
        };
        (now >= since + sustained).then_some((role, count))
    }

    /// Starts the observation again, after an order.
    pub fn reset(&mut self) {
        self.short = None;
    }
}
