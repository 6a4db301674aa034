//! A bounded load from callers.

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
use caller::{Caller, Record, Stay};
pub(crate) use plan::CRASH_MARK;
use plan::{Call, Plan};

/// Callers that close early and that go silent, in thousandths of the model calls.
const GONE_SHARE: u32 = 20;
const SILENT_SHARE: u32 = 5;
/// Part of the run in which the burst of lookups takes place.
const BURST_START: f64 = 0.4;
const BURST_END: f64 = 0.6;
/// Share of the deadline that the longest output takes.
const LONGEST_SHARE: f64 = 0.8;
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// What is offered.
#[derive(Debug, Clone)]
pub struct LoadSettings {
    /// Seed of arrival times, calls and prompts.
    pub seed: u64,
    /// Length in seconds.
    pub seconds: u64,
    /// Offered load in percent; 100 fills the decode slots.
    pub percent: u32,
    /// Further urgent lookups a second in the middle fifth of the run.
    pub burst: u32,
    /// Entry hosts.
    pub balancer: Arc<Balancer>,
    /// Who is gone.
    pub leak_detector: Arc<LeakDetector>,
    /// Callers that misbehave.
    pub faults: Arc<CallerFaults>,
}

/// Shares of callers that misbehave; faults change them during a run.
#[derive(Debug)]
pub struct CallerFaults {
    /// Thousandths of the model calls whose caller closes early.
    pub disconnecting_permille: AtomicU32,
    /// Thousandths of the model calls whose caller goes silent.
    pub silent_permille: AtomicU32,
    /// The next model call crashes every engine that runs it.
    pub crash_next: AtomicBool,
}

impl Default for CallerFaults {
    fn default() -> Self {
        CallerFaults {
            disconnecting_permille: AtomicU32::new(GONE_SHARE),
            silent_permille: AtomicU32::new(SILENT_SHARE),
            crash_next: AtomicBool::new(false),
        }
    }
}

impl CallerFaults {
    /// Sets the shares to those without a fault.
    pub fn reset(&self) {
        self.disconnecting_permille
            .store(GONE_SHARE, Ordering::Relaxed);
        self.silent_permille.store(SILENT_SHARE, Ordering::Relaxed);
    }

    fn stay(&self, rng: &mut Rng) -> Stay {
        let gone = self.disconnecting_permille.load(Ordering::Relaxed);
        let silent = self.silent_permille.load(Ordering::Relaxed);
        match rng.u32(..1000) {
            pick if pick < gone => Stay::ClosesEarly,
            pick if pick < gone + silent => Stay::GoesSilent,
            _ => Stay::ToTheEnd,
        }
    }
}

/// A load generator.
pub struct Load {
    settings: LoadSettings,
}

/// The callers' part of a report, and the attempts that were told "not run".
#[derive(Debug, Default)]
pub struct Offered {
    /// Counts at the callers.
    pub report: Report,
    /// Key and attempt of non-idempotent calls whose last word was "not run".
    pub not_run: Vec<(String, u32)>,
    /// Nonces of requests cut by a host that was draining.
    pub cut_while_draining: Vec<String>,
}

impl Load {
    /// Prepares a load.
    pub fn new(settings: LoadSettings) -> Self {
        Load { settings }
    }

    /// Offers the load and waits for every answer or deadline.
    pub async fn run(&self, inventory: &Inventory) -> Offered {
        let mut plan = Plan::new(self.settings.seed, self.settings.percent, inventory);
        let mut rng = plan.rng();
        let start = Instant::now();
        let end = start + Duration::from_secs(self.settings.seconds);
        let mut calls = JoinSet::new();
        let mut offered = Offered::default();
        let mut progress = tokio::time::interval(PROGRESS_INTERVAL);
        let mut next = start;
        while Instant::now() < end || !calls.is_empty() {
            tokio::select! {
                _ = progress.tick() => print_progress(start, &offered.report, calls.len()),
                Some(Ok(record)) = calls.join_next() => offered.add(record),
                () = tokio::time::sleep_until(next.into()), if next < end => {
                    let burst = self.burst(start);
                    // Times follow the plan, not the timer, so that a late timer loses no call.
                    next += Duration::from_secs_f64(plan.gap(burst));
                    if let Some(call) = plan.next(burst) {
                        calls.spawn(self.caller(inventory, call, &mut rng).run());
                    }
                }
            }
        }
        offered
    }

    fn burst(&self, start: Instant) -> f64 {
        let share = start.elapsed().as_secs_f64() / self.settings.seconds.max(1) as f64;
        match (BURST_START..BURST_END).contains(&share) {
            true => f64::from(self.settings.burst),
            false => 0.0,
        }
    }

    fn caller(&self, inventory: &Inventory, next: (Call, String, String), rng: &mut Rng) -> Caller {
        let (mut call, nonce, device) = next;
        let faults = &self.settings.faults;
        let mut stay = Stay::ToTheEnd;
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
                stay = faults.stay(rng);
            }
            if stay != Stay::ToTheEnd && model.class == Class::Waiting {
                model.max_output = longest_output(inventory, model);
            }
            *streamed |= stay == Stay::GoesSilent;
        }
        Caller {
            call,
            nonce,
            device,
            device_header: inventory.device_header.clone(),
            stay,
            crashes_engines,
            client_delay: Duration::from_secs_f64(inventory.client_delay_ms / 1000.0),
            balancer: self.settings.balancer.clone(),
            leak_detector: self.settings.leak_detector.clone(),
            rng: rng.fork(),
        }
    }
}

/// An output that takes most of the deadline in a full batch. A caller that leaves asks for it, so
/// that memory held for it is not freed by an early end.
fn longest_output(inventory: &Inventory, model: &Model) -> Tokens {
    let gap_ms = plan::full_batch_gap_ms(inventory, model);
    let tokens = model.deadline.0 as f64 * LONGEST_SHARE / gap_ms;
    Tokens(tokens as u64).max(model.max_output)
}

fn print_progress(start: Instant, report: &Report, open: usize) {
    eprintln!(
        "lab: {:>3} s: {} answered whole, {} not run, {} unknown, {} lost, {open} in progress",
        start.elapsed().as_secs(),
        report.answered_whole,
        report.refused_not_run,
        report.outcome_unknown,
        report.lost,
    );
}

impl Offered {
    fn add(&mut self, record: Record) {
        let report = &mut self.report;
        match record.stay {
            Stay::ToTheEnd => {}
            Stay::ClosesEarly => {
                report.callers_gone += 1;
                return;
            }
            Stay::GoesSilent => {
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
            && !matches!(record.outcome, Outcome::Whole { .. } | Outcome::NotRun(_))
        {
            report.accepted_waiting_lost += 1;
        }
        match &record.outcome {
            Outcome::Whole { .. } => report.answered_whole += 1,
            Outcome::NotRun(reason) => {
                report.refused_not_run += 1;
                report.refusals.add(reason, 1);
                if matches!(record.call, Call::Once { .. }) {
                    self.not_run.push((record.nonce, record.resends));
                }
            }
            Outcome::Unknown(reason) => {
                report.outcome_unknown += 1;
                report.unknowns.add(reason, 1);
            }
            Outcome::Truncated => report.truncated_answers += 1,
            Outcome::Crossed => report.crossed_answers += 1,
            Outcome::Twice => report.answered_twice += 1,
            Outcome::Cut | Outcome::Lost => report.lost += 1,
        }
    }
}

fn is_before_deadline(record: &Record) -> bool {
    let deadline = match &record.call {
        Call::Model { model, .. } => model.deadline,
        Call::Lookup { route } | Call::Once { route, .. } => route.deadline,
    };
    matches!(record.outcome, Outcome::Whole { total, .. } if total <= deadline.duration())
}

/// Whether a whole answer met both latency targets; only a streamed model call has them.
fn meets_targets(record: &Record) -> bool {
    let (
        Call::Model {
            model,
            streamed: true,
            ..
        },
        Outcome::Whole { first, total },
    ) = (&record.call, &record.outcome)
    else {
        return true;
    };
    let gap = (*total - *first).div_f64(model.max_output.0.max(1) as f64);
    *first <= model.first_token.duration() && gap <= model.token_gap.duration()
}
