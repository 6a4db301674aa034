//! A fleet of hosts and engines without a network: sound load, requests that crash engines, and
//! troubles that crash engines for other reasons. Hosts learn of each other's crashes late.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;

use bv_blame::{Admission, Content, CrashId, CrashWatch, Report, RunEnd, RunId, TrialId};
use bv_types::{BackendId, Fingerprint, HostId, Millis};
use fastrand::Rng;

/// First parts of prompts, which all requests share.
const SYSTEM_PARTS: usize = 5;
/// Second parts, each of one session.
const SESSION_PARTS: usize = 150;
/// Time from the start of an answer to the crash that it causes.
const CRASH_DELAY: u64 = 80;
/// Time until an engine that crashed is back.
const ENGINE_DOWN: u64 = 4_000;
const PIECE_INTERVAL: u64 = 200;
/// Interval at which a host reads the reports of hosts that it cannot hear from the store.
const STORE_INTERVAL: u64 = 1_200;
const CONFIRM_DELAY: u64 = 10;
const END: u64 = 60_000;

/// Requests with one crashing part, from one time to another.
#[derive(Debug, Clone, Copy)]
pub struct CrashingPart {
    pub from: u64,
    pub to: u64,
    /// Mean time between two requests.
    pub interval: u64,
    /// Whether the requests are one and the same, sent again.
    pub is_one_request: bool,
}

/// Trouble beside the crashing parts.
#[derive(Debug, Clone, Copy)]
pub enum Trouble {
    /// This share of the engines crashes at one moment.
    EnginesCrash { at: u64, share: f64 },
    /// Engines crash one after the other, at this interval.
    CrashSeries { from: u64, to: u64, interval: u64 },
    /// Connections of this share of the runs are reset; the engines live.
    Resets { at: u64, share: f64 },
    /// This share of the hosts gets reports only through the store, and so do the others from them;
    /// none at all if it does not reach the store either.
    HostsCut {
        at: u64,
        for_ms: u64,
        share: f64,
        reach_store: bool,
    },
    /// This share of the hosts starts again.
    HostsKilled { at: u64, share: f64 },
}

#[derive(Debug, Clone)]
pub struct Setup {
    pub hosts: usize,
    pub engines: usize,
    pub contact_timeout: u64,
    /// Interval at which a host repeats its news, and tells the blocks to another one.
    pub report_interval: u64,
    /// Latest delivery of a report.
    pub report_delay: u64,
    /// Share of the reports that are lost.
    pub report_loss: f64,
    pub parts: Vec<CrashingPart>,
    pub troubles: Vec<Trouble>,
}

/// What happened to the requests with one crashing part.
#[derive(Debug, Clone, Default)]
pub struct PartOutcome {
    /// Times of the crashes that it caused.
    pub crashes: Vec<u64>,
    /// Arrivals at engines, sent by hosts in touch later than the contact timeout after the fifth crash.
    pub late_arrivals: usize,
    pub refused: usize,
}

#[derive(Debug, Clone, Default)]
pub struct Outcome {
    pub parts: Vec<PartOutcome>,
    pub sound: usize,
    /// Sound requests that began at the first attempt.
    pub sound_begun: usize,
    /// Sound requests that were refused.
    pub wrongly_refused: usize,
    /// Bytes of evidence that were sent, estimated from the numbers of digests.
    pub report_bytes: u64,
}

#[derive(Debug, Clone)]
enum Event {
    Sound,
    Crashing(usize),
    Begin(usize),
    Piece(usize),
    Crash {
        slot: usize,
        incarnation: u64,
        part: Option<usize>,
    },
    Back(usize),
    Confirm {
        host: usize,
        engine: CrashId,
        gone: bool,
    },
    Refresh(usize),
    Deliver {
        to: usize,
        report: Rc<Report>,
    },
    Trouble(usize),
}

struct Host {
    watch: CrashWatch,
    epoch: u64,
    cut_until: u64,
    disturbed_until: u64,
}

struct Slot {
    incarnation: u64,
    is_up: bool,
    runs: Vec<usize>,
}

struct Run {
    host: usize,
    epoch: u64,
    id: RunId,
    content: Content,
    crashing: Option<usize>,
    pieces: u64,
    attempt: u32,
    is_resumable: bool,
    has_begun: bool,
    is_over: bool,
}

pub struct Fleet {
    setup: Setup,
    rng: Rng,
    now: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: Vec<Option<Event>>,
    hosts: Vec<Host>,
    slots: Vec<Slot>,
    runs: Vec<Run>,
    requests: u64,
    /// Evidence of the blocks as the store keeps it.
    stored: Report,
    cut_hosts_reach_store: bool,
    outcome: Outcome,
}

fn crash_id(slot: usize, incarnation: u64) -> CrashId {
    let engine: BackendId = format!("engine-{slot}").parse().unwrap();
    CrashId::of_process(&engine, Some(Millis(incarnation)))
}

impl Fleet {
    /// Plays a minute.
    pub fn play(setup: Setup, seed: u64) -> Outcome {
        let mut fleet = Fleet {
            rng: Rng::with_seed(seed),
            now: 0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            hosts: (0..setup.hosts)
                .map(|_| Host {
                    watch: CrashWatch::new(seed),
                    epoch: 0,
                    cut_until: 0,
                    disturbed_until: 0,
                })
                .collect(),
            slots: (0..setup.engines)
                .map(|_| Slot {
                    incarnation: 0,
                    is_up: true,
                    runs: Vec::new(),
                })
                .collect(),
            runs: Vec::new(),
            requests: 0,
            stored: Report::default(),
            cut_hosts_reach_store: true,
            outcome: Outcome {
                parts: vec![PartOutcome::default(); setup.parts.len()],
                ..Outcome::default()
            },
            setup,
        };
        fleet.prepare();
        while let Some(Reverse((at, number))) = fleet.queue.pop() {
            if at > END {
                break;
            }
            fleet.now = at;
            if let Some(event) = fleet.events[number as usize].take() {
                fleet.handle(event);
            }
        }
        fleet.outcome
    }

    fn prepare(&mut self) {
        self.after(0, Event::Sound);
        for part in 0..self.setup.parts.len() {
            self.after(self.setup.parts[part].from, Event::Crashing(part));
        }
        for host in 0..self.setup.hosts {
            let at = self.rng.u64(..self.setup.report_interval);
            self.after(at, Event::Refresh(host));
        }
        for (number, trouble) in self.setup.troubles.clone().into_iter().enumerate() {
            let at = match trouble {
                Trouble::EnginesCrash { at, .. }
                | Trouble::Resets { at, .. }
                | Trouble::HostsCut { at, .. }
                | Trouble::HostsKilled { at, .. }
                | Trouble::CrashSeries { from: at, .. } => at,
            };
            self.after(at, Event::Trouble(number));
        }
    }

    fn after(&mut self, delay: u64, event: Event) {
        let number = self.events.len() as u64;
        self.events.push(Some(event));
        self.queue.push(Reverse((self.now + delay, number)));
    }

    fn now(&self) -> Millis {
        Millis(self.now)
    }

    /// Time until the next of events with this mean interval.
    fn next(&mut self, interval: u64) -> u64 {
        let uniform: f64 = self.rng.f64().max(1e-6);
        (-uniform.ln() * interval as f64) as u64
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Sound => {
                let interval = 700 / self.setup.engines as u64;
                let next = self.next(interval.max(1));
                self.after(next, Event::Sound);
                let content = self.content(None);
                self.outcome.sound += 1;
                self.request(content, None);
            }
            Event::Crashing(part) => {
                let spec = self.setup.parts[part];
                if self.now < spec.to {
                    let next = self.next(spec.interval);
                    self.after(next, Event::Crashing(part));
                    let content = self.content(Some(part));
                    self.request(content, Some(part));
                }
            }
            Event::Begin(run) => self.begin(run),
            Event::Piece(run) => self.piece(run),
            Event::Crash {
                slot,
                incarnation,
                part,
            } => self.crash(slot, incarnation, part),
            Event::Back(slot) => {
                self.slots[slot].is_up = true;
                self.slots[slot].incarnation += 1;
            }
            Event::Confirm { host, engine, gone } => {
                let now = self.now();
                let watch = &mut self.hosts[host].watch;
                let version = watch.version();
                watch.confirm(now, engine, gone);
                let is_changed = watch.version() != version;
                self.tell_ended_trials(host);
                let watch = &mut self.hosts[host].watch;
                if is_changed {
                    let report = watch.report_blocks(now);
                    if !report.is_empty() {
                        self.stored = report;
                    }
                    self.report(host);
                }
            }
            Event::Refresh(host) => {
                self.hosts[host].watch.expire(Millis(self.now));
                self.report(host);
                let blocks = self.hosts[host].watch.report_blocks(Millis(self.now));
                if !blocks.is_empty() {
                    let to = self.rng.usize(..self.setup.hosts);
                    self.send(host, to, Rc::new(blocks));
                }
                self.after(self.setup.report_interval, Event::Refresh(host));
            }
            Event::Deliver { to, report } => {
                self.hosts[to].watch.receive(Millis(self.now), &report);
            }
            Event::Trouble(number) => self.trouble(number),
        }
    }

    fn content(&mut self, crashing: Option<usize>) -> Content {
        let system = format!("system-{}", self.rng.usize(..SYSTEM_PARTS));
        let session = format!("session-{}", self.rng.usize(..SESSION_PARTS));
        self.requests += 1;
        let is_one = crashing.is_some_and(|part| self.setup.parts[part].is_one_request);
        let own = match is_one {
            true => "repeated".to_owned(),
            false => format!("own-{}", self.requests),
        };
        let middle = match crashing {
            Some(part) if !is_one => format!("crashing-{part}"),
            _ => session,
        };
        let system = match is_one {
            true => "system-0".to_owned(),
            false => system,
        };
        let middle = match is_one {
            true => "session-0".to_owned(),
            false => middle,
        };
        Content::new([&*system, &*middle, &*own].into_iter(), [own.as_bytes()])
    }

    fn request(&mut self, content: Content, crashing: Option<usize>) {
        let host = self.rng.usize(..self.setup.hosts);
        let pieces = 2 + self.rng.u64(..28);
        let is_resumable = self.rng.bool();
        self.send_to_engine(host, content, crashing, pieces, 1, is_resumable);
    }

    fn send_to_engine(
        &mut self,
        host: usize,
        content: Content,
        crashing: Option<usize>,
        pieces: u64,
        attempt: u32,
        is_resumable: bool,
    ) {
        let Some(trial) = self.admit(host, &content) else {
            match crashing {
                Some(part) => self.outcome.parts[part].refused += 1,
                None => self.outcome.wrongly_refused += 1,
            }
            return;
        };
        let up: Vec<usize> = (0..self.slots.len())
            .filter(|slot| self.slots[*slot].is_up)
            .collect();
        let Some(slot) = self.rng.choice(up) else {
            self.end_trial_request(host, trial);
            return;
        };
        if let Some(part) = crashing {
            let fifth = self.outcome.parts[part].crashes.get(4).copied();
            let late = fifth.is_some_and(|at| self.now > at + self.setup.contact_timeout);
            let host = &self.hosts[host];
            if late && host.disturbed_until + self.setup.contact_timeout <= self.now {
                self.outcome.parts[part].late_arrivals += 1;
            }
        }
        let engine = crash_id(slot, self.slots[slot].incarnation);
        let id = self.hosts[host].watch.begin(engine, content.clone(), trial);
        self.end_trial_request(host, trial);
        let number = self.runs.len();
        self.runs.push(Run {
            host,
            epoch: self.hosts[host].epoch,
            id,
            content,
            crashing,
            pieces,
            attempt,
            is_resumable,
            has_begun: false,
            is_over: false,
        });
        self.slots[slot].runs.push(number);
        let delay = 10 + self.rng.u64(..120);
        self.after(delay, Event::Begin(number));
        if crashing.is_some() {
            let incarnation = self.slots[slot].incarnation;
            let crash = Event::Crash {
                slot,
                incarnation,
                part: crashing,
            };
            self.after(delay + CRASH_DELAY, crash);
        }
    }

    /// Admits a request that may be sent, with its trial if it needs one; a permit is had at once or not
    /// at all.
    fn admit(&mut self, host: usize, content: &Content) -> Option<Option<TrialId>> {
        let now = self.now();
        let key = match self.hosts[host].watch.admission(now, content, None) {
            Admission::Free => return Some(None),
            Admission::Blocked(_) => return None,
            Admission::OneAtATime(key) => key,
        };
        let trial = self.hosts[host].watch.begin_trial(key)?;
        let id: HostId = format!("host-{host}").parse().unwrap();
        let grantor = self.grantor(host, key);
        let watch = &mut self.hosts[grantor].watch;
        if !watch.grant_permit(now, &[key], &id, trial) {
            self.end_trial_request(host, Some(trial));
            return None;
        }
        self.hosts[host].watch.grant_trial(trial);
        Some(Some(trial))
    }

    /// The host that hands out permits, or the same one if they cannot hear each other.
    fn grantor(&self, host: usize, key: Fingerprint) -> usize {
        let grantor = usize::from(key.0[0]) % self.setup.hosts;
        let cut_until = self.hosts[grantor]
            .cut_until
            .max(self.hosts[host].cut_until);
        if cut_until <= self.now { grantor } else { host }
    }

    fn end_trial_request(&mut self, host: usize, trial: Option<TrialId>) {
        if let Some(trial) = trial {
            self.hosts[host].watch.end_trial_request(trial);
            self.tell_ended_trials(host);
        }
    }

    fn tell_ended_trials(&mut self, host: usize) {
        for trial in self.hosts[host].watch.take_ended_trials() {
            let grantor = self.grantor(host, trial.content);
            let watch = &mut self.hosts[grantor].watch;
            watch.end_permit(trial.content, trial.id);
        }
    }

    fn begin(&mut self, run: usize) {
        if self.runs[run].is_over || self.runs[run].crashing.is_some() {
            return;
        }
        self.runs[run].has_begun = true;
        if self.runs[run].attempt == 1 {
            self.outcome.sound_begun += 1;
        }
        self.piece(run);
    }

    fn piece(&mut self, number: usize) {
        let now = self.now();
        let run = &mut self.runs[number];
        let host = &mut self.hosts[run.host];
        if run.is_over || host.epoch != run.epoch {
            return;
        }
        host.watch.answering(now, run.id);
        if run.pieces > 0 {
            run.pieces -= 1;
            self.after(PIECE_INTERVAL, Event::Piece(number));
            return;
        }
        run.is_over = true;
        host.watch.end(now, run.id, RunEnd::Completed);
        let host = run.host;
        self.tell_ended_trials(host);
    }

    fn crash(&mut self, slot: usize, incarnation: u64, part: Option<usize>) {
        if !self.slots[slot].is_up || self.slots[slot].incarnation != incarnation {
            return;
        }
        self.slots[slot].is_up = false;
        if let Some(part) = part {
            self.outcome.parts[part].crashes.push(self.now);
        }
        let engine = crash_id(slot, incarnation);
        for run in std::mem::take(&mut self.slots[slot].runs) {
            self.lose(run, engine, true);
        }
        self.after(ENGINE_DOWN, Event::Back(slot));
    }

    fn lose(&mut self, number: usize, engine: CrashId, gone: bool) {
        let now = self.now();
        let run = &mut self.runs[number];
        let host = run.host;
        if run.is_over || self.hosts[host].epoch != run.epoch {
            return;
        }
        run.is_over = true;
        let (id, attempt, is_resumable) = (run.id, run.attempt, run.is_resumable);
        let (content, crashing, pieces) = (run.content.clone(), run.crashing, run.pieces);
        if self.hosts[host].watch.lose(now, id) {
            self.after(CONFIRM_DELAY, Event::Confirm { host, engine, gone });
        }
        let may_retry = self.hosts[host].watch.may_retry(now, &content);
        if is_resumable && attempt < 2 && may_retry {
            self.send_to_engine(host, content, crashing, pieces, attempt + 1, is_resumable);
        }
    }

    fn report(&mut self, from: usize) {
        let report = self.hosts[from].watch.report(Millis(self.now));
        if report.is_empty() {
            return;
        }
        let report = Rc::new(report);
        for to in 0..self.setup.hosts {
            self.send(from, to, report.clone());
        }
    }

    fn send(&mut self, from: usize, to: usize, report: Rc<Report>) {
        if from == to {
            return;
        }
        let suspects: usize = report
            .crashes
            .iter()
            .map(|crash| crash.suspects.len())
            .sum();
        let bytes = report.crashes.len() * 16 + suspects * 18 + report.survivals.len() * 24;
        self.outcome.report_bytes += bytes as u64;
        let is_cut = self.hosts[from].cut_until.max(self.hosts[to].cut_until) > self.now;
        if is_cut && !self.cut_hosts_reach_store {
            return;
        }
        if !is_cut && self.rng.f64() < self.setup.report_loss {
            return;
        }
        let delay = match is_cut {
            true => self.rng.u64(..STORE_INTERVAL),
            false => 1 + self.rng.u64(..self.setup.report_delay),
        };
        self.after(delay, Event::Deliver { to, report });
    }

    fn trouble(&mut self, number: usize) {
        match self.setup.troubles[number] {
            Trouble::EnginesCrash { share, .. } => {
                for slot in 0..self.slots.len() {
                    if self.rng.f64() < share {
                        let incarnation = self.slots[slot].incarnation;
                        self.crash(slot, incarnation, None);
                    }
                }
            }
            Trouble::CrashSeries { to, interval, .. } => {
                if self.now < to {
                    let slot = self.rng.usize(..self.slots.len());
                    let incarnation = self.slots[slot].incarnation;
                    self.crash(slot, incarnation, None);
                    let next = self.next(interval);
                    self.after(next, Event::Trouble(number));
                }
            }
            Trouble::Resets { share, .. } => {
                for slot in 0..self.slots.len() {
                    let engine = crash_id(slot, self.slots[slot].incarnation);
                    for run in self.slots[slot].runs.clone() {
                        if self.rng.f64() < share {
                            self.lose(run, engine, false);
                        }
                    }
                }
            }
            Trouble::HostsCut {
                for_ms,
                share,
                reach_store,
                ..
            } => {
                self.cut_hosts_reach_store = reach_store;
                for host in 0..self.hosts.len() {
                    if self.rng.f64() < share {
                        self.hosts[host].cut_until = self.now + for_ms;
                        self.hosts[host].disturbed_until = self.now + for_ms;
                    }
                }
            }
            Trouble::HostsKilled { share, .. } => {
                for host in 0..self.hosts.len() {
                    if self.rng.f64() < share {
                        let host = &mut self.hosts[host];
                        host.epoch += 1;
                        host.watch = CrashWatch::new(self.now);
                        host.watch.receive(Millis(self.now), &self.stored);
                        host.disturbed_until = self.now;
                    }
                }
            }
        }
    }
}
