//! Choice of the server for a call of a plain service.

use bv_admit::{CallRequest, PlacementError};
use bv_dispatch::SendEnd;
use bv_roster::Registration;
use bv_types::{BackendId, Millis, Refusal};

use crate::answer::Failure;
use crate::counters;
use crate::plain::{Call, RunState};
use crate::retries::RetryKind;
use crate::send::{Connection, open};
use crate::slots::{Acquired, Slot, acquire};

/// Number of slots of servers that this host may not send to, after which it places the call itself.
const MAX_UNUSABLE_SLOTS: u32 = 3;

/// The chosen server and the connection to it.
pub(crate) struct Target {
    pub server: Registration,
    pub connection: Connection,
    /// Whether the connection was idle, so that the server may have closed it.
    pub is_reused: bool,
    /// The slot that a dispatcher granted.
    pub slot: Option<Slot>,
}

impl Call<'_> {
    /// Chooses the next server and a connection to it.
    pub async fn next(&mut self) -> Result<Target, Failure> {
        let (server, slot) = self.place_in_slot().await?;
        let connection = self.connection(self.edge.now(), &server.id);
        Ok(Target {
            is_reused: matches!(connection, Connection::Open(_)),
            server,
            connection,
            slot,
        })
    }

    /// Takes a retry and opens a connection to another server.
    pub async fn open_next(&mut self) -> Option<Target> {
        let next = self.next().await.ok()?;
        if next.is_reused {
            return Some(next);
        }
        match open(&next.server, self.req.remaining(self.edge.now())).await {
            Ok(channel) => Some(Target {
                connection: Connection::Open(channel),
                ..next
            }),
            Err(err) => {
                let (now, server) = (self.edge.now(), next.server.id);
                self.edge.logs.send_failed(now, self.req, &server, &err);
                counters::retry(err.code());
                let mut state = self.edge.state();
                state.fleet.record_fault(now, &server, err.fault());
                drop(state);
                end_slot(next.slot, SendEnd::Failed);
                self.tried.push(server);
                None
            }
        }
    }

    /// Reuses an idle connection only if the call may be repeated: the server may have closed it.
    fn connection(&self, now: Millis, server: &BackendId) -> Connection {
        let may_reuse = self.req.route.kind.may_repeat() && !self.fresh_only;
        let idle = may_reuse.then(|| self.edge.pool.take(now, server));
        idle.flatten().map_or(Connection::Fresh, Connection::Open)
    }

    /// Chooses a server, and waits for a slot there if a dispatcher grants the slots of the service.
    async fn place_in_slot(&mut self) -> Result<(Registration, Option<Slot>), Failure> {
        let mut tried = self.tried.clone();
        for _ in 0..MAX_UNUSABLE_SLOTS {
            self.check()?;
            match acquire(self.edge, self.req, &tried).await {
                Acquired::Alone => break,
                Acquired::Refused { retry_after } => return Err(self.too_late(retry_after)),
                Acquired::Slot(slot) => {
                    let now = self.edge.now();
                    let state = self.edge.state();
                    let server = state.roster.usable(now, &slot.server).cloned();
                    let server = server.filter(|server| state.announced.may_send(now, server));
                    drop(state);
                    let Some(server) = server else {
                        tried.push(slot.server.clone());
                        continue;
                    };
                    self.check()?;
                    if !self.retries.take(self.req, RetryKind::Call) {
                        return Err(self.final_failure(Refusal::RetryBudget));
                    }
                    return Ok((server, Some(slot)));
                }
            }
        }
        Ok((self.place()?, None))
    }

    /// Whether the call may still be sent.
    fn check(&self) -> Result<(), Failure> {
        if self.req.remaining(self.edge.now()) == Millis::ZERO {
            return Err(self.final_failure(Refusal::QueuedTooLong));
        }
        match (self.edge.blocked(self.req), self.run_state) {
            (None, _) => Ok(()),
            (Some(refusal), RunState::NotRun) => Err(refusal),
            (Some(_), RunState::MayHaveRun) => Err(Failure::AnswerLost),
        }
    }

    fn place(&mut self) -> Result<Registration, Failure> {
        self.check()?;
        let now = self.edge.now();
        let remaining = self.req.remaining(now);
        let service = &self.req.service;
        let mut guard = self.edge.state();
        let state = &mut *guard;
        let query = CallRequest {
            service,
            zone: &self.edge.settings.zone,
            tried: &self.tried,
            remaining,
        };
        let entries = state.roster.of_service(now, service);
        let entries = state.announced.allowed(now, entries);
        let choice = state.fleet.place_call(now, query, entries);
        let resting = match choice {
            Err(PlacementError::NoServer | PlacementError::NoCapacity) => {
                let entries = state.roster.of_service(now, service);
                let longest = self.req.longest_retry_after(now);
                state.announced.all_resting(now, longest, entries)
            }
            _ => None,
        };
        drop(guard);
        match choice {
            Ok(choice) => {
                if !self.retries.take(self.req, RetryKind::Call) {
                    return Err(self.final_failure(Refusal::RetryBudget));
                }
                Ok(choice.server)
            }
            Err(PlacementError::NoServer | PlacementError::NoCapacity) => {
                Err(match (resting, self.run_state) {
                    (Some(resting), RunState::NotRun) => Failure::resting(resting),
                    _ => self.final_failure(Refusal::NoBackend),
                })
            }
            Err(PlacementError::TooLate { retry_after }) => Err(self.too_late(retry_after)),
        }
    }

    /// The failure to report for a call that cannot be answered by its deadline.
    fn too_late(&self, retry_after: Millis) -> Failure {
        match self.run_state {
            RunState::MayHaveRun => Failure::AnswerLost,
            RunState::NotRun => Failure::NotRun {
                reason: Refusal::QueueFull,
                retry_after,
            },
        }
    }

    /// The failure to report for a request that is not sent again.
    fn final_failure(&self, reason: Refusal) -> Failure {
        match self.run_state {
            RunState::NotRun => Failure::refused(reason),
            RunState::MayHaveRun if reason == Refusal::QueuedTooLong => Failure::DeadlinePassed,
            RunState::MayHaveRun => Failure::AnswerLost,
        }
    }
}

/// Tells the dispatcher how the send in a slot ended.
pub(crate) fn end_slot(slot: Option<Slot>, end: SendEnd) {
    if let Some(slot) = slot {
        slot.end(end);
    }
}
