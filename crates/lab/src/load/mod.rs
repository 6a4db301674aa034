//! Load generator: callers that send calls at random times at a given rate.

mod answer;
mod caller;
mod exchange;
mod plan;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

use bv_config::{Class, Inventory, Model};
use bv_types::Tokens;
use fastrand::Rng;
use tokio::task::JoinSet;

use crate::leak_detector::LeakDetector;
use crate::{Balancer, Report};
use answer::Outcome;
pub(crate) use caller::ATTEMPT_HEADER;
use caller::{CallRecord, Caller, CallerBehavior};
pub(crate) use plan::CRASH_MARK;
use plan::{Call, Plan};

// Callers that close early and that stop reading, in thousandths of the model calls.
const CLOSE_EARLY_PERMILLE: u32 = 20;
const STOP_READING_PERMILLE: u32 = 5;
// Start and end of the burst of lookups, as shares of the run.
const BURST_START_SHARE: f64 = 0.4;
const BURST_END_SHARE: f64 = 0.6;
/// Share of the deadline that generating the longest output takes.
const LONGEST_OUTPUT_SHARE: f64 = 0.8;
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Settings of a load.
#[derive(Debug, Clone)]
pub struct LoadSettings {
    /// Seed of arrival times, calls and prompts.
    pub seed: u64,
    /// Length in seconds.
    pub seconds: u64,
    /// Offered load in percent; 100 fills the decode slots.
    pub load_percent: u32,
    /// Additional urgent lookups per second in the middle fifth of the run.
    pub burst_lookups_per_s: u32,
    /// Chooses the entry host of each connection.
    pub balancer: Arc<Balancer>,
    /// Records the callers that disconnect.
    pub leak_detector: Arc<LeakDetector>,
    /// Shares of callers that close early or stop reading, and requests that crash engines.
    pub faults: Arc<CallerFaults>,
}

/// Shares of callers that close early or stop reading, and requests that crash engines; faults
/// change them during a run.
#[derive(Debug)]
pub struct CallerFaults {
    /// Thousandths of the model calls whose caller closes early.
    pub close_early_permille: AtomicU32,
    /// Thousandths of the model calls whose caller stops reading.
    pub stop_reading_permille: AtomicU32,
    /// Whether the next model call crashes every engine that runs it.
    pub crash_next: AtomicBool,
}

impl Default for CallerFaults {
    fn default() -> Self {
        CallerFaults {
            close_early_permille: AtomicU32::new(CLOSE_EARLY_PERMILLE),
            stop_reading_permille: AtomicU32::new(STOP_READING_PERMILLE),
            crash_next: AtomicBool::new(false),
        }
    }
}

impl CallerFaults {
    /// Resets the shares to their values without a fault.
    pub fn reset(&self) {
        self.close_early_permille
            .store(CLOSE_EARLY_PERMILLE, Ordering::Relaxed);
        self.stop_reading_permille
            .store(STOP_READING_PERMILLE, Ordering::Relaxed);
    }

    fn behavior(&self, rng: &mut Rng) -> CallerBehavior {
        let close_early = self.close_early_permille.load(Ordering::Relaxed);
        let stop_reading = self.stop_reading_permille.load(Ordering::Relaxed);
        match rng.u32(..1000) {
            pick if pick < close_early => CallerBehavior::ClosesEarly,
            pick if pick < close_early + stop_reading => CallerBehavior::StopsReading,
            _ => CallerBehavior::ReadsToEnd,
        }
    }
}

/// A load generator.
pub struct Load {
    settings: LoadSettings,
}

/// The callers' part of a report, and the calls to compare with the records of the stand-ins.
#[derive(Debug, Default)]
pub struct LoadResult {
    /// Counts at the callers.
    pub report: Report,
    /// Key and last attempt of non-idempotent calls whose final answer was "not run".
    pub not_run: Vec<(String, u32)>,
    /// Nonces of requests whose connection was closed by a draining host.
    pub cut_while_draining: Vec<String>,
}

impl Load {
    /// Prepares a load.
    pub fn new(settings: LoadSettings) -> Self {
        Load { settings }
    }

    /// Sends the calls and waits until each has an answer or has passed its deadline.
    pub async fn run(&self, inventory: &Inventory) -> LoadResult {
        let mut plan = Plan::new(self.settings.seed, self.settings.load_percent, inventory);
        let mut rng = plan.rng();
        let start = Instant::now();
        let end = start + Duration::from_secs(self.settings.seconds);
        let mut calls = JoinSet::new();
        let mut result = LoadResult::default();
        let mut progress = tokio::time::interval(PROGRESS_INTERVAL);
        let mut next_arrival = start;
        while Instant::now() < end || !calls.is_empty() {
            tokio::select! {
                _ = progress.tick() => print_progress(start, &result.report, calls.len()),
                Some(Ok(record)) = calls.join_next() => result.add_record(record),
                () = tokio::time::sleep_until(next_arrival.into()), if next_arrival < end => {
                    let burst_rate = self.burst_rate(start);
                    // Computed from the planned time, so that a late timer does not lower the rate.
                    next_arrival += Duration::from_secs_f64(plan.next_gap_s(burst_rate));
                    if let Some(call) = plan.next_call(burst_rate) {
                        calls.spawn(self.caller(inventory, call, &mut rng).run());
                    }
                }
            }
        }
        result
    }

    fn burst_rate(&self, start: Instant) -> f64 {
        let share = start.elapsed().as_secs_f64() / self.settings.seconds.max(1) as f64;
        match (BURST_START_SHARE..BURST_END_SHARE).contains(&share) {
            true => f64::from(self.settings.burst_lookups_per_s),
            false => 0.0,
        }
    }

    fn caller(&self, inventory: &Inventory, next: (Call, String, String), rng: &mut Rng) -> Caller {
        let (mut call, nonce, device) = next;
        let faults = &self.settings.faults;
        let mut behavior = CallerBehavior::ReadsToEnd;
        let mut crashes_engines = false;
        if let Call::Model {
            model,
            prompt,
            streamed,
        } = &mut call
        {
            crashes_engines = faults.crash_next.swap(false, Ordering::Relaxed);
            if crashes_engines {
                prompt.push_str(CRASH_MARK);
            } else {
                behavior = faults.behavior(rng);
            }
            if behavior != CallerBehavior::ReadsToEnd && model.class == Class::Waiting {
                model.max_output = longest_output(inventory, model);
            }
            *streamed |= behavior == CallerBehavior::StopsReading;
        }
        Caller {
            call,
            nonce,
            device,
            device_header: inventory.device_header.clone(),
            behavior,
            crashes_engines,
            client_delay: Duration::from_secs_f64(inventory.client_delay_ms / 1000.0),
            balancer: self.settings.balancer.clone(),
            leak_detector: self.settings.leak_detector.clone(),
            rng: rng.fork(),
        }
    }
}

/// An output that takes most of the deadline to generate in a full batch. Callers that disconnect
/// request it, so that the memory held for them is not released by a normal end of the output.
fn longest_output(inventory: &Inventory, model: &Model) -> Tokens {
    let gap_ms = plan::full_batch_gap_ms(inventory, model);
    let tokens = model.deadline.0 as f64 * LONGEST_OUTPUT_SHARE / gap_ms;
    Tokens(tokens as u64).max(model.max_output)
}

fn print_progress(start: Instant, report: &Report, in_progress: usize) {
    eprintln!(
        "lab: {:>3} s: {} answered whole, {} not run, {} outcome unknown, {} lost, \
         {in_progress} in progress",
        start.elapsed().as_secs(),
        report.answered_whole,
        report.refused_not_run,
        report.outcome_unknown,
        report.lost,
    );
}

impl LoadResult {
    fn add_record(&mut self, record: CallRecord) {
        let report = &mut self.report;
        match record.behavior {
            CallerBehavior::ReadsToEnd => {}
            CallerBehavior::ClosesEarly => {
                report.callers_gone += 1;
                return;
            }
            CallerBehavior::StopsReading => {
                report.callers_silent += 1;
                return;
            }
        }
        report.requests += 1;
        report.resends += u64::from(record.resends);
        if record.cut_while_draining {
            self.cut_while_draining.push(record.nonce.clone());
        }
        let before_deadline = is_before_deadline(&record);
        let in_time = before_deadline && meets_targets(&record);
        report.in_time += u64::from(in_time);
        if matches!(record.call, Call::Model { .. }) {
            report.model_requests += 1;
            report.model_in_time += u64::from(in_time);
        }
        if record.call.is_urgent_lookup() {
            report.urgent += 1;
            report.urgent_in_time += u64::from(before_deadline);
        }
        if record.call.is_waiting()
            && !matches!(
                record.outcome,
                Outcome::Complete { .. } | Outcome::NotRun(_)
            )
        {
            report.accepted_waiting_lost += 1;
        }
        match &record.outcome {
            Outcome::Complete { .. } => report.answered_whole += 1,
            Outcome::NotRun(reason) => {
                report.refused_not_run += 1;
                report.refusals.add(reason, 1);
                if matches!(record.call, Call::NonIdempotent { .. }) {
                    self.not_run.push((record.nonce, record.resends));
                }
            }
            Outcome::Unknown(reason) => {
                report.outcome_unknown += 1;
                report.unknowns.add(reason, 1);
            }
            Outcome::Truncated => report.truncated_answers += 1,
            Outcome::Crossed => report.crossed_answers += 1,
            Outcome::Duplicated => report.answered_twice += 1,
            Outcome::ConnectionLost | Outcome::NoAnswer => report.lost += 1,
        }
    }
}

fn is_before_deadline(record: &CallRecord) -> bool {
    let deadline = match &record.call {
        Call::Model { model, .. } => model.deadline,
        Call::Lookup { route } | Call::NonIdempotent { route, .. } => route.deadline,
    };
    matches!(
        record.outcome,
        Outcome::Complete { total_time, .. } if total_time <= deadline.duration()
    )
}

/// Whether a complete answer met both latency targets; only streamed model calls have targets.
fn meets_targets(record: &CallRecord) -> bool {
    let (
        Call::Model {
            model,
            streamed: true,
            ..
        },
        Outcome::Complete {
            time_to_first_byte,
            total_time,
        },
    ) = (&record.call, &record.outcome)
    else {
        return true;
    };
    let token_gap = (*total_time - *time_to_first_byte).div_f64(model.max_output.0.max(1) as f64);
    *time_to_first_byte <= model.first_token.duration() && token_gap <= model.token_gap.duration()
}
