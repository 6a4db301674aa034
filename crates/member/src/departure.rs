//! Departure of this process from the membership.

use bv_types::Millis;

use crate::timing::{LEAVE_ANNOUNCEMENTS, LEAVE_FANOUT, LEAVE_PERIOD};
use crate::{Action, Kind, Membership};

/// Whether this process takes part in the membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// This process is a member.
    Active,
    /// This process is leaving.
    Leaving {
        /// Number of announcements that remain.
        announcements_left: u32,
        /// Time of the next announcement.
        next_at: Millis,
    },
}

impl Membership {
    /// Starts the departure; the next ticks announce it.
    pub(crate) fn leave(&mut self, now: Millis) {
        if self.phase == Phase::Active {
            self.phase = Phase::Leaving {
                announcements_left: LEAVE_ANNOUNCEMENTS,
                next_at: now,
            };
        }
    }

    pub(crate) fn announce_leave(
        &mut self,
        now: Millis,
        announcements_left: u32,
        next_at: Millis,
        out: &mut Vec<Action>,
    ) {
        if announcements_left == 0 || now < next_at {
            return;
        }
        self.phase = Phase::Leaving {
            announcements_left: announcements_left - 1,
            next_at: now + LEAVE_PERIOD,
        };
        for member in self.choose_random(self.other_members(), LEAVE_FANOUT) {
            self.send(now, &member, 0, Kind::Leave, out);
        }
    }
}
