//! The state machine with which the owner of a shard places requests.

use bv_types::{BackendId, HostId, Incarnation, Millis, Refusal, ZoneId};

use crate::lifecycle::EXPIRY_GRACE;
use crate::planned::{Choice, Plan};
use crate::queue::ClassQueue;
use crate::reservation::{Phase, Reservation, ReservationIndex};
use crate::runner::Runner;
use crate::{Action, Class, Event, Grant, Policy, Request, Role, ShardSpec};

/// Queued requests examined to find the next one that can start; bounds the cost of an event.
const MAX_EXAMINED: usize = 8;

/// Reservations and admission queue of one shard.
#[derive(Debug)]
pub struct Shard {
    pub(crate) spec: ShardSpec,
    pub(crate) policy: Policy,
    pub(crate) runners: Vec<Runner>,
    pub(crate) reservation_index: ReservationIndex,
    pub(crate) urgent: ClassQueue,
    pub(crate) waiting: ClassQueue,
    /// Entry host processes that were declared dead, and the time at which their grants are
    /// cancelled.
    pub(crate) dead_hosts: Vec<(HostId, Incarnation, Millis)>,
    pub(crate) round_robin_counter: usize,
}

/// Use of a runner as the shard accounts for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunnerLoad {
    /// The runner.
    pub runner: BackendId,
    /// Role of the runner.
    pub role: Role,
    /// Batch slots in use or reserved.
    pub slots: u32,
    /// Memory pieces in use or reserved.
    pub pieces: u32,
    /// Grants that will take the slot of a running attempt.
    pub promised: u32,
    /// Prompts granted to a prefill runner and not yet computed.
    pub prefills: usize,
}

impl Shard {
    /// Creates a shard without grants. A runner gets work once it has reported its load.
    pub fn new(spec: ShardSpec, policy: Policy) -> Self {
        let runners = spec.runners.iter().cloned().map(Runner::new).collect();
        Shard {
            spec,
            policy,
            runners,
            reservation_index: ReservationIndex::default(),
            urgent: ClassQueue::default(),
            waiting: ClassQueue::default(),
            dead_hosts: Vec::new(),
            round_robin_counter: 0,
        }
    }

    /// Handles an event that arrived at `now`; the driver must carry out the returned actions.
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Report { runner, report } => {
                if let Some(index) = self.runner_index(&runner) {
                    self.runners[index].apply_report(now, report, &self.spec.pool);
                }
            }
            Event::Reserve(request) => self.reserve(now, request, &mut actions),
            Event::PrefillDone(attempt) => self.prefill_done(now, &attempt, &mut actions),
            Event::Release(attempt) => self.release(now, &attempt, &mut actions),
            Event::Adopt(adoption) => self.adopt(now, adoption),
            Event::HostDead { host, incarnation } => {
                self.host_dead(now, host, incarnation, &mut actions);
            }
            Event::HostAlive { host, incarnation } => self.host_alive(&host, incarnation),
            Event::Leaving {
                runner,
                incarnation,
            } => self.leaving(&runner, incarnation),
            Event::RunnerFailed(runner) => {
                if let Some(index) = self.runner_index(&runner) {
                    self.runners[index].failed = true;
                }
            }
            Event::Tick => {
                self.expire(now, &mut actions);
                self.deny_late(now, &mut actions);
            }
        }
        self.start_queued(now, &mut actions);
        actions
    }

    /// Granted and queued requests as a share of the usable decode slots; it may exceed 1.
    pub fn load(&self) -> f64 {
        let slots = self.usable(Role::Decode).count() as f64 * f64::from(self.spec.pool.slots);
        let requests = self.reservation_index.len() + self.urgent.len() + self.waiting.len();
        requests as f64 / slots.max(1.0)
    }

    /// Number of requests in the admission queue.
    pub fn queued(&self) -> usize {
        self.urgent.len() + self.waiting.len()
    }

    /// Number of open grants.
    pub fn open_grants(&self) -> usize {
        self.reservation_index.len()
    }

    /// Current use of each runner.
    pub fn loads(&self) -> Vec<RunnerLoad> {
        let load = |runner: &Runner| {
            let usage = runner.usage();
            RunnerLoad {
                runner: runner.spec.id.clone(),
                role: runner.spec.role,
                slots: usage.slots,
                pieces: usage.pieces,
                promised: usage.promised_slots,
                prefills: runner.prefill_queue_len(),
            }
        };
        self.runners.iter().map(load).collect()
    }

    /// Replaces the specification and the policy; grants on runners that remain are kept.
    pub fn reconfigure(&mut self, spec: ShardSpec, policy: Policy) {
        let mut old = std::mem::take(&mut self.runners);
        let ids: Vec<BackendId> = old.iter().map(|r| r.spec.id.clone()).collect();
        for runner in &spec.runners {
            let next = match old.iter().position(|r| r.spec == *runner) {
                Some(index) => old.swap_remove(index),
                None => Runner::new(runner.clone()),
            };
            self.runners.push(next);
        }
        self.spec = spec;
        self.policy = policy;
        self.reservation_index.clear();
        let new_indices: Vec<Option<usize>> = ids.iter().map(|id| self.runner_index(id)).collect();
        for (decode, runner) in self.runners.iter_mut().enumerate() {
            runner
                .reservations
                .retain_mut(|reservation| match new_indices[reservation.prefill] {
                    Some(prefill) => {
                        reservation.prefill = prefill;
                        true
                    }
                    None => false,
                });
            for reservation in &runner.reservations {
                self.reservation_index
                    .insert(reservation.attempt().clone(), decode);
            }
        }
    }

    fn reserve(&mut self, now: Millis, request: Request, actions: &mut Vec<Action>) {
        let id = &request.attempt;
        // A repeated message gets the same grant again.
        if let Some(decode) = self.reservation_index.decode_of(id) {
            let reservation = self.runners[decode]
                .reservations
                .iter()
                .find(|r| r.attempt() == id);
            actions.extend(
                reservation
                    .map(|reservation| Action::Grant(self.grant_message(reservation, decode))),
            );
            return;
        }
        if self.queue(request.class).contains(id) {
            return;
        }
        if self.policy != Policy::Planned {
            match self.plan_baseline(now, &request) {
                Some(plan) => actions.push(self.grant(now, request, &plan)),
                None => actions.push(deny(request, Refusal::NoBackend)),
            }
            return;
        }
        match self.check_admission(now, &request) {
            Ok(()) => {
                let latest = self.latest_start(&request);
                self.queue_mut(request.class).push(now, request, latest);
            }
            Err(reason) => actions.push(deny(request, reason)),
        }
    }

    /// Starts queued requests; waiting work only while no urgent work is queued.
    fn start_queued(&mut self, now: Millis, actions: &mut Vec<Action>) {
        while self.start_one(now, Class::Urgent, actions) {}
        if self.urgent.is_empty() {
            while self.start_one(now, Class::Waiting, actions) {}
        }
    }

    /// Starts or refuses the first queued request of a class that fits on a pair of runners. Stops
    /// at an aged request that does not fit. Returns whether a request left the queue.
    fn start_one(&mut self, now: Millis, class: Class, actions: &mut Vec<Action>) -> bool {
        if self.queue(class).is_empty() {
            return false;
        }
        let ageing = class == Class::Waiting;
        let uses = self.decode_uses(now);
        for index in self.queue(class).order(now, ageing, MAX_EXAMINED) {
            let choice = self.plan(now, self.queue(class).get(index), &uses);
            if choice == Choice::Busy {
                // Smaller requests must not take the memory that an aged request waits for.
                if ageing && self.queue(class).is_aged(index, now) {
                    return false;
                }
                continue;
            }
            let Some(request) = self.queue_mut(class).take(index) else {
                return false;
            };
            actions.push(match choice {
                Choice::Start(plan) => self.grant(now, request, &plan),
                _ => deny(request, Refusal::FirstTokenTooLate),
            });
            return true;
        }
        false
    }

    fn grant(&mut self, now: Millis, request: Request, plan: &Plan) -> Action {
        let pool = &self.spec.pool;
        let attempt = request.attempt.clone();
        let reservation = Reservation {
            prefill: plan.prefill,
            pieces: request.pieces().0,
            max_batch: pool.max_batch(request.token_gap),
            phase: Phase::Prefill,
            owns_slot: plan.owns_slot,
            granted_at: now,
            prefill_end: plan.prefill_end,
            first_token: plan.first_token,
            decode_start: plan.prefill_end,
            predicted_end: plan.end,
            token_counter_range: (0.0, 0.0),
            expires: plan.prefill_end + EXPIRY_GRACE,
            request,
        };
        let prompt = reservation.request.prompt;
        self.runners[plan.prefill].push_prefill(now, attempt.clone(), prompt);
        let grant = self.grant_message(&reservation, plan.decode);
        let runner = &mut self.runners[plan.decode];
        runner.link_busy_until = runner.link_busy_until.max(plan.transfer_end);
        runner.reservations.push(reservation);
        self.reservation_index.insert(attempt, plan.decode);
        Action::Grant(grant)
    }

    fn grant_message(&self, reservation: &Reservation, decode: usize) -> Grant {
        Grant {
            attempt: reservation.attempt().clone(),
            prefill: self.runners[reservation.prefill].spec.id.clone(),
            decode: self.runners[decode].spec.id.clone(),
            prefill_time: reservation.prefill_end - reservation.granted_at,
            first_token: reservation.first_token - reservation.granted_at,
            slot_ready: reservation.owns_slot,
        }
    }

    fn leaving(&mut self, runner: &BackendId, incarnation: Incarnation) {
        let Some(index) = self.runner_index(runner) else {
            return;
        };
        let runner = &mut self.runners[index];
        let newer = runner.report.is_some_and(|r| r.incarnation > incarnation);
        if !newer {
            runner.leaving = runner.leaving.max(Some(incarnation));
        }
    }

    fn runner_index(&self, id: &BackendId) -> Option<usize> {
        self.runners.iter().position(|r| r.spec.id == *id)
    }

    pub(crate) fn usable(&self, role: Role) -> impl Iterator<Item = (usize, &Runner)> {
        self.runners
            .iter()
            .enumerate()
            .filter(move |(_, runner)| runner.spec.role == role && runner.usable())
    }

    pub(crate) fn queue(&self, class: Class) -> &ClassQueue {
        match class {
            Class::Urgent => &self.urgent,
            Class::Waiting => &self.waiting,
        }
    }

    pub(crate) fn queue_mut(&mut self, class: Class) -> &mut ClassQueue {
        match class {
            Class::Urgent => &mut self.urgent,
            Class::Waiting => &mut self.waiting,
        }
    }

    /// One-way delay between two zones, in milliseconds.
    pub(crate) fn hop_ms(&self, a: &ZoneId, b: &ZoneId) -> f64 {
        match a == b {
            true => 0.0,
            false => self.spec.zone_delay_ms,
        }
    }
}

fn deny(request: Request, reason: Refusal) -> Action {
    Action::Deny {
        attempt: request.attempt,
        reason,
    }
}
