//! Waiting for room at a decode engine.

use std::sync::Arc;

use bv_admit::{ModelAsk, ModelPlan, Refused, Ticket, Waiting, Work};
use bv_types::{Millis, Refusal, Tokens};

use super::{MAX_SENDS, ModelCall, STALL};
use crate::answer::{Failure, USUAL_RETRY_AFTER};
use crate::edge::{Attempt, Edge};

/// Callers leave a stream whose first event takes longer than this many latency objectives.
const PATIENCE_OBJECTIVES: u64 = 4;
/// Time that the first event takes once there is room: reading, transfer and the first step.
const FIRST_EVENT: Millis = Millis(350);
/// Longest wait for room of a stream that goes on elsewhere; callers leave a stream after a pause of
/// at least two seconds.
const RESUME_WAIT: Millis = Millis(1_500);
/// Interval at which a waiting call looks for room if nothing wakes it: avoided engines return with
/// time.
const ROOM_POLL: Millis = Millis(50);
/// Time within which the hosts that wait for room look for it after a change, for each of them. All
/// at once would ask the same engine for the same room.
const TURN_PER_HOST: Millis = Millis(2);
/// Longest time until a host that waits looks for room.
const MAX_TURN: Millis = Millis(40);
/// Interval at which a call behind others looks whether it is first; the order changes with time.
const QUEUE_POLL: Millis = Millis(100);
/// Share of the time left that a caller honours of a Retry-After.
const RETRY_AFTER_SHARE: u64 = 3;

/// A place in the queue; given up when dropped.
#[derive(Debug)]
struct Waiter {
    edge: Arc<Edge>,
    ticket: Ticket,
    waiting: Waiting,
    /// When waiting longer is of no use to the caller.
    until: Millis,
}

impl Drop for Waiter {
    fn drop(&mut self) {
        self.edge.state().queue.remove(self.ticket);
        self.edge.queue_moved.notify_waiters();
        self.edge.use_changed();
    }
}

/// Result of looking for room.
enum Try {
    Placed(Box<(ModelPlan, Attempt)>),
    NotFirst,
    NoRoom,
}

impl ModelCall {
    /// Waits for room at a decode engine and takes it.
    pub(super) async fn place(&mut self) -> Result<(ModelPlan, Attempt), Failure> {
        let edge = self.edge.clone();
        let waiter = self.wait_in_queue()?;
        let mut first_since = None;
        loop {
            let room = edge.room.notified();
            let moved = edge.queue_moved.notified();
            // Without a signal the polls look again.
            match self.try_place(&waiter, &mut first_since)? {
                Try::Placed(placed) => return Ok(*placed),
                Try::NotFirst => {
                    let _ = tokio::time::timeout(QUEUE_POLL.duration(), moved).await;
                }
                Try::NoRoom => {
                    let _ = tokio::time::timeout(ROOM_POLL.duration(), room).await;
                    let waiting = edge.state().fleet.hosts_waiting() as u64;
                    let turn = (TURN_PER_HOST.0 * waiting).min(MAX_TURN.0);
                    tokio::time::sleep(Millis(fastrand::u64(..=turn)).duration()).await;
                }
            }
        }
    }

    /// Joins the queue, or refuses at once if room is predicted too late.
    fn wait_in_queue(&self) -> Result<Waiter, Failure> {
        let now = self.edge.now();
        let objective = self.req.route.objective;
        let patience = Millis(objective.0 * PATIENCE_OBJECTIVES);
        let first = self.runs == 0;
        let until = match first {
            true => self.req.arrived + (patience - FIRST_EVENT),
            false => now + RESUME_WAIT,
        };
        let until = until.min(self.req.deadline);
        let waiting = Waiting {
            priority: self.req.route.priority,
            arrived: self.req.arrived,
            on_time_until: self.req.arrived + (objective - FIRST_EVENT),
            tokens: self.planned,
        };
        let (ticket, wait) = {
            let mut state = self.edge.state();
            let state = &mut *state;
            let ticket = state.queue.push(waiting);
            let ahead = state.queue.ahead(now, ticket);
            let ahead = Tokens(ahead.0 + state.fleet.peers_waiting().0);
            let entries = state.roster.of_service(now, &self.req.service);
            (
                ticket,
                state.fleet.room_wait(now, &self.ask(now), ahead, entries),
            )
        };
        let waiter = Waiter {
            edge: self.edge.clone(),
            ticket,
            waiting,
            until,
        };
        if now + wait > until {
            let retry_after = self.come_back(now, wait);
            return Err(self.ended(Refusal::FirstTokenTooLate, retry_after));
        }
        Ok(waiter)
    }

    /// When a caller may come back if room is predicted after `wait`.
    fn come_back(&self, now: Millis, wait: Millis) -> Millis {
        let honoured = Millis(self.req.remaining(now).0 / RETRY_AFTER_SHARE);
        wait.max(USUAL_RETRY_AFTER).min(honoured)
    }

    fn try_place(&self, waiter: &Waiter, first_since: &mut Option<Millis>) -> Result<Try, Failure> {
        let now = self.edge.now();
        if now >= waiter.until {
            let retry_after = self.come_back(now, USUAL_RETRY_AFTER);
            return Err(self.ended(Refusal::QueuedTooLong, retry_after));
        }
        if self.sends >= MAX_SENDS {
            return Err(self.ended(Refusal::NoBackend, USUAL_RETRY_AFTER));
        }
        let mut guard = self.edge.state();
        let state = &mut *guard;
        if state.queue.first(now) != Some(waiter.ticket) {
            return Ok(Try::NotFirst);
        }
        let first_for = now - *first_since.get_or_insert(now);
        let fleet = &state.fleet;
        let ask = ModelAsk {
            hosts_before: fleet.hosts_before(now, &waiter.waiting, first_for),
            ..self.ask(now)
        };
        let entries = state.roster.of_service(now, &self.req.service);
        let plan = match state.fleet.place_model(now, ask, entries) {
            Ok(plan) => plan,
            Err(Refused::NoRoom) => return Ok(Try::NoRoom),
            Err(Refused::NoServer) => {
                return Err(self.ended(Refusal::NoBackend, USUAL_RETRY_AFTER));
            }
            Err(Refused::TooLate { retry_after }) => {
                return Err(self.ended(Refusal::FirstTokenTooLate, retry_after));
            }
        };
        // Room is taken before the prompt is read: the result lives only for a fraction of a second.
        let (ModelPlan::Split { decode, .. } | ModelPlan::Direct { decode, .. }) = &plan;
        let work = Work {
            tokens: self.planned,
            stuck_after: plan.predicted() + STALL,
        };
        let send = state.fleet.begin_asking(now, &decode.id, work);
        let decode = decode.id.clone();
        drop(guard);
        let attempt = Attempt::begun(&self.edge, &decode, send);
        Ok(Try::Placed(Box::new((plan, attempt))))
    }
}
