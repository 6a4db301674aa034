//! Decides when an engine of a group should change its role.

use bv_types::Millis;

use crate::Role;

/// Ratio of the load of one role to that of the other above which the other gives up an engine.
const SHORTAGE_RATIO: f64 = 1.5;
/// Time for which the ratio must be exceeded before a change.
pub const MIN_SHORTAGE_TIME: Millis = Millis(30_000);
/// Minimum time between two changes in one group.
pub const MIN_CHANGE_INTERVAL: Millis = Millis(60_000);
/// Maximum time between two reports; a longer gap restarts the observation.
const MAX_REPORT_GAP: Millis = Millis(5_000);
/// Load below which a role counts as idle, so that a ratio of two tiny loads causes no change.
const MIN_LOAD: f64 = 0.1;

/// Load and size of one role of a group.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RoleLoad {
    /// Mean load of its engines; 1 is full.
    pub load: f64,
    /// Number of its engines.
    pub engines: usize,
}

/// Decides about role changes in one group, with hysteresis.
#[derive(Debug, Clone, Default)]
pub struct RoleBalance {
    /// The role that is short of engines, and since when.
    shortage: Option<(Role, Millis)>,
    last_report: Option<Millis>,
    last_change: Option<Millis>,
}

impl RoleBalance {
    /// Processes a report and returns the role to which one engine of the other role should change.
    pub fn report(&mut self, now: Millis, prefill: RoleLoad, decode: RoleLoad) -> Option<Role> {
        let was_interrupted = self
            .last_report
            .replace(now)
            .is_none_or(|last| now - last > MAX_REPORT_GAP);
        let short = short_role(prefill, decode);
        let since = match (self.shortage, short) {
            (Some((before, since)), Some(role)) if before == role && !was_interrupted => since,
            _ => now,
        };
        self.shortage = short.map(|role| (role, since));
        let role = short?;
        let changed_recently = self
            .last_change
            .is_some_and(|last| now < last + MIN_CHANGE_INTERVAL);
        if changed_recently || now < since + MIN_SHORTAGE_TIME {
            return None;
        }
        self.last_change = Some(now);
        self.shortage = None;
        Some(role)
    }
}

/// The role that has too few engines, if the other role has more than one.
fn short_role(prefill: RoleLoad, decode: RoleLoad) -> Option<Role> {
    let exceeds =
        |a: RoleLoad, b: RoleLoad| a.load > SHORTAGE_RATIO * b.load.max(MIN_LOAD) && b.engines > 1;
    if exceeds(prefill, decode) {
        return Some(Role::Prefill);
    }
    exceeds(decode, prefill).then_some(Role::Decode)
}
