//! Shell of the ledger: non-idempotent calls, each in its own task.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard};

use bv_config::Inventory;
use bv_ledger::{
    Action, CallId, Event, GroupCommit, Ledger, Reply, StoreAnswer, StoreOpId, commit_interval,
};
use bv_types::{BackendId, HostId, Incarnation, Millis, ServiceId};
use bytes::Bytes;
use hyper::http::request::Parts;
use smol_str::SmolStr;
use tokio::sync::{Notify, oneshot};
use tracing::{info, warn};

use crate::engine::EngineClient;
use crate::{Host, counters, dispatch, rows};

/// Committers assumed until the membership reports their number.
const DEFAULT_COMMITTERS: usize = 8;
/// Shortest sleep of the driver.
const MIN_SLEEP: Millis = Millis(1);

/// A call as it is sent to a backend server.
#[derive(Debug)]
pub(crate) struct Work {
    pub parts: Parts,
    pub body: Bytes,
    pub inventory: Arc<Inventory>,
    pub service: ServiceId,
    /// Time until which the caller is answered.
    pub deadline: Millis,
    /// How long a resent call is recognised.
    pub resend_window: Millis,
}

/// Open non-idempotent calls of this host.
pub(crate) struct Claims {
    state: Mutex<State>,
    /// Client that opens a connection for each call: a reused connection that has just closed
    /// would make the outcome of the call unknown.
    pub client: EngineClient,
    changed: Notify,
    closed: Notify,
}

struct State {
    ledger: Ledger,
    commit: GroupCommit,
    next_call: u64,
    /// Sorted by call.
    slots: Vec<(CallId, Slot)>,
}

struct Slot {
    work: Arc<Work>,
    reply: Option<oneshot::Sender<Reply>>,
    tried: Vec<BackendId>,
}

impl Claims {
    pub fn new(host: HostId, incarnation: Incarnation, seed: u64, client: EngineClient) -> Self {
        Claims {
            state: Mutex::new(State {
                ledger: Ledger::new(host, incarnation, seed),
                commit: GroupCommit::new(commit_interval(DEFAULT_COMMITTERS)),
                next_call: 0,
                slots: Vec::new(),
            }),
            client,
            changed: Notify::new(),
            closed: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|err| err.into_inner())
    }

    /// Sets the number of hosts that write to the table.
    pub fn set_committers(&self, committers: usize) {
        self.lock().commit.set_interval(commit_interval(committers));
    }

    /// Checks immediately before the first byte that a call may be sent.
    pub fn start(&self, now: Millis, call: CallId, attempt: u32) -> bool {
        self.lock().ledger.start(now, call, attempt)
    }

    /// The call and the servers that refused it.
    pub fn work_of(&self, call: CallId) -> Option<(Arc<Work>, Vec<BackendId>)> {
        let mut state = self.lock();
        let slot = state.slot(call)?;
        Some((slot.work.clone(), slot.tried.clone()))
    }

    /// Remembers that a server refused the connection.
    pub fn add_tried(&self, call: CallId, server: BackendId) {
        if let Some(slot) = self.lock().slot(call) {
            slot.tried.push(server);
        }
    }

    /// Waits until the outcome of every open call is recorded, at most for `limit`.
    pub async fn flush(&self, limit: Millis) {
        let empty = async {
            loop {
                let closed = self.closed.notified();
                if self.lock().ledger.open() == 0 {
                    return;
                }
                closed.await;
            }
        };
        match tokio::time::timeout(limit.duration(), empty).await {
            Ok(()) => info!("ledger: all outcomes are recorded"),
            Err(_) => {
                let open = self.lock().ledger.open();
                warn!(
                    open,
                    "ledger: the drain limit passed with outcomes not recorded"
                );
            }
        }
    }
}

impl State {
    fn slot(&mut self, call: CallId) -> Option<&mut Slot> {
        let index = self.slots.binary_search_by_key(&call, |(id, _)| *id).ok()?;
        Some(&mut self.slots[index].1)
    }

    /// Performs the actions that need no I/O and returns the others.
    fn handle(&mut self, now: Millis, event: Event) -> Vec<Action> {
        let mut rest = Vec::new();
        let mut queue = VecDeque::from(self.ledger.handle(now, event));
        while let Some(action) = queue.pop_front() {
            match action {
                Action::Write { op, write } => self.commit.push(op, write),
                Action::Withdraw { op } => {
                    if self.commit.withdraw(op) {
                        let answer = StoreAnswer::NotWritten;
                        let event = Event::StoreAnswer { op, answer };
                        queue.extend(self.ledger.handle(now, event));
                    }
                }
                Action::Reply { call, reply } => self.reply(call, reply),
                Action::Closed { call } => self.remove(call),
                Action::Read { .. } | Action::Dispatch { .. } => rest.push(action),
            }
        }
        rest
    }

    fn remove(&mut self, call: CallId) {
        if let Ok(index) = self.slots.binary_search_by_key(&call, |(id, _)| *id) {
            self.slots.remove(index);
        }
    }

    fn reply(&mut self, call: CallId, reply: Reply) {
        let Some(sender) = self.slot(call).and_then(|slot| slot.reply.take()) else {
            return;
        };
        if let Err(Reply::NotRun { refusal }) = sender.send(reply) {
            // The caller is gone, so no answer counts the refusal.
            counters::refused(refusal);
        }
    }
}

/// Runs a call at most once and returns what its caller is told. If the returned future is
/// dropped, a call that was sent finishes and its outcome is recorded.
pub(crate) async fn run(host: &Arc<Host>, key: SmolStr, work: Work) -> Option<Reply> {
    let (sender, receiver) = oneshot::channel();
    let (deadline, resend_window) = (work.deadline, work.resend_window);
    let call = {
        let mut state = host.claims.lock();
        let call = CallId(state.next_call);
        state.next_call += 1;
        let slot = Slot {
            work: Arc::new(work),
            reply: Some(sender),
            tried: Vec::new(),
        };
        state.slots.push((call, slot));
        call
    };
    let mut caller = Caller {
        host: host.clone(),
        call,
        receiver,
    };
    handle(
        host,
        Event::Arrive {
            call,
            key,
            deadline,
            resend_window,
        },
    );
    (&mut caller.receiver).await.ok()
}

/// Reports that the caller no longer waits.
struct Caller {
    host: Arc<Host>,
    call: CallId,
    receiver: oneshot::Receiver<Reply>,
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.receiver.close();
        handle(&self.host, Event::CallerDisconnected { call: self.call });
    }
}

/// Handles an event and performs its actions.
pub(crate) fn handle(host: &Arc<Host>, event: Event) {
    let claims = &host.claims;
    let actions = claims.lock().handle(host.clock.now(), event);
    for action in actions {
        match action {
            Action::Read { op, key } => drop(tokio::spawn(read(host.clone(), op, key))),
            Action::Dispatch { call, attempt } => {
                drop(tokio::spawn(dispatch::run(host.clone(), call, attempt)));
            }
            _ => {}
        }
    }
    claims.closed.notify_waiters();
    claims.changed.notify_one();
}

async fn read(host: Arc<Host>, op: StoreOpId, key: SmolStr) {
    let answer = rows::read(host.table.as_ref(), &key).await;
    handle(&host, Event::StoreAnswer { op, answer });
}

/// Sends transactions and passes the time on to the ledger until the process ends.
pub(crate) async fn drive(host: Arc<Host>) {
    loop {
        let changed = host.claims.changed.notified();
        let now = host.clock.now();
        let (writes, tick, wake) = {
            let mut state = host.claims.lock();
            let tick = state.ledger.wake_at().is_some_and(|at| at <= now);
            let writes = state.commit.next(now);
            let wake = [state.ledger.wake_at(), state.commit.wake_at()];
            (writes, tick, wake.into_iter().flatten().min())
        };
        if let Some(writes) = writes {
            let host = host.clone();
            tokio::spawn(async move {
                let result = rows::transact(host.table.as_ref(), &writes).await;
                let answers = host.claims.lock().commit.finish(result);
                for (op, answer) in answers {
                    handle(
                        &host,
                        match answer {
                            Some(answer) => Event::StoreAnswer { op, answer },
                            None => Event::StoreUnanswered { op },
                        },
                    );
                }
                host.claims.changed.notify_one();
            });
        }
        if tick {
            handle(&host, Event::Tick);
            continue;
        }
        match wake {
            Some(at) => {
                let sleep = tokio::time::sleep((at - now).max(MIN_SLEEP).duration());
                tokio::select! {
                    () = changed => {}
                    () = sleep => {}
                }
            }
            None => changed.await,
        }
    }
}
