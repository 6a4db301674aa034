//! Simulation of hosts that send requests to engines, some of which refuse them, by seed.

mod retries;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use bv_retry::BudgetLimits;
use bv_types::{Millis, ServiceId};
use fastrand::Rng;

use self::retries::{Host, Kind, Outcome, Retries};

pub const LIMITS: BudgetLimits = BudgetLimits {
    ratio: 0.2,
    extra: 52.0,
    window: Millis(10_000),
};
/// Sends of one request, of all kinds.
const MAX_SENDS: u32 = 8;
const TRAFFIC_START: u64 = 9_000;
const END: u64 = 45_000;
const DOWN_TIME: u64 = 500;

/// What happens during a run.
#[derive(Clone, Copy)]
pub struct Day {
    pub hosts: usize,
    pub requests_per_s: f64,
    /// Start and end of the times in which engines refuse.
    pub busy: &'static [(u64, u64)],
    /// Share of sends that are refused in these times.
    pub refused: f64,
    /// Times at which 70% of the hosts are killed.
    pub kills: &'static [u64],
    /// Whether hosts see too few hosts after each kill.
    pub uneven_counts: bool,
}

/// Times of all requests, and of the arrivals beyond the first of each request.
pub struct Arrivals {
    requests: Vec<u64>,
    extra: Vec<u64>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Request,
    Step(usize, Stage),
    Kill,
    Start(usize),
    SeeHosts(usize, usize),
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    Plan,
    Prefill,
    Decode,
    Answer(Kind, Outcome),
    /// The stream broke off.
    Broken,
    CallerLeft,
}

struct Call {
    host: usize,
    /// Start of the process that serves the call.
    process: Millis,
    retries: Retries,
    sends: u32,
    arrivals: u32,
    has_free_prefill: bool,
    /// Whether a prefilled prompt is waiting for a decode.
    has_prompt: bool,
    is_over: bool,
}

struct Fleet {
    day: Day,
    rng: Rng,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    hosts: Vec<Option<Host>>,
    calls: Vec<Call>,
    arrived: Arrivals,
    service: ServiceId,
}

/// Plays a day and returns what arrived at the engines.
pub fn play(day: Day, seed: u64) -> Arrivals {
    let mut fleet = Fleet {
        day,
        rng: Rng::with_seed(seed),
        now: 0,
        events: BinaryHeap::new(),
        hosts: Vec::new(),
        calls: Vec::new(),
        arrived: Arrivals {
            requests: Vec::new(),
            extra: Vec::new(),
        },
        service: "pool".parse().unwrap(),
    };
    for host in 0..day.hosts {
        fleet.hosts.push(Some(Host::start(Millis(0), true)));
        let at = fleet.rng.u64(300..500);
        fleet.schedule(at, Event::SeeHosts(host, day.hosts));
    }
    fleet.schedule(TRAFFIC_START, Event::Request);
    for at in day.kills {
        fleet.schedule(*at, Event::Kill);
    }
    while let Some(Reverse((at, _, event))) = fleet.events.pop() {
        fleet.now = at;
        fleet.handle(event);
    }
    let mut arrived = fleet.arrived;
    arrived.requests.sort_unstable();
    arrived.extra.sort_unstable();
    arrived
}

impl Fleet {
    fn schedule(&mut self, after: u64, event: Event) {
        let order = self.rng.u64(..);
        self.events.push(Reverse((self.now + after, order, event)));
    }

    fn now(&self) -> Millis {
        Millis(self.now)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request => self.request(),
            Event::Step(call, stage) => self.step(call, stage),
            Event::Kill => self.kill(),
            Event::Start(host) => {
                self.hosts[host] = Some(Host::start(self.now(), false));
                let seen = match self.day.uneven_counts && self.rng.bool() {
                    true => self.rng.usize(1..=self.day.hosts),
                    false => self.day.hosts,
                };
                let after = self.rng.u64(200..500);
                self.schedule(after, Event::SeeHosts(host, seen));
                self.schedule(after + 3_000, Event::SeeHosts(host, self.day.hosts));
            }
            Event::SeeHosts(host, count) => {
                let now = self.now();
                if let Some(host) = &mut self.hosts[host] {
                    host.see_hosts(now, count);
                }
            }
        }
    }

    fn kill(&mut self) {
        for host in 0..self.hosts.len() {
            if self.rng.f64() < 0.7 {
                self.hosts[host] = None;
                self.schedule(DOWN_TIME, Event::Start(host));
            } else if self.day.uneven_counts {
                let seen = self.rng.usize(1..=self.day.hosts);
                let after = self.rng.u64(0..1_000);
                self.schedule(after, Event::SeeHosts(host, seen));
                self.schedule(after + 3_000, Event::SeeHosts(host, self.day.hosts));
            }
        }
    }

    fn request(&mut self) {
        let mean = 1_000.0 / self.day.requests_per_s;
        let gap = (-mean * (1.0 - self.rng.f64()).ln()) as u64;
        if self.now + gap < END {
            self.schedule(gap, Event::Request);
        }
        self.arrived.requests.push(self.now);
        let now = self.now();
        let at = self.rng.usize(..self.hosts.len());
        let Some(host) = &mut self.hosts[at] else {
            return;
        };
        host.request(now, &self.service);
        self.calls.push(Call {
            host: at,
            process: host.started_at,
            retries: Retries::default(),
            sends: 0,
            arrivals: 0,
            has_free_prefill: false,
            has_prompt: false,
            is_over: false,
        });
        let call = self.calls.len() - 1;
        if self.rng.f64() < 0.05 {
            let after = self.rng.u64(1..1_000);
            self.schedule(after, Event::Step(call, Stage::CallerLeft));
        }
        self.step(call, Stage::Plan);
    }

    fn step(&mut self, at: usize, stage: Stage) {
        let call = &self.calls[at];
        let host = self.hosts[call.host].as_ref();
        if call.is_over || host.is_none_or(|host| host.started_at != call.process) {
            return;
        }
        match stage {
            Stage::Plan => self.plan(at),
            Stage::Prefill => self.send(at, Kind::Prefill),
            Stage::Decode => match self.pay(at, Kind::Decode) {
                true => self.send(at, Kind::Decode),
                false => self.end(at),
            },
            Stage::Answer(kind, outcome) => self.answer(at, kind, outcome),
            Stage::Broken => {
                self.calls[at].has_prompt = false;
                self.plan(at);
            }
            Stage::CallerLeft => self.end(at),
        }
    }

    fn plan(&mut self, at: usize) {
        let is_split = self.happens(0.75);
        if self.calls[at].sends >= MAX_SENDS || (is_split && !self.pay(at, Kind::Prefill)) {
            return self.end(at);
        }
        if !is_split {
            return self.schedule(1, Event::Step(at, Stage::Decode));
        }
        // The reservation, which the decode engine may refuse.
        let stage = match self.happens(0.85) {
            true => Stage::Prefill,
            false => Stage::Plan,
        };
        let longest = if self.happens(0.05) { 400 } else { 15 };
        let after = self.rng.u64(1..longest);
        self.schedule(after, Event::Step(at, stage));
    }

    fn pay(&mut self, at: usize, kind: Kind) -> bool {
        let now = self.now();
        let call = &mut self.calls[at];
        match &mut self.hosts[call.host] {
            Some(host) => call.retries.pay(host, now, &self.service, kind),
            None => false,
        }
    }

    fn send(&mut self, at: usize, kind: Kind) {
        let outcome = self.outcome();
        let call = &mut self.calls[at];
        call.sends += 1;
        call.retries.begin(kind);
        let arrives_after = self.rng.u64(1..6);
        if outcome != Outcome::NotSent {
            let arrived_at = self.now + arrives_after;
            self.arrive(at, kind, outcome, arrived_at);
        }
        let took = match (kind, outcome) {
            (_, Outcome::Lost) => 600,
            (Kind::Prefill, Outcome::Accepted) => self.rng.u64(30..400),
            _ => self.rng.u64(1..10),
        };
        let answer = Stage::Answer(kind, outcome);
        self.schedule(arrives_after + took, Event::Step(at, answer));
    }

    fn outcome(&mut self) -> Outcome {
        let is_busy = |(from, to): &(u64, u64)| (*from..*to).contains(&self.now);
        let refused = match self.day.busy.iter().any(is_busy) {
            true => self.day.refused,
            false => 0.02,
        };
        if self.happens(0.03) {
            Outcome::NotSent
        } else if self.happens(refused) {
            Outcome::Refused
        } else if self.happens(0.01) {
            Outcome::Lost
        } else {
            Outcome::Accepted
        }
    }

    /// Counts an arrival as the rule does: the first accepted prefill is none.
    fn arrive(&mut self, at: usize, kind: Kind, outcome: Outcome, arrived_at: u64) {
        let call = &mut self.calls[at];
        // Whether the engine accepted a prefill whose answer was lost is not known here either.
        if kind == Kind::Prefill && outcome == Outcome::Accepted && !call.has_free_prefill {
            call.has_free_prefill = true;
            return;
        }
        call.arrivals += 1;
        if call.arrivals > 1 {
            self.arrived.extra.push(arrived_at);
        }
    }

    fn answer(&mut self, at: usize, kind: Kind, outcome: Outcome) {
        let now = self.now();
        let call = &mut self.calls[at];
        if let Some(host) = &mut self.hosts[call.host] {
            call.retries.end(host, now, &self.service, kind, outcome);
        }
        match (kind, outcome) {
            (Kind::Prefill, Outcome::Accepted) => {
                call.has_prompt = true;
                self.step(at, Stage::Decode);
            }
            (Kind::Decode, Outcome::Accepted) => {
                if self.happens(0.9) {
                    return self.end(at);
                }
                let after = self.rng.u64(100..3_000);
                self.schedule(after, Event::Step(at, Stage::Broken));
            }
            (Kind::Decode, _) if call.has_prompt && outcome != Outcome::Lost => {
                let is_valid = self.happens(0.5);
                let stage = if is_valid { Stage::Decode } else { Stage::Plan };
                let after = self.rng.u64(1..50);
                self.calls[at].has_prompt = is_valid;
                self.schedule(after, Event::Step(at, stage));
            }
            _ => {
                let after = self.rng.u64(1..30);
                self.schedule(after, Event::Step(at, Stage::Plan));
            }
        }
    }

    fn end(&mut self, at: usize) {
        let now = self.now();
        let call = &mut self.calls[at];
        call.is_over = true;
        if let Some(host) = &mut self.hosts[call.host] {
            call.retries.abandon(host, now, &self.service);
        }
    }

    fn happens(&mut self, share: f64) -> bool {
        self.rng.f64() < share
    }
}

impl Arrivals {
    /// The window with the most arrivals beyond the first of their request, compared with what the
    /// rule allows in it: its start, the arrivals and the limit.
    pub fn worst_window(&self) -> (u64, usize, f64) {
        let length = LIMITS.window.0;
        let count = |times: &[u64], from: u64, to: u64| {
            times.partition_point(|at| *at < to) - times.partition_point(|at| *at < from)
        };
        let windows = self.extra.iter().map(|start| {
            let extra = count(&self.extra, *start, start + length);
            let earlier = [0, length / 2, length].map(|by| {
                let from = start.saturating_sub(by);
                count(&self.requests, from, from + length)
            });
            let requests = earlier.into_iter().max().unwrap_or_default();
            (*start, extra, LIMITS.ratio * requests as f64 + LIMITS.extra)
        });
        let excess = |(_, extra, allowed): &(u64, usize, f64)| *extra as f64 - allowed;
        windows
            .max_by(|a, b| excess(a).total_cmp(&excess(b)))
            .unwrap_or_default()
    }

    /// Number of arrivals beyond the first of their request.
    pub fn extra_count(&self) -> usize {
        self.extra.len()
    }
}
