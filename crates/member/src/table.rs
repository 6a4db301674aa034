//! Known members and their states.

use std::net::SocketAddr;

use bv_types::{HostId, Millis};

use crate::Member;
use crate::message::{Status, Update};
use crate::timing::{DEAD_KEPT, PROBE_LIMIT, SUSPICION, SUSPICION_CONFIRMED};

/// One known member other than this host.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub member: Member,
    pub counter: u32,
    pub status: Status,
    /// When the status was taken.
    pub since: Millis,
    /// Transmissions of this state that are left.
    pub sends: u32,
    /// Digest of host and incarnation.
    digest: u64,
}

impl Entry {
    /// Whether the member counts as live.
    pub fn is_alive(&self) -> bool {
        self.status <= Status::Suspect
    }

    pub fn update(&self) -> Update {
        Update {
            member: self.member.clone(),
            counter: self.counter,
            status: self.status,
        }
    }

    /// Order of news; a departure is final for its incarnation.
    fn rank(&self) -> Rank {
        rank(&self.update())
    }
}

type Rank = (u64, bool, u32, Status);

fn rank(update: &Update) -> Rank {
    (
        update.member.incarnation.0,
        update.status == Status::Left,
        update.counter,
        update.status,
    )
}

/// What an update changed.
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
        self.entries.binary_search_by(|e| e.member.host.cmp(host))
    }

    /// Live members.
    pub fn alive(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter().filter(|e| e.is_alive())
    }

    /// Sum of the digests of the live members.
    pub fn digest(&self) -> u64 {
        self.alive().fold(0, |sum, e| sum.wrapping_add(e.digest))
    }

    /// Dead members that did not say that they leave.
    pub fn dead(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter().filter(|e| e.status == Status::Dead)
    }

    /// Whether a live member has this address.
    pub fn has_live_addr(&self, addr: SocketAddr) -> bool {
        self.alive().any(|e| e.member.addr == addr)
    }

    /// Whether a message of this process is outdated: a newer process has replaced it, or it left.
    pub fn is_stale(&self, member: &Member) -> bool {
        self.get(&member.host).is_some_and(|e| {
            e.member.incarnation > member.incarnation
                || (e.member.incarnation == member.incarnation && e.status == Status::Left)
        })
    }

    /// Takes news about a member; empty if it is not news.
    pub fn apply(&mut self, now: Millis, update: Update, sends: u32) -> Vec<Change> {
        let at = match self.find(&update.member.host) {
            Ok(at) => at,
            // Unknown dead members are not recorded; otherwise two hosts that forget them at
            // different times would teach them to each other forever.
            Err(_) if update.status >= Status::Dead => return Vec::new(),
            Err(at) => {
                let joined = Change::Joined(update.member.clone());
                let suspected = (update.status == Status::Suspect)
                    .then(|| Change::Suspected(update.member.clone()));
                self.entries.insert(at, entry(now, update, sends));
                return std::iter::once(joined).chain(suspected).collect();
            }
        };
        let known = &self.entries[at];
        if rank(&update) <= known.rank() {
            return Vec::new();
        }
        let mut update = update;
        if must_suspect_first(now, known, &update) {
            update.status = Status::Suspect;
            if rank(&update) <= known.rank() {
                return Vec::new();
            }
        }
        let known = std::mem::replace(&mut self.entries[at], entry(now, update, sends));
        changes(&known, &self.entries[at])
    }

    /// Declares overdue suspects dead and forgets members that have long been dead.
    pub fn expire(&mut self, now: Millis, sends: u32) -> Vec<Change> {
        let mut changes = Vec::new();
        for e in &mut self.entries {
            if e.status == Status::Suspect && now >= e.since + SUSPICION {
                e.status = Status::Dead;
                e.since = now;
                e.sends = sends;
                changes.push(Change::Dead(e.member.clone()));
            }
        }
        self.entries
            .retain(|e| e.is_alive() || now < e.since + DEAD_KEPT);
        changes
    }

    /// Does not count the time for which this process was paused, and gives all suspects time for a
    /// refutation that waits to be read. Giving them the whole time again would keep a dead member
    /// for ever in the view of a host that is often delayed.
    pub fn extend_suspicions(&mut self, now: Millis, pause: Millis) {
        let latest_left = now - (SUSPICION - PROBE_LIMIT);
        for e in &mut self.entries {
            if e.status == Status::Suspect {
                e.since = (e.since + pause).max(latest_left).min(now);
            }
        }
    }
}

fn entry(now: Millis, update: Update, sends: u32) -> Entry {
    Entry {
        digest: update.member.digest(),
        member: update.member,
        counter: update.counter,
        status: update.status,
        since: now,
        sends,
    }
}

/// Whether a declaration of death may be outdated news of another side of a partition: the member
/// must be suspected here for a while, so that it can refute.
fn must_suspect_first(now: Millis, known: &Entry, update: &Update) -> bool {
    if update.status != Status::Dead {
        return false;
    }
    match known.status {
        Status::Alive => true,
        Status::Suspect => now < known.since + SUSPICION_CONFIRMED,
        Status::Dead | Status::Left => false,
    }
}

fn changes(known: &Entry, next: &Entry) -> Vec<Change> {
    let mut changes = Vec::new();
    let replaced = next.member.incarnation != known.member.incarnation;
    if replaced && known.is_alive() {
        changes.push(Change::Dead(known.member.clone()));
    }
    let was_alive = known.is_alive() && !replaced;
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
