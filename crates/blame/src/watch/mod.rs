//! One host's view of the requests that crash engines.

mod reports;
mod trials;

use std::collections::VecDeque;

use bv_types::{Fingerprint, Millis};
use fastrand::Rng;

use crate::content::{Content, CrashId};
use crate::evidence::Evidence;
use crate::verdict::{Block, Crash, Suspicion};

pub use reports::{CrashReport, REPORT_TIME, Report, SurvivalReport};
pub use trials::{Admission, EndedTrial, PERMIT_TIME, RENEW_INTERVAL, TrialId};
use trials::{Permit, Trial};

/// Time that an engine must go on with an answer before its request counts as harmless. A request
/// that crashes engines does so when they begin the answer.
pub const SURVIVAL_TIME: Millis = Millis(1_000);
/// Longest pause between two pieces of an answer that counts towards [`SURVIVAL_TIME`]. A host that
/// stood still reads late what an engine sent long before.
const MAX_COUNTED_PAUSE: Millis = Millis(250);
/// Time after which a loss that was not confirmed is forgotten.
const LOSS_TIME: Millis = Millis(10_000);
/// Time for which the runs that an engine's crash ended add suspects to it.
const LATE_LOSS_TIME: Millis = Millis(2_000);
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

    fn find(&self, run: RunId) -> Option<usize> {
        self.runs.binary_search_by_key(&run, |run| run.id).ok()
    }

    fn remove(&mut self, run: RunId) -> Option<Run> {
        let at = self.find(run)?;
        Some(self.runs.remove(at))
    }
}
