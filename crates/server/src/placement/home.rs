//! The home of one shard.

use std::sync::{Arc, Mutex};

use bv_place::{Action, Event, Grant, Policy, Shard, ShardSpec};
use bv_types::{AttemptId, Millis, Refusal};
use smol_str::SmolStr;
use tokio::sync::{OnceCell, oneshot};

use super::lock;
use crate::{Host, open_attempt};

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
        for action in self.shard.handle(now, event) {
            match action {
                Action::Grant(grant) => {
                    let attempt = grant.attempt.clone();
                    self.answer(&attempt, Verdict::Grant(grant));
                }
                Action::Deny { attempt, reason } => self.answer(&attempt, Verdict::Deny(reason)),
                Action::Proceed(attempt) => self.answer(&attempt, Verdict::Proceed),
                Action::Cancel { runner, attempt } => open_attempt::cancel(host, runner, attempt),
            }
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
