//! The state machine of a shard's home.

use bv_types::{BackendId, HostId, Incarnation, Millis, Refusal, ZoneId};

use crate::hold::{Hold, HoldIndex, Phase};
use crate::life::EXPIRY;
use crate::planned::{Choice, Plan};
use crate::queue::ClassQueue;
use crate::runner::Runner;
use crate::{Action, Class, Event, Grant, Policy, Request, Role, ShardSpec};

/// Queued requests examined on each event, so that one event has a bounded cost.
const MAX_EXAMINED: usize = 8;

/// Reservations and admission queue of one shard.
#[derive(Debug)]
pub struct Shard {
    pub(crate) spec: ShardSpec,
    pub(crate) policy: Policy,
    pub(crate) runners: Vec<Runner>,
    pub(crate) index: HoldIndex,
    pub(crate) urgent: ClassQueue,
    pub(crate) waiting: ClassQueue,
    pub(crate) dying: Vec<(HostId, Incarnation, Millis)>,
    pub(crate) turn: usize,
}

/// Use of a runner as the home sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunnerLoad {
    /// The runner.
    pub runner: BackendId,
    /// What it does.
    pub role: Role,
    /// Batch slots in use or reserved.
    pub slots: u32,
    /// Memory pieces in use or reserved.
    pub pieces: u32,
    /// Grants that take the slot of an ending attempt.
    pub promised: u32,
    /// Prompts granted to a prefill runner and not yet computed.
    pub prefills: usize,
}

impl Shard {
    /// A shard without grants; its runners get work once they have reported.
    pub fn new(spec: ShardSpec, policy: Policy) -> Self {
        let runners = spec.runners.iter().cloned().map(Runner::new).collect();
        Shard {
            spec,
            policy,
            runners,
            index: HoldIndex::default(),
            urgent: ClassQueue::default(),
            waiting: ClassQueue::default(),
            dying: Vec::new(),
            turn: 0,
        }
    }

    /// Takes an event that arrived at `now`.
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Report { runner, report } => {
                if let Some(index) = self.find(&runner) {
                    self.runners[index].take_report(now, report, &self.spec.pool);
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
                if let Some(index) = self.find(&runner) {
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

    /// Share of the decode slots that are taken or asked for; above 1 if requests wait.
    pub fn load(&self) -> f64 {
        let slots = self.usable(Role::Decode).count() as f64 * f64::from(self.spec.pool.slots);
        let wanted = self.index.len() + self.urgent.len() + self.waiting.len();
        wanted as f64 / slots.max(1.0)
    }

    /// Number of requests in the admission queue.
    pub fn queued(&self) -> usize {
        self.urgent.len() + self.waiting.len()
    }

    /// Number of open grants.
    pub fn open_grants(&self) -> usize {
        self.index.len()
    }

    /// Use of each runner.
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

    /// Replaces the runners and facts; grants stay on runners that remain.
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
        self.index.clear();
        let places: Vec<Option<usize>> = ids.iter().map(|id| self.find(id)).collect();
        for (decode, runner) in self.runners.iter_mut().enumerate() {
            runner.holds.retain_mut(|hold| match places[hold.prefill] {
                Some(prefill) => {
                    hold.prefill = prefill;
                    true
                }
                None => false,
            });
            for hold in &runner.holds {
                self.index.insert(hold.attempt().clone(), decode);
            }
        }
    }

    fn reserve(&mut self, now: Millis, request: Request, actions: &mut Vec<Action>) {
        let id = &request.attempt;
        // A repeated message gets the same answer again.
        if let Some(decode) = self.index.decode_of(id) {
            let hold = self.runners[decode]
                .holds
                .iter()
                .find(|h| h.attempt() == id);
            actions.extend(hold.map(|hold| Action::Grant(self.grant_of(hold, decode))));
            return;
        }
        if self.queue(request.class).contains(id) {
            return;
        }
        if self.policy != Policy::Planned {
            match self.choose_at_once(now, &request) {
                Some(plan) => actions.push(self.grant(now, request, &plan)),
                None => actions.push(deny(request, Refusal::NoBackend)),
            }
            return;
        }
        match self.check_arrival(now, &request) {
            Ok(()) => {
                let latest = self.latest_start(&request);
                self.queue_mut(request.class).push(now, request, latest);
            }
            Err(reason) => actions.push(deny(request, reason)),
        }
    }

    /// Starts queued requests; waiting work only while no urgent work waits.
    fn start_queued(&mut self, now: Millis, actions: &mut Vec<Action>) {
        while self.start_one(now, Class::Urgent, actions) {}
        if self.urgent.is_empty() {
            while self.start_one(now, Class::Waiting, actions) {}
        }
    }

    /// Starts or refuses the first queued request of a class that has room.
    fn start_one(&mut self, now: Millis, class: Class, actions: &mut Vec<Action>) -> bool {
        let ageing = class == Class::Waiting;
        for index in self.queue(class).order(now, ageing, MAX_EXAMINED) {
            let choice = self.plan(now, self.queue(class).get(index));
            if choice == Choice::Busy {
                // Smaller requests must not keep an aged one from its memory.
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
        let hold = Hold {
            prefill: plan.prefill,
            pieces: request.pieces().0,
            max_batch: pool.max_batch(request.token_gap),
            phase: Phase::Prefill,
            owns_slot: plan.owns_slot,
            granted_at: now,
            prefill_end: plan.prefill_end,
            first_token: plan.first_token,
            since: plan.prefill_end,
            end: plan.end,
            tokens: (0.0, 0.0),
            expires: plan.prefill_end + EXPIRY,
            request,
        };
        let prompt = hold.request.prompt;
        self.runners[plan.prefill].push_prefill(now, attempt.clone(), prompt);
        let grant = self.grant_of(&hold, plan.decode);
        let runner = &mut self.runners[plan.decode];
        runner.link_until = runner.link_until.max(plan.transfer_end);
        runner.holds.push(hold);
        self.index.insert(attempt, plan.decode);
        Action::Grant(grant)
    }

    fn grant_of(&self, hold: &Hold, decode: usize) -> Grant {
        Grant {
            attempt: hold.attempt().clone(),
            prefill: self.runners[hold.prefill].spec.id.clone(),
            decode: self.runners[decode].spec.id.clone(),
            prefill_time: hold.prefill_end - hold.granted_at,
            first_token: hold.first_token - hold.granted_at,
            slot_ready: hold.owns_slot,
        }
    }

    fn leaving(&mut self, runner: &BackendId, incarnation: Incarnation) {
        let Some(index) = self.find(runner) else {
            return;
        };
        let runner = &mut self.runners[index];
        let newer = runner.report.is_some_and(|r| r.incarnation > incarnation);
        if !newer {
            runner.leaving = runner.leaving.max(Some(incarnation));
        }
    }

    fn find(&self, id: &BackendId) -> Option<usize> {
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
