//! What backend servers announce in their answers: that they leave, or that they rest.
//!
//! A server's answers tell sooner than the store that it leaves, also while the store is out of
//! reach. A server that rests wants nothing from this host for a stated time. [`Announcements`]
//! decides whether a server may be sent something now.
//!
//! ```
//! use bv_admit::{Announcement, Announcements, Block, Instance};
//! use bv_types::Millis;
//!
//! let engine = Instance {
//!     id: "decode-1".parse().unwrap(),
//!     started_at: Some(Millis(5)),
//! };
//! let mut announced = Announcements::new(1);
//! let leaves = Announcement { leaving: true, rest: None };
//! announced.record(Millis(100), &engine, leaves);
//! assert_eq!(announced.block(Millis(900), &engine), Some(Block::Leaving));
//! ```

use std::cmp::Ordering;

use bv_roster::Registration;
use bv_types::{BackendId, Millis};
use fastrand::Rng;

/// Longest rest; a longer one counts as this long. A server that never wants requests again leaves.
pub const MAX_REST: Millis = Millis(600_000);
/// Largest random part of a rest, as a divisor of the announced time. It spreads the return of
/// hosts that a server turned away at the same moment.
const REST_SPREAD_DIVISOR: u64 = 5;
/// Largest random part of a rest.
const MAX_REST_SPREAD: Millis = Millis(500);
/// Largest random part of a caller's Retry-After, as a divisor of the time until the first server
/// returns.
const RETURN_SPREAD_DIVISOR: u64 = 4;
/// Bounds of the largest random part of a caller's Retry-After.
const RETURN_SPREAD: (Millis, Millis) = (Millis(100), Millis(500));
/// Maximum number of recorded instances. Beyond it, the one that announced something least recently
/// is forgotten.
pub const MAX_INSTANCES: usize = 4_096;

/// A process of a backend server. Another process under the same id has another start time. Without
/// a start time, all processes under one id count as the same.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Instance {
    /// Id of the backend server.
    pub id: BackendId,
    /// When the process started.
    pub started_at: Option<Millis>,
}

impl From<&Registration> for Instance {
    fn from(server: &Registration) -> Self {
        Instance {
            id: server.id.clone(),
            started_at: server.started_at,
        }
    }
}

/// What one answer of a server announces.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Announcement {
    /// Whether the server leaves.
    pub leaving: bool,
    /// Time for which it wants no requests from this host.
    pub rest: Option<Millis>,
}

/// What an announcement changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnouncedChange {
    /// The server leaves.
    Leaves,
    /// The server rests.
    Rests {
        /// End of the rest.
        until: Millis,
    },
}

/// Why a server may not be sent anything now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Block {
    /// It leaves, which is final.
    Leaving,
    /// It rests.
    Resting {
        /// End of the rest.
        until: Millis,
    },
}

/// Refusal of a request because all servers that could run it rest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AllResting {
    /// When the first server returns.
    pub until: Millis,
    /// Retry-After for the caller; none if no server returns early enough to serve it.
    pub retry_after: Option<Millis>,
}

#[derive(Debug, Clone)]
struct Record {
    instance: Instance,
    leaving: bool,
    /// End of the latest rest; zero if there was none or its end was reported.
    rest_until: Millis,
    announced_at: Millis,
}

impl Record {
    fn block(&self, now: Millis) -> Option<Block> {
        match (self.leaving, now < self.rest_until) {
            (true, _) => Some(Block::Leaving),
            (false, true) => Some(Block::Resting {
                until: self.rest_until,
            }),
            (false, false) => None,
        }
    }
}

/// Announcements of all servers to one host, sorted by instance.
///
/// Leaving is final for an instance. Rows of the store change nothing here, and neither does an
/// answer without an announcement or with a rest that ends sooner.
#[derive(Debug)]
pub struct Announcements {
    records: Vec<Record>,
    rng: Rng,
}

impl Announcements {
    /// No announcements; `seed` feeds the random part of times.
    pub fn new(seed: u64) -> Self {
        Announcements {
            records: Vec::new(),
            rng: Rng::with_seed(seed),
        }
    }

    /// Records what an answer of `instance` announced; returns what is new: that it leaves, or that
    /// a rest begins.
    pub fn record(
        &mut self,
        now: Millis,
        instance: &Instance,
        announcement: Announcement,
    ) -> Option<AnnouncedChange> {
        let rest = announcement.rest.filter(|rest| *rest > Millis::ZERO);
        if !announcement.leaving && rest.is_none() {
            return None;
        }
        let rest_until = rest.map_or(Millis::ZERO, |rest| now + self.spread_rest(rest));
        let record = self.entry(now, instance);
        let before = record.block(now);
        record.announced_at = now;
        record.leaving |= announcement.leaving;
        record.rest_until = record.rest_until.max(rest_until);
        match (before, record.block(now)) {
            (None | Some(Block::Resting { .. }), Some(Block::Leaving)) => {
                Some(AnnouncedChange::Leaves)
            }
            (None, Some(Block::Resting { until })) => Some(AnnouncedChange::Rests { until }),
            _ => None,
        }
    }

    /// Why an instance may not be sent anything now; `None` if it may.
    pub fn block(&self, now: Millis, instance: &Instance) -> Option<Block> {
        self.block_of(now, &instance.id, instance.started_at)
    }

    /// Whether a server may be sent work now.
    pub fn may_send(&self, now: Millis, server: &Registration) -> bool {
        self.block_of(now, &server.id, server.started_at).is_none()
    }

    /// Whether a server may be told to free what it keeps for a request. A resting server wants no
    /// requests at all and frees it by itself; a leaving one still serves.
    pub fn may_release(&self, now: Millis, instance: &Instance) -> bool {
        !matches!(self.block(now, instance), Some(Block::Resting { .. }))
    }

    /// The servers among `entries` that may be sent work now.
    pub fn allowed<'a>(
        &self,
        now: Millis,
        entries: impl Iterator<Item = &'a Registration>,
    ) -> impl Iterator<Item = &'a Registration> {
        entries.filter(move |entry| self.may_send(now, entry))
    }

    /// The refusal of a request if all servers among `entries` are leaving or resting, and at least
    /// one rests. `longest` is the longest Retry-After that leaves the caller time to be served.
    pub fn all_resting<'a>(
        &mut self,
        now: Millis,
        longest: Millis,
        entries: impl Iterator<Item = &'a Registration>,
    ) -> Option<AllResting> {
        let mut first = None;
        for entry in entries {
            match self.block_of(now, &entry.id, entry.started_at)? {
                Block::Leaving => {}
                Block::Resting { until } => {
                    first = Some(first.map_or(until, |first: Millis| first.min(until)));
                }
            }
        }
        let until = first?;
        let wait = until - now;
        let (least, most) = RETURN_SPREAD;
        let spread = Millis(wait.0 / RETURN_SPREAD_DIVISOR).max(least).min(most);
        let in_time = wait + spread <= longest;
        Some(AllResting {
            until,
            retry_after: in_time.then(|| wait + Millis(self.rng.u64(..=spread.0))),
        })
    }

    /// Forgets the rests that are over, and returns their instances.
    pub fn end_rests(&mut self, now: Millis) -> Vec<Instance> {
        let is_over =
            |record: &Record| record.rest_until > Millis::ZERO && now >= record.rest_until;
        let over = self.records.iter().filter(|r| is_over(r) && !r.leaving);
        let ended = over.map(|record| record.instance.clone()).collect();
        self.records.retain(|r| r.leaving || !is_over(r));
        ended
    }

    /// Number of recorded instances.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether nothing is recorded.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The time for which a server that asked for `rest` is left alone.
    fn spread_rest(&mut self, rest: Millis) -> Millis {
        let rest = rest.min(MAX_REST);
        let spread = Millis(rest.0 / REST_SPREAD_DIVISOR).min(MAX_REST_SPREAD);
        rest + Millis(self.rng.u64(..=spread.0))
    }

    fn block_of(&self, now: Millis, id: &BackendId, started_at: Option<Millis>) -> Option<Block> {
        let at = self.find(id, started_at).ok()?;
        self.records[at].block(now)
    }

    fn find(&self, id: &BackendId, started_at: Option<Millis>) -> Result<usize, usize> {
        self.records.binary_search_by(|record| {
            let instance = &record.instance;
            match instance.id.cmp(id) {
                Ordering::Equal => instance.started_at.cmp(&started_at),
                other => other,
            }
        })
    }

    fn entry(&mut self, now: Millis, instance: &Instance) -> &mut Record {
        if self.find(&instance.id, instance.started_at).is_err() {
            self.make_room();
        }
        let at = match self.find(&instance.id, instance.started_at) {
            Ok(at) => at,
            Err(at) => {
                let record = Record {
                    instance: instance.clone(),
                    leaving: false,
                    rest_until: Millis::ZERO,
                    announced_at: now,
                };
                self.records.insert(at, record);
                at
            }
        };
        &mut self.records[at]
    }

    fn make_room(&mut self) {
        if self.records.len() < MAX_INSTANCES {
            return;
        }
        let oldest = self.records.iter().enumerate();
        let oldest = oldest.min_by_key(|(_, record)| record.announced_at);
        if let Some(at) = oldest.map(|(at, _)| at) {
            self.records.remove(at);
        }
    }
}
