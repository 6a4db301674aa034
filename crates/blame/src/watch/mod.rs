//! One host's view of the requests that crash engines.

mod trials;

use std::collections::VecDeque;

use bv_types::{Fingerprint, Millis};
use fastrand::Rng;

use crate::content::{Content, CrashId};
use crate::evidence::Evidence;
use crate::verdict::{Block, Crash, Suspicion};

pub use trials::{Admission, EndedTrial, PERMIT_TIME, RENEW_INTERVAL, TrialId};
use trials::{Permit, Trial};

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
/// Number of crashes of a block or a suspect that are reported, the latest ones.
const REPORTED_GROUP_CRASHES: usize = 5;
/// Time after which a loss that was not confirmed is forgotten.
const LOSS_TIME: Millis = Millis(10_000);
/// Time for which the runs that an engine's crash ended add suspects to it.
const LATE_LOSS_TIME: Millis = Millis(2_000);
/// Longest random delay of the report of a survival. Where many hosts know of it, most of them hear it
/// from another one meanwhile and keep quiet.
const MAX_SURVIVAL_DELAY: Millis = Millis(300);
/// Number of crashes from which the survival of a suspect is reported.
const CONTESTED_CRASHES: usize = 2;
/// Number of crashes that a request may have caused and still be sent again after a loss, and beside
/// other requests with its content.
const MAX_FREE_CRASHES: u32 = 1;

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
    trial: Option<TrialId>,
    last_piece: Option<Millis>,
    /// Time for which the engine has gone on with the answer.
    answering: Millis,
    has_survived: bool,
}

impl Run {
    fn suspicions(&self) -> impl Iterator<Item = Suspicion> {
        let of = |content, is_request| Suspicion {
            content,
            is_request,
            in_trial: is_request && self.trial.is_some(),
            has_answer: self.last_piece.is_some(),
        };
        let parts = self.content.parts().iter();
        let parts = parts.map(move |part| of(*part, false));
        parts.chain(self.content.whole().map(move |whole| of(whole, true)))
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
    /// Position of the next group of evidence that is reported.
    next_group: usize,
    own_crashes: u64,
    /// Number of the news that other hosts wait for.
    urgent_news: u64,
    last_loss_at: Option<Millis>,
    /// Trials of this host's requests.
    trials: Vec<Trial>,
    /// Permits that this host granted; sorted by content.
    permits: Vec<Permit>,
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
            next_group: 0,
            own_crashes: 0,
            urgent_news: 0,
            last_loss_at: None,
            trials: Vec::new(),
            permits: Vec::new(),
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
        self.evidence.crash_count(content) + unconfirmed <= MAX_FREE_CRASHES
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

    /// Changes whenever there are news that other hosts wait for.
    pub fn urgent_news(&self) -> u64 {
        self.urgent_news
    }

    /// Number of known crashes.
    pub fn crash_total(&self) -> usize {
        self.evidence.crash_total()
    }

    /// Records that a request is sent to an engine, in a trial if it was admitted to one.
    pub fn begin(&mut self, engine: CrashId, content: Content, trial: Option<TrialId>) -> RunId {
        let id = RunId(self.next_run);
        self.next_run += 1;
        self.runs.push(Run {
            id,
            engine,
            content,
            trial,
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
        let (content, in_trial) = (run.content.clone(), run.trial.is_some());
        self.record_survival(now, &content, in_trial);
    }

    /// Records the end of a run whose connection was not lost.
    pub fn end(&mut self, now: Millis, run: RunId, end: RunEnd) {
        let Some(run) = self.remove(run) else { return };
        if end == RunEnd::Completed && !run.has_survived {
            self.record_survival(now, &run.content, run.trial.is_some());
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

    /// The evidence of the blocks and of the contents that are sent one at a time, some of it at a time,
    /// for a host that may have missed the news.
    pub fn report_blocks(&mut self, now: Millis) -> Report {
        let mut report = Report::default();
        let groups = self.evidence_groups(now);
        let mut suspects = 0;
        let mut reported = 0;
        for offset in 0..groups.len() {
            let (contents, crashes) = &groups[(self.next_group + offset) % groups.len()];
            let first = crashes.len().saturating_sub(REPORTED_GROUP_CRASHES);
            let latest = &crashes[first..];
            suspects += latest.len() * contents.len();
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
                        .filter(|suspicion| contents.contains(&suspicion.content))
                        .copied()
                        .collect(),
                }
            }));
            reported += 1;
        }
        self.next_group = self.next_group.wrapping_add(reported);
        report
    }

    /// Contents that are blocked together or sent one at a time, with the crashes that speak against
    /// them, the latest one last.
    fn evidence_groups(&self, now: Millis) -> Vec<(Vec<Fingerprint>, Vec<CrashId>)> {
        let blocks = self.blocks(now);
        let blocks = blocks.map(|block| (block.contents.clone(), block.crashes.clone()));
        let suspected = self.evidence.suspected(MAX_FREE_CRASHES + 1);
        let suspected = suspected.map(|content| {
            let crashes = self.evidence.crashes_of(content);
            (vec![content], crashes.map(|crash| crash.id).collect())
        });
        blocks.chain(suspected).collect()
    }

    /// Whether there is evidence that hosts must not lose.
    pub fn has_suspects(&self, now: Millis) -> bool {
        self.blocks(now).next().is_some()
            || self
                .evidence
                .suspected(MAX_FREE_CRASHES + 1)
                .next()
                .is_some()
    }

    /// Forgets what is over.
    pub fn expire(&mut self, now: Millis) {
        self.evidence.expire(now);
        self.losses.retain(|loss| now < loss.at + LOSS_TIME);
        self.permits.retain(|permit| now < permit.until);
    }

    fn add_own_crash(&mut self, now: Millis, id: CrashId, at: Millis, suspects: Vec<Suspicion>) {
        let keys = suspects.iter().copied();
        if !self.evidence.add_crash(id, at, keys) {
            return;
        }
        self.own_crashes += 1;
        self.urgent_news += 1;
        let age = now - at;
        let report = CrashReport { id, age, suspects };
        self.add_news(now, NewsItem::Crash(report));
    }

    fn record_survival(&mut self, now: Millis, content: &Content, in_trial: bool) {
        // Whole requests are rarely sent again, so only suspects are remembered.
        let whole = content.whole().filter(|key| self.evidence.is_suspect(*key));
        let keys: Vec<Fingerprint> = content.parts().iter().copied().chain(whole).collect();
        for key in keys {
            if !self.evidence.add_survival(key, now) {
                continue;
            }
            match in_trial {
                true => {
                    self.urgent_news += 1;
                    self.add_news(now, NewsItem::Survival(key));
                }
                false => self.report_contested_survival(now, key),
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
