//! State of one runner: its last report, corrected by the grants of this shard.

use bv_types::{AttemptId, Incarnation, Millis, Tokens};

use crate::reservation::{Phase, Reservation};
use crate::{Class, PoolSpec, Report, RunnerSpec};

/// Time for which a late report may still include an ended attempt.
const REPORT_LAG: Millis = Millis(5_000);
/// Largest difference between a start or end at the runner and the time of the message about it.
const MESSAGE_DELAY: Millis = Millis(50);
/// Prompt length assumed for a prefill that this shard did not grant.
const FOREIGN_PROMPT_TOKENS: u64 = 2_000;
/// Weight of the newest observation in the moving averages of the time ratios.
const TIME_RATIO_WEIGHT: f64 = 0.1;
/// Bounds of the time ratios, so that one stalled prefill cannot make a runner look unusable.
const TIME_RATIO_RANGE: (f64, f64) = (0.25, 4.0);
/// An ended decode counts as an observation if the token counter advanced by a share of the
/// request's largest output within this range.
const OBSERVABLE_OUTPUT_SHARE: std::ops::RangeInclusive<f64> = 0.8..=1.5;
/// Upper bound of a predicted decode time.
const MAX_DECODE_TIME: Millis = Millis(3_600_000);

/// A prompt in the queue of a prefill runner.
#[derive(Debug, Clone)]
struct QueuedPrefill {
    attempt: AttemptId,
    tokens: u64,
    queued_at: Millis,
}

/// Ended work that a late report may still include.
#[derive(Debug, Clone)]
struct EndedWork {
    started_at: Millis,
    ended_at: Millis,
    pieces: u32,
}

/// Slots and memory of a runner that are in use, reserved or promised.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Usage {
    /// Slots in use or reserved.
    pub slots: u32,
    /// Pieces in use or reserved.
    pub pieces: u32,
    /// Slots of running attempts that are promised to granted ones.
    pub promised_slots: u32,
    /// Pieces of running attempts that are promised to granted ones.
    pub promised_pieces: u32,
    /// Slots reserved for or promised to waiting work.
    pub waiting_slots: u32,
    /// Slots reserved for waiting work, without promised ones.
    pub waiting_reserved: u32,
    /// Largest batch that every reservation allows.
    pub max_batch: u32,
}

/// State of a runner.
#[derive(Debug)]
pub(crate) struct Runner {
    pub spec: RunnerSpec,
    pub report: Option<Report>,
    pub leaving: Option<Incarnation>,
    pub failed: bool,
    /// Reservations that decode on this runner.
    pub reservations: Vec<Reservation>,
    /// Predicted end of the last transfer to this runner.
    pub link_busy_until: Millis,
    /// Foreign load: slots in use by work that this shard did not grant, such as that of another
    /// router or of the previous shard owner.
    foreign_slots: u32,
    /// Foreign load: pieces in use by work that this shard did not grant.
    foreign_pieces: u32,
    /// Slots and pieces in the last report that are not due to grants of this shard.
    foreign_in_last_report: (u32, u32),
    prefill_queue: Vec<QueuedPrefill>,
    /// Time at which the first prompt of the prefill queue became the first.
    head_started_at: Millis,
    recently_ended: Vec<EndedWork>,
    /// Moving average of the observed prefill time divided by that of `PoolSpec::prefill_ms`.
    prefill_time_ratio: f64,
    /// Moving average of the observed time between tokens divided by that of `PoolSpec::gap_ms`.
    decode_time_ratio: f64,
    /// Tokens that one request in the batch generates over time, counted from the first update
    /// until `token_counter_at`. Only differences of the counter are used, not its value.
    token_counter: f64,
    token_counter_at: Millis,
}

impl Runner {
    pub fn new(spec: RunnerSpec) -> Self {
        Runner {
            spec,
            report: None,
            leaving: None,
            failed: false,
            reservations: Vec::new(),
            link_busy_until: Millis::ZERO,
            foreign_slots: 0,
            foreign_pieces: 0,
            foreign_in_last_report: (0, 0),
            prefill_queue: Vec::new(),
            head_started_at: Millis::ZERO,
            recently_ended: Vec::new(),
            prefill_time_ratio: 1.0,
            decode_time_ratio: 1.0,
            token_counter: 0.0,
            token_counter_at: Millis::MAX,
        }
    }

    /// Whether the runner may get new work.
    pub fn usable(&self) -> bool {
        self.report.is_some() && !self.failed && self.leaving.is_none()
    }

    /// Applies a report unless a newer one was received.
    pub fn apply_report(&mut self, now: Millis, report: Report, pool: &PoolSpec) {
        let older = |last: &Report| (report.incarnation, report.at) < (last.incarnation, last.at);
        if self.report.as_ref().is_some_and(older) {
            return;
        }
        // The bound by `now` keeps a runner whose clock is ahead from hiding later grants.
        let at = report.at.min(now);
        self.advance_token_counter(now, pool);
        self.failed = false;
        self.update_leaving(&report);
        self.recently_ended
            .retain(|ended| ended.ended_at + REPORT_LAG > now);
        let expected = self.expected_in_report(at);
        let used_pieces = pool.pieces.0.saturating_sub(report.free_pieces.0);
        let foreign = (
            (report.running + report.waiting).saturating_sub(expected.slots),
            used_pieces.saturating_sub(expected.pieces),
        );
        // A start or end that was under way when a report was taken looks like foreign load in that
        // report, but not in the next one. So only load that two reports in a row show is counted.
        let previous = match &self.report {
            Some(_) => self.foreign_in_last_report,
            None => foreign,
        };
        self.foreign_slots = foreign.0.min(previous.0);
        self.foreign_pieces = foreign.1.min(previous.1);
        self.foreign_in_last_report = foreign;
        self.report = Some(report);
    }

    fn update_leaving(&mut self, report: &Report) {
        if report.leaving {
            self.leaving = Some(report.incarnation);
        } else if self
            .leaving
            .is_some_and(|marked| marked < report.incarnation)
        {
            self.leaving = None;
        }
    }

    /// Work of this shard that a report taken at `at` is expected to include.
    fn expected_in_report(&self, at: Millis) -> Usage {
        let (from, to) = (at - MESSAGE_DELAY, at + MESSAGE_DELAY);
        let mut usage = Usage::default();
        let mut add = |pieces: u32| {
            usage.slots += 1;
            usage.pieces += pieces;
        };
        self.reservations
            .iter()
            .filter(|reservation| {
                reservation.phase == Phase::Decode && reservation.decode_start <= to
            })
            .for_each(|reservation| add(reservation.pieces));
        self.prefill_queue
            .iter()
            .filter(|queued| queued.queued_at <= to)
            .for_each(|queued| add(Tokens(queued.tokens).pieces().0));
        self.recently_ended
            .iter()
            .filter(|ended| ended.started_at <= to && from < ended.ended_at)
            .for_each(|ended| add(ended.pieces));
        usage
    }

    /// Subtracts an adopted decode, which the previous shard owner granted, from the foreign load.
    pub fn remove_foreign_decode(&mut self, pieces: u32) {
        self.foreign_slots = self.foreign_slots.saturating_sub(1);
        self.foreign_pieces = self.foreign_pieces.saturating_sub(pieces);
        self.foreign_in_last_report = (self.foreign_slots, self.foreign_pieces);
    }

    /// Current use: foreign work in the last report, and the grants of this shard.
    pub fn usage(&self) -> Usage {
        let mut usage = Usage {
            slots: self.foreign_slots,
            pieces: self.foreign_pieces,
            max_batch: u32::MAX,
            ..Usage::default()
        };
        for reservation in &self.reservations {
            if reservation.owns_slot {
                usage.slots += 1;
                usage.pieces += reservation.pieces;
            } else {
                usage.promised_slots += 1;
                usage.promised_pieces += reservation.pieces;
            }
            let waiting = u32::from(reservation.request.class == Class::Waiting);
            usage.waiting_slots += waiting;
            usage.waiting_reserved += waiting * u32::from(reservation.owns_slot);
            usage.max_batch = usage.max_batch.min(reservation.max_batch);
        }
        usage
    }

    /// The reservation of an attempt.
    pub fn reservation_mut(&mut self, attempt: &AttemptId) -> Option<&mut Reservation> {
        self.reservations
            .iter_mut()
            .find(|reservation| reservation.attempt() == attempt)
    }

    /// Removes the reservation of an attempt.
    pub fn remove_reservation(
        &mut self,
        now: Millis,
        attempt: &AttemptId,
        pool: &PoolSpec,
    ) -> Option<Reservation> {
        self.advance_token_counter(now, pool);
        let index = self
            .reservations
            .iter()
            .position(|r| r.attempt() == attempt)?;
        let reservation = self.reservations.remove(index);
        if reservation.phase == Phase::Decode {
            self.observe_decode(&reservation);
            self.recently_ended.push(EndedWork {
                started_at: reservation.decode_start,
                ended_at: now,
                pieces: reservation.pieces,
            });
        }
        Some(reservation)
    }

    /// Adds a prompt to the prefill queue.
    pub fn push_prefill(&mut self, now: Millis, attempt: AttemptId, prompt: Tokens) {
        if self.prefill_queue.is_empty() {
            self.head_started_at = now;
        }
        self.prefill_queue.push(QueuedPrefill {
            attempt,
            tokens: prompt.0,
            queued_at: now,
        });
    }

    /// Removes a prompt from the prefill queue; `completed` tells whether its prefill has ended.
    pub fn remove_prefill(
        &mut self,
        now: Millis,
        attempt: &AttemptId,
        completed: bool,
        pool: &PoolSpec,
    ) {
        let Some(index) = self
            .prefill_queue
            .iter()
            .position(|q| q.attempt == *attempt)
        else {
            return;
        };
        let queued = self.prefill_queue.remove(index);
        if index == 0 && completed {
            self.observe_prefill(now, queued.tokens, pool);
        }
        if index == 0 {
            self.head_started_at = now;
        }
        self.recently_ended.push(EndedWork {
            started_at: queued.queued_at,
            ended_at: now,
            pieces: Tokens(queued.tokens).pieces().0,
        });
    }

    /// Advances the token counter, which counts the tokens that one request in the batch generates.
    ///
    /// It follows the size of the batch, so that predictions stay valid while the batch changes.
    pub fn advance_token_counter(&mut self, now: Millis, pool: &PoolSpec) -> f64 {
        self.token_counter += (now - self.token_counter_at).0 as f64 / self.gap_ms(pool);
        self.token_counter_at = now;
        self.token_counter
    }

    /// Reservations with their predicted ends.
    pub fn predicted_ends(
        &self,
        now: Millis,
        pool: &PoolSpec,
    ) -> impl Iterator<Item = (Millis, &Reservation)> {
        let gap_ms = self.gap_ms(pool);
        self.reservations
            .iter()
            .map(move |reservation| (self.predicted_end(now, reservation, gap_ms), reservation))
    }

    fn predicted_end(&self, now: Millis, reservation: &Reservation, gap_ms: f64) -> Millis {
        if reservation.phase != Phase::Decode {
            return reservation.predicted_end;
        }
        let left_ms = (reservation.token_counter_range.1 - self.token_counter) * gap_ms;
        let end = self.token_counter_at.0 as f64 + left_ms;
        // An overdue end stays in the past, where it does not count as free capacity.
        Millis(end.max(0.0) as u64).min(now + MAX_DECODE_TIME)
    }

    fn gap_ms(&self, pool: &PoolSpec) -> f64 {
        let decoding = self
            .reservations
            .iter()
            .filter(|r| r.phase == Phase::Decode);
        let batch = decoding.count() as u32 + self.foreign_slots;
        pool.gap_ms(batch.clamp(1, pool.slots)) * self.decode_time_ratio
    }

    fn observe_decode(&mut self, reservation: &Reservation) {
        let observed = (self.token_counter - reservation.token_counter_range.0)
            / (reservation.token_counter_range.1 - reservation.token_counter_range.0).max(1.0);
        // A cancelled attempt or a short output tells nothing about the decode time.
        if OBSERVABLE_OUTPUT_SHARE.contains(&observed) {
            let ratio = self.decode_time_ratio * (1.0 + TIME_RATIO_WEIGHT * (observed - 1.0));
            self.decode_time_ratio = ratio.clamp(TIME_RATIO_RANGE.0, TIME_RATIO_RANGE.1);
        }
    }

    fn observe_prefill(&mut self, now: Millis, tokens: u64, pool: &PoolSpec) {
        let nominal_ms = pool.prefill_ms(Tokens(tokens)).max(1.0);
        let observed = (now - self.head_started_at).0 as f64 / nominal_ms;
        let ratio =
            self.prefill_time_ratio + TIME_RATIO_WEIGHT * (observed - self.prefill_time_ratio);
        self.prefill_time_ratio = ratio.clamp(TIME_RATIO_RANGE.0, TIME_RATIO_RANGE.1);
    }

    /// Predicted time to compute a prompt, in milliseconds.
    pub fn prefill_ms(&self, prompt: Tokens, pool: &PoolSpec) -> f64 {
        pool.prefill_ms(prompt) * self.prefill_time_ratio
    }

    /// Predicted time until the prefill of a new prompt would start, in milliseconds.
    pub fn prefill_wait_ms(&self, now: Millis, pool: &PoolSpec) -> f64 {
        let head = self.prefill_queue.first().map_or(0, |queued| queued.tokens);
        let own: u64 = self.prefill_queue.iter().map(|queued| queued.tokens).sum();
        let foreign = u64::from(self.foreign_slots) * FOREIGN_PROMPT_TOKENS;
        let elapsed = (now - self.head_started_at).0 as f64;
        let done = elapsed.min(self.prefill_ms(Tokens(head), pool));
        self.prefill_ms(Tokens(own + foreign), pool) - done
    }

    /// Number of prompts of this shard in the prefill queue.
    pub fn prefill_queue_len(&self) -> usize {
        self.prefill_queue.len()
    }
}
