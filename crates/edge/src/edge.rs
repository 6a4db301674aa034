//! State that the tasks of the host process share.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use bv_admit::{SendId, SendOutcome, Work};
use bv_drain::{GracePeriod, LateRequest};
use bv_link::{InboundLimits, InboundMemory};
use bv_platform::{Bounds, PlatformSettings, StoreClient, Table};
use bv_retry::{BudgetLimits, HostBudgets};
use bv_roster::{AgeBounds, HostEntry, store_intervals};
use bv_route::IdleTimeouts;
use bv_types::{BackendId, Clock, Millis, Tokens};
use tokio::net::UdpSocket;
use tokio::sync::{Notify, watch};

use crate::logs::LogBudget;
use crate::quota::Quotas;
use crate::send::ConnectionPool;
use crate::shared_replies::Replies;
use crate::state::State;

/// Share of the process's memory for the bodies of callers' requests. The shares together are the bound of
/// all bodies and large heads; the rest is for the state and connections.
const CALLER_MEMORY_SHARE: f64 = 0.50;
/// Share of the process's memory for answers of backend servers.
const SERVER_MEMORY_SHARE: f64 = 0.15;
/// Share of the process's memory for answers of the store.
const STORE_MEMORY_SHARE: f64 = 0.10;
/// Share of the process's memory for large heads of callers' requests and the buffers that they were read
/// into.
const HEAD_MEMORY_SHARE: f64 = 0.15;

/// Shortest wait of a call to the store for changes.
const MIN_CHANGE_WAIT: Millis = Millis(100);

/// Shared state of the process.
#[derive(Debug)]
pub(crate) struct Edge {
    /// Settings of the start. Those that may change since are in [`Edge::bounds`].
    pub settings: PlatformSettings,
    bounds: Mutex<Bounds>,
    pub clock: Clock,
    /// Start of the process.
    pub started_at: Millis,
    pub store: StoreClient,
    pub pool: ConnectionPool,
    pub logs: LogBudget,
    /// Memory for the bodies that are held at the same time.
    pub memory: Arc<InboundMemory>,
    /// Replies to other hosts that ask for rows.
    pub replies: Replies,
    /// Notified when a request ends or another host's load changes.
    pub capacity_changed: Notify,
    /// Notified when a model call leaves the queue of this host.
    pub queue_changed: Notify,
    /// Notified when another host reports a newer version of a table than this host has.
    pub newer_version_reported: Notify,
    /// Notified when this host learns of changed rows, which other hosts may wait for.
    pub rows_changed: Notify,
    /// Notified when the source of this host's rows, or whether it reads the store, may change.
    pub sources_changed: Notify,
    /// Whether this host reads the tables of the store itself.
    reads_store: watch::Sender<bool>,
    /// Notified when what is known of crashes or trials changes.
    pub trials_changed: Notify,
    /// Quotas of the teams.
    pub quotas: Quotas,
    /// Notified when messages to dispatchers are to be sent.
    pub dispatch_due: Notify,
    /// Socket for datagrams to other hosts, once it is open.
    pub datagrams: OnceLock<Arc<UdpSocket>>,
    /// Notified when the load that this host reports to the others changes.
    pub own_load_changed: Notify,
    state: Mutex<State>,
    /// When the process received the signal to stop.
    stopped_at: OnceLock<Millis>,
    /// Whether the calls that are left are to be answered because the process ends.
    ends: watch::Sender<bool>,
    in_progress: AtomicUsize,
    connections: AtomicUsize,
}

impl Edge {
    pub fn new(settings: PlatformSettings) -> Self {
        let clock = Clock::system();
        let memory = Arc::new(InboundMemory::new(inbound_limits(settings.memory_mb)));
        let store = StoreClient::new(settings.store_addr, memory.clone());
        let bounds = age_bounds(&settings.bounds);
        let retry_budgets = HostBudgets::new(clock.now(), settings.is_first_start);
        let idle_timeouts = IdleTimeouts::new(settings.bounds.config_apply_timeout);
        let state = State::new(
            clock.now(),
            fastrand::u64(..),
            bounds,
            retry_budgets,
            idle_timeouts,
        );
        let state = Mutex::new(state);
        Edge {
            memory,
            replies: Replies::new(settings.memory_mb),
            logs: LogBudget::new(clock.now()),
            started_at: clock.now(),
            bounds: Mutex::new(settings.bounds),
            settings,
            store,
            state,
            pool: ConnectionPool::default(),
            capacity_changed: Notify::new(),
            trials_changed: Notify::new(),
            dispatch_due: Notify::new(),
            quotas: Quotas::new(clock.now(), fastrand::u64(..)),
            clock,
            datagrams: OnceLock::new(),
            own_load_changed: Notify::new(),
            queue_changed: Notify::new(),
            newer_version_reported: Notify::new(),
            rows_changed: Notify::new(),
            sources_changed: Notify::new(),
            reads_store: watch::Sender::new(false),
            stopped_at: OnceLock::new(),
            ends: watch::Sender::new(false),
            in_progress: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
        }
    }

    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Locks the state. A poisoned lock is still used, since the state is consistent after each
    /// step, even if a task panicked in between.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of live hosts including this one; 1 before others are known.
    pub fn host_count(&self) -> usize {
        self.state().hosts.count().unwrap_or(1)
    }

    /// Notifies the tasks that choose the source of the rows, and the one that reports to the other
    /// hosts whether this host reads the store.
    pub fn notify_sources_changed(&self) {
        self.sources_changed.notify_waiters();
        self.own_load_changed.notify_one();
    }

    /// Longest wait of a call to the store for changes of a table. Where hosts follow readers, it ends
    /// before the rows are older than they may become.
    pub fn change_wait(&self, table: Table) -> Millis {
        let now = self.now();
        let state = self.state();
        let hosts = state.hosts.count().unwrap_or(1);
        let wait = store_intervals::change_wait(hosts, state.sources.bounds());
        let age = state.table_age(now, table).unwrap_or(Millis::ZERO);
        match store_intervals::all_read(hosts) {
            true => wait,
            false => (wait - age).max(MIN_CHANGE_WAIT),
        }
    }

    /// This host as an entry of the list of hosts.
    pub fn own_entry(&self) -> HostEntry {
        HostEntry {
            id: self.settings.host.clone(),
            zone: Some(self.settings.zone.clone()),
            addr: self.settings.peer_addr(),
        }
    }

    /// Sets whether this host reads the tables of the store itself; returns whether that changed.
    pub fn set_reads_store(&self, reads: bool) -> bool {
        self.reads_store
            .send_if_modified(|current| std::mem::replace(current, reads) != reads)
    }

    pub fn reads_store(&self) -> bool {
        *self.reads_store.borrow()
    }

    /// Waits until this host does, or does not, read the tables of the store itself.
    pub async fn wait_for_reads_store(&self, reads: bool) {
        let mut rx = self.reads_store.subscribe();
        // The sender is a field of this struct, so it is not closed.
        let _ = rx.wait_for(|current| *current == reads).await;
    }

    /// Time limit for receiving a request's head.
    pub fn head_timeout(&self) -> Millis {
        let limits = self.state().in_force.table().map(|table| table.limits());
        limits.unwrap_or_default().head_timeout
    }

    pub fn budget_limits(&self) -> BudgetLimits {
        let bounds = self.bounds();
        BudgetLimits {
            ratio: bounds.retry_ratio,
            extra: bounds.retry_extra,
            window: bounds.retry_window,
        }
    }

    /// Notifies this host's waiting requests, and the task that reports the load to the other
    /// hosts, that the load has changed.
    pub fn notify_load_changed(&self) {
        self.own_load_changed.notify_one();
        self.capacity_changed.notify_waiters();
    }

    pub fn is_stopping(&self) -> bool {
        self.stopped_at.get().is_some()
    }

    /// Begins the grace period, or returns the one that has begun.
    pub fn stop(&self) -> GracePeriod {
        let began = *self.stopped_at.get_or_init(|| self.now());
        GracePeriod::new(began, self.bounds().grace_period)
    }

    /// The grace period, once it has begun.
    fn grace(&self) -> Option<GracePeriod> {
        self.stopped_at.get().map(|_| self.stop())
    }

    /// Bounds of the settings file in force.
    pub fn bounds(&self) -> Bounds {
        *self.lock_bounds()
    }

    fn lock_bounds(&self) -> MutexGuard<'_, Bounds> {
        self.bounds.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts bounds in force. A grace period that has begun becomes no longer: the process may be killed at
    /// the end of the one that was in force when it began.
    pub fn set_bounds(&self, bounds: Bounds) {
        {
            let mut current = self.lock_bounds();
            let grace_period = match self.is_stopping() {
                true => bounds.grace_period.min(current.grace_period),
                false => bounds.grace_period,
            };
            *current = Bounds {
                grace_period,
                ..bounds
            };
        }
        let mut state = self.state();
        state.sources.set_bounds(age_bounds(&bounds));
        state.idle_timeouts.set_overlap(bounds.config_apply_timeout);
        drop(state);
        self.notify_sources_changed();
    }

    /// Whether a request that arrives now can be answered before the process ends.
    pub fn may_accept(&self, now: Millis, request: LateRequest) -> bool {
        let grace = self.grace();
        grace.is_none_or(|grace| grace.may_accept(now, request))
    }

    /// Lets the calls that are left be answered at once.
    pub fn end_calls(&self) {
        self.ends.send_replace(true);
    }

    /// Waits until the calls that are left are to be answered.
    pub async fn wait_for_end(&self) {
        let mut rx = self.ends.subscribe();
        // The sender is a field of this struct, so it is not closed.
        let _ = rx.wait_for(|ends| *ends).await;
    }

    /// Whether the load balancer may send callers to this host.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.state().is_ready()
    }

    /// Number of requests that are not answered yet.
    pub fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::Relaxed)
    }

    /// Number of open connections of callers.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }
}

/// Bounds on the age of rows. Configuration and servers have the same source.
fn age_bounds(bounds: &Bounds) -> AgeBounds {
    AgeBounds::new(bounds.config_apply_timeout.min(bounds.drain_timeout))
}

fn inbound_limits(memory_mb: f64) -> InboundLimits {
    let bytes = |share: f64| (memory_mb * share * 1e6) as usize;
    InboundLimits {
        callers: bytes(CALLER_MEMORY_SHARE),
        servers: bytes(SERVER_MEMORY_SHARE),
        store: bytes(STORE_MEMORY_SHARE),
        heads: bytes(HEAD_MEMORY_SHARE),
    }
}

/// Counts a request in progress until dropped.
#[derive(Debug)]
pub(crate) struct RequestCountGuard(Arc<Edge>);

impl RequestCountGuard {
    pub fn new(edge: &Arc<Edge>) -> Self {
        edge.in_progress.fetch_add(1, Ordering::Relaxed);
        RequestCountGuard(edge.clone())
    }
}

impl Drop for RequestCountGuard {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts a caller's connection until dropped.
#[derive(Debug)]
pub(crate) struct ConnectionCountGuard(Arc<Edge>);

impl ConnectionCountGuard {
    pub fn new(edge: &Arc<Edge>) -> Self {
        edge.connections.fetch_add(1, Ordering::Relaxed);
        ConnectionCountGuard(edge.clone())
    }
}

impl Drop for ConnectionCountGuard {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A send that counts towards its server's load until it ends. Dropping it without
/// [`TrackedSend::end`] records a cancellation.
#[derive(Debug)]
pub(crate) struct TrackedSend {
    edge: Arc<Edge>,
    server: BackendId,
    send: SendId,
}

impl TrackedSend {
    /// Wraps a send that was begun when the server was chosen and that still has to be confirmed.
    pub fn from_send(edge: &Arc<Edge>, server: &BackendId, send: SendId) -> Self {
        TrackedSend {
            edge: edge.clone(),
            server: server.clone(),
            send,
        }
    }

    pub fn begin(edge: &Arc<Edge>, server: &BackendId, work: Work) -> Self {
        let send = edge.state().fleet.begin(edge.now(), server, work);
        edge.own_load_changed.notify_one();
        TrackedSend {
            edge: edge.clone(),
            server: server.clone(),
            send,
        }
    }

    /// Records that the server has capacity for the request.
    pub fn confirm(&self) {
        self.edge.state().fleet.confirm(&self.server, self.send);
        self.edge.own_load_changed.notify_one();
    }

    /// Records progress of the request, which now needs at least this many tokens.
    pub fn record_progress(&self, tokens: Tokens) {
        let now = self.edge.now();
        let mut state = self.edge.state();
        state
            .fleet
            .record_progress(now, &self.server, self.send, tokens);
    }

    /// Records how the send ended.
    pub fn end(self, outcome: SendOutcome) {
        let now = self.edge.now();
        self.edge
            .state()
            .fleet
            .end(now, &self.server, self.send, outcome);
        self.edge.notify_load_changed();
    }
}

impl Drop for TrackedSend {
    fn drop(&mut self) {
        let now = self.edge.now();
        let mut state = self.edge.state();
        state
            .fleet
            .end(now, &self.server, self.send, SendOutcome::Cancelled);
        drop(state);
        self.edge.notify_load_changed();
    }
}
