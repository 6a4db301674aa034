//! Simulation of entry hosts, a table and a backend server that counts runs, with seeded faults.

mod faults;
mod host;
mod table;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use bv_ledger::{
    Action, Answer, CallId, Event, Reply, RowState, RowWrite, StoreAnswer, StoreOpId,
    TransactionResult,
};
use bv_types::{Incarnation, Millis};
use fastrand::Rng;

pub use host::{CallRecord, Host};
pub use table::ModelTable;

const MAX_DEADLINE_MS: u64 = 20_000;

/// A simulated event.
#[derive(Debug)]
pub enum Step {
    Arrive {
        key: usize,
    },
    Tick,
    /// A transaction reaches the table; its host process may have ended in the meantime.
    Apply {
        writes: Vec<RowWrite>,
        answer_at: Option<Millis>,
    },
    Finished {
        result: TransactionResult,
    },
    Read {
        op: StoreOpId,
        key: String,
    },
    Store {
        op: StoreOpId,
        answer: StoreAnswer,
    },
    Dispatch {
        call: CallId,
        attempt: u32,
    },
    Run {
        key: usize,
    },
    Outcome {
        event: Event,
    },
    CallerDisconnected {
        call: CallId,
    },
    HostDead {
        host: usize,
        incarnation: Incarnation,
    },
    Crash,
    Pause {
        until: Millis,
    },
}

/// A step of one host process, or of the table on its behalf.
#[derive(Debug)]
pub struct Scheduled {
    host: usize,
    incarnation: Incarnation,
    step: Step,
}

pub struct Simulation {
    pub now: Millis,
    pub rng: Rng,
    /// Chance of a fault at each opportunity.
    pub fault_rate: f64,
    /// Shortest time that a caller waits.
    pub min_deadline_ms: u64,
    pub table: ModelTable,
    pub hosts: Vec<Host>,
    /// Number of runs at the backend server by key.
    pub runs: Vec<u32>,
    queue: BinaryHeap<Reverse<(Millis, u64, usize)>>,
    steps: Vec<Option<Scheduled>>,
}

pub fn key_name(key: usize) -> String {
    format!("call/booking/{key}")
}

fn key_index(name: &str) -> usize {
    name.rsplit('/').next().unwrap().parse().unwrap()
}

pub fn answer_of(key: usize) -> Answer {
    Answer {
        status: 200,
        headers: vec![],
        body: format!("answer {key}").into_bytes(),
    }
}

impl Simulation {
    pub fn new(seed: u64, hosts: usize, keys: usize) -> Self {
        let mut rng = Rng::with_seed(seed);
        let now = Millis(1_000_000);
        let fault_rate = [0.0, 0.1, 0.3, 0.6][rng.usize(..4)];
        Simulation {
            now,
            fault_rate,
            min_deadline_ms: 500,
            table: ModelTable::default(),
            hosts: (0..hosts)
                .map(|index| Host::new(index, now, rng.u64(..)))
                .collect(),
            runs: vec![0; keys],
            queue: BinaryHeap::new(),
            steps: Vec::new(),
            rng,
        }
    }

    pub fn schedule(&mut self, at: Millis, host: usize, step: Step) {
        let incarnation = self.hosts[host].incarnation;
        self.queue
            .push(Reverse((at, self.steps.len() as u64, self.steps.len())));
        self.steps.push(Some(Scheduled {
            host,
            incarnation,
            step,
        }));
    }

    /// Runs until no step is left.
    pub fn run(&mut self) {
        while let Some(Reverse((at, _, index))) = self.queue.pop() {
            assert!(self.steps.len() < 100_000, "the simulation does not end");
            self.now = self.now.max(at);
            let scheduled = self.steps[index].take().unwrap();
            self.perform(scheduled);
        }
    }

    fn after(&mut self, min_ms: u64, max_ms: u64) -> Millis {
        self.now + Millis(self.rng.u64(min_ms..=max_ms))
    }

    fn fault(&mut self) -> bool {
        self.rng.f64() < self.fault_rate
    }

    fn perform(&mut self, scheduled: Scheduled) {
        let Scheduled {
            host,
            incarnation,
            step,
        } = scheduled;
        match step {
            Step::Apply { writes, answer_at } => {
                let result = self.table.transact(&writes);
                if let Some(at) = answer_at
                    && self.hosts[host].incarnation == incarnation
                {
                    self.schedule(at, host, Step::Finished { result });
                }
                return;
            }
            Step::Run { key } => {
                self.runs[key] += 1;
                assert!(self.runs[key] <= 1, "key {key} ran twice");
                return;
            }
            Step::Arrive { .. } | Step::Crash | Step::Pause { .. } => {}
            _ if self.hosts[host].incarnation != incarnation => return,
            _ => {}
        }
        let paused_until = self.hosts[host].paused_until;
        if paused_until > self.now {
            return self.schedule(paused_until, host, step);
        }
        self.perform_at_host(host, step);
        self.send_transaction(host);
        self.schedule_tick(host);
    }

    fn perform_at_host(&mut self, host: usize, step: Step) {
        match step {
            Step::Arrive { key } => self.arrive(host, key),
            Step::Tick => {
                self.hosts[host].tick_at = None;
                self.event(host, Event::Tick);
            }
            Step::Finished { result } => {
                for (op, answer) in self.hosts[host].commit.finish(result) {
                    self.event(
                        host,
                        match answer {
                            Some(answer) => Event::StoreAnswer { op, answer },
                            None => Event::StoreUnanswered { op },
                        },
                    );
                }
            }
            Step::Read { op, key } => {
                let row = self.table.get(&key);
                let answer = match self.fault() {
                    true => StoreAnswer::ReadFailed,
                    false => StoreAnswer::Row(row),
                };
                let at = self.after(1, 20);
                self.schedule(at, host, Step::Store { op, answer });
            }
            Step::Store { op, answer } => {
                self.event(host, Event::StoreAnswer { op, answer });
            }
            Step::Dispatch { call, attempt } => self.dispatch(host, call, attempt),
            Step::Outcome { event } => self.event(host, event),
            Step::CallerDisconnected { call } => {
                self.hosts[host].calls[call.0 as usize].disconnected = true;
                self.event(host, Event::CallerDisconnected { call });
            }
            Step::HostDead {
                host: dead,
                incarnation,
            } => {
                let id = self.hosts[dead].id.clone();
                self.event(
                    host,
                    Event::HostDead {
                        host: id,
                        incarnation,
                    },
                );
            }
            Step::Crash => self.crash(host),
            Step::Pause { until } => self.hosts[host].paused_until = until,
            Step::Apply { .. } | Step::Run { .. } => unreachable!("performed outside of hosts"),
        }
    }

    fn arrive(&mut self, host: usize, key: usize) {
        let deadline = self.now + Millis(self.rng.u64(self.min_deadline_ms..=MAX_DEADLINE_MS));
        let call = self.hosts[host].open_call(key, self.now, deadline);
        if self.rng.f64() < self.fault_rate / 4.0 {
            let at = self.after(0, 3_000);
            self.schedule(at, host, Step::CallerDisconnected { call });
        }
        self.event(
            host,
            Event::Arrive {
                call,
                key: key_name(key).into(),
                deadline,
                resend_window: Millis::from_secs(600),
            },
        );
    }

    fn event(&mut self, host: usize, event: Event) {
        let actions = self.hosts[host].ledger.handle(self.now, event);
        for action in actions {
            self.act(host, action);
        }
    }

    fn act(&mut self, host: usize, action: Action) {
        match action {
            Action::Write { op, write } => self.hosts[host].commit.push(op, write),
            Action::Withdraw { op } => {
                if self.hosts[host].commit.withdraw(op) {
                    let answer = StoreAnswer::NotWritten;
                    self.event(host, Event::StoreAnswer { op, answer });
                }
            }
            Action::Read { op, key } => {
                let at = self.after(1, 20);
                let key = key.to_string();
                self.schedule(at, host, Step::Read { op, key });
            }
            Action::Dispatch { call, attempt } => {
                let at = self.after(0, 2);
                self.schedule(at, host, Step::Dispatch { call, attempt });
            }
            Action::Reply { call, reply } => {
                let now = self.now;
                self.hosts[host].record_reply(call, now, reply);
            }
            Action::Closed { call } => self.hosts[host].calls[call.0 as usize].closed = true,
        }
    }

    fn schedule_tick(&mut self, host: usize) {
        let state = &mut self.hosts[host];
        let wakes = [state.ledger.wake_at(), state.commit.wake_at()];
        let Some(at) = wakes.into_iter().flatten().min() else {
            return;
        };
        let at = at.max(self.now + Millis(1));
        if state.tick_at.is_none_or(|tick| tick > at) {
            state.tick_at = Some(at);
            self.schedule(at, host, Step::Tick);
        }
    }

    /// Ends a host process and starts a new one with the same host id and an empty ledger.
    fn crash(&mut self, host: usize) {
        let ended = self.hosts[host].incarnation;
        let seed = self.rng.u64(..);
        self.hosts[host].restart(self.now, seed);
        for other in 0..self.hosts.len() {
            let at = self.after(0, 10_000);
            self.schedule(
                at,
                other,
                Step::HostDead {
                    host,
                    incarnation: ended,
                },
            );
        }
    }

    /// State of the row of a key.
    pub fn row_state(&self, key: usize) -> Option<RowState> {
        self.table.body(&key_name(key)).map(|body| body.state)
    }

    /// Records of the calls of all hosts.
    pub fn call_records(&self) -> impl Iterator<Item = &CallRecord> {
        self.hosts.iter().flat_map(|host| host.calls.iter())
    }
}

/// Whether a reply states that the call did not run.
pub fn is_not_run(reply: &Reply) -> bool {
    matches!(reply, Reply::NotRun { .. })
}
