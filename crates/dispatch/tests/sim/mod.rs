//! Simulation of hosts, callers and plain servers around the real decisions, without a network.
#![allow(dead_code)] // Each test file uses only some of the items.

mod flow;
mod plan;
mod server;

use std::collections::BTreeMap;

use bv_admit::{Fleet, Report, SendId, SendOutcome};
use bv_dispatch::{Action, Ask, AskId, AskStep, Asking, Dispatcher, Reach, SendEnd, ServerReport};
use bv_roster::{Registration, ServerState};
use bv_types::{BackendId, HostId, Millis, ZoneId};
use fastrand::Rng;

pub use plan::{Fault, Outcome, Plan};
use server::Server;

/// Time after which a host is no longer heard by the others.
const HEARD_MS: u64 = 1_600;
/// Retry-After of a host that does not know when a slot becomes free.
const DEFAULT_RETRY_AFTER: u64 = 500;
/// Time for which simulated hosts go on after the last arrival, in ms.
const TAIL_MS: u64 = 6_000;
const TICK_MS: u64 = 20;

#[derive(Debug)]
enum Event {
    Arrive(usize),
    /// The next step of a call that waits for a slot.
    Step(usize, u64),
    /// A message to the dispatcher at a host.
    ToDispatcher(usize, Message),
    /// A reply of the dispatcher with this epoch.
    Reply(usize, u64, Action),
    AtServer(usize, usize),
    Done(usize, usize),
    Answer(usize, usize, SendOutcome, Report),
    Tick(usize),
    RestartAll,
}

#[derive(Debug, Clone)]
enum Message {
    Ask(Ask, Vec<(BackendId, u32)>),
    End(AskId, SendEnd, Option<(BackendId, ServerReport)>),
}

#[derive(Debug)]
struct Call {
    host: usize,
    priority: u8,
    team: usize,
    first_arrived: u64,
    arrived: u64,
    deadline: u64,
    tried: Vec<usize>,
    /// Number of the current ask, its state and the host asked.
    ask: Option<(u64, Asking, usize)>,
    /// Ask of the slot held, host of its dispatcher and epoch.
    slot: Option<(u64, usize, u64)>,
    send: Option<(usize, SendId, u64)>,
    runs: u32,
    is_over: bool,
}

#[derive(Debug)]
struct Host {
    fleet: Fleet,
    dispatcher: Option<(u64, Dispatcher)>,
    reaches: BTreeMap<usize, Reach>,
    epoch: u64,
    /// Calls that were sent to servers.
    sending: Vec<usize>,
}

/// A simulated run.
pub struct World {
    plan: Plan,
    rng: Rng,
    now: u64,
    queue: BTreeMap<(u64, u64), Event>,
    next: u64,
    hosts: Vec<Host>,
    servers: Vec<Server>,
    entries: Vec<Registration>,
    calls: Vec<Call>,
    asks: BTreeMap<u64, usize>,
    outcome: Outcome,
}

fn zone(n: usize, zones: usize) -> ZoneId {
    format!("z{}", n % zones).parse().unwrap()
}

fn host_id(n: usize) -> HostId {
    format!("h-{n}").parse().unwrap()
}

/// Plays a run.
pub fn play(plan: Plan) -> Outcome {
    World::new(plan).run()
}

/// Plays runs with several seeds and adds up what they measured.
pub fn play_seeds(seeds: u64, plan: impl Fn(u64) -> Plan) -> Outcome {
    let mut sum = Outcome::default();
    (1..=seeds).for_each(|seed| sum.add(play(plan(seed))));
    sum
}

impl World {
    fn new(plan: Plan) -> Self {
        let entries = (0..plan.servers).map(|n| Registration {
            id: format!("s-{n}").parse().unwrap(),
            service: "calls".parse().unwrap(),
            address: ([10, 0, 0, 1], 80).into(),
            zone: zone(n, plan.zones),
            slots: server::SLOTS as u32,
            state: ServerState::Ready,
            stage: None,
            started_at: Some(Millis(1)),
            sequence: 1,
        });
        let entries: Vec<Registration> = entries.collect();
        let hosts = (0..plan.hosts).map(|n| Host {
            fleet: Fleet::new(plan.seed * 1_000 + n as u64),
            dispatcher: None,
            reaches: BTreeMap::new(),
            epoch: 0,
            sending: Vec::new(),
        });
        let mut world = World {
            hosts: hosts.collect(),
            servers: (0..plan.servers)
                .map(|n| Server::new(plan.seed, n))
                .collect(),
            rng: Rng::with_seed(plan.seed),
            now: 0,
            queue: BTreeMap::new(),
            next: 0,
            entries,
            calls: Vec::new(),
            asks: BTreeMap::new(),
            outcome: Outcome::default(),
            plan,
        };
        world.add_calls();
        for fault in world.plan.faults.clone() {
            if let Fault::RestartAll { at } = fault {
                world.schedule(at, Event::RestartAll);
            }
        }
        world
    }

    fn add_calls(&mut self) {
        let plan = self.plan.clone();
        let weights: Vec<f64> = (0..16)
            .map(|n| 1.0 / f64::from(n + 1) * if n == 0 { plan.hot_team } else { 1.0 })
            .collect();
        let usual: f64 = (1..=16).map(|n| 1.0 / f64::from(n)).sum();
        let all: f64 = weights.iter().sum();
        let mut at = 0.0;
        loop {
            let is_burst = at as u64 % 10_000 >= 8_000;
            let factor = if is_burst { plan.burst } else { 1.0 } * all / usual;
            at += -(1.0 - self.rng.f64()).ln() * 1_000.0 / (plan.calls_per_s * factor);
            let arrived = at as u64;
            if arrived >= plan.seconds * 1_000 {
                return;
            }
            let mut pick = self.rng.f64() * all;
            let team = weights.iter().position(|weight| {
                pick -= weight;
                pick < 0.0
            });
            let call = Call {
                host: self.rng.usize(..plan.hosts),
                // Teams are compared within one priority.
                priority: match plan.hot_team == 1.0 {
                    true => [0, 1, 1, 1, 2, 2][self.rng.usize(..6)],
                    false => 1,
                },
                team: team.unwrap_or(0),
                first_arrived: arrived,
                arrived,
                deadline: arrived + plan.deadline,
                tried: Vec::new(),
                ask: None,
                slot: None,
                send: None,
                runs: 0,
                is_over: false,
            };
            self.outcome.by_priority[call.priority as usize].0 += 1;
            self.outcome.by_team[call.team.min(1)].0 += 1;
            self.outcome.calls += 1;
            self.calls.push(call);
            self.schedule(arrived, Event::Arrive(self.calls.len() - 1));
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.next += 1;
        self.queue.insert((at, self.next), event);
    }

    fn run(mut self) -> Outcome {
        let end = self.plan.seconds * 1_000 + TAIL_MS;
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.outcome.times.sort_unstable();
        self.outcome
    }

    /// The host that an event belongs to; none for servers.
    fn place(&self, event: &Event) -> Option<usize> {
        match event {
            Event::Arrive(call) | Event::Step(call, _) | Event::Answer(call, ..) => {
                Some(self.calls[*call].host)
            }
            Event::ToDispatcher(host, _) | Event::Tick(host) | Event::Reply(host, ..) => {
                Some(*host)
            }
            Event::AtServer(..) | Event::Done(..) | Event::RestartAll => None,
        }
    }

    fn handle(&mut self, event: Event) {
        if let Some(host) = self.place(&event) {
            if self.plan.is_dead(host, self.now) {
                if let Event::Arrive(call) = event {
                    // The load balancer sends callers to another host.
                    self.calls[call].host = self.rng.usize(..self.plan.hosts);
                    self.schedule(self.now + 1, Event::Arrive(call));
                } else if let Event::Step(call, _) | Event::Answer(call, ..) = event
                    && !std::mem::replace(&mut self.calls[call].is_over, true)
                {
                    self.outcome.lost += 1;
                }
                return;
            }
            if let Some(until) = self.plan.frozen_until(host, self.now) {
                return self.schedule(until, event);
            }
        }
        match event {
            Event::Arrive(call) => self.next_send(call),
            Event::Step(call, ask) => self.step(call, ask),
            Event::ToDispatcher(host, message) => self.at_dispatcher(host, message),
            Event::Reply(host, epoch, action) => self.reply(host, epoch, action),
            Event::AtServer(server, call) => self.at_server(server, call),
            Event::Done(server, call) => self.done(server, call),
            Event::Answer(call, server, outcome, report) => {
                self.answer(call, server, outcome, report);
            }
            Event::Tick(host) => self.tick(host),
            Event::RestartAll => self.hosts.iter_mut().for_each(|host| {
                host.dispatcher = None;
                host.reaches.clear();
            }),
        }
    }

    fn latency(&self, a: usize, b: usize) -> u64 {
        match a % self.plan.zones == b % self.plan.zones {
            true => 1,
            false => self.plan.cross_ms,
        }
    }

    fn send_datagram(&mut self, from: usize, to: usize, event: Event) {
        if from == to {
            return self.schedule(self.now, event);
        }
        self.outcome.datagrams += 1;
        let (plan, now) = (&self.plan, self.now);
        if plan.is_cut(from, now) || plan.is_cut(to, now) || self.rng.f64() < plan.loss {
            return;
        }
        let late = plan.late_ms(from, now).max(plan.late_ms(to, now));
        self.schedule(now + self.latency(from, to) + late, event);
    }

    /// The host whose dispatcher a host asks: the first one that it hears.
    fn owner(&self, host: usize) -> usize {
        let then = self.now.saturating_sub(HEARD_MS);
        let is_gone = |other: usize| {
            let cut = |id| self.plan.is_cut(id, then) && self.plan.is_cut(id, self.now);
            let frozen = |id| {
                self.plan.frozen_until(id, then).is_some()
                    && self.plan.frozen_until(id, self.now).is_some()
            };
            self.plan.is_dead(other, then) || frozen(other) || cut(other)
        };
        (0..self.plan.hosts)
            .find(|other| *other == host || !is_gone(*other))
            .unwrap_or(host)
    }

    /// Asks for a slot, or places the call.
    fn next_send(&mut self, call: usize) {
        let (now, host) = (self.now, self.calls[call].host);
        // A host that hears no other places by itself.
        let is_alone =
            self.plan.is_cut(host, now.saturating_sub(HEARD_MS)) && self.plan.is_cut(host, now);
        let owner = self.owner(host);
        let reach = self.hosts[host].reaches.get(&owner);
        let may_ask = reach.is_none_or(|reach| reach.may_ask(Millis(now)));
        if !self.plan.granted
            || is_alone
            || !may_ask
            || self.calls[call].tried.len() >= self.plan.servers
        {
            return self.place_alone(call);
        }
        self.next += 1;
        let ask = self.next;
        self.asks.insert(ask, call);
        self.calls[call].ask = Some((ask, Asking::default(), owner));
        self.step(call, ask);
    }

    fn step(&mut self, call: usize, id: u64) {
        let now = self.now;
        let host = self.calls[call].host;
        let Some((ask, asking, owner)) = self.calls[call].ask.as_mut() else {
            return;
        };
        let owner = *owner;
        if *ask != id {
            return;
        }
        let step = asking.step(Millis(now));
        if now >= self.calls[call].deadline {
            self.end_ask(call, SendEnd::Unused);
            return self.refuse(call, DEFAULT_RETRY_AFTER);
        }
        match step {
            AskStep::Wait(until) => self.schedule(until.0.max(now + 1), Event::Step(call, id)),
            AskStep::PlaceAlone => {
                let reaches = &mut self.hosts[host].reaches;
                reaches.entry(owner).or_default().silent(Millis(now));
                self.end_ask(call, SendEnd::Unused);
                self.place_alone(call);
            }
            AskStep::Send => {
                let known = &self.calls[call];
                let team = (self.plan.hot_team != 1.0).then(|| format!("t-{}", known.team));
                let ask = Ask {
                    id: AskId {
                        host: host_id(host),
                        call: id,
                    },
                    priority: known.priority,
                    team: team.map(|team| team.parse().unwrap()),
                    zone: Some(zone(host, self.plan.zones)),
                    arrived: Millis(known.arrived),
                    on_time_until: Millis(known.first_arrived + self.plan.objective),
                    deadline: Millis(known.deadline),
                    tried: known
                        .tried
                        .iter()
                        .map(|n| self.entries[*n].id.clone())
                        .collect(),
                    key: call as u64,
                    sent_at: Millis(now),
                };
                let uses = self.uses(host);
                let event = Event::ToDispatcher(owner, Message::Ask(ask, uses));
                self.send_datagram(host, owner, event);
                self.schedule(now, Event::Step(call, id));
            }
        }
    }

    /// Sends of a host without a grant of the dispatcher that it knows.
    fn uses(&self, host: usize) -> Vec<(BackendId, u32)> {
        let epoch = self.hosts[host].epoch;
        let alone = |server: usize| {
            let sends = self.hosts[host]
                .sending
                .iter()
                .map(|call| &self.calls[*call]);
            let sends = sends.filter(|c| c.send.is_some_and(|(to, ..)| to == server));
            let sends = sends.filter(|c| c.slot.is_none_or(|(_, _, other)| other != epoch));
            sends.count() as u32
        };
        let uses = (0..self.plan.servers).map(|n| (self.entries[n].id.clone(), alone(n)));
        uses.filter(|(_, count)| *count > 0).collect()
    }
}
