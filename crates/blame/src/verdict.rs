//! Which contents are blocked, as a function of the crashes and of the contents that survived.
//!
//! A content that crashes engines is among the suspects of each of its crashes and never survives.
//! Contents that were suspects of exactly the same crashes are told apart by the next request that
//! holds only some of them, so they are blocked only together.

use bv_types::{Fingerprint, Millis};

use crate::content::CrashId;

/// Number of crashes after which a content is blocked in any case, unless it has survived shortly
/// before or they are all of one burst.
pub const MAX_CRASHES_OF_CONTENT: u32 = 5;
/// Number of crashes, not all of one burst, after which a content is blocked that is a suspect of at
/// least [`MIN_SHARE`] of the crashes in its time. Only crashes before an answer began count.
pub const BLOCK_CRASHES: u32 = 3;
/// Number of bursts of crashes after which a content is blocked that has survived shortly before.
/// Popular contents are suspects of many crashes that they did not cause.
pub const SOUND_BLOCK_BURSTS: u32 = 5;
/// Crashes within this time are one burst: engines that crash together may have a common cause.
pub const BURST_TIME: Millis = Millis(300);
/// Number of crashes in trials after which a content is blocked in any case. Requests in trials are sent
/// one at a time, over the hosts that hear each other.
pub const BLOCK_TRIAL_CRASHES: u32 = 2;
/// Smallest share of the crashes that no other content explains. While engines crash often for
/// other reasons, a content may be beside several crashes by chance.
pub const MIN_SHARE: f64 = 0.25;
/// Time before the last crash of a content in which that share is taken, or longer if its crashes
/// reach further back.
pub const SHARE_TIME: Millis = Millis(10_000);
/// Time for which a survival speaks for a content.
pub const SOUND_TIME: Millis = Millis::from_secs(60);
/// Length of a block; it doubles with each crash after the one that began it.
pub const BLOCK_TIME: Millis = Millis::from_secs(600);
/// Length of the first block of a content with less than [`MIN_SHARE`] of the crashes, which may be
/// beside them by chance.
pub const DOUBTFUL_BLOCK_TIME: Millis = Millis::from_secs(20);
/// Longest block.
pub const MAX_BLOCK_TIME: Millis = Millis::from_secs(24 * 3_600);
/// Number of doublings after which every block reaches [`MAX_BLOCK_TIME`].
const MAX_DOUBLINGS: u32 = 13;
/// Maximum number of crashes that are kept; a set of them is a bit mask of 128 bits.
pub const MAX_CRASHES: usize = 128;

/// A content that may have caused a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Suspicion {
    /// Digest of the content.
    pub content: Fingerprint,
    /// Whether it identifies whole requests.
    pub is_request: bool,
    /// Whether its request was sent in a trial.
    pub in_trial: bool,
    /// Whether a request with it had begun to be answered. Most crashes come before that, so
    /// such a request was probably beside the one that caused it.
    pub has_answer: bool,
}

/// A crash of an engine and the contents that may have caused it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Crash {
    /// The crash.
    pub id: CrashId,
    /// When a host first saw it.
    pub at: Millis,
    /// Sorted by content; each content once.
    pub suspects: Vec<Suspicion>,
}

impl Crash {
    /// Whether a content may have caused it.
    pub fn is_suspect(&self, content: Fingerprint) -> bool {
        let found = self
            .suspects
            .binary_search_by_key(&content, |suspicion| suspicion.content);
        found.is_ok()
    }
}

/// Contents that are refused together: a request is refused if it has all of them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Block {
    /// Sorted.
    pub contents: Vec<Fingerprint>,
    /// The crashes that all of them are suspects of, the first one first.
    pub crashes: Vec<CrashId>,
    /// When the latest of the crashes was seen.
    pub last_crash_at: Millis,
    /// End of the block.
    pub until: Millis,
    /// When its crashes are forgotten. A crash before that blocks the contents again at once.
    pub forget_at: Millis,
}

/// Set of positions in the list of crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
struct CrashSet(u128);

impl CrashSet {
    fn insert(&mut self, position: usize) {
        self.0 |= 1 << position;
    }

    fn without(self, other: CrashSet) -> CrashSet {
        CrashSet(self.0 & !other.0)
    }

    fn union(self, other: CrashSet) -> CrashSet {
        CrashSet(self.0 | other.0)
    }

    fn len(self) -> u32 {
        self.0.count_ones()
    }

    fn positions(self) -> impl Iterator<Item = usize> {
        (0..MAX_CRASHES).filter(move |position| self.0 & (1 << position) != 0)
    }
}

/// A content with the crashes that it may have caused.
#[derive(Debug, Clone, Copy)]
struct Suspect {
    key: Fingerprint,
    crashes: CrashSet,
    /// Those of them before which no request with it had begun to be answered.
    unanswered: CrashSet,
    /// Those of them that came in a trial.
    tried: CrashSet,
    /// Those of `unanswered` that came after it survived last.
    since_survival: CrashSet,
    /// Whether it identifies whole requests.
    is_request: bool,
    /// Whether it survived shortly before the first of them.
    is_sound: bool,
}

impl Suspect {
    /// Whether it is to be blocked. `explained` are the crashes that blocked contents caused.
    fn is_guilty(&self, crashes: &[Crash], explained: CrashSet) -> bool {
        let open = self.crashes.without(explained);
        let unanswered = self.unanswered.without(explained);
        // Whole requests are tried alone; one that was only beside others is not blocked for that.
        if self.is_request {
            return self.is_tried(explained)
                || (self.tried.without(explained).len() > 0
                    && !self.is_sound
                    && unanswered.len() >= BLOCK_CRASHES
                    && is_frequent(crashes, open, explained));
        }
        if self.is_sound {
            return count_bursts(crashes, open) >= SOUND_BLOCK_BURSTS;
        }
        if count_bursts(crashes, open) < 2 {
            return false;
        }
        open.len() >= MAX_CRASHES_OF_CONTENT
            || (unanswered.len() >= BLOCK_CRASHES && is_frequent(crashes, open, explained))
    }

    /// Whether its trials alone block it.
    fn is_tried(&self, explained: CrashSet) -> bool {
        self.tried.without(explained).len() >= BLOCK_TRIAL_CRASHES
    }

    /// Number of its crashes beyond those that begin a block.
    fn relapses(&self, crashes: &[Crash]) -> u32 {
        match self.is_sound {
            true => count_bursts(crashes, self.crashes).saturating_sub(SOUND_BLOCK_BURSTS),
            false => self.crashes.len().saturating_sub(MAX_CRASHES_OF_CONTENT),
        }
    }
}

/// Whether a set has at least [`MIN_SHARE`] of the crashes in its time that are not explained.
fn is_frequent(crashes: &[Crash], set: CrashSet, explained: CrashSet) -> bool {
    let (Some(first), Some(last)) = (set.positions().next(), set.positions().last()) else {
        return false;
    };
    let from = crashes[first].at.min(crashes[last].at - SHARE_TIME);
    let mut span = CrashSet::default();
    for position in (0..=last).filter(|position| crashes[*position].at >= from) {
        span.insert(position);
    }
    f64::from(set.len()) >= MIN_SHARE * f64::from(span.without(explained).len())
}

fn count_bursts(crashes: &[Crash], set: CrashSet) -> u32 {
    let mut bursts = 0;
    let mut last: Option<Millis> = None;
    for position in set.positions() {
        let at = crashes[position].at;
        if last.is_none_or(|last| at >= last + BURST_TIME) {
            bursts += 1;
            last = Some(at);
        }
    }
    bursts
}

/// What follows from the crashes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Judgement {
    /// The contents to block.
    pub blocks: Vec<Block>,
    /// Contents of whole requests that may have caused crashes since they survived last, with the number
    /// of those before which no request with them was answered. Sorted by content.
    pub suspected: Vec<(Fingerprint, u32)>,
}

/// Judges the crashes. `crashes` are in the order of their time, at most [`MAX_CRASHES`];
/// `survived_at` tells when a content last survived.
pub fn judge(crashes: &[Crash], survived_at: impl Fn(Fingerprint) -> Option<Millis>) -> Judgement {
    let suspects = suspects(crashes, survived_at);
    let requests = suspects.iter().filter(|suspect| suspect.is_request);
    let suspected = requests.map(|suspect| (suspect.key, suspect.since_survival.len()));
    Judgement {
        suspected: suspected.filter(|(_, count)| *count > 0).collect(),
        blocks: blocks(crashes, suspects),
    }
}

/// The contents to block.
fn blocks(crashes: &[Crash], mut suspects: Vec<Suspect>) -> Vec<Block> {
    let mut explained = CrashSet::default();
    let mut blocks = Vec::new();
    loop {
        let most_blamed = suspects
            .iter()
            .filter(|suspect| suspect.is_guilty(crashes, explained))
            .max_by_key(|suspect| (!suspect.is_sound, suspect.crashes.without(explained).len()));
        let Some(most_blamed) = most_blamed.copied() else {
            return blocks;
        };
        let open = most_blamed.crashes.without(explained);
        let is_tied = |suspect: &Suspect| {
            suspect.crashes.without(explained) == open && suspect.is_sound == most_blamed.is_sound
        };
        let contents = suspects.iter().filter(|suspect| is_tied(suspect));
        let contents = contents.map(|suspect| suspect.key).collect();
        let is_certain = most_blamed.is_tried(explained) || is_frequent(crashes, open, explained);
        let first_length = match is_certain {
            true => BLOCK_TIME,
            false => DOUBTFUL_BLOCK_TIME,
        };
        blocks.push(block(crashes, contents, most_blamed, first_length));
        explained = explained.union(most_blamed.crashes);
        suspects.retain(|suspect| suspect.crashes.without(explained).len() > 0);
    }
}

/// All contents that may have caused a crash, sorted.
fn suspects(
    crashes: &[Crash],
    survived_at: impl Fn(Fingerprint) -> Option<Millis>,
) -> Vec<Suspect> {
    let mut all: Vec<(Suspicion, usize)> = Vec::new();
    for (position, crash) in crashes.iter().enumerate().take(MAX_CRASHES) {
        let suspects = crash.suspects.iter();
        all.extend(suspects.map(|suspicion| (*suspicion, position)));
    }
    all.sort_unstable();
    let mut suspects = Vec::new();
    for group in all.chunk_by(|a, b| a.0.content == b.0.content) {
        let key = group[0].0.content;
        let survived_at = survived_at(key);
        let since = survived_at.unwrap_or(Millis::ZERO);
        let mut set = CrashSet::default();
        let mut unanswered = CrashSet::default();
        let mut tried = CrashSet::default();
        let mut since_survival = CrashSet::default();
        let mut first: Option<Millis> = None;
        for (suspicion, position) in group {
            let at = crashes[*position].at;
            // A crash is not the fault of a content that survives afterwards, unless it was tried alone.
            let is_cleared = at <= since && survived_at.is_some();
            if is_cleared && !suspicion.in_trial {
                continue;
            }
            set.insert(*position);
            if suspicion.in_trial {
                tried.insert(*position);
            }
            first = Some(first.map_or(at, |first| first.min(at)));
            if !suspicion.has_answer {
                unanswered.insert(*position);
                if !is_cleared {
                    since_survival.insert(*position);
                }
            }
        }
        if let Some(first) = first {
            suspects.push(Suspect {
                key,
                crashes: set,
                unanswered,
                tried,
                since_survival,
                is_request: group.iter().any(|(suspicion, _)| suspicion.is_request),
                is_sound: survived_at.is_some_and(|at| first <= at + SOUND_TIME),
            });
        }
    }
    suspects
}

fn block(
    crashes: &[Crash],
    contents: Vec<Fingerprint>,
    suspect: Suspect,
    first_length: Millis,
) -> Block {
    let of_set = || {
        suspect
            .crashes
            .positions()
            .map(|position| &crashes[position])
    };
    let last_crash_at = of_set().map(|crash| crash.at).max().unwrap_or_default();
    let doublings = suspect.relapses(crashes).min(MAX_DOUBLINGS);
    let length = Millis(first_length.0 << doublings).min(MAX_BLOCK_TIME);
    Block {
        contents,
        crashes: of_set().map(|crash| crash.id).collect(),
        last_crash_at,
        until: last_crash_at + length,
        forget_at: last_crash_at + length + length,
    }
}

/// Number of crashes that the content may have caused, if it has not survived since; 0 for a content
/// that survived shortly before.
pub fn crash_count(crashes: &[Crash], key: Fingerprint, survived_at: Option<Millis>) -> u32 {
    let caused = crashes.iter().filter(|crash| crash.is_suspect(key));
    let since = survived_at.map_or(Millis::ZERO, |at| at + SOUND_TIME);
    caused.filter(|crash| crash.at > since).count() as u32
}
