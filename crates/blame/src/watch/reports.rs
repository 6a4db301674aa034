//! What hosts tell each other of crashes.

use bv_types::{Fingerprint, Millis};

use crate::content::CrashId;
use crate::verdict::Suspicion;

use super::{CrashWatch, MAX_FREE_CRASHES, News, NewsItem};

/// Time for which news are repeated in the reports to other hosts; reports can be lost.
pub const REPORT_TIME: Millis = Millis(3_000);
/// Maximum number of crashes, and of survivals, in one report.
pub const MAX_REPORTED: usize = 24;
/// Maximum number of suspects in one report, over all its crashes.
pub const MAX_REPORTED_SUSPECTS: usize = 300;
/// Number of crashes of a block or a suspect that are reported, the latest ones.
const REPORTED_GROUP_CRASHES: usize = 5;
/// Longest random delay of the report of a survival. Where many hosts know of it, most of them hear it
/// from another one meanwhile and keep quiet.
const MAX_SURVIVAL_DELAY: Millis = Millis(300);
/// Number of crashes from which the survival of a suspect is reported.
const CONTESTED_CRASHES: usize = 2;

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

impl CrashWatch {
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

    /// Reports the survival of a suspect of several crashes to hosts that may not know of it.
    pub(super) fn report_contested_survival(&mut self, now: Millis, key: Fingerprint) {
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

    pub(super) fn add_news(&mut self, from: Millis, item: NewsItem) {
        if self.news.len() >= 2 * MAX_REPORTED {
            self.news.pop_front();
        }
        self.news.push_back(News {
            item,
            from,
            until: from + REPORT_TIME,
        });
    }
}
