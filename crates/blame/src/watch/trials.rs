//! Trials: requests that may have caused several crashes are sent one at a time over all hosts.
//!
//! A burst of crashes is no evidence against a request, since engines may end together for another
//! reason. It is not sent like any other either: each copy that is sent before the verdict may end one
//! more engine. One host hands out the permit for a content, which the driver chooses; others ask it. A
//! trial lasts until the request was answered, or until it is known whether its engine has crashed.

use bv_types::{Fingerprint, HostId, Millis};

use crate::content::Content;
use crate::verdict::Block;

use super::{CrashWatch, MAX_FREE_CRASHES};

/// Time after which a permit passes on whose holder neither renews it nor gives it back.
pub const PERMIT_TIME: Millis = Millis(400);
/// Interval at which the holder of a permit renews it, by asking for it again.
pub const RENEW_INTERVAL: Millis = Millis(100);

/// Identifies a trial over all hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TrialId(pub u64);

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission<'a> {
    /// It may be sent.
    Free,
    /// It must be refused.
    Blocked(&'a Block),
    /// It needs a trial of this content.
    OneAtATime(Fingerprint),
}

/// A trial that is over; the host that granted it is to be told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedTrial {
    /// The trial.
    pub id: TrialId,
    /// Its content.
    pub content: Fingerprint,
}

/// A trial of a request of this host.
#[derive(Debug, Clone)]
pub(super) struct Trial {
    id: TrialId,
    content: Fingerprint,
    is_granted: bool,
    /// Whether its request is sent no more.
    is_request_over: bool,
}

/// Permission to send requests with a content, of one host.
#[derive(Debug, Clone)]
pub(super) struct Permit {
    content: Fingerprint,
    holder: HostId,
    trial: TrialId,
    pub(super) until: Millis,
}

impl CrashWatch {
    /// Whether a request may be sent, `trial` being the one that it was admitted to.
    pub fn admission(
        &self,
        now: Millis,
        content: &Content,
        trial: Option<TrialId>,
    ) -> Admission<'_> {
        if let Some(block) = self.block_of(now, content) {
            return Admission::Blocked(block);
        }
        if trial.is_some_and(|id| self.is_granted(id)) {
            return Admission::Free;
        }
        let is_suspected = |key: &Fingerprint| self.suspected_crashes(*key) > MAX_FREE_CRASHES;
        match content.whole().find(is_suspected) {
            Some(key) => Admission::OneAtATime(key),
            None => Admission::Free,
        }
    }

    /// Begins a trial; none while another request of this host tries the content.
    pub fn begin_trial(&mut self, content: Fingerprint) -> Option<TrialId> {
        if self.trials.iter().any(|trial| trial.content == content) {
            return None;
        }
        let id = TrialId(self.rng.u64(..));
        self.trials.push(Trial {
            id,
            content,
            is_granted: false,
            is_request_over: false,
        });
        Some(id)
    }

    /// Records that the permit for a trial was granted; returns whether its request waits for it.
    pub fn grant_trial(&mut self, id: TrialId) -> bool {
        let Some(trial) = self.trials.iter_mut().find(|trial| trial.id == id) else {
            return false;
        };
        trial.is_granted = true;
        true
    }

    /// Whether a trial is not over yet.
    pub fn has_trial(&self, id: TrialId) -> bool {
        self.trials.iter().any(|trial| trial.id == id)
    }

    /// Whether the permit for a trial was granted, and its request may be sent.
    pub fn is_granted(&self, id: TrialId) -> bool {
        let mut trials = self.trials.iter();
        trials.any(|trial| trial.id == id && trial.is_granted)
    }

    /// Records that the request of a trial is sent no more; it may still run.
    pub fn end_trial_request(&mut self, id: TrialId) {
        if let Some(trial) = self.trials.iter_mut().find(|trial| trial.id == id) {
            trial.is_request_over = true;
        }
    }

    /// Takes the trials that are over since the last call.
    pub fn take_ended_trials(&mut self) -> Vec<EndedTrial> {
        let is_running = |trial: &Trial| {
            let mut runs = self.runs.iter();
            runs.any(|run| run.trial == Some(trial.id) && !run.has_survived)
        };
        let is_unconfirmed = |trial: &Trial| {
            let mut suspects = self.losses.iter().flat_map(|loss| &loss.suspects);
            suspects.any(|suspicion| suspicion.in_trial && suspicion.content == trial.content)
        };
        let is_over =
            |trial: &Trial| trial.is_request_over && !is_running(trial) && !is_unconfirmed(trial);
        let (ended, open): (Vec<Trial>, Vec<Trial>) = std::mem::take(&mut self.trials)
            .into_iter()
            .partition(is_over);
        self.trials = open;
        let ended = ended.into_iter().map(|trial| EndedTrial {
            id: trial.id,
            content: trial.content,
        });
        ended.collect()
    }

    /// Grants the permit for the first of a request's contents to a host, unless another trial has it
    /// or the request is blocked here. Asking again renews it.
    pub fn grant_permit(
        &mut self,
        now: Millis,
        contents: &[Fingerprint],
        holder: &HostId,
        trial: TrialId,
    ) -> bool {
        let Some(&content) = contents.first() else {
            return false;
        };
        let is_blocked = |block: &Block| {
            block
                .contents
                .iter()
                .all(|content| contents.contains(content))
        };
        if self.blocks(now).any(is_blocked) {
            return false;
        }
        let permit = Permit {
            content,
            holder: holder.clone(),
            trial,
            until: now + PERMIT_TIME,
        };
        match self.permits.binary_search_by_key(&content, |p| p.content) {
            Ok(at) => {
                let known = &self.permits[at];
                let is_same = known.trial == trial && known.holder == *holder;
                if !is_same && now < known.until {
                    return false;
                }
                self.permits[at] = permit;
            }
            Err(at) => self.permits.insert(at, permit),
        }
        true
    }

    /// Takes back a permit whose trial is over.
    pub fn end_permit(&mut self, content: Fingerprint, trial: TrialId) {
        self.permits
            .retain(|permit| permit.content != content || permit.trial != trial);
    }

    /// Number of crashes that a content of whole requests may have caused, with those that are not
    /// confirmed yet.
    fn suspected_crashes(&self, key: Fingerprint) -> u32 {
        let is_in = |suspicion: &super::Suspicion| {
            suspicion.content == key && suspicion.is_request && !suspicion.has_answer
        };
        let losses = self.losses.iter();
        let unconfirmed = losses
            .filter(|loss| loss.suspects.iter().any(is_in))
            .count() as u32;
        self.evidence.suspected_crashes(key) + unconfirmed
    }
}
