//! One runner: its last report, corrected by the grants of this home.

use bv_types::{AttemptId, Incarnation, Millis, Tokens};

use crate::hold::{Hold, Phase};
use crate::{Class, PoolSpec, Report, RunnerSpec};

/// Time for which an ended attempt may still appear in a late report.
const REPORT_LAG: Millis = Millis(5_000);
/// Time by which a start or end at the runner and the message about it may differ.
const MESSAGE_TIME: Millis = Millis(50);
/// Prompt assumed for a prefill that this home did not grant.
const FOREIGN_PROMPT_TOKENS: u64 = 2_000;
/// Weight of the newest prefill in the observed pace.
const PACE_WEIGHT: f64 = 0.1;
/// Bounds of the observed pace, so that one stalled prefill cannot make a runner look unusable.
const PACE_RANGE: (f64, f64) = (0.25, 4.0);
/// Generated share of the largest output, by the token counter, that counts as an observation.
const OBSERVED_DECODE: std::ops::RangeInclusive<f64> = 0.8..=1.5;
/// Bound of a predicted decode time.
const MAX_DECODE: Millis = Millis(3_600_000);

/// Work in a prefill runner's queue.
#[derive(Debug, Clone)]
struct Queued {
    attempt: AttemptId,
    tokens: u64,
    since: Millis,
}

/// Work that has ended but may be counted in a late report.
#[derive(Debug, Clone)]
struct Ended {
    since: Millis,
    until: Millis,
    pieces: u32,
}

/// Reservations and other use of a decode runner.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Usage {
    /// Slots in use or reserved.
    pub slots: u32,
    /// Pieces in use or reserved.
    pub pieces: u32,
    /// Slots promised after the end of other attempts.
    pub promised_slots: u32,
    /// Pieces promised after the end of other attempts.
    pub promised_pieces: u32,
    /// Slots of waiting work, with promised ones.
    pub waiting_slots: u32,
    /// Slots reserved for waiting work.
    pub waiting_reserved: u32,
    /// Largest batch that every request in it allows.
    pub max_batch: u32,
}

/// State of a runner.
#[derive(Debug)]
pub(crate) struct Runner {
    pub spec: RunnerSpec,
    pub report: Option<Report>,
    pub leaving: Option<Incarnation>,
    pub failed: bool,
    /// Open grants that decode here.
    pub holds: Vec<Hold>,
    /// Predicted end of the last transfer to this runner.
    pub link_until: Millis,
    foreign_slots: u32,
    foreign_pieces: u32,
    /// Slots and pieces in the last report that this home did not grant.
    unexplained: (u32, u32),
    queue: Vec<Queued>,
    head_since: Millis,
    recent: Vec<Ended>,
    /// Observed prefill time divided by the computed one.
    pace: f64,
    /// Observed decode time divided by the computed one.
    decode_pace: f64,
    /// Tokens that a request would have got in the batch since the start, up to `tokens_at`.
    tokens: f64,
    tokens_at: Millis,
}

impl Runner {
    pub fn new(spec: RunnerSpec) -> Self {
        Runner {
            spec,
            report: None,
            leaving: None,
            failed: false,
            holds: Vec::new(),
            link_until: Millis::ZERO,
            foreign_slots: 0,
            foreign_pieces: 0,
            unexplained: (0, 0),
            queue: Vec::new(),
            head_since: Millis::ZERO,
            recent: Vec::new(),
            pace: 1.0,
            decode_pace: 1.0,
            tokens: 0.0,
            tokens_at: Millis::MAX,
        }
    }

    /// Whether the runner may get new work.
    pub fn usable(&self) -> bool {
        self.report.is_some() && !self.failed && self.leaving.is_none()
    }

    /// Takes a report unless a newer one is known.
    pub fn take_report(&mut self, now: Millis, report: Report, pool: &PoolSpec) {
        let older = |last: &Report| (report.incarnation, report.at) < (last.incarnation, last.at);
        if self.report.as_ref().is_some_and(older) {
            return;
        }
        // A runner whose clock is ahead would otherwise hide the grants made since.
        let at = report.at.min(now);
        self.advance(now, pool);
        self.failed = false;
        self.mark_leaving(&report);
        self.recent.retain(|ended| ended.until + REPORT_LAG > now);
        let known = self.visible_at(at);
        let used = pool.pieces.0.saturating_sub(report.free_pieces.0);
        let unexplained = (
            (report.running + report.waiting).saturating_sub(known.slots),
            used.saturating_sub(known.pieces),
        );
        // A start or end under way when the report was taken disappears from the next one.
        let last = match &self.report {
            Some(_) => self.unexplained,
            None => unexplained,
        };
        self.foreign_slots = unexplained.0.min(last.0);
        self.foreign_pieces = unexplained.1.min(last.1);
        self.unexplained = unexplained;
        self.report = Some(report);
    }

    fn mark_leaving(&mut self, report: &Report) {
        if report.leaving {
            self.leaving = Some(report.incarnation);
        } else if self
            .leaving
            .is_some_and(|marked| marked < report.incarnation)
        {
            self.leaving = None;
        }
    }

    /// Work of this home that a report of that time contains.
    fn visible_at(&self, at: Millis) -> Usage {
        let (from, to) = (at - MESSAGE_TIME, at + MESSAGE_TIME);
        let mut usage = Usage::default();
        let mut add = |pieces: u32| {
            usage.slots += 1;
            usage.pieces += pieces;
        };
        self.holds
            .iter()
            .filter(|hold| hold.phase == Phase::Decode && hold.since <= to)
            .for_each(|hold| add(hold.pieces));
        self.queue
            .iter()
            .filter(|queued| queued.since <= to)
            .for_each(|queued| add(Tokens(queued.tokens).pieces().0));
        self.recent
            .iter()
            .filter(|ended| ended.since <= to && from < ended.until)
            .for_each(|ended| add(ended.pieces));
        usage
    }

    /// Takes a decode that an earlier home granted out of the unexplained load.
    pub fn explain(&mut self, pieces: u32) {
        self.foreign_slots = self.foreign_slots.saturating_sub(1);
        self.foreign_pieces = self.foreign_pieces.saturating_sub(pieces);
        self.unexplained = (self.foreign_slots, self.foreign_pieces);
    }

    /// Current use: other work by the last report and this home's grants.
    pub fn usage(&self) -> Usage {
        let mut usage = Usage {
            slots: self.foreign_slots,
            pieces: self.foreign_pieces,
            max_batch: u32::MAX,
            ..Usage::default()
        };
        for hold in &self.holds {
            if hold.owns_slot {
                usage.slots += 1;
                usage.pieces += hold.pieces;
            } else {
                usage.promised_slots += 1;
                usage.promised_pieces += hold.pieces;
            }
            let waiting = u32::from(hold.request.class == Class::Waiting);
            usage.waiting_slots += waiting;
            usage.waiting_reserved += waiting * u32::from(hold.owns_slot);
            usage.max_batch = usage.max_batch.min(hold.max_batch);
        }
        usage
    }

    /// The open grant of an attempt.
    pub fn hold_mut(&mut self, attempt: &AttemptId) -> Option<&mut Hold> {
        self.holds.iter_mut().find(|hold| hold.attempt() == attempt)
    }

    /// Takes out an open grant.
    pub fn remove_hold(
        &mut self,
        now: Millis,
        attempt: &AttemptId,
        pool: &PoolSpec,
    ) -> Option<Hold> {
        self.advance(now, pool);
        let index = self.holds.iter().position(|h| h.attempt() == attempt)?;
        let hold = self.holds.remove(index);
        if hold.phase == Phase::Decode {
            self.observe_decode(&hold);
            self.recent.push(Ended {
                since: hold.since,
                until: now,
                pieces: hold.pieces,
            });
        }
        Some(hold)
    }

    /// Adds a prompt to the prefill queue.
    pub fn push_prefill(&mut self, now: Millis, attempt: AttemptId, prompt: Tokens) {
        if self.queue.is_empty() {
            self.head_since = now;
        }
        self.queue.push(Queued {
            attempt,
            tokens: prompt.0,
            since: now,
        });
    }

    /// Takes a prompt out of the prefill queue; `computed` if its prefill has ended.
    pub fn remove_prefill(
        &mut self,
        now: Millis,
        attempt: &AttemptId,
        computed: bool,
        pool: &PoolSpec,
    ) {
        let Some(index) = self.queue.iter().position(|q| q.attempt == *attempt) else {
            return;
        };
        let queued = self.queue.remove(index);
        if index == 0 && computed {
            self.observe(now, queued.tokens, pool);
        }
        if index == 0 {
            self.head_since = now;
        }
        self.recent.push(Ended {
            since: queued.since,
            until: now,
            pieces: Tokens(queued.tokens).pieces().0,
        });
    }

    /// Advances the token counter, which counts the tokens that a request in the batch has got.
    ///
    /// It follows the size of the batch, so that predictions hold while the batch changes.
    pub fn advance(&mut self, now: Millis, pool: &PoolSpec) -> f64 {
        self.tokens += (now - self.tokens_at).0 as f64 / self.gap_ms(pool);
        self.tokens_at = now;
        self.tokens
    }

    /// Predicted end of an open grant.
    pub fn end_of(&self, now: Millis, hold: &Hold, pool: &PoolSpec) -> Millis {
        if hold.phase != Phase::Decode {
            return hold.end;
        }
        let left_ms = (hold.tokens.1 - self.tokens) * self.gap_ms(pool);
        let end = self.tokens_at.0 as f64 + left_ms;
        // An overdue end stays in the past, where it does not count as room.
        Millis(end.max(0.0) as u64).min(now + MAX_DECODE)
    }

    fn gap_ms(&self, pool: &PoolSpec) -> f64 {
        let decoding = self.holds.iter().filter(|h| h.phase == Phase::Decode);
        let batch = decoding.count() as u32 + self.foreign_slots;
        pool.gap_ms(batch.clamp(1, pool.slots)) * self.decode_pace
    }

    fn observe_decode(&mut self, hold: &Hold) {
        let observed = (self.tokens - hold.tokens.0) / (hold.tokens.1 - hold.tokens.0).max(1.0);
        // A cancelled attempt or a short output says nothing about the pace.
        if OBSERVED_DECODE.contains(&observed) {
            let pace = self.decode_pace * (1.0 + PACE_WEIGHT * (observed - 1.0));
            self.decode_pace = pace.clamp(PACE_RANGE.0, PACE_RANGE.1);
        }
    }

    fn observe(&mut self, now: Millis, tokens: u64, pool: &PoolSpec) {
        let computed = pool.prefill_ms(Tokens(tokens)).max(1.0);
        let observed = (now - self.head_since).0 as f64 / computed;
        let pace = self.pace + PACE_WEIGHT * (observed - self.pace);
        self.pace = pace.clamp(PACE_RANGE.0, PACE_RANGE.1);
    }

    /// Predicted time to compute a prompt, in milliseconds.
    pub fn prefill_ms(&self, prompt: Tokens, pool: &PoolSpec) -> f64 {
        pool.prefill_ms(prompt) * self.pace
    }

    /// Predicted time until a new prompt would be computed, in milliseconds.
    pub fn prefill_wait_ms(&self, now: Millis, pool: &PoolSpec) -> f64 {
        let head = self.queue.first().map_or(0, |queued| queued.tokens);
        let own: u64 = self.queue.iter().map(|queued| queued.tokens).sum();
        let foreign = u64::from(self.foreign_slots) * FOREIGN_PROMPT_TOKENS;
        let elapsed = (now - self.head_since).0 as f64;
        let done = elapsed.min(self.prefill_ms(Tokens(head), pool));
        self.prefill_ms(Tokens(own + foreign), pool) - done
    }

    /// Number of prompts of this home in the prefill queue.
    pub fn prefill_queue_len(&self) -> usize {
        self.queue.len()
    }
}
