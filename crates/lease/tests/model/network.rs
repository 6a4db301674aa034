//! Messages between hosts, the table and engines, with delays and losses.

use arbtest::arbitrary::Result;
use bv_lease::{
    EngineState, Event, LATE_ORDER_LIMIT, ORDER_TIMEOUT, Order, OrderEvent, OrderResult,
    StoredLease, WriteResult,
};
use bv_types::Version;

use super::simulation::{CaseCounts, Simulation};

pub(super) enum Message {
    LeaseEvent {
        host: usize,
        process: u64,
        event: Event,
    },
    OrdersEvent {
        host: usize,
        process: u64,
        event: OrderEvent,
    },
    Read {
        host: usize,
        process: u64,
        read: u64,
    },
    Write {
        host: usize,
        process: u64,
        write: u64,
        stored: StoredLease,
        expected: Option<Version>,
        answered: bool,
    },
    ReadState {
        host: usize,
        process: u64,
        engine: usize,
        read: u64,
    },
    Order {
        host: usize,
        process: u64,
        engine: usize,
        order: Order,
        answered: bool,
    },
}

impl Simulation<'_, '_> {
    /// Sends a write. Some writes are not answered; of these some are lost and the others arrive,
    /// at once or late.
    pub(super) fn send_write(
        &mut self,
        host: usize,
        write: u64,
        stored: StoredLease,
        expected: Option<Version>,
    ) -> Result<()> {
        let process = self.hosts[host].process;
        let lost = self.chance(15)?;
        let mut late = 0;
        if lost {
            let event = Event::WriteEnded {
                write,
                result: WriteResult::Unanswered,
            };
            self.messages.push((
                self.now + 1_000,
                Message::LeaseEvent {
                    host,
                    process,
                    event,
                },
            ));
            if self.chance(40)? {
                return Ok(());
            }
            late = u64::from(self.u.int_in_range(0..=30u8)?) * 200;
        }
        let at = self.now + late + self.delay()?;
        let message = Message::Write {
            host,
            process,
            write,
            stored,
            expected,
            answered: !lost,
        };
        self.messages.push((at, message));
        Ok(())
    }

    /// Sends an order. Some orders are not answered; these are lost or take effect late, up to
    /// [`LATE_ORDER_LIMIT`].
    pub(super) fn send_order(
        &mut self,
        host: usize,
        engine: usize,
        order: Order,
        counts: &mut CaseCounts,
    ) -> Result<()> {
        counts.orders += 1;
        let process = self.hosts[host].process;
        let lost = self.chance(35)?;
        let mut at = self.now + self.delay()?;
        if lost {
            let id = self.engines[engine].spec.id.clone();
            let result = OrderResult::Unanswered;
            let event = OrderEvent::Ended {
                engine: id,
                sequence: order.sequence,
                result,
            };
            let given_up = self.now + ORDER_TIMEOUT.0;
            self.messages.push((
                given_up,
                Message::OrdersEvent {
                    host,
                    process,
                    event,
                },
            ));
            if self.chance(25)? {
                return Ok(());
            }
            // Weighted towards the bound, where orders are most likely to interleave.
            let early = u64::from(self.u.int_in_range(0..=255u8)?) * 20;
            at = at.max(self.now + LATE_ORDER_LIMIT.0 - 1 - early);
            counts.late_orders += 1;
        }
        self.messages.push((
            at,
            Message::Order {
                host,
                process,
                engine,
                order,
                answered: !lost,
            },
        ));
        Ok(())
    }

    pub(super) fn receive(&mut self, message: Message, counts: &mut CaseCounts) -> Result<()> {
        let answered_at = self.now + self.delay()?;
        match message {
            Message::LeaseEvent {
                host,
                process,
                event,
            } if self.is_current_process(host, process) => {
                self.handle_lease_event(host, event, counts)?;
            }
            Message::OrdersEvent {
                host,
                process,
                event,
            } if self.is_current_process(host, process) => {
                self.handle_order_event(host, event, counts)?;
            }
            Message::LeaseEvent { .. } | Message::OrdersEvent { .. } => {}
            Message::Read {
                host,
                process,
                read,
            } => {
                let is_stale = self.chance(10)?;
                let row = match is_stale {
                    true => self.previous_row.clone(),
                    false => self.row.clone(),
                };
                let event = match self.is_store_up {
                    true => Event::Read { read, row },
                    false => Event::ReadFailed { read },
                };
                self.messages.push((
                    answered_at,
                    Message::LeaseEvent {
                        host,
                        process,
                        event,
                    },
                ));
            }
            Message::Write {
                host,
                process,
                write,
                stored,
                expected,
                answered,
            } => {
                let version = self.row.as_ref().map(|row| row.version);
                let result = match self.is_store_up {
                    false => WriteResult::Unavailable,
                    true if version != expected => WriteResult::Conflict(self.row.clone()),
                    true => {
                        self.previous_row = self.row.replace(stored);
                        WriteResult::Committed
                    }
                };
                if answered {
                    let event = Event::WriteEnded { write, result };
                    self.messages.push((
                        answered_at,
                        Message::LeaseEvent {
                            host,
                            process,
                            event,
                        },
                    ));
                }
            }
            Message::ReadState {
                host,
                process,
                engine,
                read,
            } => {
                let state = match self.chance(10)? {
                    true => EngineState::Unanswered,
                    false => EngineState::Role(self.engines[engine].role),
                };
                let id = self.engines[engine].spec.id.clone();
                let event = OrderEvent::State {
                    engine: id,
                    read,
                    state,
                };
                self.messages.push((
                    answered_at,
                    Message::OrdersEvent {
                        host,
                        process,
                        event,
                    },
                ));
            }
            Message::Order {
                host,
                process,
                engine,
                order,
                answered,
            } => {
                let result = self.engines[engine].order(order);
                counts.refused += u64::from(result != OrderResult::Done);
                if answered {
                    let id = self.engines[engine].spec.id.clone();
                    let event = OrderEvent::Ended {
                        engine: id,
                        sequence: order.sequence,
                        result,
                    };
                    self.messages.push((
                        answered_at,
                        Message::OrdersEvent {
                            host,
                            process,
                            event,
                        },
                    ));
                }
            }
        }
        Ok(())
    }
}
