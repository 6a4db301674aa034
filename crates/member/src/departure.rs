//! Departure of this process.

use bv_types::Millis;

use crate::timing::{LEAVE_FANOUT, LEAVE_PERIOD, LEAVE_REPEATS};
use crate::{Action, Kind, Membership};

/// Part that this process takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// This process takes part.
    Member,
    /// This process leaves.
    Leaving {
        /// Announcements left.
        left: u32,
        /// Time of the next one.
        next_at: Millis,
    },
}

impl Membership {
    /// Begins to leave; the next ticks announce it.
    pub(crate) fn leave(&mut self, now: Millis) {
        if self.phase == Phase::Member {
            self.phase = Phase::Leaving {
                left: LEAVE_REPEATS,
                next_at: now,
            };
        }
    }

    pub(crate) fn announce_leave(
        &mut self,
        now: Millis,
        left: u32,
        next_at: Millis,
        out: &mut Vec<Action>,
    ) {
        if left == 0 || now < next_at {
            return;
        }
        self.phase = Phase::Leaving {
            left: left - 1,
            next_at: now + LEAVE_PERIOD,
        };
        for member in self.choose(self.others(), LEAVE_FANOUT) {
            self.send(now, &member, 0, Kind::Leave, out);
        }
    }
}
