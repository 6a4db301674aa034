//! The host's shared parts.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bv_admit::{Ended, SendId, Work};
use bv_platform::{PlatformSettings, StoreClient};
use bv_retry::BudgetTerms;
use bv_types::{BackendId, Clock, Millis, Tokens};
use tokio::sync::Notify;

use crate::logs::LogBudget;
use crate::send::Pool;
use crate::state::State;

/// Time after the signal to stop during which streams are begun. Callers are sent elsewhere by then,
/// and a usual stream takes about half of the grace period.
const STREAMS_WHILE_STOPPING: Millis = Millis(2_900);

/// Everything that tasks of the process share.
#[derive(Debug)]
pub(crate) struct Edge {
    pub settings: PlatformSettings,
    pub clock: Clock,
    pub store: StoreClient,
    pub pool: Pool,
    pub logs: LogBudget,
    /// Signalled when a request ends or another host's load changes.
    pub room: Notify,
    /// Signalled when a model call leaves the queue of this host.
    pub queue_moved: Notify,
    /// Signalled when another host knows a newer change of the store.
    pub news: Notify,
    /// Signalled when this host's own requests change.
    pub own_use: Notify,
    state: Mutex<State>,
    /// When the process was told to stop, or 0.
    stopping_since: AtomicU64,
    in_progress: AtomicUsize,
    connections: AtomicUsize,
}

impl Edge {
    pub fn new(settings: PlatformSettings) -> Self {
        let clock = Clock::system();
        let store = StoreClient::new(settings.store_addr);
        let state = Mutex::new(State::new(fastrand::u64(..)));
        Edge {
            logs: LogBudget::new(clock.now()),
            settings,
            clock,
            store,
            state,
            pool: Pool::default(),
            room: Notify::new(),
            own_use: Notify::new(),
            queue_moved: Notify::new(),
            news: Notify::new(),
            stopping_since: AtomicU64::new(0),
            in_progress: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
        }
    }

    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// The state; it is consistent after each step, also when a task ended in the middle of one.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of live hosts, with this one; 1 before others are known.
    pub fn host_count(&self) -> usize {
        self.state().hosts.count().unwrap_or(1)
    }

    /// Terms of the retry budget.
    pub fn budget_terms(&self) -> BudgetTerms {
        BudgetTerms {
            ratio: self.settings.retry_ratio,
            extra: self.settings.retry_extra,
            window: self.settings.retry_window,
        }
    }

    /// Tells this host's waiting requests and the other hosts that its own use changed.
    pub fn use_changed(&self) {
        self.own_use.notify_one();
        self.room.notify_waiters();
    }

    pub fn is_stopping(&self) -> bool {
        self.stopping_since.load(Ordering::Relaxed) != 0
    }

    pub fn stop(&self) {
        self.stopping_since.store(self.now().0, Ordering::Relaxed);
    }

    /// Whether a stream that begins now would probably be cut by the end of the process.
    pub fn is_too_late_for_streams(&self, now: Millis) -> bool {
        let since = Millis(self.stopping_since.load(Ordering::Relaxed));
        since != Millis::ZERO && now >= since + STREAMS_WHILE_STOPPING
    }

    /// Whether the balancer may send callers here.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.state().is_ready()
    }

    /// Requests that are not answered yet.
    pub fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::Relaxed)
    }

    /// Open connections of callers.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }
}

/// Counts a request until it is dropped.
#[derive(Debug)]
pub(crate) struct InProgress(Arc<Edge>);

impl InProgress {
    pub fn new(edge: &Arc<Edge>) -> Self {
        edge.in_progress.fetch_add(1, Ordering::Relaxed);
        InProgress(edge.clone())
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts a caller's connection until it is dropped.
#[derive(Debug)]
pub(crate) struct Connected(Arc<Edge>);

impl Connected {
    pub fn new(edge: &Arc<Edge>) -> Self {
        edge.connections.fetch_add(1, Ordering::Relaxed);
        Connected(edge.clone())
    }
}

impl Drop for Connected {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A send that counts at its server until it ends; dropped without an end, it was cancelled.
#[derive(Debug)]
pub(crate) struct Attempt {
    edge: Arc<Edge>,
    server: BackendId,
    send: SendId,
}

impl Attempt {
    /// Takes over a send that was begun while the server was chosen, and that is to be confirmed.
    pub fn begun(edge: &Arc<Edge>, server: &BackendId, send: SendId) -> Self {
        Attempt {
            edge: edge.clone(),
            server: server.clone(),
            send,
        }
    }

    pub fn begin(edge: &Arc<Edge>, server: &BackendId, work: Work) -> Self {
        let send = edge.state().fleet.begin(edge.now(), server, work);
        edge.own_use.notify_one();
        Attempt {
            edge: edge.clone(),
            server: server.clone(),
            send,
        }
    }

    /// Records that the server has room.
    pub fn confirm(&self) {
        self.edge.state().fleet.confirm(&self.server, self.send);
        self.edge.own_use.notify_one();
    }

    /// Records a sign of progress, and that the request needs at least this many tokens.
    pub fn progress(&self, tokens: Tokens) {
        let now = self.edge.now();
        let mut state = self.edge.state();
        state.fleet.progress(now, &self.server, self.send, tokens);
    }

    /// Records how the send ended.
    pub fn end(self, ended: Ended) {
        let now = self.edge.now();
        self.edge
            .state()
            .fleet
            .end(now, &self.server, self.send, ended);
        self.edge.use_changed();
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        let now = self.edge.now();
        let mut state = self.edge.state();
        state
            .fleet
            .end(now, &self.server, self.send, Ended::Cancelled);
        drop(state);
        self.edge.use_changed();
    }
}
