//! Open non-idempotent calls: runs the actions of the ledger, each call in its own task.

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

use crate::backend::BackendClient;
use crate::{Host, counters, dispatch, rows};

/// Number of hosts assumed to write to the table until the membership reports it.
const DEFAULT_COMMITTERS: usize = 8;
/// Shortest sleep of [`run`].
const MIN_SLEEP: Millis = Millis(1);

/// A call as it is sent to a backend server.
#[derive(Debug)]
pub(crate) struct OutboundCall {
    pub parts: Parts,
    pub body: Bytes,
    pub inventory: Arc<Inventory>,
    pub service: ServiceId,
    /// Time by which the caller is answered.
    pub deadline: Millis,
    /// How long a resent call is recognised.
    pub resend_window: Millis,
}

/// Open non-idempotent calls of this host.
pub(crate) struct OpenCalls {
    state: Mutex<State>,
    /// Client that opens a connection for each call of a plain service: a reused connection that has
    /// just closed would make the outcome of the call unknown, and its next answer may be that to an
    /// earlier call, since answers of plain services carry no id.
    pub client: BackendClient,
    /// Wakes [`run`] when the ledger or the queued writes have changed.
    changed: Notify,
    /// Wakes [`OpenCalls::flush`] when calls may have closed.
    closed: Notify,
}

struct State {
    ledger: Ledger,
    commit: GroupCommit,
    next_call: u64,
    /// Sorted by call.
    calls: Vec<(CallId, OpenCall)>,
}

struct OpenCall {
    outbound: Arc<OutboundCall>,
    reply: Option<oneshot::Sender<Reply>>,
    tried: Vec<BackendId>,
}

impl OpenCalls {
    pub fn new(host: HostId, incarnation: Incarnation, seed: u64, client: BackendClient) -> Self {
        OpenCalls {
            state: Mutex::new(State {
                ledger: Ledger::new(host, incarnation, seed),
                commit: GroupCommit::new(commit_interval(DEFAULT_COMMITTERS)),
                next_call: 0,
                calls: Vec::new(),
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

    /// Checks, immediately before the first byte, that a call may be sent, and marks it as sent.
    pub fn start(&self, now: Millis, call: CallId, attempt: u32) -> bool {
        self.lock().ledger.start(now, call, attempt)
    }

    /// The call and the servers that could not be reached.
    pub fn outbound_call(&self, call: CallId) -> Option<(Arc<OutboundCall>, Vec<BackendId>)> {
        let mut state = self.lock();
        let open_call = state.open_call(call)?;
        Some((open_call.outbound.clone(), open_call.tried.clone()))
    }

    /// Records a server to which no connection could be opened.
    pub fn add_tried(&self, call: CallId, server: BackendId) {
        if let Some(open_call) = self.lock().open_call(call) {
            open_call.tried.push(server);
        }
    }

    /// Waits until the outcome of every open call is recorded, at most for `limit`.
    pub async fn flush(&self, limit: Millis) {
        let all_recorded = async {
            loop {
                let closed = self.closed.notified();
                if self.lock().ledger.open() == 0 {
                    return;
                }
                closed.await;
            }
        };
        match tokio::time::timeout(limit.duration(), all_recorded).await {
            Ok(()) => info!("ledger: the outcomes of all open calls are recorded"),
            Err(_) => {
                let open = self.lock().ledger.open();
                warn!(
                    open,
                    "ledger: the drain limit passed with outcomes of open calls not recorded"
                );
            }
        }
    }
}

impl State {
    fn open_call(&mut self, call: CallId) -> Option<&mut OpenCall> {
        let index = self.calls.binary_search_by_key(&call, |(id, _)| *id).ok()?;
        Some(&mut self.calls[index].1)
    }

    /// Performs the actions that need no I/O and returns the others.
    fn handle(&mut self, now: Millis, event: Event) -> Vec<Action> {
        let mut io_actions = Vec::new();
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
                Action::Read { .. } | Action::Dispatch { .. } => io_actions.push(action),
            }
        }
        io_actions
    }

    fn remove(&mut self, call: CallId) {
        if let Ok(index) = self.calls.binary_search_by_key(&call, |(id, _)| *id) {
            self.calls.remove(index);
        }
    }

    fn reply(&mut self, call: CallId, reply: Reply) {
        let Some(sender) = self
            .open_call(call)
            .and_then(|open_call| open_call.reply.take())
        else {
            return;
        };
        if let Err(Reply::NotRun { refusal }) = sender.send(reply) {
            // The caller disconnected, so the refusal is counted here instead of with the answer.
            counters::refused(refusal);
        }
    }
}

/// Runs a call at most once and returns the reply for its caller. If the returned future is
/// dropped, a call that was sent still finishes and its outcome is recorded.
pub(crate) async fn submit(
    host: &Arc<Host>,
    key: SmolStr,
    outbound: OutboundCall,
) -> Option<Reply> {
    let (sender, receiver) = oneshot::channel();
    let (deadline, resend_window) = (outbound.deadline, outbound.resend_window);
    let call = {
        let mut state = host.open_calls.lock();
        let call = CallId(state.next_call);
        state.next_call += 1;
        let open_call = OpenCall {
            outbound: Arc::new(outbound),
            reply: Some(sender),
            tried: Vec::new(),
        };
        state.calls.push((call, open_call));
        call
    };
    let mut caller = CallerGuard {
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

/// Reports to the ledger, when dropped, that the caller no longer waits, because it was answered or
/// disconnected.
struct CallerGuard {
    host: Arc<Host>,
    call: CallId,
    receiver: oneshot::Receiver<Reply>,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        self.receiver.close();
        handle(&self.host, Event::CallerDisconnected { call: self.call });
    }
}

/// Handles an event and performs its actions.
pub(crate) fn handle(host: &Arc<Host>, event: Event) {
    let open_calls = &host.open_calls;
    let actions = open_calls.lock().handle(host.clock.now(), event);
    for action in actions {
        match action {
            Action::Read { op, key } => drop(tokio::spawn(read(host.clone(), op, key))),
            Action::Dispatch { call, attempt } => {
                drop(tokio::spawn(dispatch::send(host.clone(), call, attempt)));
            }
            _ => {}
        }
    }
    open_calls.closed.notify_waiters();
    open_calls.changed.notify_one();
}

async fn read(host: Arc<Host>, op: StoreOpId, key: SmolStr) {
    let answer = rows::read(host.table.as_ref(), &key).await;
    handle(&host, Event::StoreAnswer { op, answer });
}

/// Sends due transactions to the table service and due ticks to the ledger, until the process ends.
pub(crate) async fn run(host: Arc<Host>) {
    loop {
        let changed = host.open_calls.changed.notified();
        let now = host.clock.now();
        let (writes, tick, wake) = {
            let mut state = host.open_calls.lock();
            let tick = state.ledger.wake_at().is_some_and(|at| at <= now);
            let writes = state.commit.next(now);
            let wake = [state.ledger.wake_at(), state.commit.wake_at()];
            (writes, tick, wake.into_iter().flatten().min())
        };
        if let Some(writes) = writes {
            let host = host.clone();
            tokio::spawn(async move {
                let result = rows::transact(host.table.as_ref(), &writes).await;
                let answers = host.open_calls.lock().commit.finish(result);
                for (op, answer) in answers {
                    handle(
                        &host,
                        match answer {
                            Some(answer) => Event::StoreAnswer { op, answer },
                            None => Event::StoreUnanswered { op },
                        },
                    );
                }
                host.open_calls.changed.notify_one();
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
