//! When an engine of a group should change its role.

use bv_types::Millis;

use crate::Role;

/// Load of one role above which the other gives up an engine, as a ratio.
const RATIO: f64 = 1.5;
/// Time for which the ratio must hold.
pub const SUSTAINED: Millis = Millis(30_000);
/// Shortest time between two changes in one group.
pub const CHANGE_PAUSE: Millis = Millis(60_000);
/// Longest time between two reports; a longer gap starts the observation again.
const REPORT_GAP: Millis = Millis(5_000);
/// Load below which a role counts as idle, so that a ratio of two tiny loads causes no change.
const MIN_LOAD: f64 = 0.1;

/// One role of a group.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Side {
    /// Mean load of its engines; 1 is full.
    pub load: f64,
    /// Its engines.
    pub engines: usize,
}

/// Decides about role changes in one group, with hysteresis.
#[derive(Debug, Clone, Default)]
pub struct RoleBalance {
    /// The role that is short of engines, and since when.
    short: Option<(Role, Millis)>,
    last_report: Option<Millis>,
    last_change: Option<Millis>,
}

impl RoleBalance {
    /// Takes a report and returns the role that one engine of the other role should change to.
    pub fn report(&mut self, now: Millis, prefill: Side, decode: Side) -> Option<Role> {
        let gap = self
            .last_report
            .replace(now)
            .is_none_or(|last| now - last > REPORT_GAP);
        let short = short_role(prefill, decode);
        let since = match (self.short, short) {
            (Some((before, since)), Some(role)) if before == role && !gap => since,
            _ => now,
        };
        self.short = short.map(|role| (role, since));
        let role = short?;
        let paused = self
            .last_change
            .is_some_and(|last| now < last + CHANGE_PAUSE);
        if paused || now < since + SUSTAINED {
            return None;
        }
        self.last_change = Some(now);
        self.short = None;
        Some(role)
    }
}

/// The role whose engines are too few, if the other has more than one to give.
fn short_role(prefill: Side, decode: Side) -> Option<Role> {
    let exceeds = |a: Side, b: Side| a.load > RATIO * b.load.max(MIN_LOAD) && b.engines > 1;
    if exceeds(prefill, decode) {
        return Some(Role::Prefill);
    }
    exceeds(decode, prefill).then_some(Role::Decode)
}
