//! The lease of one engine group at one process.

use bv_types::{Fence, Millis, Version};

use crate::{Action, Event, HeldLease, Holder, LeaseRow, StoredLease, WriteResult};

/// Duration of a lease.
pub const LEASE_DURATION: Millis = Millis(9_000);
/// Time in addition to the lease duration for which another process must observe the row unchanged
/// before it takes over. It covers clocks that run at slightly different speeds.
pub const TAKEOVER_MARGIN: Millis = Millis(1_000);
const RENEW_AFTER: Millis = Millis(LEASE_DURATION.0 / 3);
const POLL_INTERVAL: Millis = Millis(1_000);
/// Delay before a failed call of the table service is retried.
const RETRY_DELAY: Millis = Millis(300);

/// The row, or its absence, and since when it has been observed unchanged.
#[derive(Debug, Clone)]
struct ObservedRow {
    row: Option<StoredLease>,
    since: Millis,
}

/// A call of the table service in progress.
#[derive(Debug, Clone)]
enum Call {
    Read(u64),
    Write {
        write: u64,
        stored: StoredLease,
        sent: Millis,
    },
}

/// A write that was not answered and may still take effect.
#[derive(Debug, Clone)]
struct UnansweredWrite {
    stored: StoredLease,
    /// When it was first sent; repeated writes are identical, so it is not known which took effect.
    sent: Millis,
}

/// Obtains and renews the lease of one group.
///
/// The lease lasts for its duration from the time at which the last confirmed write was sent.
/// Another process takes over only after it has itself observed the row unchanged for that duration
/// and a margin. So two processes never hold the lease at the same time, and no clocks are
/// compared.
#[derive(Debug, Clone)]
pub struct Lease {
    this_process: Holder,
    wants_lease: bool,
    held: Option<HeldLease>,
    /// Version of the row while the lease is held.
    version: Version,
    /// Fence and end of the last lease that was lost.
    last_lost: Option<(Fence, Millis)>,
    observed: Option<ObservedRow>,
    call: Option<Call>,
    unanswered: Option<UnansweredWrite>,
    next_call_at: Millis,
    next_id: u64,
    highest_fence: Fence,
}

impl Lease {
    /// Creates the state of a process that does not hold the lease.
    pub fn new(this_process: Holder) -> Self {
        Lease {
            this_process,
            wants_lease: false,
            held: None,
            version: Version(0),
            last_lost: None,
            observed: None,
            call: None,
            unanswered: None,
            next_call_at: Millis::ZERO,
            next_id: 0,
            highest_fence: Fence(0),
        }
    }

    /// The lease, if this process holds it at `now`.
    pub fn held(&self, now: Millis) -> Option<HeldLease> {
        self.held.filter(|held| now < held.until)
    }

    /// Processes an event and returns what to do.
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.expire(now, &mut actions);
        match event {
            Event::Want(want) => self.set_want(want, &mut actions),
            Event::Read { read, row } => {
                if matches!(self.call, Some(Call::Read(id)) if id == read) {
                    self.call = None;
                    self.next_call_at = now + POLL_INTERVAL;
                    self.handle_row(now, row, &mut actions);
                }
            }
            Event::ReadFailed { read } => {
                if matches!(self.call, Some(Call::Read(id)) if id == read) {
                    self.call = None;
                    self.next_call_at = now + RETRY_DELAY;
                }
            }
            Event::WriteEnded { write, result } => {
                self.handle_write_end(now, write, result, &mut actions)
            }
            Event::FenceSeen(fence) => self.fence_seen(fence, &mut actions),
            Event::Tick => {}
        }
        self.start_next_call(now, &mut actions);
        actions
    }

    fn set_want(&mut self, want: bool, actions: &mut Vec<Action>) {
        self.wants_lease = want;
        if let Some(held) = self.held.filter(|_| !want) {
            self.end_lease(held, actions);
        }
    }

    /// Gives up a lease whose fence is below one that an engine knows, because the engine refuses
    /// its orders.
    fn fence_seen(&mut self, fence: Fence, actions: &mut Vec<Action>) {
        self.highest_fence = self.highest_fence.max(fence);
        if let Some(held) = self.held.filter(|held| held.fence < fence) {
            self.end_lease(held, actions);
        }
    }

    fn expire(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if let Some(held) = self.held.filter(|held| now >= held.until) {
            self.end_lease(held, actions);
        }
    }

    /// Ends the lease and records when it would have expired, even if it is given up early, because
    /// orders sent under it may still be in transit.
    fn end_lease(&mut self, held: HeldLease, actions: &mut Vec<Action>) {
        self.held = None;
        self.last_lost = Some((held.fence, held.until));
        actions.push(Action::Lost(held.fence));
    }

    fn new_id(&mut self) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        id
    }

    /// Starts the next call of the table service if none is in progress and one is due.
    fn start_next_call(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if !self.wants_lease || self.call.is_some() || now < self.next_call_at {
            return;
        }
        if self.held.is_some() && self.unanswered.is_none() {
            let stored = self.next_row(Some(self.version), self.held_fence());
            self.write(now, stored, Some(self.version), actions);
            return;
        }
        let read = self.new_id();
        self.call = Some(Call::Read(read));
        actions.push(Action::Read { read });
    }

    fn held_fence(&self) -> Fence {
        self.held.map_or(Fence(0), |held| held.fence)
    }

    fn next_row(&self, version: Option<Version>, fence: Fence) -> StoredLease {
        StoredLease {
            version: Version(version.map_or(0, |version| version.0) + 1),
            row: LeaseRow {
                holder: self.this_process.clone(),
                fence,
                duration: LEASE_DURATION,
            },
        }
    }

    fn write(
        &mut self,
        now: Millis,
        stored: StoredLease,
        expected: Option<Version>,
        actions: &mut Vec<Action>,
    ) {
        let write = self.new_id();
        self.call = Some(Call::Write {
            write,
            stored: stored.clone(),
            sent: now,
        });
        actions.push(Action::Write {
            write,
            stored,
            expected,
        });
    }

    fn handle_write_end(
        &mut self,
        now: Millis,
        write: u64,
        result: WriteResult,
        actions: &mut Vec<Action>,
    ) {
        let Some(Call::Write {
            write: id,
            stored,
            sent,
        }) = self.call.clone()
        else {
            return;
        };
        if id != write {
            return;
        }
        self.call = None;
        match result {
            WriteResult::Committed => self.handle_confirmed_write(now, &stored, sent, actions),
            WriteResult::Conflict(row) => {
                self.next_call_at = now + POLL_INTERVAL;
                self.handle_row(now, row, actions);
            }
            WriteResult::Unavailable => self.next_call_at = now + RETRY_DELAY,
            WriteResult::Unanswered => {
                let first = self
                    .unanswered
                    .take()
                    .filter(|unanswered| unanswered.stored == stored);
                let sent = first.map_or(sent, |unanswered| unanswered.sent);
                self.unanswered = Some(UnansweredWrite { stored, sent });
                self.next_call_at = now + RETRY_DELAY;
            }
        }
    }

    /// Handles a write of this process that took effect and was sent at `sent` or later.
    fn handle_confirmed_write(
        &mut self,
        now: Millis,
        stored: &StoredLease,
        sent: Millis,
        actions: &mut Vec<Action>,
    ) {
        // An earlier, unanswered attempt of the same write may be the one that took effect.
        let unanswered = self
            .unanswered
            .take()
            .filter(|unanswered| unanswered.stored == *stored);
        let sent = unanswered.map_or(sent, |unanswered| unanswered.sent.min(sent));
        let until = sent + LEASE_DURATION;
        let fence = stored.row.fence;
        self.observe_row(now, Some(stored));
        self.next_call_at = sent + RENEW_AFTER;
        if let Some(held) = self.held.as_mut().filter(|held| held.fence == fence) {
            held.until = held.until.max(until);
            self.version = stored.version;
            return;
        }
        let was_lost = self.last_lost.is_some_and(|(lost, _)| lost == fence);
        if was_lost || !self.wants_lease || now >= until {
            // The lease is acquired again later, with a new fence.
            self.next_call_at = now + RETRY_DELAY;
            return;
        }
        self.version = stored.version;
        self.held = Some(HeldLease {
            fence,
            acquired: now,
            until,
        });
        actions.push(Action::Acquired(fence));
    }

    /// Records since when the row has been in its current version.
    fn observe_row(&mut self, now: Millis, row: Option<&StoredLease>) {
        if let Some(stored) = row {
            self.highest_fence = self.highest_fence.max(stored.row.fence);
        }
        let unchanged = self
            .observed
            .as_ref()
            .is_some_and(|observed| observed.row.as_ref() == row);
        if !unchanged {
            self.observed = Some(ObservedRow {
                row: row.cloned(),
                since: now,
            });
        }
    }

    fn handle_row(&mut self, now: Millis, row: Option<StoredLease>, actions: &mut Vec<Action>) {
        self.observe_row(now, row.as_ref());
        match row {
            Some(stored) if stored.row.holder == self.this_process => {
                self.handle_own_row(now, stored, actions)
            }
            row => self.handle_other_row(now, row, actions),
        }
    }

    fn handle_own_row(&mut self, now: Millis, stored: StoredLease, actions: &mut Vec<Action>) {
        if let Some(unanswered) = self
            .unanswered
            .clone()
            .filter(|unanswered| unanswered.stored == stored)
        {
            self.handle_confirmed_write(now, &stored, unanswered.sent, actions);
            return;
        }
        if self.held.is_none() {
            // As for another process, orders sent under the lost lease must have ended.
            let lost_lease_has_ended = self
                .last_lost
                .is_none_or(|(_, until)| now >= until + TAKEOVER_MARGIN);
            if self.wants_lease && lost_lease_has_ended {
                self.acquire(now, Some(&stored), actions);
            }
            return;
        }
        if stored.version > self.version {
            self.version = stored.version;
            self.next_call_at = now;
        } else if stored.version == self.version
            && let Some(unanswered) = self.unanswered.clone()
        {
            self.write(now, unanswered.stored, Some(stored.version), actions);
        }
    }

    /// Handles a row that belongs to another process or does not exist. After a restore of the
    /// table the row of the holder may be missing, so an absent row is observed as long as an
    /// existing one.
    fn handle_other_row(
        &mut self,
        now: Millis,
        row: Option<StoredLease>,
        actions: &mut Vec<Action>,
    ) {
        if let Some(held) = self.held {
            let is_stale_read = row.as_ref().is_none_or(|row| row.version < self.version);
            if !is_stale_read {
                self.end_lease(held, actions);
            }
            return;
        }
        let since = self
            .observed
            .as_ref()
            .map_or(now, |observed| observed.since);
        let duration = row
            .as_ref()
            .map_or(LEASE_DURATION, |stored| stored.row.duration);
        if self.wants_lease && now >= since + duration + TAKEOVER_MARGIN {
            self.acquire(now, row.as_ref(), actions);
        }
    }

    fn acquire(&mut self, now: Millis, row: Option<&StoredLease>, actions: &mut Vec<Action>) {
        // Without a higher fence, engines would refuse the orders of the lease.
        let Some(fence) = self.highest_fence.0.checked_add(1).map(Fence) else {
            return;
        };
        let version = row.map(|row| row.version);
        let stored = self.next_row(version, fence);
        self.write(now, stored, version, actions);
    }
}
