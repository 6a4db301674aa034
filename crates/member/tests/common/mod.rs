//! Simulated network of membership state machines with a manual clock.

// Each test program uses only a part of this module.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use bv_member::{Action, Event, GossipUpdate, Member, Membership, Message};
use bv_types::{Fingerprint, Incarnation, Millis, Version};
use fastrand::Rng;

/// Faults of all links.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// Share of messages lost.
    pub loss: f64,
    /// Share of messages that arrive twice.
    pub repeat: f64,
    /// Smallest delay in ms.
    pub delay: u64,
    /// Additional delay in ms, at most; reorders messages.
    pub jitter: u64,
    /// Share of messages that are delayed by `spike_ms` in addition.
    pub spike: f64,
    /// Additional delay of the messages that `spike` selects, in ms.
    pub spike_ms: u64,
    /// Directions (from, to) in which all messages are lost.
    pub cuts: Vec<(usize, usize)>,
}

impl Faults {
    /// Cuts both directions between the nodes in `side` and the rest of the `count` nodes.
    pub fn partition(&mut self, count: usize, side: &[usize]) {
        for a in 0..count {
            for b in 0..count {
                if side.contains(&a) != side.contains(&b) {
                    self.cuts.push((a, b));
                }
            }
        }
    }
}

/// One host, whose process may be dead or paused.
pub struct Node {
    pub member: Member,
    pub machine: Option<Membership>,
    /// Messages that arrived while the process was paused.
    pub paused: Option<Vec<Message>>,
    pub config: u64,
    pub marks: Vec<GossipUpdate>,
    pub sent_bytes: u64,
    pub received_bytes: u64,
    pub sent: u64,
}

#[derive(PartialEq, Eq)]
enum NetEvent {
    Tick(usize, u64),
    Packet(usize, Box<Message>),
}

struct Scheduled(Millis, u64, NetEvent);

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// The network.
pub struct Net {
    pub now: Millis,
    pub nodes: Vec<Node>,
    pub faults: Faults,
    /// Actions other than sending, with time and node.
    pub log: Vec<(Millis, usize, Action)>,
    /// Size of a message on the network.
    pub size: fn(&Message) -> u64,
    tick: u64,
    seeds: usize,
    queue: BinaryHeap<Reverse<Scheduled>>,
    next_sequence: u64,
    rng: Rng,
}

impl Net {
    /// Starts `count` hosts; the first `seeds` of them are seeds of all.
    pub fn new(count: usize, seeds: usize, tick: u64, seed: u64) -> Self {
        let mut net = Net {
            now: Millis(1_000_000),
            nodes: Vec::new(),
            faults: Faults {
                delay: 1,
                ..Faults::default()
            },
            log: Vec::new(),
            size: |_| 0,
            tick,
            seeds,
            queue: BinaryHeap::new(),
            next_sequence: 0,
            rng: Rng::with_seed(seed),
        };
        for at in 0..count {
            net.nodes.push(Node {
                member: member(at, 1),
                machine: None,
                paused: None,
                config: 0,
                marks: Vec::new(),
                sent_bytes: 0,
                received_bytes: 0,
                sent: 0,
            });
        }
        for at in 0..count {
            net.start(at);
        }
        net
    }

    fn start(&mut self, at: usize) {
        let seeds = (0..self.seeds).map(|s| self.nodes[s].member.addr).collect();
        let node = &mut self.nodes[at];
        let seed = self.rng.u64(..);
        node.machine = Some(Membership::new(node.member.clone(), seeds, seed, self.now));
        node.paused = None;
        node.config = 0;
        node.marks.clear();
        let first = self.now + Millis(self.rng.u64(..self.tick));
        let incarnation = self.nodes[at].member.incarnation.0;
        self.push(first, NetEvent::Tick(at, incarnation));
    }

    fn push(&mut self, at: Millis, event: NetEvent) {
        self.next_sequence += 1;
        self.queue
            .push(Reverse(Scheduled(at, self.next_sequence, event)));
    }

    /// Ends a process without an announcement.
    pub fn kill(&mut self, at: usize) {
        self.nodes[at].machine = None;
        self.nodes[at].paused = None;
    }

    /// Starts a dead process again under the same address.
    pub fn restart(&mut self, at: usize) {
        self.kill(at);
        self.nodes[at].member.incarnation.0 += 1;
        self.start(at);
    }

    pub fn pause(&mut self, at: usize) {
        if self.nodes[at].machine.is_some() {
            self.nodes[at].paused.get_or_insert_default();
        }
    }

    pub fn resume(&mut self, at: usize) {
        for message in self.nodes[at].paused.take().unwrap_or_default() {
            self.handle(at, Event::Packet(message));
        }
    }

    pub fn is_alive(&self, at: usize) -> bool {
        self.nodes[at].machine.is_some()
    }

    /// Puts a configuration in force at one host, unless that host has a newer one.
    pub fn set_config(&mut self, at: usize, version: u64) {
        if self.is_alive(at) && version > self.nodes[at].config {
            self.nodes[at].config = version;
            let update = config(version);
            self.handle(at, Event::AddGossipUpdate(update));
        }
    }

    /// Adds a leaving mark at one host.
    pub fn add_mark(&mut self, at: usize, update: GossipUpdate) {
        if self.is_alive(at) {
            merge_mark(&mut self.nodes[at].marks, update.clone());
            self.handle(at, Event::AddGossipUpdate(update));
        }
    }

    pub fn handle(&mut self, at: usize, event: Event) {
        let now = self.now;
        let Some(machine) = &mut self.nodes[at].machine else {
            return;
        };
        for action in machine.handle(now, event) {
            match action {
                Action::Send { to, message } => self.transmit(at, to.port(), message),
                Action::GossipUpdate {
                    update: GossipUpdate::Config { version, .. },
                    ..
                } => self.set_config(at, version.0),
                Action::GossipUpdate { update, .. } => {
                    merge_mark(&mut self.nodes[at].marks, update)
                }
                other => self.log.push((now, at, other)),
            }
        }
    }

    fn transmit(&mut self, from: usize, port: u16, message: Message) {
        let to = usize::from(port) - 1;
        assert!(message.max_bytes() <= bv_member::MAX_MESSAGE_BYTES);
        let size = (self.size)(&message);
        self.nodes[from].sent_bytes += size;
        self.nodes[from].sent += 1;
        let cut = self.faults.cuts.contains(&(from, to));
        if cut || to >= self.nodes.len() || self.rng.f64() < self.faults.loss {
            return;
        }
        self.nodes[to].received_bytes += size;
        let copies = if self.rng.f64() < self.faults.repeat {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let mut delay = self.faults.delay + self.rng.u64(..=self.faults.jitter);
            if self.rng.f64() < self.faults.spike {
                delay += self.faults.spike_ms;
            }
            let arrives_at = self.now + Millis(delay);
            self.push(arrives_at, NetEvent::Packet(to, Box::new(message.clone())));
        }
    }

    /// Runs for this many milliseconds.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + Millis(ms);
        while let Some(Reverse(Scheduled(at, _, _))) = self.queue.peek()
            && *at <= end
            && let Some(Reverse(Scheduled(at, _, event))) = self.queue.pop()
        {
            self.now = at;
            match event {
                NetEvent::Tick(node, incarnation) => self.on_tick(node, incarnation),
                NetEvent::Packet(node, message) => self.on_packet(node, *message),
            }
        }
        self.now = end;
    }

    fn on_tick(&mut self, at: usize, incarnation: u64) {
        let node = &self.nodes[at];
        if node.machine.is_none() || node.member.incarnation.0 != incarnation {
            return;
        }
        let next = self.now + Millis(self.tick);
        self.push(next, NetEvent::Tick(at, incarnation));
        if is_running(&self.nodes[at]) {
            self.handle(at, Event::Tick);
        }
    }

    fn on_packet(&mut self, at: usize, message: Message) {
        if let Some(waiting) = &mut self.nodes[at].paused {
            // Bounded like the buffer of a socket.
            if waiting.len() < 100 {
                waiting.push(message);
            }
            return;
        }
        self.handle(at, Event::Packet(message));
    }

    /// Members that one host counts as live.
    pub fn view(&self, at: usize) -> Vec<Member> {
        self.nodes[at]
            .machine
            .as_ref()
            .map(Membership::alive)
            .unwrap_or_default()
    }

    /// Members whose process runs.
    pub fn live(&self) -> Vec<Member> {
        let live = self.nodes.iter().filter(|n| n.machine.is_some());
        let mut live: Vec<Member> = live.map(|n| n.member.clone()).collect();
        live.sort();
        live
    }

    /// Live hosts whose view differs from the set of live hosts.
    pub fn wrong_views(&self) -> Vec<usize> {
        let live = self.live();
        (0..self.nodes.len())
            .filter(|at| self.is_alive(*at) && self.view(*at) != live)
            .collect()
    }

    /// Number of reports that the current process of host `of` is dead; these are false removals if
    /// it runs.
    pub fn removals(&self, of: usize) -> usize {
        let member = &self.nodes[of].member;
        let is_removal = |action: &Action| matches!(action, Action::Dead(m) if m == member);
        self.log.iter().filter(|(_, _, a)| is_removal(a)).count()
    }
}

fn is_running(node: &Node) -> bool {
    node.paused.is_none()
}

/// Host `at`, whose port is its position plus 1.
pub fn member(at: usize, incarnation: u64) -> Member {
    Member {
        host: format!("host-{at:03}").parse().unwrap(),
        incarnation: Incarnation(incarnation),
        addr: ([10, 0, 0, 1], u16::try_from(at + 1).unwrap()).into(),
    }
}

pub fn config(version: u64) -> GossipUpdate {
    GossipUpdate::Config {
        version: Version(version),
        digest: Fingerprint::digest([&version.to_le_bytes()[..]]),
        age: Millis::ZERO,
    }
}

pub fn leaving(backend: u64, incarnation: u64) -> GossipUpdate {
    GossipUpdate::Leaving {
        backend: format!("engine-{backend}").parse().unwrap(),
        incarnation: Incarnation(incarnation),
    }
}

/// Keeps the highest incarnation of each mark, sorted.
fn merge_mark(marks: &mut Vec<GossipUpdate>, update: GossipUpdate) {
    let key = |mark: &GossipUpdate| match mark {
        GossipUpdate::Leaving {
            backend,
            incarnation,
        } => (backend.clone(), incarnation.0),
        other => panic!("unexpected gossip update {other:?}"),
    };
    let next = key(&update);
    match marks.binary_search_by(|m| key(m).0.cmp(&next.0)) {
        Ok(at) if key(&marks[at]).1 < next.1 => marks[at] = update,
        Ok(_) => {}
        Err(at) => marks.insert(at, update),
    }
}
