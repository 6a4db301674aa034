//! Orders to the engines of one group, sent under its lease.

use bv_types::{BackendId, Fence, Millis};

use crate::{HeldLease, Role};

/// Time after which an unanswered order is given up.
pub const ORDER_TIMEOUT: Millis = Millis(2_000);
/// Minimum remaining time of the lease for an order to an engine that does not check fences.
pub const MIN_LEASE_LEFT: Millis = Millis(3_000);
/// Time between acquiring the lease and the first order to an engine that does not check fences.
pub const FIRST_ORDER_WAIT: Millis = Millis(4_000);
/// Longest time after which an order that was sent may still take effect. As long as this holds,
/// the orders of two holders do not interleave on an engine that does not check fences, because of
/// [`MIN_LEASE_LEFT`], [`TAKEOVER_MARGIN`](crate::TAKEOVER_MARGIN) of 1 s and [`FIRST_ORDER_WAIT`]
/// together.
pub const LATE_ORDER_LIMIT: Millis = Millis(8_000);
const RETRY_DELAY: Millis = Millis(500);
/// Time after which a known role is read again, because the engine may have restarted or carried
/// out a late order of an earlier holder.
const ROLE_RECHECK_INTERVAL: Millis = Millis(10_000);

/// An engine of the group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineSpec {
    /// Its id.
    pub id: BackendId,
    /// Whether it refuses orders with an old fence.
    pub checks_fence: bool,
}

/// An order to change role.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Order {
    /// Fence of the holder.
    pub fence: Fence,
    /// Position among the orders of this process.
    pub sequence: u64,
    /// Role to change to.
    pub role: Role,
}

/// Input of [`Orders`].
#[derive(Debug, Clone)]
pub enum OrderEvent {
    /// The engines of the group.
    Engines(Vec<EngineSpec>),
    /// An engine should have this role.
    Want(BackendId, Role),
    /// The state of an engine was read.
    State {
        /// The engine.
        engine: BackendId,
        /// Id from [`OrderAction::ReadState`].
        read: u64,
        /// Reported state.
        state: EngineState,
    },
    /// An order was answered or given up.
    Ended {
        /// The engine.
        engine: BackendId,
        /// Position from [`Order::sequence`].
        sequence: u64,
        /// Result.
        result: OrderResult,
    },
    /// Time has passed.
    Tick,
}

/// Role that an engine reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineState {
    /// Its role.
    Role(Role),
    /// It has no role, as before its first order; it is ordered to take the wanted one.
    NoRole,
    /// It did not answer.
    Unanswered,
}

/// Result of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResult {
    /// The engine carried it out.
    Done,
    /// The engine refused it because it knows a higher fence.
    Stale(Fence),
    /// It did not take effect and will not.
    Refused,
    /// It may have taken effect or may still do so.
    Unanswered,
}

/// Output of [`Orders`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderAction {
    /// Read the engine's role; answer with [`OrderEvent::State`].
    ReadState {
        /// The engine.
        engine: BackendId,
        /// Id of the read.
        read: u64,
    },
    /// Send an order immediately or not at all, and give it up after [`ORDER_TIMEOUT`]; answer with
    /// [`OrderEvent::Ended`].
    Send {
        /// The engine.
        engine: BackendId,
        /// The order.
        order: Order,
    },
    /// An engine knows this fence, so the lease needs a higher one.
    FenceSeen(Fence),
}

/// What is known about the role of an engine, or the request in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EnginePhase {
    /// The role is not known.
    Unknown,
    Reading(u64),
    /// Role that the engine reported or carried out, and when; `None` if it reported no role.
    Known(Option<Role>, Millis),
    Sending {
        sequence: u64,
        role: Role,
        sent: Millis,
    },
}

#[derive(Debug, Clone)]
struct Engine {
    spec: EngineSpec,
    wanted: Option<Role>,
    phase: EnginePhase,
    /// No read and no order before this time.
    not_before: Millis,
}

/// Sends orders to the engines of one group while its lease is held.
#[derive(Debug, Clone, Default)]
pub struct Orders {
    engines: Vec<Engine>,
    fence: Option<Fence>,
    next_id: u64,
}

impl Orders {
    /// Processes an event and returns what to do. `held` is the lease at `now`.
    pub fn handle(
        &mut self,
        now: Millis,
        held: Option<HeldLease>,
        event: OrderEvent,
    ) -> Vec<OrderAction> {
        let mut actions = Vec::new();
        self.reset_on_lease_change(held);
        match event {
            OrderEvent::Engines(specs) => self.set_engines(specs),
            OrderEvent::Want(id, role) => {
                if let Some(engine) = self.engine(&id) {
                    engine.wanted = Some(role);
                }
            }
            OrderEvent::State {
                engine,
                read,
                state,
            } => self.handle_state(now, &engine, read, state),
            OrderEvent::Ended {
                engine,
                sequence,
                result,
            } => self.handle_order_end(now, &engine, sequence, result, &mut actions),
            OrderEvent::Tick => {}
        }
        if let Some(held) = held {
            self.start_due_requests(now, held, &mut actions);
        }
        actions
    }

    /// Role of an engine as read or ordered under the current lease.
    pub fn known(&self, id: &BackendId) -> Option<Role> {
        let index = self.find(id).ok()?;
        match self.engines[index].phase {
            EnginePhase::Known(role, _) => role,
            _ => None,
        }
    }

    fn find(&self, id: &BackendId) -> Result<usize, usize> {
        self.engines
            .binary_search_by(|engine| engine.spec.id.cmp(id))
    }

    fn engine(&mut self, id: &BackendId) -> Option<&mut Engine> {
        let index = self.find(id).ok()?;
        Some(&mut self.engines[index])
    }

    fn set_engines(&mut self, mut specs: Vec<EngineSpec>) {
        specs.sort_by(|a, b| a.id.cmp(&b.id));
        let mut engines = Vec::with_capacity(specs.len());
        for spec in specs {
            let known = self
                .find(&spec.id)
                .ok()
                .map(|index| self.engines[index].clone());
            engines.push(match known {
                Some(engine) => Engine { spec, ..engine },
                None => Engine {
                    spec,
                    wanted: None,
                    phase: EnginePhase::Unknown,
                    not_before: Millis::ZERO,
                },
            });
        }
        self.engines = engines;
    }

    /// Discards what is known about the engines when the lease changes.
    fn reset_on_lease_change(&mut self, held: Option<HeldLease>) {
        let fence = held.map(|held| held.fence);
        if fence == self.fence {
            return;
        }
        self.fence = fence;
        for engine in &mut self.engines {
            engine.phase = EnginePhase::Unknown;
        }
    }

    fn handle_state(&mut self, now: Millis, id: &BackendId, read: u64, state: EngineState) {
        let Some(engine) = self.engine(id) else {
            return;
        };
        if engine.phase != EnginePhase::Reading(read) {
            return;
        }
        match state {
            EngineState::Role(role) => engine.phase = EnginePhase::Known(Some(role), now),
            EngineState::NoRole => engine.phase = EnginePhase::Known(None, now),
            EngineState::Unanswered => {
                engine.phase = EnginePhase::Unknown;
                engine.not_before = now + RETRY_DELAY;
            }
        }
    }

    fn handle_order_end(
        &mut self,
        now: Millis,
        id: &BackendId,
        ended_sequence: u64,
        result: OrderResult,
        actions: &mut Vec<OrderAction>,
    ) {
        if let OrderResult::Stale(fence) = result {
            actions.push(OrderAction::FenceSeen(fence));
        }
        let Some(engine) = self.engine(id) else {
            return;
        };
        let EnginePhase::Sending {
            sequence,
            role,
            sent,
        } = engine.phase
        else {
            return;
        };
        if sequence != ended_sequence {
            return;
        }
        match result {
            OrderResult::Done => engine.phase = EnginePhase::Known(Some(role), now),
            OrderResult::Stale(_) | OrderResult::Refused => {
                engine.phase = EnginePhase::Unknown;
                engine.not_before = now + RETRY_DELAY;
            }
            OrderResult::Unanswered => {
                // The engine is neither read nor ordered until the order can no longer take effect.
                engine.phase = EnginePhase::Unknown;
                engine.not_before = sent + LATE_ORDER_LIMIT;
            }
        }
    }

    fn start_due_requests(&mut self, now: Millis, held: HeldLease, actions: &mut Vec<OrderAction>) {
        for engine in &mut self.engines {
            if now < engine.ready_at(held) {
                continue;
            }
            if let EnginePhase::Known(_, at) = engine.phase
                && now >= at + ROLE_RECHECK_INTERVAL
            {
                engine.phase = EnginePhase::Unknown;
            }
            let id = self.next_id;
            match (engine.phase, engine.wanted) {
                (EnginePhase::Unknown, Some(_)) => {
                    engine.phase = EnginePhase::Reading(id);
                    actions.push(OrderAction::ReadState {
                        engine: engine.spec.id.clone(),
                        read: id,
                    });
                }
                (EnginePhase::Known(known, _), Some(role))
                    if known != Some(role) && engine.may_send(now, held) =>
                {
                    engine.phase = EnginePhase::Sending {
                        sequence: id,
                        role,
                        sent: now,
                    };
                    actions.push(OrderAction::Send {
                        engine: engine.spec.id.clone(),
                        order: Order {
                            fence: held.fence,
                            sequence: id,
                            role,
                        },
                    });
                }
                _ => continue,
            }
            self.next_id += 1;
        }
    }
}

impl Engine {
    /// When this engine may first be read or ordered under the lease. The state is read only after
    /// the wait, because an order of the previous holder may take effect until then.
    fn ready_at(&self, held: HeldLease) -> Millis {
        match self.spec.checks_fence {
            true => self.not_before,
            false => self.not_before.max(held.acquired + FIRST_ORDER_WAIT),
        }
    }

    fn may_send(&self, now: Millis, held: HeldLease) -> bool {
        let left = held.until - now;
        match self.spec.checks_fence {
            true => left > Millis::ZERO,
            false => left >= MIN_LEASE_LEFT,
        }
    }
}
