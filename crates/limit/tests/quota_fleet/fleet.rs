//! Hosts that spend the quotas of teams, with a network that loses and delays messages.

use std::collections::BTreeMap;

use bv_limit::{
    HostQuotas, HostView, OwnedQuotas, Quota, QuotaAsk, QuotaGrant, QuotaState, Ticket,
};
use bv_types::{HostId, Millis, TeamId};
use fastrand::Rng;

pub const STEP: u64 = 5;
const WINDOW_S: f64 = 8.0;
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 140_000.0;
const HEARTBEAT: u64 = 500;
const TICK: u64 = 100;
const OVER_TIME: u64 = 2_000;

#[derive(Debug, Clone)]
enum Message {
    Ask(usize, QuotaAsk),
    Grant(usize, QuotaGrant),
    Return(usize, u64),
}

struct Waiting {
    team: usize,
    ticket: Ticket,
    request: usize,
}

struct Host {
    id: HostId,
    owned: OwnedQuotas,
    quotas: HostQuotas,
    waiting: Vec<Waiting>,
    is_up: bool,
    frozen_until: u64,
    /// Hosts with different numbers do not reach each other.
    part: usize,
    /// When the list of hosts is read after a start.
    known_at: u64,
    heard: Vec<bool>,
    heard_count: usize,
    /// Quotas that its configuration states.
    limits: Vec<Quota>,
    limits_at: Vec<(u64, usize, Quota)>,
}

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Outcome {
    Open,
    Ran(u64),
    Refused(u64),
    /// Refused since the hosts were not known, or lost with its host.
    Unavailable,
}

#[derive(Debug, Clone)]
pub struct Request {
    pub team: usize,
    pub sent_at: u64,
    pub cost: u64,
    pub outcome: Outcome,
    /// Whether one bucket for all hosts would have admitted it and all others of the team in the last
    /// `OVER_TIME`.
    pub fits: bool,
}

/// A team and its usual use in units per second.
pub struct TeamLoad {
    pub id: TeamId,
    pub quota: Quota,
    pub use_per_sec: f64,
    ideal: (f64, u64),
    /// When one bucket for all hosts last refused a request.
    over_at: u64,
}

pub struct Fleet {
    pub now: u64,
    pub rng: Rng,
    hosts: Vec<Host>,
    pub teams: Vec<TeamLoad>,
    /// Hosts by their weight for each team, highest first.
    order: Vec<Vec<usize>>,
    /// Cumulative shares of the callers of each host.
    callers: Vec<f64>,
    heard_at: Vec<u64>,
    queue: BTreeMap<(u64, u64), (usize, usize, Message)>,
    sequence: u64,
    pub requests: Vec<Request>,
    pub messages: u64,
    pub loss: f64,
    pub late: f64,
    lifetime: u64,
}

pub fn quota(rate: f64, burst: f64) -> Quota {
    Quota {
        rate: rate.try_into().unwrap(),
        burst,
        tolerance: bound(rate, burst) - (rate * WINDOW_S + burst),
    }
}

/// Largest cost in a window.
pub fn bound(rate: f64, burst: f64) -> f64 {
    (rate * WINDOW_S + burst) * (1.0 + OVERAGE) + SLACK
}

impl Fleet {
    pub fn new(seed: u64, hosts: usize, quotas: &[Quota]) -> Self {
        let mut rng = Rng::with_seed(seed);
        let order = quotas.iter().map(|_| {
            let mut order: Vec<usize> = (0..hosts).collect();
            rng.shuffle(&mut order);
            order
        });
        let order = order.collect();
        let mut sum = 0.0;
        let callers: Vec<f64> = (0..hosts)
            .map(|_| {
                sum += 0.3 + 2.0 * rng.f64() * rng.f64();
                sum
            })
            .collect();
        let teams = quotas.iter().enumerate().map(|(at, quota)| TeamLoad {
            id: format!("team-{at}").parse().unwrap(),
            quota: *quota,
            use_per_sec: quota.rate.get() / 1.8,
            ideal: (quota.burst, 0),
            over_at: 0,
        });
        let teams: Vec<TeamLoad> = teams.collect();
        let hosts_list = (0..hosts).map(|at| Host {
            id: format!("host-{at}").parse().unwrap(),
            owned: OwnedQuotas::new(Millis(0)),
            quotas: HostQuotas::new(rng.u64(..), 0),
            waiting: Vec::new(),
            is_up: true,
            frozen_until: 0,
            part: 0,
            known_at: 0,
            heard: vec![false; hosts],
            heard_count: 0,
            limits: quotas.to_vec(),
            limits_at: Vec::new(),
        });
        let hosts_list: Vec<Host> = hosts_list.collect();
        let mut fleet = Fleet {
            now: 10_000,
            rng,
            teams,
            order,
            callers,
            heard_at: vec![0; hosts * hosts],
            queue: BTreeMap::new(),
            sequence: 0,
            requests: Vec::new(),
            messages: 0,
            loss: 0.0,
            late: 0.0,
            // As in `bv_admit::update_intervals`.
            lifetime: 1_600
                + if hosts > 15 {
                    hosts as u64 * 34 / 10
                } else {
                    0
                },
            hosts: hosts_list,
        };
        fleet.start_all();
        fleet
    }

    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    fn start_all(&mut self) {
        for at in 0..self.len() {
            self.start(at);
        }
    }

    /// Starts a host, with empty memory.
    pub fn start(&mut self, at: usize) {
        let (now, seed) = (self.now, self.rng.u64(..));
        let known_at = now + self.rng.u64(100..1_500);
        let host = &mut self.hosts[at];
        host.owned = OwnedQuotas::new(Millis(now));
        host.quotas = HostQuotas::new(seed, now);
        host.is_up = true;
        host.known_at = known_at;
        host.heard.fill(false);
        host.heard_count = 0;
        let hosts = self.hosts.len();
        self.heard_at[at * hosts..(at + 1) * hosts].fill(0);
    }

    pub fn kill(&mut self, at: usize) {
        let host = &mut self.hosts[at];
        host.is_up = false;
        for waiting in host.waiting.drain(..) {
            self.requests[waiting.request].outcome = Outcome::Unavailable;
        }
    }

    pub fn freeze(&mut self, at: usize, until: u64) {
        self.hosts[at].frozen_until = until;
    }

    pub fn cut(&mut self, at: usize, part: usize) {
        self.hosts[at].part = part;
    }

    /// Changes a quota; each host applies it within 3 s.
    pub fn change_quota(&mut self, team: usize, quota: Quota) {
        for at in 0..self.len() {
            let due = self.now + self.rng.u64(..3_000);
            self.hosts[at].limits_at.push((due, team, quota));
        }
        self.teams[team].quota = quota;
    }

    fn runs(&self, at: usize) -> bool {
        self.hosts[at].is_up && self.now >= self.hosts[at].frozen_until
    }

    fn reaches(&self, a: usize, b: usize) -> bool {
        self.hosts[a].part == self.hosts[b].part
    }

    fn view(&self, at: usize) -> HostView {
        let host = &self.hosts[at];
        HostView {
            known: (self.now >= host.known_at).then_some(self.len()),
            heard: host.heard_count,
        }
    }

    fn owner(&self, at: usize, team: usize) -> usize {
        let heard = &self.hosts[at].heard;
        let mut order = self.order[team].iter();
        *order.find(|other| **other == at || heard[**other]).unwrap()
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        self.messages += 1;
        if self.rng.f64() < self.loss || !self.reaches(from, to) {
            return;
        }
        let mut delay = self.rng.u64(1..7);
        if self.rng.f64() < self.late {
            delay += self.rng.u64(..1_000);
        }
        self.sequence += 1;
        let due = self.now + delay;
        self.queue.insert((due, self.sequence), (from, to, message));
    }

    /// Runs one step of the time.
    pub fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        for at in 0..self.len() {
            if self.now % HEARTBEAT == (at as u64 * STEP) % HEARTBEAT && self.runs(at) {
                self.heartbeat(at);
            }
            if self.now % TICK == (at as u64 * STEP) % TICK && self.runs(at) {
                self.tick(at);
            }
        }
        self.arrive();
        for at in 0..self.len() {
            if !self.hosts[at].waiting.is_empty() && self.runs(at) {
                self.poll(at);
            }
        }
    }

    fn deliver(&mut self) {
        let later = self.queue.split_off(&(self.now + 1, 0));
        let due = std::mem::replace(&mut self.queue, later);
        for (key, (from, to, message)) in due {
            if !self.hosts[to].is_up {
                continue;
            }
            if !self.runs(to) {
                // A frozen host reads them afterwards.
                let until = self.hosts[to].frozen_until;
                self.queue.insert((until, key.1), (from, to, message));
                continue;
            }
            self.receive(from, to, message);
        }
    }

    fn receive(&mut self, from: usize, to: usize, message: Message) {
        let now = Millis(self.now);
        match message {
            Message::Ask(team, ask) => {
                if self.owner(to, team) == to {
                    let grant = self.lend(to, team, from, ask);
                    self.send(to, from, Message::Grant(team, grant));
                }
            }
            Message::Grant(team, grant) => {
                self.hosts[to]
                    .quotas
                    .grant(now, &self.teams[team].id, grant);
            }
            Message::Return(team, units) => {
                let id = self.hosts[from].id.clone();
                let owned = &mut self.hosts[to].owned;
                owned.give_back(now, &self.teams[team].id, &id, units);
            }
        }
    }

    fn lend(&mut self, owner: usize, team: usize, to: usize, ask: QuotaAsk) -> QuotaGrant {
        let view = self.view(owner);
        let id = self.hosts[to].id.clone();
        let host = &mut self.hosts[owner];
        let limit = (&self.teams[team].id, host.limits[team]);
        host.owned.take(Millis(self.now), limit, view, &id, ask)
    }

    fn heartbeat(&mut self, from: usize) {
        let hosts = self.len();
        for to in 0..hosts {
            if self.hosts[to].part == self.hosts[from].part && self.rng.f64() >= self.loss {
                self.heard_at[to * hosts + from] = self.now;
            }
        }
    }

    fn tick(&mut self, at: usize) {
        let (now, hosts) = (self.now, self.len());
        let heard_at = &self.heard_at[at * hosts..(at + 1) * hosts];
        let host = &mut self.hosts[at];
        let known = now >= host.known_at;
        let mut is_changed = false;
        host.heard_count = 0;
        for other in (0..hosts).filter(|other| *other != at) {
            let is_heard = known && heard_at[other] > 0 && now < heard_at[other] + self.lifetime;
            is_changed |= std::mem::replace(&mut host.heard[other], is_heard) != is_heard;
            host.heard_count += usize::from(is_heard);
        }
        for (due, team, quota) in &host.limits_at {
            if now >= *due {
                host.limits[*team] = *quota;
            }
        }
        host.limits_at.retain(|(due, _, _)| now < *due);
        if is_changed {
            let owned: Vec<&TeamId> = (0..self.teams.len())
                .filter(|team| self.owner(at, *team) == at)
                .map(|team| &self.teams[team].id)
                .collect();
            let is_owned = |team: &TeamId| owned.contains(&team);
            let host = &self.hosts[at];
            let names = self.hosts.iter().map(|other| &other.id).zip(&host.heard);
            let mut heard: Vec<HostId> = names.filter(|x| *x.1).map(|x| x.0.clone()).collect();
            heard.push(host.id.clone());
            heard.sort();
            let is_heard = |id: &HostId| heard.binary_search(id).is_ok();
            let owned = &mut self.hosts[at].owned;
            owned.change_view(Millis(now), is_owned, is_heard);
        }
        self.hosts[at].owned.expire(Millis(now));
        for (id, units) in self.hosts[at].quotas.expire(Millis(now)) {
            let team = self.teams.iter().position(|team| team.id == id).unwrap();
            let owner = self.owner(at, team);
            if owner == at {
                let own = self.hosts[at].id.clone();
                self.hosts[at]
                    .owned
                    .give_back(Millis(now), &id, &own, units);
            } else {
                self.send(at, owner, Message::Return(team, units));
            }
        }
    }

    fn arrive(&mut self) {
        for team in 0..self.teams.len() {
            let per_step = self.teams[team].use_per_sec / 3_500.0 * STEP as f64 / 1_000.0;
            let mut count = per_step as usize;
            count += usize::from(self.rng.f64() < per_step.fract());
            for _ in 0..count {
                let cost = self.rng.u64(200..6_801);
                let sum = *self.callers.last().unwrap();
                let at = self.rng.f64() * sum;
                let host = self.callers.partition_point(|upper| *upper < at);
                self.begin(team, cost, host);
            }
        }
    }

    fn begin(&mut self, team: usize, cost: u64, host: usize) {
        let now = self.now;
        let load = &mut self.teams[team];
        let earned = load.quota.rate.get() * (now - load.ideal.1) as f64 / 1_000.0;
        let level = (load.ideal.0 + earned).min(load.quota.burst);
        let fits = level >= cost as f64;
        load.ideal = (if fits { level - cost as f64 } else { level }, now);
        if !fits {
            load.over_at = now;
        }
        // Hosts let requests wait that the bucket refuses, so that it holds more for a while.
        let fits = now >= load.over_at + OVER_TIME;
        let request = self.requests.len();
        self.requests.push(Request {
            team,
            sent_at: now,
            cost,
            outcome: Outcome::Open,
            fits,
        });
        if !self.runs(host) {
            self.requests[request].outcome = Outcome::Unavailable;
            return;
        }
        let id = &self.teams[team].id;
        let limit = (id, self.hosts[host].limits[team]);
        match self.hosts[host].quotas.begin(Millis(now), limit, cost) {
            Ok(state) => {
                self.settle(request, state);
                self.ask(host, team);
            }
            Err(ticket) => {
                self.hosts[host].waiting.push(Waiting {
                    team,
                    ticket,
                    request,
                });
            }
        }
    }

    fn settle(&mut self, request: usize, state: QuotaState) {
        self.requests[request].outcome = match state {
            QuotaState::Admitted => Outcome::Ran(self.now),
            QuotaState::Refused(after) => Outcome::Refused(after.0),
            QuotaState::Waiting(_) => Outcome::Open,
            QuotaState::Unknown => Outcome::Unavailable,
        };
    }

    fn ask(&mut self, at: usize, team: usize) {
        let view = self.view(at);
        let id = &self.teams[team].id;
        let Some(ask) = self.hosts[at].quotas.ask(Millis(self.now), id, view) else {
            return;
        };
        let owner = self.owner(at, team);
        if owner == at {
            let grant = self.lend(at, team, at, ask);
            let id = &self.teams[team].id;
            self.hosts[at].quotas.grant(Millis(self.now), id, grant);
        } else {
            self.send(at, owner, Message::Ask(team, ask));
        }
    }

    fn poll(&mut self, at: usize) {
        let (now, view) = (Millis(self.now), self.view(at));
        for waiting in std::mem::take(&mut self.hosts[at].waiting) {
            self.ask(at, waiting.team);
            let id = &self.teams[waiting.team].id;
            let quotas = &mut self.hosts[at].quotas;
            let state = quotas.state(now, id, waiting.ticket, view);
            if matches!(state, QuotaState::Waiting(_)) {
                self.hosts[at].waiting.push(waiting);
                continue;
            }
            let runs = state == QuotaState::Admitted;
            quotas.end_wait(now, id, waiting.ticket, runs);
            self.settle(waiting.request, state);
        }
    }
}
