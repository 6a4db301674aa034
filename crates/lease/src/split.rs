//! Number of engines of a pool that should be prefill engines.

use bv_types::Millis;

use crate::Role;

/// Time for which a better split must have been observed while requests are served. Crashed engines
/// return within some seconds, and a change takes six.
const MIN_IMBALANCE_TIME_BUSY: Millis = Millis(6_000);
/// The same while no requests are served, when a change costs nothing.
const MIN_IMBALANCE_TIME_IDLE: Millis = Millis(1_200);

/// Number of engines by which the split may deviate from the target while requests are served: a
/// change makes an engine unavailable for seconds, and the measured cost varies.
const BUSY_TOLERANCE: usize = 1;

/// Engine time that a typical request takes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestCost {
    /// Time in which a prefill engine processes its prompt, in ms.
    pub prefill_ms: f64,
    /// Time in a decode engine, weighted by the share of the engine's memory that it occupies, in
    /// ms.
    pub decode_ms: f64,
}

/// Number of engines of a pool by role.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolSplit {
    /// Engines that process prompts.
    pub prefill: usize,
    /// Engines that generate tokens.
    pub decode: usize,
}

/// Number of prefill engines at which engines of both roles are equally busy, rounded up because
/// too few of them leave decode memory unused.
pub fn prefill_target(engines: usize, cost: RequestCost) -> usize {
    let share = cost.prefill_ms / (cost.prefill_ms + cost.decode_ms);
    let target = (engines as f64 * share).ceil() as usize;
    target.clamp(1, engines.saturating_sub(1).max(1))
}

/// Observes the split of one pool and decides when engines should change their role.
#[derive(Debug, Clone, Default)]
pub struct SplitWatch {
    /// The role that is short of engines, and since when.
    shortage: Option<(Role, Millis)>,
    /// Number of engines at the last observation.
    engines: usize,
}

impl SplitWatch {
    /// Processes the current split and returns the role to which engines should change, and how
    /// many of them.
    pub fn observe(
        &mut self,
        now: Millis,
        split: PoolSplit,
        cost: RequestCost,
        is_idle: bool,
    ) -> Option<(Role, usize)> {
        let engines = split.prefill + split.decode;
        if is_idle && engines != self.engines {
            // Waits until no more engines join, so that one round of orders covers all of them. The
            // next round can be sent only much later.
            self.shortage = None;
        }
        self.engines = engines;
        let target = prefill_target(engines, cost);
        let deviation = split.prefill.abs_diff(target);
        let has_empty_role = split.prefill == 0 || split.decode == 0;
        let tolerated = if is_idle || has_empty_role {
            0
        } else {
            BUSY_TOLERANCE
        };
        if deviation <= tolerated {
            self.shortage = None;
            return None;
        }
        let (role, count) = match split.prefill > target {
            true => (Role::Decode, deviation),
            false => (Role::Prefill, deviation),
        };
        let since = match self.shortage {
            Some((before, since)) if before == role => since,
            _ => now,
        };
        self.shortage = Some((role, since));
        let min_time = if is_idle {
            MIN_IMBALANCE_TIME_IDLE
        } else {
            MIN_IMBALANCE_TIME_BUSY
        };
        (now >= since + min_time).then_some((role, count))
    }

    /// Restarts the observation after an order.
    pub fn reset(&mut self) {
        self.shortage = None;
    }
}
