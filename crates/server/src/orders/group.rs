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

use super::{Answer, Answers, calls};
use crate::conf::InForce;
use crate::{Host, counters};

/// An engine as listed in the inventory.
#[derive(Debug, Clone)]
struct Listed {
    id: BackendId,
    addr: SocketAddr,
    role: Role,
}

/// State of one engine group at this host.
pub(super) struct Group {
    pub pool: PoolId,
    lease: Lease,
    orders: Orders,
    wanted: bool,
    configured: Version,
    checks_fence: bool,
    /// Sorted by id.
    engines: Vec<Listed>,
    answers: Answers,
}

impl Group {
    pub fn new(host: &Host, pool: PoolId, answers: Answers) -> Self {
        let me = Holder {
            host: host.settings.host_id.clone(),
            incarnation: host.incarnation,
        };
        Group {
            pool,
            lease: Lease::new(me),
            orders: Orders::default(),
            wanted: false,
            configured: Version(0),
            checks_fence: false,
            engines: Vec::new(),
            answers,
        }
    }

    /// Takes over the engines and their roles from a new configuration.
    pub fn configure(&mut self, host: &Arc<Host>, current: &InForce, checks_fence: bool) {
        if self.configured == current.version {
            return;
        }
        self.configured = current.version;
        self.checks_fence = checks_fence;
        let runners = current.inventory.runners_of(&self.pool);
        self.engines = runners
            .map(|runner| Listed {
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
        self.handle(host, Answer::Order(OrderEvent::Engines(specs)));
        for engine in self.engines.clone() {
            let want = OrderEvent::Want(engine.id, engine.role);
            self.handle(host, Answer::Order(want));
        }
    }

    pub fn want(&mut self, host: &Arc<Host>, want: bool) {
        if self.wanted != want {
            self.wanted = want;
            self.handle(host, Answer::Lease(Event::Want(want)));
        }
    }

    /// Processes an event and starts what follows from it.
    pub fn handle(&mut self, host: &Arc<Host>, answer: Answer) {
        let now = host.clock.now();
        match answer {
            Answer::Lease(event) => {
                for action in self.lease.handle(now, event) {
                    self.run_lease(host, action);
                }
            }
            Answer::Order(event) => {
                let held = self.lease.held(now);
                for action in self.orders.handle(now, held, event) {
                    self.run_order(host, action);
                }
            }
        }
    }

    fn run_lease(&mut self, host: &Arc<Host>, action: Action) {
        let (host, pool, answers) = (host.clone(), self.pool.clone(), self.answers.clone());
        match action {
            Action::Read { read } => drop(tokio::spawn(async move {
                let event = calls::read_row(&host, &pool, read).await;
                let _ = answers.send((pool, Answer::Lease(event)));
            })),
            Action::Write {
                write,
                stored,
                expected,
            } => drop(tokio::spawn(async move {
                let result = calls::write_row(&host, &pool, &stored, expected).await;
                let event = Event::WriteEnded { write, result };
                let _ = answers.send((pool, Answer::Lease(event)));
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

    fn run_order(&mut self, host: &Arc<Host>, action: OrderAction) {
        let (host, pool, answers) = (host.clone(), self.pool.clone(), self.answers.clone());
        match action {
            OrderAction::FenceSeen(fence) => {
                self.handle(&host, Answer::Lease(Event::FenceSeen(fence)))
            }
            OrderAction::ReadState { engine, read } => {
                let Some(listed) = self.find(&engine) else {
                    return;
                };
                tokio::spawn(async move {
                    let read_back = calls::read_state(&host, listed.addr).await;
                    if let Some((_, fence)) = read_back {
                        let seen = Answer::Lease(Event::FenceSeen(fence));
                        let _ = answers.send((pool.clone(), seen));
                    }
                    let state = read_back.map_or(EngineState::Unanswered, |(state, _)| state);
                    let event = OrderEvent::State {
                        engine,
                        read,
                        state,
                    };
                    let _ = answers.send((pool, Answer::Order(event)));
                });
            }
            OrderAction::Send { engine, order } => {
                let (Some(listed), Some(not_after)) = (self.find(&engine), self.not_after(&host))
                else {
                    return;
                };
                info!(pool = %pool, %engine, fence = %order.fence, role = ?order.role, "lease: order");
                tokio::spawn(async move {
                    let result = calls::send_order(&host, listed.addr, &order, not_after).await;
                    let sequence = order.sequence;
                    let event = OrderEvent::Ended {
                        engine,
                        sequence,
                        result,
                    };
                    let _ = answers.send((pool, Answer::Order(event)));
                });
            }
        }
    }

    fn find(&self, id: &BackendId) -> Option<Listed> {
        let index = self
            .engines
            .binary_search_by(|engine| engine.id.cmp(id))
            .ok()?;
        Some(self.engines[index].clone())
    }

    /// Time after which an order must no longer be sent.
    fn not_after(&self, host: &Host) -> Option<Millis> {
        let held = self.lease.held(host.clock.now())?;
        Some(match self.checks_fence {
            true => held.until,
            false => held.until - MIN_LEASE_LEFT,
        })
    }
}
