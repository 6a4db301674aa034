//! The home of one shard.

use std::sync::{Arc, Mutex};

use bv_place::{Action, Adoption, Event, Grant, Policy, Shard, ShardSpec};
use bv_types::{AttemptId, BackendId, Fingerprint, Millis, Refusal};
use bv_wire::AttemptEnd;
use smol_str::SmolStr;
use tokio::sync::{OnceCell, oneshot};

use super::flights::Flights;
use super::lock;
use crate::{Host, crash, open_attempt};

/// Answer to a waiting call.
#[derive(Debug, Clone)]
pub(super) enum Verdict {
    Grant(Grant),
    Deny(Refusal),
    Proceed,
}

/// State of a shard at its home.
#[derive(Debug)]
pub(super) struct Home {
    /// Key of the shard.
    pub key: SmolStr,
    /// Set once the runners have been polled.
    pub polled: OnceCell<()>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    shard: Shard,
    spec: ShardSpec,
    flights: Flights,
    /// Calls that wait for an answer, one for each attempt.
    waiters: Vec<(AttemptId, oneshot::Sender<Verdict>)>,
}

impl Home {
    pub fn new(key: SmolStr, spec: ShardSpec, policy: Policy) -> Self {
        Home {
            key,
            polled: OnceCell::new(),
            state: Mutex::new(State {
                shard: Shard::new(spec.clone(), policy),
                spec,
                flights: Flights::default(),
                waiters: Vec::new(),
            }),
        }
    }

    /// Passes an event to the shard and carries out its actions.
    pub fn handle(&self, host: &Arc<Host>, event: Event) {
        let mut state = lock(&self.state);
        state.handle(host, event);
    }

    /// Passes an event and returns where the answer for the attempt will arrive.
    pub fn ask(
        &self,
        host: &Arc<Host>,
        attempt: AttemptId,
        event: Event,
    ) -> oneshot::Receiver<Verdict> {
        let (tx, rx) = oneshot::channel();
        let mut state = lock(&self.state);
        state.waiters.retain(|(waiting, _)| *waiting != attempt);
        state.waiters.push((attempt, tx));
        state.handle(host, event);
        rx
    }

    /// Notes the content of a request before it asks for runners.
    pub fn note_request(&self, attempt: &AttemptId, request: Fingerprint) {
        lock(&self.state).flights.asked(attempt, request);
    }

    /// Takes over a grant of an earlier home.
    pub fn adopt(&self, host: &Arc<Host>, adoption: Adoption, request: Option<Fingerprint>) {
        let mut state = lock(&self.state);
        if let Some(request) = request {
            let blame = state.flights.adopted(&adoption, request);
            report(host, blame);
        }
        state.handle(host, Event::Adopt(adoption));
    }

    /// Ends a grant or withdraws a queued request.
    pub fn end(&self, host: &Arc<Host>, attempt: AttemptId, end: AttemptEnd) {
        let mut state = lock(&self.state);
        let blame = state.flights.end(host.clock.now(), &attempt, end);
        report(host, blame);
        state.handle(host, Event::Release(attempt));
    }

    /// Notes that a runner refuses connections, so that its process has ended.
    pub fn crashed(&self, host: &Arc<Host>, runner: &BackendId) {
        let blame = lock(&self.state).flights.crashed(runner);
        report(host, blame);
    }

    /// Puts changed runners or facts in force.
    pub fn configure(&self, spec: ShardSpec, policy: Policy) {
        let mut state = lock(&self.state);
        if state.spec != spec {
            state.shard.reconfigure(spec.clone(), policy);
            state.spec = spec;
        }
    }

    /// Runners of the shard.
    pub fn spec(&self) -> ShardSpec {
        lock(&self.state).spec.clone()
    }

    /// Load in percent of the decode slots.
    pub fn load_percent(&self) -> u32 {
        (lock(&self.state).shard.load() * 100.0) as u32
    }

    /// Whether no request depends on this home.
    pub fn is_idle(&self) -> bool {
        let state = lock(&self.state);
        state.shard.open_grants() == 0 && state.shard.queued() == 0
    }
}

impl State {
    fn handle(&mut self, host: &Arc<Host>, event: Event) {
        let now: Millis = host.clock.now();
        self.follow_runners(host, now, &event);
        for action in self.shard.handle(now, event) {
            match action {
                Action::Grant(grant) => {
                    let attempt = grant.attempt.clone();
                    report(host, self.flights.granted(&grant));
                    self.answer(&attempt, Verdict::Grant(grant));
                }
                Action::Deny { attempt, reason } => {
                    self.flights.forget(&attempt);
                    self.answer(&attempt, Verdict::Deny(reason));
                }
                Action::Proceed(attempt) => {
                    report(host, self.flights.decoding(&attempt));
                    self.answer(&attempt, Verdict::Proceed);
                }
                Action::Cancel { runner, attempt } => {
                    let end = self.flights.end(now, &attempt, AttemptEnd::Stopped);
                    report(host, end);
                    open_attempt::cancel(host, runner, attempt);
                }
            }
        }
    }

    /// Follows which runner works on a request, and which runners have crashed.
    fn follow_runners(&mut self, host: &Host, now: Millis, event: &Event) {
        match event {
            Event::Report {
                runner,
                report: load,
            } => {
                report(host, self.flights.seen(runner, load.incarnation));
            }
            Event::PrefillDone(attempt) => report(host, self.flights.prefilled(attempt)),
            Event::Tick => {
                for ended in self.flights.expire(now) {
                    crash::handle(host, ended);
                }
                crash::handle(host, bv_blame::Event::Tick);
            }
            _ => {}
        }
    }

    /// Answers a waiting call; if none waits, the shard repeats the answer when asked again.
    fn answer(&mut self, attempt: &AttemptId, verdict: Verdict) {
        if let Some(at) = self.waiters.iter().position(|(id, _)| id == attempt) {
            let (_, tx) = self.waiters.swap_remove(at);
            let _ = tx.send(verdict);
        }
        self.waiters.retain(|(_, tx)| !tx.is_closed());
    }
}

fn report(host: &Host, blame: Option<bv_blame::Event>) {
    if let Some(event) = blame {
        crash::handle(host, event);
    }
}
