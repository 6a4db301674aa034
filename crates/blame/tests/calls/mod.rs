//! Hosts and one service of a few servers without a network: several equal calls at a moment that end
//! their servers, equal sound calls of other callers, lost and late messages.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;

use bv_blame::{
    Admission, Content, CrashId, CrashWatch, RENEW_INTERVAL, Report, RunEnd, RunId, TrialId,
};
use bv_types::{BackendId, Fingerprint, HostId, Millis};
use fastrand::Rng;

const CONTACT_TIMEOUT: u64 = 3_000;
const CRASH_DELAY: u64 = 60;
const WORK_TIME: u64 = 20;
const REPORT_INTERVAL: u64 = 500;
/// Time without a message after which a host is not heard.
const HEARD_TIME: u64 = 1_600;
const MAX_WAIT: u64 = 400;
const ASK_INTERVAL: u64 = 40;
const STEP_INTERVAL: u64 = 10;
const END: u64 = 30_000;
const FIRST_CALLS: u64 = 2_000;

/// What else happens, from ten seconds on or all the time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disruption {
    Nothing,
    /// All servers end at one moment.
    AllServersEnd,
    /// A server ends every so often.
    ServersEnd {
        interval: u64,
    },
    /// A third of the hosts is cut from the others for five seconds.
    HostsCut,
    /// A third of the hosts starts again without what it knew.
    HostsKilled,
}

#[derive(Debug, Clone)]
pub struct Setup {
    pub hosts: usize,
    pub servers: usize,
    /// Time until a server that ended is back.
    pub back: u64,
    /// Crashing calls at one moment, and the time between two such moments.
    pub calls: usize,
    pub interval: u64,
    /// Callers with a sound call every 100 ms.
    pub sound_callers: usize,
    pub report_delay: u64,
    pub report_loss: f64,
    pub disruption: Disruption,
}

#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// Times of the crashes that calls caused.
    pub crashes: Vec<u64>,
    /// Arrivals of crashing calls of hosts in touch, from the contact timeout after the third crash.
    pub late: usize,
    /// Sound calls from then on that found a server, and those of them that were served.
    pub sound: usize,
    pub served: usize,
}

#[derive(Debug, Clone, Copy)]
enum TrialStep {
    Ask,
    Grant,
    End,
}

#[derive(Debug, Clone)]
struct Letter {
    from: usize,
    report: Rc<Report>,
    trial: Option<(TrialStep, TrialId, Vec<Fingerprint>)>,
}

enum Event {
    Burst,
    Sound(usize),
    Step(usize),
    Renew(usize),
    Answered(usize),
    Crash {
        server: usize,
        incarnation: u64,
        is_caused: bool,
    },
    Back(usize),
    Confirm {
        host: usize,
        epoch: u64,
        engine: CrashId,
    },
    Refresh(usize),
    Deliver {
        to: usize,
        letter: Letter,
    },
    Disrupt,
}

struct Host {
    id: HostId,
    watch: CrashWatch,
    epoch: u64,
    is_cut: bool,
    disturbed_until: u64,
    /// When each other host was heard last.
    heard: Vec<u64>,
}

struct Server {
    incarnation: u64,
    up_since: Option<u64>,
    runs: Vec<usize>,
}

struct Call {
    host: usize,
    epoch: u64,
    content: Content,
    is_crashing: bool,
    began: u64,
    trial: Option<TrialId>,
    trial_of: Option<Fingerprint>,
    asked: Option<u64>,
    run: Option<(RunId, usize)>,
    attempts: u32,
    is_over: bool,
    is_counted: bool,
}

pub struct Fleet {
    setup: Setup,
    rng: Rng,
    now: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: Vec<Option<Event>>,
    hosts: Vec<Host>,
    servers: Vec<Server>,
    calls: Vec<Call>,
    outcome: Outcome,
}

impl Fleet {
    pub fn play(setup: &Setup, seed: u64) -> Outcome {
        let mut fleet = Fleet {
            rng: Rng::with_seed(seed),
            now: 0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            hosts: (0..setup.hosts)
                .map(|number| Host {
                    id: format!("host-{number}").parse().unwrap(),
                    watch: CrashWatch::new(seed * 1_000 + number as u64),
                    epoch: 0,
                    is_cut: false,
                    disturbed_until: 0,
                    heard: vec![0; setup.hosts],
                })
                .collect(),
            servers: (0..setup.servers)
                .map(|_| Server {
                    incarnation: 0,
                    up_since: Some(0),
                    runs: Vec::new(),
                })
                .collect(),
            calls: Vec::new(),
            outcome: Outcome::default(),
            setup: setup.clone(),
        };
        for host in 0..setup.hosts {
            let at = fleet.rng.u64(..REPORT_INTERVAL);
            fleet.after(at, Event::Refresh(host));
        }
        for caller in 0..setup.sound_callers {
            let at = fleet.rng.u64(..100);
            fleet.after(at, Event::Sound(caller));
        }
        fleet.after(FIRST_CALLS, Event::Burst);
        fleet.after(10_000, Event::Disrupt);
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

    fn after(&mut self, delay: u64, event: Event) {
        let number = self.events.len() as u64;
        self.events.push(Some(event));
        self.queue.push(Reverse((self.now + delay, number)));
    }

    fn late_from(&self) -> Option<u64> {
        let third = self.outcome.crashes.get(2)?;
        Some(third + CONTACT_TIMEOUT)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Burst => {
                for _ in 0..self.setup.calls {
                    self.call(None);
                }
                self.after(self.setup.interval, Event::Burst);
            }
            Event::Sound(caller) => {
                self.call(Some(caller));
                self.after(100, Event::Sound(caller));
            }
            Event::Step(call) => self.step(call),
            Event::Renew(call) => self.renew(call),
            Event::Answered(call) => self.answered(call),
            Event::Crash {
                server,
                incarnation,
                is_caused,
            } => {
                self.crash(server, incarnation, is_caused);
            }
            Event::Back(server) => {
                self.servers[server].incarnation += 1;
                self.servers[server].up_since = Some(self.now);
            }
            Event::Confirm {
                host,
                epoch,
                engine,
            } => {
                if self.hosts[host].epoch == epoch {
                    self.hosts[host]
                        .watch
                        .confirm(Millis(self.now), engine, true);
                    self.after_event(host);
                }
            }
            Event::Refresh(host) => {
                let now = Millis(self.now);
                self.hosts[host].watch.expire(now);
                let report = Rc::new(self.hosts[host].watch.report(now));
                let blocks = Rc::new(self.hosts[host].watch.report_blocks(now));
                for to in 0..self.setup.hosts {
                    self.send(
                        to,
                        Letter {
                            from: host,
                            report: report.clone(),
                            trial: None,
                        },
                    );
                }
                let to = self.rng.usize(..self.setup.hosts);
                self.send(
                    to,
                    Letter {
                        from: host,
                        report: blocks,
                        trial: None,
                    },
                );
                self.after(REPORT_INTERVAL, Event::Refresh(host));
            }
            Event::Deliver { to, letter } => self.deliver(to, letter),
            Event::Disrupt => self.disrupt(),
        }
    }

    /// Begins a call of a sound caller or, without one, a crashing call.
    fn call(&mut self, caller: Option<usize>) {
        let host = self.rng.usize(..self.setup.hosts);
        let parts: [&str; 0] = [];
        let mark = caller.map_or_else(|| "crashing".to_owned(), |caller| format!("{caller}"));
        let content = Content::new(parts.into_iter(), [b"call".as_slice()]);
        let has_server = self.servers.iter().any(|server| server.up_since.is_some());
        let is_late = match self.setup.calls {
            0 => self.now > 10_000,
            _ => self.late_from().is_some_and(|from| self.now > from),
        };
        let is_cut = self.hosts[host].is_cut;
        let is_counted = caller.is_some() && is_late && has_server && !is_cut;
        self.outcome.sound += usize::from(is_counted);
        self.calls.push(Call {
            host,
            epoch: self.hosts[host].epoch,
            content: content.with_caller([b"address".as_slice(), mark.as_bytes()]),
            is_crashing: caller.is_none(),
            began: self.now,
            trial: None,
            trial_of: None,
            asked: None,
            run: None,
            attempts: 0,
            is_over: false,
            is_counted,
        });
        self.step(self.calls.len() - 1);
    }

    fn step(&mut self, number: usize) {
        let now = Millis(self.now);
        let call = &mut self.calls[number];
        let host = &mut self.hosts[call.host];
        if call.is_over || call.epoch != host.epoch {
            return;
        }
        let content = match host.watch.admission(now, &call.content, call.trial) {
            Admission::Blocked(_) => return self.end(number),
            Admission::Free => {
                match call.trial.map(|trial| host.watch.is_granted(trial)) {
                    Some(true) => self.after(RENEW_INTERVAL.0, Event::Renew(number)),
                    Some(false) => self.drop_trial(number),
                    None => {}
                }
                return self.send_to_server(number);
            }
            Admission::OneAtATime(content) => content,
        };
        if self.now >= call.began + MAX_WAIT {
            return self.end(number);
        }
        if call.trial_of.is_some_and(|of| of != content) {
            self.drop_trial(number);
        }
        let call = &mut self.calls[number];
        let host = &mut self.hosts[call.host];
        if call.trial.is_none() {
            call.trial = host.watch.begin_trial(content);
            call.trial_of = call.trial.map(|_| content);
            call.asked = None;
        }
        let is_due = call.asked.is_none_or(|at| self.now >= at + ASK_INTERVAL);
        if let Some(trial) = call.trial.filter(|_| is_due) {
            call.asked = Some(self.now);
            if self.ask(number, content, trial) {
                return self.step(number);
            }
        }
        self.after(STEP_INTERVAL, Event::Step(number));
    }

    /// Asks for the permit; returns whether the host of the call has granted it itself.
    fn ask(&mut self, number: usize, content: Fingerprint, trial: TrialId) -> bool {
        let call = &self.calls[number];
        let others = call.content.whole().filter(|key| *key != content);
        let contents: Vec<Fingerprint> = [content].into_iter().chain(others).collect();
        let (from, id) = (call.host, self.hosts[call.host].id.clone());
        let grantor = self.grantor(from, content);
        if grantor != from {
            self.send_trial(from, grantor, (TrialStep::Ask, trial, contents));
            return false;
        }
        let watch = &mut self.hosts[from].watch;
        watch.grant_permit(Millis(self.now), &contents, &id, trial) && watch.grant_trial(trial)
    }

    fn renew(&mut self, number: usize) {
        let call = &self.calls[number];
        let host = &self.hosts[call.host];
        let Some((trial, content)) = call.trial.zip(call.trial_of) else {
            return;
        };
        if call.epoch == host.epoch && host.watch.has_trial(trial) {
            self.ask(number, content, trial);
            self.after(RENEW_INTERVAL.0, Event::Renew(number));
        }
    }

    fn grantor(&self, host: usize, content: Fingerprint) -> usize {
        let heard = (0..self.setup.hosts).filter(|other| {
            *other == host || self.hosts[host].heard[*other] + HEARD_TIME > self.now
        });
        let weight = |other: &usize| {
            let id = self.hosts[*other].id.as_str().as_bytes();
            Fingerprint::digest([content.0.as_slice(), id]).0
        };
        heard.max_by_key(weight).unwrap()
    }

    fn send_to_server(&mut self, number: usize) {
        let up: Vec<usize> = (0..self.servers.len())
            .filter(|server| self.servers[*server].up_since.is_some())
            .collect();
        let Some(server) = self.rng.choice(up) else {
            return self.end(number);
        };
        let incarnation = self.servers[server].incarnation;
        let late_from = self.late_from();
        let call = &mut self.calls[number];
        let host = &mut self.hosts[call.host];
        call.attempts += 1;
        let is_in_touch = host.disturbed_until + CONTACT_TIMEOUT <= self.now;
        let is_late = late_from.is_some_and(|from| self.now > from);
        self.outcome.late += usize::from(call.is_crashing && is_late && is_in_touch);
        let engine = crash_id(server, incarnation);
        let run = host.watch.begin(engine, call.content.clone(), call.trial);
        call.run = Some((run, server));
        let is_crashing = call.is_crashing;
        self.servers[server].runs.push(number);
        match is_crashing {
            true => {
                let is_caused = true;
                let crash = Event::Crash {
                    server,
                    incarnation,
                    is_caused,
                };
                self.after(CRASH_DELAY, crash);
            }
            false => self.after(WORK_TIME, Event::Answered(number)),
        }
    }

    fn answered(&mut self, number: usize) {
        let call = &mut self.calls[number];
        let host = &mut self.hosts[call.host];
        if call.is_over || call.epoch != host.epoch {
            return;
        }
        let Some((run, _)) = call.run.take() else {
            return;
        };
        host.watch.end(Millis(self.now), run, RunEnd::Completed);
        self.outcome.served += usize::from(call.is_counted);
        self.end(number);
    }

    fn crash(&mut self, server: usize, incarnation: u64, is_caused: bool) {
        let is_up = self.servers[server].up_since.is_some();
        if !is_up || self.servers[server].incarnation != incarnation {
            return;
        }
        self.servers[server].up_since = None;
        if is_caused {
            self.outcome.crashes.push(self.now);
        }
        self.after(self.setup.back, Event::Back(server));
        let engine = crash_id(server, incarnation);
        for number in std::mem::take(&mut self.servers[server].runs) {
            let call = &mut self.calls[number];
            let host = &mut self.hosts[call.host];
            let run = call.run.filter(|(_, at)| *at == server);
            let Some((run, _)) = run.filter(|_| !call.is_over && call.epoch == host.epoch) else {
                continue;
            };
            call.run = None;
            let (host_number, epoch) = (call.host, call.epoch);
            if host.watch.lose(Millis(self.now), run) {
                // A server that still accepts connections is checked again.
                let delay = if self.rng.f64() < 0.3 { 115 } else { 5 };
                let confirm = Event::Confirm {
                    host: host_number,
                    epoch,
                    engine,
                };
                self.after(delay, confirm);
            }
            let call = &self.calls[number];
            let watch = &self.hosts[host_number].watch;
            let may_retry = call.attempts < 2 && watch.may_retry(Millis(self.now), &call.content);
            match may_retry {
                true => self.step(number),
                false => self.end(number),
            }
        }
    }

    /// The call is sent no more.
    fn end(&mut self, number: usize) {
        self.calls[number].is_over = true;
        self.end_trial(number);
        self.after_event(self.calls[number].host);
    }

    fn drop_trial(&mut self, number: usize) {
        self.end_trial(number);
        self.calls[number].trial = None;
        self.calls[number].trial_of = None;
    }

    fn end_trial(&mut self, number: usize) {
        let call = &mut self.calls[number];
        if let Some(trial) = call.trial {
            self.hosts[call.host].watch.end_trial_request(trial);
        }
    }

    /// Tells the others what they wait for.
    fn after_event(&mut self, host: usize) {
        for trial in self.hosts[host].watch.take_ended_trials() {
            let grantor = self.grantor(host, trial.content);
            match grantor == host {
                true => self.hosts[host].watch.end_permit(trial.content, trial.id),
                false => {
                    let end = (TrialStep::End, trial.id, vec![trial.content]);
                    self.send_trial(host, grantor, end);
                }
            }
        }
        let report = self.hosts[host].watch.report(Millis(self.now));
        if !report.is_empty() {
            let report = Rc::new(report);
            for to in 0..self.setup.hosts {
                self.send(
                    to,
                    Letter {
                        from: host,
                        report: report.clone(),
                        trial: None,
                    },
                );
            }
        }
    }

    fn send_trial(
        &mut self,
        from: usize,
        to: usize,
        trial: (TrialStep, TrialId, Vec<Fingerprint>),
    ) {
        let report = Rc::new(self.hosts[from].watch.report(Millis(self.now)));
        self.send(
            to,
            Letter {
                from,
                report,
                trial: Some(trial),
            },
        );
    }

    fn send(&mut self, to: usize, letter: Letter) {
        let is_cut = self.hosts[letter.from].is_cut != self.hosts[to].is_cut;
        if letter.from == to || is_cut || self.rng.f64() < self.setup.report_loss {
            return;
        }
        let delay = 1 + self.rng.u64(..self.setup.report_delay);
        self.after(delay, Event::Deliver { to, letter });
    }

    fn deliver(&mut self, to: usize, letter: Letter) {
        let now = Millis(self.now);
        let from = letter.from;
        let sender = self.hosts[from].id.clone();
        let host = &mut self.hosts[to];
        host.heard[from] = self.now;
        host.watch.receive(now, &letter.report);
        let Some((step, trial, contents)) = letter.trial else {
            return;
        };
        match step {
            TrialStep::Ask => {
                if host.watch.grant_permit(now, &contents, &sender, trial) {
                    self.send_trial(to, from, (TrialStep::Grant, trial, contents));
                }
            }
            TrialStep::Grant => {
                if !host.watch.grant_trial(trial) {
                    self.send_trial(to, from, (TrialStep::End, trial, contents));
                }
            }
            TrialStep::End => host.watch.end_permit(contents[0], trial),
        }
    }

    fn disrupt(&mut self) {
        match self.setup.disruption {
            Disruption::Nothing => {}
            Disruption::AllServersEnd => {
                for server in 0..self.servers.len() {
                    self.crash(server, self.servers[server].incarnation, false);
                }
            }
            Disruption::ServersEnd { interval } => {
                let server = self.rng.usize(..self.servers.len());
                self.crash(server, self.servers[server].incarnation, false);
                self.after(interval, Event::Disrupt);
            }
            Disruption::HostsCut => {
                let is_cut = !self.hosts[0].is_cut;
                let third = self.hosts.len().div_ceil(3);
                for host in &mut self.hosts[..third] {
                    host.is_cut = is_cut;
                    host.disturbed_until = self.now;
                }
                if is_cut {
                    for host in &mut self.hosts[..third] {
                        host.disturbed_until = u64::MAX / 2;
                    }
                    self.after(5_000, Event::Disrupt);
                }
            }
            Disruption::HostsKilled => {
                let third = self.hosts.len().div_ceil(3);
                for host in &mut self.hosts[..third] {
                    host.epoch += 1;
                    host.watch = CrashWatch::new(self.now + host.epoch);
                    host.disturbed_until = self.now;
                }
            }
        }
    }
}

fn crash_id(server: usize, incarnation: u64) -> CrashId {
    let engine: BackendId = format!("server-{server}").parse().unwrap();
    CrashId::of_process(&engine, Some(Millis(incarnation)))
}
