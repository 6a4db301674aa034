//! One engine group: its lease and the orders to its engines.

use std::net::SocketAddr;
use std::sync::Arc;

use bv_config::EngineRole;
use bv_lease::{
    Action, EngineSpec, EngineState, Event, Holder, Lease, MIN_LEASE_LEFT, OrderAction, OrderEvent,
    Orders, Role,
};
use bv_types::{BackendId, Millis, PoolId, Version};
use tracing::info;

use super::{EventSender, GroupEvent, calls};
use crate::conf::CurrentConfig;
use crate::{Host, counters};

/// An engine as listed in the inventory.
#[derive(Debug, Clone)]
struct ListedEngine {
    id: BackendId,
    addr: SocketAddr,
    role: Role,
}

/// State of one engine group at this host.
pub(super) struct EngineGroup {
    pub pool: PoolId,
    lease: Lease,
    orders: Orders,
    /// Whether this host should hold the lease.
    is_wanted: bool,
    /// Version of the configuration from which the engines were taken.
    configured_version: Version,
    /// Whether the engines refuse orders with an outdated fence.
    checks_fence: bool,
    /// Sorted by id.
    engines: Vec<ListedEngine>,
    events: EventSender,
}

impl EngineGroup {
    pub fn new(host: &Host, pool: PoolId, events: EventSender) -> Self {
        let this_process = Holder {
            host: host.settings.host_id.clone(),
            incarnation: host.incarnation,
        };
        EngineGroup {
            pool,
            lease: Lease::new(this_process),
            orders: Orders::default(),
            is_wanted: false,
            configured_version: Version(0),
            checks_fence: false,
            engines: Vec::new(),
            events,
        }
    }

    /// Takes over the engines and their roles from a new configuration.
    pub fn configure(&mut self, host: &Arc<Host>, current: &CurrentConfig, checks_fence: bool) {
        if self.configured_version == current.version {
            return;
        }
        self.configured_version = current.version;
        self.checks_fence = checks_fence;
        let runners = current.inventory.runners_of(&self.pool);
        self.engines = runners
            .map(|runner| ListedEngine {
                id: runner.id.clone(),
                addr: runner.addr,
                role: match runner.role {
                    EngineRole::Prefill => Role::Prefill,
                    EngineRole::Decode => Role::Decode,
                },
            })
            .collect();
        let specs = self.engines.iter().map(|engine| EngineSpec {
            id: engine.id.clone(),
            checks_fence,
        });
        let specs = specs.collect();
        self.handle(host, GroupEvent::Order(OrderEvent::Engines(specs)));
        for engine in self.engines.clone() {
            let want = OrderEvent::Want(engine.id, engine.role);
            self.handle(host, GroupEvent::Order(want));
        }
    }

    pub fn set_wanted(&mut self, host: &Arc<Host>, want: bool) {
        if self.is_wanted != want {
            self.is_wanted = want;
            self.handle(host, GroupEvent::Lease(Event::Want(want)));
        }
    }

    /// Handles an event and starts the resulting calls.
    pub fn handle(&mut self, host: &Arc<Host>, event: GroupEvent) {
        let now = host.clock.now();
        match event {
            GroupEvent::Lease(event) => {
                for action in self.lease.handle(now, event) {
                    self.run_lease_action(host, action);
                }
            }
            GroupEvent::Order(event) => {
                let held = self.lease.held(now);
                for action in self.orders.handle(now, held, event) {
                    self.run_order_action(host, action);
                }
            }
        }
    }

    fn run_lease_action(&mut self, host: &Arc<Host>, action: Action) {
        let (host, pool, events) = (host.clone(), self.pool.clone(), self.events.clone());
        match action {
            Action::Read { read } => drop(tokio::spawn(async move {
                let event = calls::read_row(&host, &pool, read).await;
                let _ = events.send((pool, GroupEvent::Lease(event)));
            })),
            Action::Write {
                write,
                stored,
                expected,
            } => drop(tokio::spawn(async move {
                let result = calls::write_row(&host, &pool, &stored, expected).await;
                let event = Event::WriteEnded { write, result };
                let _ = events.send((pool, GroupEvent::Lease(event)));
            })),
            Action::Acquired(fence) => {
                counters::lease_changed("acquired");
                info!(pool = %self.pool, %fence, "lease: acquired");
            }
            Action::Lost(fence) => {
                counters::lease_changed("lost");
                info!(pool = %self.pool, %fence, "lease: lost");
            }
        }
    }

    fn run_order_action(&mut self, host: &Arc<Host>, action: OrderAction) {
        let (host, pool, events) = (host.clone(), self.pool.clone(), self.events.clone());
        match action {
            OrderAction::FenceSeen(fence) => {
                self.handle(&host, GroupEvent::Lease(Event::FenceSeen(fence)))
            }
            OrderAction::ReadState { engine, read } => {
                let Some(listed) = self.find(&engine) else {
                    return;
                };
                tokio::spawn(async move {
                    let read_back = calls::read_state(&host, listed.addr).await;
                    if let Some((_, fence)) = read_back {
                        let seen = GroupEvent::Lease(Event::FenceSeen(fence));
                        let _ = events.send((pool.clone(), seen));
                    }
                    let state = read_back.map_or(EngineState::Unanswered, |(state, _)| state);
                    let event = OrderEvent::State {
                        engine,
                        read,
                        state,
                    };
                    let _ = events.send((pool, GroupEvent::Order(event)));
                });
            }
            OrderAction::Send { engine, order } => {
                let (Some(listed), Some(not_after)) = (self.find(&engine), self.not_after(&host))
                else {
                    return;
                };
                info!(
                    pool = %pool,
                    %engine,
                    fence = %order.fence,
                    role = ?order.role,
                    "lease: sending an order"
                );
                tokio::spawn(async move {
                    let result = calls::send_order(&host, listed.addr, &order, not_after).await;
                    let sequence = order.sequence;
                    let event = OrderEvent::Ended {
                        engine,
                        sequence,
                        result,
                    };
                    let _ = events.send((pool, GroupEvent::Order(event)));
                });
            }
        }
    }

    fn find(&self, id: &BackendId) -> Option<ListedEngine> {
        let index = self
            .engines
            .binary_search_by(|engine| engine.id.cmp(id))
            .ok()?;
        Some(self.engines[index].clone())
    }

    /// Time after which an order must no longer be sent. Engines that do not check fences must get
    /// it `MIN_LEASE_LEFT` before the lease ends.
    fn not_after(&self, host: &Host) -> Option<Millis> {
        let held = self.lease.held(host.clock.now())?;
        Some(match self.checks_fence {
            true => held.until,
            false => held.until - MIN_LEASE_LEFT,
        })
    }
}
