//! The ledger of one entry host.

use bv_types::{HostId, Incarnation, Millis};
use fastrand::Rng;
use smol_str::format_smolstr;

use crate::call::{Arrival, Call, CallContext};
use crate::dead_hosts::DeadHosts;
use crate::{Action, CallId, Event};

/// Open calls of one entry host, sorted by id.
#[derive(Debug)]
pub struct Ledger {
    host: HostId,
    incarnation: Incarnation,
    rng: Rng,
    dead: DeadHosts,
    /// An entry is `None` while its call handles an event.
    calls: Vec<(CallId, Option<Box<Call>>)>,
}

impl Ledger {
    /// Creates an empty ledger for one process; the seed determines the nonces.
    pub fn new(host: HostId, incarnation: Incarnation, seed: u64) -> Self {
        let mut dead = DeadHosts::default();
        if let Some(earlier) = incarnation.0.checked_sub(1) {
            dead.add(host.clone(), Incarnation(earlier));
        }
        Ledger {
            host,
            incarnation,
            rng: Rng::with_seed(seed),
            dead,
            calls: Vec::new(),
        }
    }

    /// Number of calls whose outcome is not yet recorded.
    pub fn open(&self) -> usize {
        self.calls.len()
    }

    /// Time at which the next [`Event::Tick`] is needed.
    pub fn wake_at(&self) -> Option<Millis> {
        let calls = self.calls.iter().filter_map(|(_, call)| call.as_ref());
        calls.filter_map(|call| call.wake_at()).min()
    }

    /// Checks immediately before the first byte that a call may be sent, and marks it as sent.
    ///
    /// The next [`Event::Tick`] refuses a call that may not be sent.
    pub fn start(&mut self, now: Millis, call: CallId, attempt: u32) -> bool {
        let Ok(index) = self.index_of(call) else {
            return false;
        };
        let call = self.calls[index].1.as_mut();
        call.is_some_and(|call| call.start(now, attempt))
    }

    /// Handles one event and returns the actions for the driver.
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Arrive {
                call,
                key,
                deadline,
                resend_window,
            } => {
                let random = self.rng.u64(..);
                let nonce = format_smolstr!(
                    "{}.{}.{}.{random:016x}",
                    self.host,
                    self.incarnation,
                    call.0
                );
                let arrival = Arrival {
                    id: call,
                    key,
                    nonce,
                    deadline,
                    resend_window,
                };
                if let Err(index) = self.index_of(call) {
                    let opened = Some(Box::new(Call::new(arrival)));
                    self.calls.insert(index, (call, opened));
                    self.with_call(now, call, &mut actions, Call::arrive);
                }
            }
            Event::StoreAnswer { op, answer } => {
                self.with_call(now, op.call, &mut actions, |call, cx| {
                    call.store_answer(cx, op.number, answer);
                });
            }
            Event::StoreUnanswered { op } => {
                self.with_call(now, op.call, &mut actions, |call, cx| {
                    call.store_unanswered(cx, op.number);
                });
            }
            Event::DispatchRefused {
                call,
                retry,
                refusal,
            } => self.with_call(now, call, &mut actions, |call, cx| {
                call.dispatch_refused(cx, retry, refusal);
            }),
            Event::DispatchFailed { call } => {
                self.with_call(now, call, &mut actions, Call::dispatch_failed);
            }
            Event::Answered { call, answer } => {
                self.with_call(now, call, &mut actions, |call, cx| {
                    call.answered(cx, answer)
                });
            }
            Event::CallerDisconnected { call } => {
                self.with_call(now, call, &mut actions, Call::caller_disconnected);
            }
            Event::HostDead { host, incarnation } => {
                // Peers may declare this process dead by mistake.
                if host != self.host || incarnation < self.incarnation {
                    self.dead.add(host, incarnation);
                }
                self.with_all(now, &mut actions, Call::hosts_changed);
            }
            Event::Tick => self.with_all(now, &mut actions, Call::tick),
        }
        actions
    }

    fn index_of(&self, call: CallId) -> Result<usize, usize> {
        self.calls.binary_search_by_key(&call, |(id, _)| *id)
    }

    fn with_call(
        &mut self,
        now: Millis,
        id: CallId,
        actions: &mut Vec<Action>,
        step: impl FnOnce(&mut Call, &mut CallContext<'_>),
    ) {
        let Ok(index) = self.index_of(id) else {
            return;
        };
        let Some(mut call) = self.calls[index].1.take() else {
            return;
        };
        let mut cx = CallContext {
            now,
            host: &self.host,
            incarnation: self.incarnation,
            dead: &self.dead,
            others: &self.calls,
            actions,
        };
        step(&mut call, &mut cx);
        match call.is_closed() {
            true => drop(self.calls.remove(index)),
            false => self.calls[index].1 = Some(call),
        }
    }

    fn with_all(
        &mut self,
        now: Millis,
        actions: &mut Vec<Action>,
        step: fn(&mut Call, &mut CallContext<'_>),
    ) {
        let ids: Vec<CallId> = self.calls.iter().map(|(id, _)| *id).collect();
        for id in ids {
            self.with_call(now, id, actions, step);
        }
    }
}
