//! What backend servers announce in their answers, as far as a trusted answer says so.

use bv_admit::{AnnouncedChange, Announcement, Instance};
use bv_platform::AnswerHead;
use bv_roster::Registration;
use bv_types::Millis;
use http::StatusCode;

use crate::counters;
use crate::edge::Edge;

impl Edge {
    /// Records what an answer of `server` announces. The caller has checked that the answer comes
    /// from this server: another process may use its address.
    pub fn record_announced(&self, server: &Registration, status: StatusCode, head: &AnswerHead) {
        let now = self.now();
        let states_rest = status == StatusCode::SERVICE_UNAVAILABLE;
        let rest = match head.retry_after.as_ref().filter(|_| states_rest) {
            Some(Ok(after)) => Some(after.0),
            Some(Err(err)) => {
                // The refusal itself still counts.
                counters::unreadable_header("retry_after");
                self.logs.unreadable_header(now, &server.id, err);
                None
            }
            None => None,
        };
        let announcement = Announcement {
            leaving: head.leaving,
            rest,
        };
        if announcement == Announcement::default() {
            return;
        }
        let instance = Instance::from(server);
        let change = self.state().announced.record(now, &instance, announcement);
        match change {
            Some(AnnouncedChange::Leaves) => {
                counters::server_announced("leaving");
                self.logs.server_leaves(now, &instance, status);
            }
            Some(AnnouncedChange::Rests { until }) => {
                counters::server_announced("rest");
                self.logs.server_rests(now, &instance, rest, until);
            }
            None => {}
        }
    }

    /// Ends the rests that are over.
    pub fn end_rests(&self, now: Millis) {
        let ended = self.state().announced.end_rests(now);
        for instance in &ended {
            self.logs.rest_ended(now, instance);
        }
    }
}
