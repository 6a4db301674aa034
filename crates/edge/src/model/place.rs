//! Queueing of model calls until a decode engine has capacity.

use std::sync::Arc;

use bv_admit::{ModelPlan, ModelRequest, PlacementError, QueuedCall, Ticket, Work};
use bv_roster::Stage;
use bv_types::{Millis, Refusal};

use super::{MAX_SENDS, ModelCall, STALL_TIMEOUT};
use crate::answer::{DEFAULT_RETRY_AFTER, Failure};
use crate::edge::{Edge, TrackedSend};
use crate::state::State;

/// Callers cancel a stream whose first event takes longer than this many latency objectives.
const CANCEL_AFTER_OBJECTIVES: u64 = 4;
/// Time from placement to the first event: prefill, KV cache transfer and the first decode step.
const FIRST_EVENT_TIME: Millis = Millis(350);
/// Longest time that a resumed stream waits for capacity; callers cancel a stream after a pause of
/// at least two seconds.
const RESUME_WAIT_LIMIT: Millis = Millis(1_500);
/// Interval at which the first call in the queue looks for capacity if it is not notified: avoided
/// engines become available again without a notification.
const CAPACITY_POLL: Millis = Millis(50);
/// Upper bound, per waiting host, of the random delay before a host looks for capacity after a
/// change. Without the delay all hosts would request the same capacity of the same engine at once.
const MAX_JITTER_PER_WAITING_HOST: Millis = Millis(2);
/// Upper bound of that delay for any number of waiting hosts.
const MAX_JITTER: Millis = Millis(40);
/// Interval at which a call that is not first in the queue checks whether it has become first; the
/// queue order changes with time.
const QUEUE_POLL: Millis = Millis(100);

/// An entry in the queue, removed when dropped.
#[derive(Debug)]
struct QueueEntry {
    edge: Arc<Edge>,
    ticket: Ticket,
    call: QueuedCall,
    /// Time after which waiting longer is of no use to the caller.
    until: Millis,
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        self.edge.state().queue.remove(self.ticket);
        self.edge.queue_changed.notify_waiters();
        self.edge.notify_load_changed();
    }
}

/// Result of a placement attempt.
enum Placement {
    Placed(Box<(ModelPlan, TrackedSend)>),
    NotFirst,
    NoCapacity,
}

impl ModelCall {
    /// Waits until a decode engine has capacity and claims it.
    pub(super) async fn place(&mut self) -> Result<(ModelPlan, TrackedSend), Failure> {
        let edge = self.edge.clone();
        let entry = self.join_queue()?;
        let mut first_since = None;
        loop {
            let capacity_changed = edge.capacity_changed.notified();
            let queue_changed = edge.queue_changed.notified();
            // Without a notification the timeouts below make the loop check again.
            match self.try_place(&entry, &mut first_since)? {
                Placement::Placed(placed) => return Ok(*placed),
                Placement::NotFirst => {
                    let _ = tokio::time::timeout(QUEUE_POLL.duration(), queue_changed).await;
                }
                Placement::NoCapacity => {
                    let _ = tokio::time::timeout(CAPACITY_POLL.duration(), capacity_changed).await;
                    let waiting_peers = edge.state().fleet.waiting_peer_count() as u64;
                    let max_jitter =
                        (MAX_JITTER_PER_WAITING_HOST.0 * waiting_peers).min(MAX_JITTER.0);
                    tokio::time::sleep(Millis(fastrand::u64(..=max_jitter)).duration()).await;
                }
            }
        }
    }

    /// Latest time for a placement that is of use to the caller, if the wait for one begins now.
    pub(super) fn placement_limit(&self, now: Millis) -> Millis {
        let wait_limit = Millis(
            self.req
                .route
                .objective
                .0
                .saturating_mul(CANCEL_AFTER_OBJECTIVES),
        );
        let is_first_run = self.runs == 0;
        let until = match is_first_run {
            true => self.req.arrived + (wait_limit - FIRST_EVENT_TIME),
            false => now + RESUME_WAIT_LIMIT,
        };
        until.min(self.req.deadline)
    }

    /// Joins the queue, or refuses at once if capacity is predicted to become free too late.
    fn join_queue(&self) -> Result<QueueEntry, Failure> {
        let now = self.edge.now();
        let objective = self.req.route.objective;
        let until = self.placement_limit(now);
        let call = QueuedCall {
            priority: self.req.route.priority,
            arrived: self.req.arrived,
            on_time_until: self.req.arrived + (objective - FIRST_EVENT_TIME),
            tokens: self.planned_tokens,
        };
        let (ticket, wait) = {
            let mut state = self.edge.state();
            let state = &mut *state;
            if let Some(failure) = self.all_resting(now, state) {
                return Err(failure);
            }
            let ticket = state.queue.push(call);
            let ahead = state.queue.ahead(now, ticket);
            let ahead = ahead + state.fleet.peer_waiting_tokens(call.priority);
            let entries = state.roster.of_service(now, &self.req.service);
            let entries = state.announced.allowed(now, entries);
            (
                ticket,
                state
                    .fleet
                    .capacity_wait(now, &self.placement_query(now), ahead, entries),
            )
        };
        let entry = QueueEntry {
            edge: self.edge.clone(),
            ticket,
            call,
            until,
        };
        if now + wait > until {
            let retry_after = self.retry_after(now, wait);
            return Err(self.final_failure(Refusal::FirstTokenTooLate, retry_after));
        }
        Ok(entry)
    }

    /// Retry-After for a caller if capacity is predicted to become free after `wait`.
    fn retry_after(&self, now: Millis, wait: Millis) -> Millis {
        let honoured = self.req.longest_retry_after(now);
        wait.max(DEFAULT_RETRY_AFTER).min(honoured)
    }

    /// The failure of a request while all engines that could produce its tokens rest; a resumed
    /// stream breaks off.
    fn all_resting(&self, now: Millis, state: &mut State) -> Option<Failure> {
        let entries = state.roster.of_service(now, &self.req.service);
        let engines = entries.filter(|entry| entry.stage != Some(Stage::Prefill));
        let longest = self.req.longest_retry_after(now);
        let resting = state.announced.all_resting(now, longest, engines)?;
        Some(match self.runs {
            0 => Failure::resting(resting),
            _ => Failure::AnswerLost,
        })
    }

    fn try_place(
        &self,
        entry: &QueueEntry,
        first_since: &mut Option<Millis>,
    ) -> Result<Placement, Failure> {
        let now = self.edge.now();
        if now >= entry.until {
            let retry_after = self.retry_after(now, DEFAULT_RETRY_AFTER);
            return Err(self.final_failure(Refusal::QueuedTooLong, retry_after));
        }
        if self.sends >= MAX_SENDS {
            return Err(self.final_failure(Refusal::NoBackend, DEFAULT_RETRY_AFTER));
        }
        let mut guard = self.edge.state();
        let state = &mut *guard;
        if state.queue.first_ticket(now) != Some(entry.ticket) {
            return Ok(Placement::NotFirst);
        }
        let first_for = now - *first_since.get_or_insert(now);
        let fleet = &state.fleet;
        let query = ModelRequest {
            peers_before: fleet.peers_before(now, &entry.call, first_for),
            ..self.placement_query(now)
        };
        let entries = state.roster.of_service(now, &self.req.service);
        let entries = state.announced.allowed(now, entries);
        let plan = match state.fleet.place_model(now, query, entries) {
            Ok(plan) => plan,
            Err(PlacementError::NoCapacity) => return Ok(Placement::NoCapacity),
            Err(PlacementError::NoServer) => {
                let resting = self.all_resting(now, state);
                return Err(resting.unwrap_or_else(|| {
                    self.final_failure(Refusal::NoBackend, DEFAULT_RETRY_AFTER)
                }));
            }
            Err(PlacementError::TooLate { retry_after }) => {
                return Err(self.final_failure(Refusal::FirstTokenTooLate, retry_after));
            }
        };
        // Decode capacity is claimed before the prefill: its result is kept for only a fraction of
        // a second.
        let (ModelPlan::Split { decode, .. } | ModelPlan::Direct { decode, .. }) = &plan;
        let work = Work {
            tokens: self.planned_tokens,
            stuck_after: plan.predicted() + STALL_TIMEOUT,
        };
        let send = state.fleet.begin_unconfirmed(now, &decode.id, work);
        let decode = decode.id.clone();
        drop(guard);
        let tracked_send = TrackedSend::from_send(&self.edge, &decode, send);
        Ok(Placement::Placed(Box::new((plan, tracked_send))))
    }
}
