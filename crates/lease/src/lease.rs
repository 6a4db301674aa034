//! The lease of one engine group at one process.

use bv_types::{Fence, Millis, Version};

use crate::{Action, Event, Held, Holder, LeaseRow, StoredLease, WriteResult};

/// Duration of a lease.
pub const LEASE_DURATION: Millis = Millis(9_000);
/// Time beyond the duration for which another process must have seen the row unchanged. It covers
/// clocks that run at slightly different speeds.
pub const TAKE_MARGIN: Millis = Millis(1_000);
const RENEW_AFTER: Millis = Millis(LEASE_DURATION.0 / 3);
const POLL: Millis = Millis(1_000);
/// Pause before the table service is asked again.
const RETRY_PAUSE: Millis = Millis(300);

/// The row, or its absence, as it was first seen in its present version.
#[derive(Debug, Clone)]
struct Seen {
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

/// A write without an answer.
#[derive(Debug, Clone)]
struct Doubt {
    stored: StoredLease,
    /// When it was first sent; a repetition cannot be told from it.
    sent: Millis,
}

/// Obtains and renews the lease of one group.
///
/// The lease counts from the time at which the last confirmed write was sent, and another process
/// takes it only after it has itself seen the row unchanged for the duration and a margin. So no
/// clocks are compared, and two processes never hold the lease at the same time.
#[derive(Debug, Clone)]
pub struct Lease {
    me: Holder,
    want: bool,
    held: Option<Held>,
    /// Version of the row while the lease is held.
    version: Version,
    /// Fence and end of the last lease that was lost.
    lost: Option<(Fence, Millis)>,
    seen: Option<Seen>,
    call: Option<Call>,
    doubt: Option<Doubt>,
    next: Millis,
    next_id: u64,
    highest_fence: Fence,
}

impl Lease {
    /// A process without the lease.
    pub fn new(me: Holder) -> Self {
        Lease {
            me,
            want: false,
            held: None,
            version: Version(0),
            lost: None,
            seen: None,
            call: None,
            doubt: None,
            next: Millis::ZERO,
            next_id: 0,
            highest_fence: Fence(0),
        }
    }

    /// The lease, if this process holds it at `now`.
    pub fn held(&self, now: Millis) -> Option<Held> {
        self.held.filter(|held| now < held.until)
    }

    /// Processes an event and returns what to do.
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.expire(now, &mut out);
        match event {
            Event::Want(want) => self.set_want(want, &mut out),
            Event::Read { read, row } => {
                if matches!(self.call, Some(Call::Read(id)) if id == read) {
                    self.call = None;
                    self.next = now + POLL;
                    self.row_seen(now, row, &mut out);
                }
            }
            Event::ReadFailed { read } => {
                if matches!(self.call, Some(Call::Read(id)) if id == read) {
                    self.call = None;
                    self.next = now + RETRY_PAUSE;
                }
            }
            Event::WriteEnded { write, result } => self.write_ended(now, write, result, &mut out),
            Event::FenceSeen(fence) => self.fence_seen(fence, &mut out),
            Event::Tick => {}
        }
        self.proceed(now, &mut out);
        out
    }

    fn set_want(&mut self, want: bool, out: &mut Vec<Action>) {
        self.want = want;
        if let Some(held) = self.held.filter(|_| !want) {
            self.lose(held, out);
        }
    }

    /// A lease with a fence below one that an engine knows is of no use and is given up.
    fn fence_seen(&mut self, fence: Fence, out: &mut Vec<Action>) {
        self.highest_fence = self.highest_fence.max(fence);
        if let Some(held) = self.held.filter(|held| held.fence < fence) {
            self.lose(held, out);
        }
    }

    fn expire(&mut self, now: Millis, out: &mut Vec<Action>) {
        if let Some(held) = self.held.filter(|held| now >= held.until) {
            self.lose(held, out);
        }
    }

    /// The end of the lease is kept even if it is given up early, because orders sent under it may
    /// still be on their way.
    fn lose(&mut self, held: Held, out: &mut Vec<Action>) {
        self.held = None;
        self.lost = Some((held.fence, held.until));
        out.push(Action::Lost(held.fence));
    }

    fn new_id(&mut self) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        id
    }

    /// Sends the next call if none is in progress and it is time for one.
    fn proceed(&mut self, now: Millis, out: &mut Vec<Action>) {
        if !self.want || self.call.is_some() || now < self.next {
            return;
        }
        if self.held.is_some() && self.doubt.is_none() {
            let stored = self.next_row(Some(self.version), self.held_fence());
            self.write(now, stored, Some(self.version), out);
            return;
        }
        let read = self.new_id();
        self.call = Some(Call::Read(read));
        out.push(Action::Read { read });
    }

    fn held_fence(&self) -> Fence {
        self.held.map_or(Fence(0), |held| held.fence)
    }

    fn next_row(&self, version: Option<Version>, fence: Fence) -> StoredLease {
        StoredLease {
            version: Version(version.map_or(0, |version| version.0) + 1),
            row: LeaseRow {
                holder: self.me.clone(),
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
        out: &mut Vec<Action>,
    ) {
        let write = self.new_id();
        self.call = Some(Call::Write {
            write,
            stored: stored.clone(),
            sent: now,
        });
        out.push(Action::Write {
            write,
            stored,
            expected,
        });
    }

    fn write_ended(&mut self, now: Millis, write: u64, result: WriteResult, out: &mut Vec<Action>) {
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
            WriteResult::Committed => self.confirmed(now, &stored, sent, out),
            WriteResult::Conflict(row) => {
                self.next = now + POLL;
                self.row_seen(now, row, out);
            }
            WriteResult::Unavailable => self.next = now + RETRY_PAUSE,
            WriteResult::Unanswered => {
                let first = self.doubt.take().filter(|doubt| doubt.stored == stored);
                let sent = first.map_or(sent, |doubt| doubt.sent);
                self.doubt = Some(Doubt { stored, sent });
                self.next = now + RETRY_PAUSE;
            }
        }
    }

    /// A write of this process took effect; it was sent at `sent` or later.
    fn confirmed(
        &mut self,
        now: Millis,
        stored: &StoredLease,
        sent: Millis,
        out: &mut Vec<Action>,
    ) {
        // An earlier, unanswered sending of the same write may be the one that took effect.
        let doubt = self.doubt.take().filter(|doubt| doubt.stored == *stored);
        let sent = doubt.map_or(sent, |doubt| doubt.sent.min(sent));
        let until = sent + LEASE_DURATION;
        let fence = stored.row.fence;
        self.note(now, Some(stored));
        self.next = sent + RENEW_AFTER;
        if let Some(held) = self.held.as_mut().filter(|held| held.fence == fence) {
            held.until = held.until.max(until);
            self.version = stored.version;
            return;
        }
        let was_lost = self.lost.is_some_and(|(lost, _)| lost == fence);
        if was_lost || !self.want || now >= until {
            // The lease is taken again later, with a new fence.
            self.next = now + RETRY_PAUSE;
            return;
        }
        self.version = stored.version;
        self.held = Some(Held {
            fence,
            acquired: now,
            until,
        });
        out.push(Action::Acquired(fence));
    }

    /// Remembers since when the row has been in its present version.
    fn note(&mut self, now: Millis, row: Option<&StoredLease>) {
        if let Some(stored) = row {
            self.highest_fence = self.highest_fence.max(stored.row.fence);
        }
        let unchanged = self
            .seen
            .as_ref()
            .is_some_and(|seen| seen.row.as_ref() == row);
        if !unchanged {
            self.seen = Some(Seen {
                row: row.cloned(),
                since: now,
            });
        }
    }

    fn row_seen(&mut self, now: Millis, row: Option<StoredLease>, out: &mut Vec<Action>) {
        self.note(now, row.as_ref());
        match row {
            Some(stored) if stored.row.holder == self.me => self.own_row(now, stored, out),
            row => self.other_row(now, row, out),
        }
    }

    fn own_row(&mut self, now: Millis, stored: StoredLease, out: &mut Vec<Action>) {
        if let Some(doubt) = self.doubt.clone().filter(|doubt| doubt.stored == stored) {
            self.confirmed(now, &stored, doubt.sent, out);
            return;
        }
        if self.held.is_none() {
            // Orders under the lost lease must have come to an end, as for another process.
            let free = self
                .lost
                .is_none_or(|(_, until)| now >= until + TAKE_MARGIN);
            if self.want && free {
                self.take(now, Some(&stored), out);
            }
            return;
        }
        if stored.version > self.version {
            self.version = stored.version;
            self.next = now;
        } else if stored.version == self.version
            && let Some(doubt) = self.doubt.clone()
        {
            self.write(now, doubt.stored, Some(stored.version), out);
        }
    }

    /// The row belongs to another process or does not exist. After a restore of the table the
    /// holder may have lost its row, so that an absent row is observed as long as another one.
    fn other_row(&mut self, now: Millis, row: Option<StoredLease>, out: &mut Vec<Action>) {
        if let Some(held) = self.held {
            let lagging = row.as_ref().is_none_or(|row| row.version < self.version);
            if !lagging {
                self.lose(held, out);
            }
            return;
        }
        let since = self.seen.as_ref().map_or(now, |seen| seen.since);
        let duration = row
            .as_ref()
            .map_or(LEASE_DURATION, |stored| stored.row.duration);
        if self.want && now >= since + duration + TAKE_MARGIN {
            self.take(now, row.as_ref(), out);
        }
    }

    fn take(&mut self, now: Millis, row: Option<&StoredLease>, out: &mut Vec<Action>) {
        let version = row.map(|row| row.version);
        let fence = Fence(self.highest_fence.0 + 1);
        let stored = self.next_row(version, fence);
        self.write(now, stored, version, out);
    }
}
