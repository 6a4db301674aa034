//! Known members and their states.

use std::net::SocketAddr;

use bv_types::{HostId, Millis};

use crate::Member;
use crate::message::{MemberUpdate, Status};
use crate::timing::{DEAD_RETENTION, MIN_SUSPICION_TIME, PROBE_TIMEOUT, SUSPICION_TIMEOUT};

/// One known member other than this host.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub member: Member,
    pub counter: u32,
    pub status: Status,
    /// When this host recorded the status.
    pub since: Millis,
    /// Transmissions of this state that remain.
    pub sends_left: u32,
    /// Digest of host and incarnation.
    digest: u64,
}

impl Entry {
    /// Whether the member counts as live.
    pub fn is_alive(&self) -> bool {
        self.status <= Status::Suspect
    }

    pub fn update(&self) -> MemberUpdate {
        MemberUpdate {
            member: self.member.clone(),
            counter: self.counter,
            status: self.status,
        }
    }

    /// Rank by which an update is newer than this entry; a departure ranks above all other updates
    /// of its incarnation.
    fn rank(&self) -> Rank {
        rank(&self.update())
    }
}

type Rank = (u64, bool, u32, Status);

fn rank(update: &MemberUpdate) -> Rank {
    (
        update.member.incarnation.0,
        update.status == Status::Left,
        update.counter,
        update.status,
    )
}

/// A change that an update caused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Change {
    Joined(Member),
    Suspected(Member),
    Refuted,
    Dead(Member),
    Left(Member),
}

/// Known members, sorted by host id.
#[derive(Debug, Default)]
pub(crate) struct Table {
    pub entries: Vec<Entry>,
}

impl Table {
    pub fn get(&self, host: &HostId) -> Option<&Entry> {
        self.find(host).ok().map(|at| &self.entries[at])
    }

    fn find(&self, host: &HostId) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.member.host.cmp(host))
    }

    /// Live members.
    pub fn alive(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter().filter(|entry| entry.is_alive())
    }

    /// Sum of the digests of the live members.
    pub fn digest(&self) -> u64 {
        self.alive()
            .fold(0, |sum, entry| sum.wrapping_add(entry.digest))
    }

    /// Members that were declared dead, without those that announced their departure.
    pub fn dead(&self) -> impl Iterator<Item = &Entry> {
        self.entries
            .iter()
            .filter(|entry| entry.status == Status::Dead)
    }

    /// Whether a live member has this address.
    pub fn has_live_addr(&self, addr: SocketAddr) -> bool {
        self.alive().any(|entry| entry.member.addr == addr)
    }

    /// Whether a message of this process is outdated: a newer process has replaced it, or it left.
    pub fn is_stale(&self, member: &Member) -> bool {
        self.get(&member.host).is_some_and(|entry| {
            entry.member.incarnation > member.incarnation
                || (entry.member.incarnation == member.incarnation && entry.status == Status::Left)
        })
    }

    /// Applies an update about a member; returns no changes if the update is outdated.
    pub fn apply(&mut self, now: Millis, update: MemberUpdate, sends_left: u32) -> Vec<Change> {
        let at = match self.find(&update.member.host) {
            Ok(at) => at,
            // Unknown dead members are not recorded; otherwise two hosts that forget them at
            // different times would report them to each other forever.
            Err(_) if update.status >= Status::Dead => return Vec::new(),
            Err(at) => {
                let joined = Change::Joined(update.member.clone());
                let suspected = (update.status == Status::Suspect)
                    .then(|| Change::Suspected(update.member.clone()));
                self.entries.insert(at, new_entry(now, update, sends_left));
                return std::iter::once(joined).chain(suspected).collect();
            }
        };
        let current = &self.entries[at];
        if rank(&update) <= current.rank() {
            return Vec::new();
        }
        let mut update = update;
        if must_suspect_first(now, current, &update) {
            update.status = Status::Suspect;
            if rank(&update) <= current.rank() {
                return Vec::new();
            }
        }
        let current = std::mem::replace(&mut self.entries[at], new_entry(now, update, sends_left));
        changes(&current, &self.entries[at])
    }

    /// Declares suspects dead after the suspicion timeout, and removes members that have been dead
    /// for [`DEAD_RETENTION`].
    pub fn expire(&mut self, now: Millis, sends_left: u32) -> Vec<Change> {
        let mut changes = Vec::new();
        for entry in &mut self.entries {
            if entry.status == Status::Suspect && now >= entry.since + SUSPICION_TIMEOUT {
                entry.status = Status::Dead;
                entry.since = now;
                entry.sends_left = sends_left;
                changes.push(Change::Dead(entry.member.clone()));
            }
        }
        self.entries
            .retain(|entry| entry.is_alive() || now < entry.since + DEAD_RETENTION);
        changes
    }

    /// Moves the start of each suspicion forward by the time for which this process was paused, and
    /// leaves each suspect at least [`PROBE_TIMEOUT`], because its refutation may be received but
    /// not read yet. Restarting the whole timeout would keep a dead member forever in the view of a
    /// host that is often delayed.
    pub fn extend_suspicions(&mut self, now: Millis, pause: Millis) {
        let min_since = now - (SUSPICION_TIMEOUT - PROBE_TIMEOUT);
        for entry in &mut self.entries {
            if entry.status == Status::Suspect {
                entry.since = (entry.since + pause).max(min_since).min(now);
            }
        }
    }
}

fn new_entry(now: Millis, update: MemberUpdate, sends_left: u32) -> Entry {
    Entry {
        digest: update.member.digest(),
        member: update.member,
        counter: update.counter,
        status: update.status,
        since: now,
        sends_left,
    }
}

/// Whether a declaration of death may be outdated because it comes from the other side of a
/// partition. The member must then be suspected here first, so that it can refute.
fn must_suspect_first(now: Millis, current: &Entry, update: &MemberUpdate) -> bool {
    if update.status != Status::Dead {
        return false;
    }
    match current.status {
        Status::Alive => true,
        Status::Suspect => now < current.since + MIN_SUSPICION_TIME,
        Status::Dead | Status::Left => false,
    }
}

fn changes(current: &Entry, next: &Entry) -> Vec<Change> {
    let mut changes = Vec::new();
    let replaced = next.member.incarnation != current.member.incarnation;
    if replaced && current.is_alive() {
        changes.push(Change::Dead(current.member.clone()));
    }
    let was_alive = current.is_alive() && !replaced;
    let member = next.member.clone();
    match next.status {
        Status::Alive if was_alive => changes.push(Change::Refuted),
        Status::Alive => changes.push(Change::Joined(member)),
        Status::Suspect => {
            if !was_alive {
                changes.push(Change::Joined(member.clone()));
            }
            changes.push(Change::Suspected(member));
        }
        Status::Dead if was_alive => changes.push(Change::Dead(member)),
        Status::Left if was_alive => changes.push(Change::Left(member)),
        Status::Dead | Status::Left => {}
    }
    changes
}
