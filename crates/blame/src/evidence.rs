//! Crashes and survivals that this host knows of, its own and those that other hosts reported.

use bv_types::{Fingerprint, Millis};

use crate::content::{Content, CrashId};
use crate::verdict::{
    Block, Crash, Judgement, MAX_CRASHES, SOUND_TIME, Suspicion, crash_count, judge,
};

/// Time for which a crash is kept if it blocks nothing.
pub const SUSPECT_TIME: Millis = Millis::from_secs(600);
/// Maximum number of suspects of one crash. Those that are suspects of other crashes are kept first.
pub const MAX_SUSPECTS: usize = 128;
/// Maximum number of contents whose survival is remembered.
pub const MAX_SURVIVALS: usize = 2_048;

/// When a content last survived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Survival {
    key: Fingerprint,
    at: Millis,
}

/// What is known about the causes of crashes. All hosts with the same evidence block the same
/// contents.
#[derive(Debug, Clone, Default)]
pub(crate) struct Evidence {
    /// In the order of their time, at most [`MAX_CRASHES`].
    crashes: Vec<Crash>,
    /// Sorted by content, at most [`MAX_SURVIVALS`].
    survivals: Vec<Survival>,
    judgement: Judgement,
    /// Number of times that the crashes were judged.
    version: u64,
}

impl Evidence {
    /// Changes whenever the blocks may have changed.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The blocks, including those that are over and not forgotten yet.
    pub fn blocks(&self) -> &[Block] {
        &self.judgement.blocks
    }

    /// The block that a request falls under.
    pub fn block_of(&self, now: Millis, content: &Content) -> Option<&Block> {
        let mut in_force = self
            .judgement
            .blocks
            .iter()
            .filter(|block| now < block.until);
        in_force.find(|block| block.contents.iter().all(|key| content.contains(*key)))
    }

    /// Largest number of crashes that a digest of a request may have caused.
    pub fn crash_count(&self, content: &Content) -> u32 {
        if self.crashes.is_empty() {
            return 0;
        }
        let count = |key| crash_count(&self.crashes, key, self.survived_at(key));
        content.keys().map(count).max().unwrap_or(0)
    }

    /// Number of crashes that a content of whole requests may have caused. Those before which a request
    /// with it was answered do not count.
    pub fn suspected_crashes(&self, key: Fingerprint) -> u32 {
        let suspected = &self.judgement.suspected;
        let found = suspected.binary_search_by_key(&key, |(suspect, _)| *suspect);
        found.map_or(0, |at| suspected[at].1)
    }

    /// Contents of whole requests that may have caused this many crashes or more.
    pub fn suspected(&self, crashes: u32) -> impl Iterator<Item = Fingerprint> {
        let suspected = self.judgement.suspected.iter();
        suspected
            .filter(move |(_, count)| *count >= crashes)
            .map(|(content, _)| *content)
    }

    /// The time and the suspects of a crash.
    pub fn crash(&self, id: CrashId) -> Option<&Crash> {
        self.crashes.iter().find(|crash| crash.id == id)
    }

    /// Number of crashes.
    pub fn crash_total(&self) -> usize {
        self.crashes.len()
    }

    /// When a content last survived, as far as it is remembered.
    pub fn survived_at(&self, key: Fingerprint) -> Option<Millis> {
        self.survival_index(key)
            .ok()
            .map(|at| self.survivals[at].at)
    }

    /// The crashes that a content is a suspect of.
    pub fn crashes_of(&self, key: Fingerprint) -> impl Iterator<Item = &Crash> {
        self.crashes
            .iter()
            .filter(move |crash| crash.is_suspect(key))
    }

    /// Whether a content is a suspect of a crash.
    pub fn is_suspect(&self, key: Fingerprint) -> bool {
        self.crashes_of(key).next().is_some()
    }

    /// Adds suspects of a crash; returns whether something is new.
    pub fn add_crash(
        &mut self,
        id: CrashId,
        at: Millis,
        suspects: impl Iterator<Item = Suspicion>,
    ) -> bool {
        let position = match self.crashes.iter().position(|crash| crash.id == id) {
            Some(position) => position,
            None => {
                self.make_room();
                let crash = Crash {
                    id,
                    at,
                    suspects: Vec::new(),
                };
                self.crashes.push(crash);
                self.crashes.len() - 1
            }
        };
        let crash = &mut self.crashes[position];
        let mut is_changed = at < crash.at;
        crash.at = crash.at.min(at);
        for new in suspects {
            let known = crash
                .suspects
                .binary_search_by_key(&new.content, |suspicion| suspicion.content);
            match known {
                Ok(at) => {
                    // Another request with the content may have had no answer, or been in a trial.
                    let known = &mut crash.suspects[at];
                    is_changed |= known.has_answer && !new.has_answer;
                    is_changed |= !known.in_trial && new.in_trial;
                    known.has_answer &= new.has_answer;
                    known.in_trial |= new.in_trial;
                }
                Err(at) => {
                    crash.suspects.insert(at, new);
                    is_changed = true;
                }
            }
        }
        if !is_changed {
            return false;
        }
        if crash.suspects.len() > MAX_SUSPECTS {
            self.drop_suspects(position);
        }
        self.crashes.sort_by_key(|crash| crash.at);
        self.judge();
        true
    }

    /// Records that a content survived; returns whether it is a suspect of an earlier crash.
    pub fn add_survival(&mut self, key: Fingerprint, at: Millis) -> bool {
        let before = match self.survival_index(key) {
            Ok(index) => {
                let before = self.survivals[index].at;
                self.survivals[index].at = before.max(at);
                before
            }
            Err(index) => {
                self.survivals.insert(index, Survival { key, at });
                self.limit_survivals();
                Millis::ZERO
            }
        };
        // Most survivals concern no crash, or one that was cleared before, so nothing is judged again.
        let clears = |crash: &Crash| {
            let is_cleared = before < crash.at && crash.at <= at;
            let is_sound = before + SOUND_TIME < crash.at && crash.at <= at + SOUND_TIME;
            (is_cleared || is_sound) && crash.is_suspect(key)
        };
        let is_cleared = at > before && self.crashes.iter().any(clears);
        if is_cleared {
            self.judge();
        }
        is_cleared
    }

    /// Forgets what is over.
    pub fn expire(&mut self, now: Millis) {
        let before = self.crashes.len();
        let blocks = &self.judgement.blocks;
        self.crashes.retain(|crash| {
            let is_kept =
                |block: &Block| now < block.forget_at && block.crashes.contains(&crash.id);
            now < crash.at + SUSPECT_TIME || blocks.iter().any(is_kept)
        });
        if self.crashes.len() < before {
            self.judge();
        }
    }

    fn judge(&mut self) {
        self.judgement = judge(&self.crashes, |key| self.survived_at(key));
        self.version += 1;
    }

    fn blocks_any(&self, id: CrashId) -> bool {
        self.judgement
            .blocks
            .iter()
            .any(|block| block.crashes.contains(&id))
    }

    /// Drops the oldest crash, if possible one that blocks nothing.
    fn make_room(&mut self) {
        if self.crashes.len() < MAX_CRASHES {
            return;
        }
        let oldest = self
            .crashes
            .iter()
            .position(|crash| !self.blocks_any(crash.id));
        self.crashes.remove(oldest.unwrap_or(0));
    }

    fn drop_suspects(&mut self, position: usize) {
        let mut suspects = std::mem::take(&mut self.crashes[position].suspects);
        // False sorts first.
        suspects.sort_by_cached_key(|suspicion| !self.is_suspect(suspicion.content));
        suspects.truncate(MAX_SUSPECTS);
        suspects.sort_unstable();
        self.crashes[position].suspects = suspects;
    }

    /// Drops the older half of the survivals when there are too many.
    fn limit_survivals(&mut self) {
        if self.survivals.len() <= MAX_SURVIVALS {
            return;
        }
        let mut times: Vec<Millis> = self.survivals.iter().map(|s| s.at).collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.survivals.retain(|survival| survival.at > median);
    }

    fn survival_index(&self, key: Fingerprint) -> Result<usize, usize> {
        self.survivals
            .binary_search_by_key(&key, |survival| survival.key)
    }
}
