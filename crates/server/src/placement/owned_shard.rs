//! A shard that this host owns.

use std::sync::{Arc, Mutex};

use bv_place::{Action, Adoption, Event, Grant, Policy, Shard, ShardSpec};
use bv_types::{AttemptId, BackendId, Fingerprint, Millis, Refusal};
use bv_wire::AttemptEnd;
use smol_str::SmolStr;
use tokio::sync::{OnceCell, oneshot};

use super::in_flight::InFlightRequests;
use super::lock;
use crate::{Host, crash, open_attempt};

/// Answer to a waiting call.
#[derive(Debug, Clone)]
pub(super) enum ShardAnswer {
    Grant(Grant),
    Deny(Refusal),
    /// Decode may start.
    StartDecode,
}

/// State of a shard at its owner.
#[derive(Debug)]
pub(super) struct OwnedShard {
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
    in_flight: InFlightRequests,
    /// Calls that wait for an answer, one for each attempt.
    waiters: Vec<(AttemptId, oneshot::Sender<ShardAnswer>)>,
}

impl OwnedShard {
    pub fn new(key: SmolStr, spec: ShardSpec, policy: Policy) -> Self {
        OwnedShard {
            key,
            polled: OnceCell::new(),
            state: Mutex::new(State {
                shard: Shard::new(spec.clone(), policy),
                spec,
                in_flight: InFlightRequests::default(),
                waiters: Vec::new(),
            }),
        }
    }

    /// Passes an event to the shard and carries out its actions.
    pub fn handle(&self, host: &Arc<Host>, event: Event) {
        let mut state = lock(&self.state);
        state.handle(host, event);
    }

    /// Passes an event to the shard and returns the receiver of the answer for the attempt.
    pub fn submit(
        &self,
        host: &Arc<Host>,
        attempt: AttemptId,
        event: Event,
    ) -> oneshot::Receiver<ShardAnswer> {
        let (tx, rx) = oneshot::channel();
        let mut state = lock(&self.state);
        state.waiters.retain(|(waiting, _)| *waiting != attempt);
        state.waiters.push((attempt, tx));
        state.handle(host, event);
        rx
    }

    /// Records the content of a request before it waits for a grant.
    pub fn record_request(&self, attempt: &AttemptId, request: Fingerprint) {
        lock(&self.state).in_flight.add_pending(attempt, request);
    }

    /// Takes over a grant of an earlier owner.
    pub fn adopt(&self, host: &Arc<Host>, adoption: Adoption, request: Option<Fingerprint>) {
        let mut state = lock(&self.state);
        if let Some(request) = request {
            let blame = state.in_flight.adopted(&adoption, request);
            report_blame(host, blame);
        }
        state.handle(host, Event::Adopt(adoption));
    }

    /// Ends a grant or withdraws a queued request.
    pub fn end(&self, host: &Arc<Host>, attempt: AttemptId, end: AttemptEnd) {
        let mut state = lock(&self.state);
        let blame = state.in_flight.end(host.clock.now(), &attempt, end);
        report_blame(host, blame);
        state.handle(host, Event::Release(attempt));
    }

    /// Handles a runner that refuses connections, which means that its process has ended.
    pub fn runner_crashed(&self, host: &Arc<Host>, runner: &BackendId) {
        let blame = lock(&self.state).in_flight.crashed(runner);
        report_blame(host, blame);
    }

    /// Applies changed runners or pool settings.
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

    /// Whether the shard has no open grants and no queued requests.
    pub fn is_idle(&self) -> bool {
        let state = lock(&self.state);
        state.shard.open_grants() == 0 && state.shard.queued() == 0
    }
}

impl State {
    fn handle(&mut self, host: &Arc<Host>, event: Event) {
        let now: Millis = host.clock.now();
        self.track_runners(host, now, &event);
        for action in self.shard.handle(now, event) {
            match action {
                Action::Grant(grant) => {
                    let attempt = grant.attempt.clone();
                    report_blame(host, self.in_flight.granted(&grant));
                    self.answer(&attempt, ShardAnswer::Grant(grant));
                }
                Action::Deny { attempt, reason } => {
                    self.in_flight.remove_pending(&attempt);
                    self.answer(&attempt, ShardAnswer::Deny(reason));
                }
                Action::Proceed(attempt) => {
                    report_blame(host, self.in_flight.decoding(&attempt));
                    self.answer(&attempt, ShardAnswer::StartDecode);
                }
                Action::Cancel { runner, attempt } => {
                    let end = self.in_flight.end(now, &attempt, AttemptEnd::Stopped);
                    report_blame(host, end);
                    open_attempt::cancel(host, runner, attempt);
                }
            }
        }
    }

    /// Tracks which runner executes a request, and which runners have crashed.
    fn track_runners(&mut self, host: &Host, now: Millis, event: &Event) {
        match event {
            Event::Report {
                runner,
                report: load,
            } => {
                report_blame(
                    host,
                    self.in_flight.observe_incarnation(runner, load.incarnation),
                );
            }
            Event::PrefillDone(attempt) => report_blame(host, self.in_flight.prefilled(attempt)),
            Event::Tick => {
                for ended in self.in_flight.expire(now) {
                    crash::handle(host, ended);
                }
                crash::handle(host, bv_blame::Event::Tick);
            }
            _ => {}
        }
    }

    /// Answers the call that waits for the attempt. If none waits, the shard repeats the answer
    /// when the next call arrives.
    fn answer(&mut self, attempt: &AttemptId, answer: ShardAnswer) {
        if let Some(at) = self.waiters.iter().position(|(id, _)| id == attempt) {
            let (_, tx) = self.waiters.swap_remove(at);
            let _ = tx.send(answer);
        }
        self.waiters.retain(|(_, tx)| !tx.is_closed());
    }
}

fn report_blame(host: &Host, blame: Option<bv_blame::Event>) {
    if let Some(event) = blame {
        crash::handle(host, event);
    }
}
