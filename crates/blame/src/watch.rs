//! One host's view of the requests that crash engines.

use std::collections::VecDeque;

use bv_types::{Fingerprint, Millis};
use fastrand::Rng;

use crate::content::{Content, CrashId};
use crate::evidence::Evidence;
use crate::verdict::{Block, Crash, Suspicion};

/// Time that an engine must go on with an answer before its request counts as harmless. A request
/// that crashes engines does so when they begin the answer.
pub const SURVIVAL_TIME: Millis = Millis(1_000);
/// Longest pause between two pieces of an answer that counts towards [`SURVIVAL_TIME`]. A host that
/// stood still reads late what an engine sent long before.
const MAX_COUNTED_PAUSE: Millis = Millis(250);
/// Time for which news are repeated in the reports to other hosts; reports can be lost.
pub const REPORT_TIME: Millis = Millis(3_000);
/// Maximum number of crashes, and of survivals, in one report.
pub const MAX_REPORTED: usize = 24;
/// Maximum number of suspects in one report, over all its crashes.
pub const MAX_REPORTED_SUSPECTS: usize = 300;
/// Number of crashes of a block that are reported, the latest ones.
const REPORTED_BLOCK_CRASHES: usize = 5;
/// Time after which a loss that was not confirmed is forgotten.
const LOSS_TIME: Millis = Millis(10_000);
/// Time for which the runs that an engine's crash ended add suspects to it.
const LATE_LOSS_TIME: Millis = Millis(2_000);
/// Longest random delay of the report of a survival. Where many hosts know of it, most of them hear it
/// from another one meanwhile and keep quiet.
const MAX_SURVIVAL_DELAY: Millis = Millis(300);
/// Number of crashes from which the survival of a suspect is reported.
const CONTESTED_CRASHES: usize = 2;
/// Number of crashes that a request may have caused from which it is not sent again after a loss.
const MAX_RETRIED_CRASHES: u32 = 1;

/// A run of a request on an engine, as known to the host that sent it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunId(u64);

/// How a run ended, apart from a lost connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// The engine answered with success to the end.
    Completed,
    /// It ended in a way that tells nothing: refused, failed, cancelled.
    Inconclusive,
}

/// Suspects of a crash, for other hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashReport {
    /// The crash.
    pub id: CrashId,
    /// Time since it was seen.
    pub age: Millis,
    /// Contents that may have caused it.
    pub suspects: Vec<Suspicion>,
}

/// A content that survived, for other hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SurvivalReport {
    /// Digest of the content.
    pub content: Fingerprint,
    /// Time since it survived.
    pub age: Millis,
}

/// What a host tells others.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Report {
    /// Crashes.
    pub crashes: Vec<CrashReport>,
    /// Survivals of suspects.
    pub survivals: Vec<SurvivalReport>,
}

impl Report {
    /// Whether it tells nothing.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.survivals.is_empty()
    }
}

#[derive(Debug, Clone)]
struct Run {
    id: RunId,
    engine: CrashId,
    content: Content,
    last_piece: Option<Millis>,
    /// Time for which the engine has gone on with the answer.
    answering: Millis,
    has_survived: bool,
}

impl Run {
    fn suspicions(&self) -> impl Iterator<Item = Suspicion> {
        let has_answer = self.last_piece.is_some();
        self.content.keys().map(move |content| Suspicion {
            content,
            has_answer,
        })
    }
}

/// A lost connection to an engine that may have crashed.
#[derive(Debug, Clone)]
struct Loss {
    engine: CrashId,
    at: Millis,
    suspects: Vec<Suspicion>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum NewsItem {
    Crash(CrashReport),
    Survival(Fingerprint),
}

/// An item that is told to the other hosts from one time to another.
#[derive(Debug, Clone)]
struct News {
    item: NewsItem,
    from: Millis,
    until: Millis,
}

impl News {
    fn is_due(&self, now: Millis) -> bool {
        self.from <= now && now < self.until
    }
}

/// Watches which requests crash engines and which of them are to be refused.
///
/// The driver reports each run that it sends to an engine. After a lost connection it finds out
/// whether the engine still accepts connections; only then does the loss count as a crash.
#[derive(Debug)]
pub struct CrashWatch {
    /// Sorted by id.
    runs: Vec<Run>,
    next_run: u64,
    losses: Vec<Loss>,
    evidence: Evidence,
    news: VecDeque<News>,
    rng: Rng,
    /// Position of the next block in the reports of blocks.
    next_block: usize,
    own_crashes: u64,
    last_loss_at: Option<Millis>,
}

impl CrashWatch {
    /// No runs and no evidence; `seed` feeds the random part of times.
    pub fn new(seed: u64) -> Self {
        CrashWatch {
            runs: Vec::new(),
            next_run: 0,
            losses: Vec::new(),
            evidence: Evidence::default(),
            news: VecDeque::new(),
            rng: Rng::with_seed(seed),
            next_block: 0,
            own_crashes: 0,
            last_loss_at: None,
        }
    }

    /// The block that a request falls under; it must be refused.
    pub fn block_of(&self, now: Millis, content: &Content) -> Option<&Block> {
        self.evidence.block_of(now, content)
    }

    /// Whether a request may be sent again after its engine was lost.
    pub fn may_retry(&self, now: Millis, content: &Content) -> bool {
        if self.block_of(now, content).is_some() {
            return false;
        }
        let request = content.request();
        let is_in = |loss: &&Loss| loss.suspects.iter().any(|s| s.content == request);
        let unconfirmed = self.losses.iter().filter(is_in).count() as u32;
        self.evidence.crash_count(content) + unconfirmed <= MAX_RETRIED_CRASHES
    }

    /// Largest number of crashes that a digest of a request may have caused.
    pub fn crash_count(&self, content: &Content) -> u32 {
        self.evidence.crash_count(content)
    }

    /// The blocks in force.
    pub fn blocks(&self, now: Millis) -> impl Iterator<Item = &Block> {
        let blocks = self.evidence.blocks().iter();
        blocks.filter(move |block| now < block.until)
    }

    /// A crash that is known.
    pub fn crash(&self, id: CrashId) -> Option<&Crash> {
        self.evidence.crash(id)
    }

    /// Changes whenever the blocks may have changed.
    pub fn version(&self) -> u64 {
        self.evidence.version()
    }

    /// When this host last lost the connection of a run.
    pub fn last_loss_at(&self) -> Option<Millis> {
        self.last_loss_at
    }

    /// Number of reports of crashes that this host saw itself.
    pub fn own_crashes(&self) -> u64 {
        self.own_crashes
    }

    /// Number of known crashes.
    pub fn crash_total(&self) -> usize {
        self.evidence.crash_total()
    }

    /// Records that a request is sent to an engine.
    pub fn begin(&mut self, engine: CrashId, content: Content) -> RunId {
        let id = RunId(self.next_run);
        self.next_run += 1;
        self.runs.push(Run {
            id,
            engine,
            content,
            last_piece: None,
            answering: Millis::ZERO,
            has_survived: false,
        });
        id
    }

    /// Records a piece of the answer.
    pub fn answering(&mut self, now: Millis, run: RunId) {
        let Some(at) = self.find(run) else { return };
        let run = &mut self.runs[at];
        let pause = run.last_piece.map_or(Millis::ZERO, |last| now - last);
        run.last_piece = Some(now);
        run.answering = run.answering + pause.min(MAX_COUNTED_PAUSE);
        if run.has_survived || run.answering < SURVIVAL_TIME {
            return;
        }
        run.has_survived = true;
        let content = run.content.clone();
        self.record_survival(now, &content);
    }

    /// Records the end of a run whose connection was not lost.
    pub fn end(&mut self, now: Millis, run: RunId, end: RunEnd) {
        let Some(run) = self.remove(run) else { return };
        if end == RunEnd::Completed && !run.has_survived {
            self.record_survival(now, &run.content);
        }
    }

    /// Records that the connection of a run was lost before the end of the answer. Returns whether the
    /// driver must find out whether the engine has crashed, and report it with
    /// [`CrashWatch::confirm`].
    pub fn lose(&mut self, now: Millis, run: RunId) -> bool {
        let Some(run) = self.remove(run) else {
            return false;
        };
        self.last_loss_at = Some(now);
        if run.has_survived {
            return false;
        }
        let known = self.evidence.crash(run.engine);
        if known.is_some_and(|crash| now < crash.at + LATE_LOSS_TIME) {
            let suspects = run.suspicions().collect();
            self.add_own_crash(now, run.engine, now, suspects);
            return false;
        }
        let known = self.losses.iter_mut().find(|l| l.engine == run.engine);
        let is_first = known.is_none();
        let loss = match known {
            Some(loss) => loss,
            None => {
                self.losses.push(Loss {
                    engine: run.engine,
                    at: now,
                    suspects: Vec::new(),
                });
                let last = self.losses.len() - 1;
                &mut self.losses[last]
            }
        };
        loss.suspects.extend(run.suspicions());
        is_first
    }

    /// Records whether an engine with a lost connection has crashed.
    pub fn confirm(&mut self, now: Millis, engine: CrashId, has_crashed: bool) {
        let Some(at) = self.losses.iter().position(|loss| loss.engine == engine) else {
            return;
        };
        let loss = self.losses.swap_remove(at);
        if has_crashed {
            self.add_own_crash(now, engine, loss.at, loss.suspects);
        }
    }

    /// Records the report of another host.
    pub fn receive(&mut self, now: Millis, report: &Report) {
        for survival in &report.survivals {
            let key = survival.content;
            self.evidence.add_survival(key, now - survival.age);
            // The other host tells everybody.
            self.news
                .retain(|news| news.item != NewsItem::Survival(key) || news.from <= now);
        }
        for crash in &report.crashes {
            let suspects = crash.suspects.iter().copied();
            self.evidence.add_crash(crash.id, now - crash.age, suspects);
            for suspicion in &crash.suspects {
                self.report_contested_survival(now, suspicion.content);
            }
        }
    }

    /// News for the other hosts.
    pub fn report(&mut self, now: Millis) -> Report {
        self.news.retain(|news| now < news.until);
        let mut report = Report::default();
        let mut suspects = 0;
        for news in self.news.iter().rev().filter(|news| news.is_due(now)) {
            match &news.item {
                NewsItem::Crash(crash)
                    if report.crashes.len() < MAX_REPORTED
                        && suspects + crash.suspects.len() <= MAX_REPORTED_SUSPECTS =>
                {
                    suspects += crash.suspects.len();
                    let at = self.evidence.crash(crash.id).map(|known| known.at);
                    report.crashes.push(CrashReport {
                        age: at.map_or(crash.age, |at| now - at),
                        ..crash.clone()
                    });
                }
                NewsItem::Survival(key) if report.survivals.len() < MAX_REPORTED => {
                    if let Some(at) = self.evidence.survived_at(*key) {
                        report.survivals.push(SurvivalReport {
                            content: *key,
                            age: now - at,
                        });
                    }
                }
                NewsItem::Crash(_) | NewsItem::Survival(_) => {}
            }
        }
        report
    }

    /// Whether there are news for the other hosts.
    pub fn has_news(&self, now: Millis) -> bool {
        self.news.iter().any(|news| news.is_due(now))
    }

    /// The evidence of the blocks, some at a time, for a host that may have missed the news.
    pub fn report_blocks(&mut self, now: Millis) -> Report {
        let mut report = Report::default();
        let blocks: Vec<&Block> = self.blocks(now).collect();
        let mut suspects = 0;
        let mut reported = 0;
        for offset in 0..blocks.len() {
            let block = blocks[(self.next_block + offset) % blocks.len()];
            let first = block.crashes.len().saturating_sub(REPORTED_BLOCK_CRASHES);
            let latest = &block.crashes[first..];
            suspects += latest.len() * block.contents.len();
            let is_full = report.crashes.len() + latest.len() > MAX_REPORTED;
            if reported > 0 && (is_full || suspects > MAX_REPORTED_SUSPECTS) {
                break;
            }
            let known = latest.iter().filter_map(|id| self.evidence.crash(*id));
            report.crashes.extend(known.map(|crash| {
                CrashReport {
                    id: crash.id,
                    age: now - crash.at,
                    suspects: crash
                        .suspects
                        .iter()
                        .filter(|suspicion| block.contents.contains(&suspicion.content))
                        .copied()
                        .collect(),
                }
            }));
            reported += 1;
        }
        self.next_block = self.next_block.wrapping_add(reported);
        report
    }

    /// Forgets what is over.
    pub fn expire(&mut self, now: Millis) {
        self.evidence.expire(now);
        self.losses.retain(|loss| now < loss.at + LOSS_TIME);
    }

    fn add_own_crash(&mut self, now: Millis, id: CrashId, at: Millis, suspects: Vec<Suspicion>) {
        let keys = suspects.iter().copied();
        if !self.evidence.add_crash(id, at, keys) {
            return;
        }
        self.own_crashes += 1;
        let age = now - at;
        let report = CrashReport { id, age, suspects };
        self.add_news(now, NewsItem::Crash(report));
    }

    fn record_survival(&mut self, now: Millis, content: &Content) {
        // Whole requests are rarely sent again, so only suspects are remembered.
        let whole = content.whole().filter(|key| self.evidence.is_suspect(*key));
        let keys: Vec<Fingerprint> = content.parts().iter().copied().chain(whole).collect();
        for key in keys {
            if self.evidence.add_survival(key, now) {
                self.report_contested_survival(now, key);
            }
        }
    }

    /// Reports the survival of a suspect of several crashes to hosts that may not know of it.
    fn report_contested_survival(&mut self, now: Millis, key: Fingerprint) {
        let Some(survived_at) = self.evidence.survived_at(key) else {
            return;
        };
        let is_contested = self.evidence.crashes_of(key).count() >= CONTESTED_CRASHES
            && self
                .evidence
                .crashes_of(key)
                .any(|crash| crash.at <= survived_at);
        let is_told = |news: &News| news.item == NewsItem::Survival(key) && now < news.until;
        if is_contested && !self.news.iter().any(is_told) {
            let delay = Millis(self.rng.u64(..=MAX_SURVIVAL_DELAY.0));
            self.add_news(now + delay, NewsItem::Survival(key));
        }
    }

    fn add_news(&mut self, from: Millis, item: NewsItem) {
        if self.news.len() >= 2 * MAX_REPORTED {
            self.news.pop_front();
        }
        self.news.push_back(News {
            item,
            from,
            until: from + REPORT_TIME,
        });
    }

    fn find(&self, run: RunId) -> Option<usize> {
        self.runs.binary_search_by_key(&run, |run| run.id).ok()
    }

    fn remove(&mut self, run: RunId) -> Option<Run> {
        let at = self.find(run)?;
        Some(self.runs.remove(at))
    }
}
