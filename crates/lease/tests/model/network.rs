//! Messages between hosts, the table and engines, with delays and losses.

use arbtest::arbitrary::Result;
use bv_lease::{
    EngineState, Event, LATE_ORDER_LIMIT, ORDER_TIMEOUT, Order, OrderEvent, OrderResult,
    StoredLease, WriteResult,
};
use bv_types::Version;

use super::world::{Tally, World};

pub(super) enum Mail {
    Lease {
        host: usize,
        process: u64,
        event: Event,
    },
    Orders {
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
    State {
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

impl World<'_, '_> {
    /// Some writes are not answered, whether or not they arrive, and at once or late.
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
            self.mail.push((
                self.now + 1_000,
                Mail::Lease {
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
        let mail = Mail::Write {
            host,
            process,
            write,
            stored,
            expected,
            answered: !lost,
        };
        self.mail.push((at, mail));
        Ok(())
    }

    /// Some orders are not answered; they get lost or take effect up to the stated bound later.
    pub(super) fn send_order(
        &mut self,
        host: usize,
        engine: usize,
        order: Order,
        tally: &mut Tally,
    ) -> Result<()> {
        tally.orders += 1;
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
            self.mail.push((
                given_up,
                Mail::Orders {
                    host,
                    process,
                    event,
                },
            ));
            if self.chance(25)? {
                return Ok(());
            }
            // Weighted towards the bound, where interleaving would show.
            let early = u64::from(self.u.int_in_range(0..=255u8)?) * 20;
            at = at.max(self.now + LATE_ORDER_LIMIT.0 - 1 - early);
            tally.late_orders += 1;
        }
        self.mail.push((
            at,
            Mail::Order {
                host,
                process,
                engine,
                order,
                answered: !lost,
            },
        ));
        Ok(())
    }

    pub(super) fn receive(&mut self, mail: Mail, tally: &mut Tally) -> Result<()> {
        let answered_at = self.now + self.delay()?;
        match mail {
            Mail::Lease {
                host,
                process,
                event,
            } if self.is(host, process) => {
                self.lease(host, event, tally)?;
            }
            Mail::Orders {
                host,
                process,
                event,
            } if self.is(host, process) => {
                self.orders(host, event, tally)?;
            }
            Mail::Lease { .. } | Mail::Orders { .. } => {}
            Mail::Read {
                host,
                process,
                read,
            } => {
                let lags = self.chance(10)?;
                let row = match lags {
                    true => self.past.clone(),
                    false => self.row.clone(),
                };
                let event = match self.store_up {
                    true => Event::Read { read, row },
                    false => Event::ReadFailed { read },
                };
                self.mail.push((
                    answered_at,
                    Mail::Lease {
                        host,
                        process,
                        event,
                    },
                ));
            }
            Mail::Write {
                host,
                process,
                write,
                stored,
                expected,
                answered,
            } => {
                let version = self.row.as_ref().map(|row| row.version);
                let result = match self.store_up {
                    false => WriteResult::Unavailable,
                    true if version != expected => WriteResult::Conflict(self.row.clone()),
                    true => {
                        self.past = self.row.replace(stored);
                        WriteResult::Committed
                    }
                };
                if answered {
                    let event = Event::WriteEnded { write, result };
                    self.mail.push((
                        answered_at,
                        Mail::Lease {
                            host,
                            process,
                            event,
                        },
                    ));
                }
            }
            Mail::State {
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
                self.mail.push((
                    answered_at,
                    Mail::Orders {
                        host,
                        process,
                        event,
                    },
                ));
            }
            Mail::Order {
                host,
                process,
                engine,
                order,
                answered,
            } => {
                let result = self.engines[engine].order(order);
                tally.refused += u64::from(result != OrderResult::Done);
                if answered {
                    let id = self.engines[engine].spec.id.clone();
                    let event = OrderEvent::Ended {
                        engine: id,
                        sequence: order.sequence,
                        result,
                    };
                    self.mail.push((
                        answered_at,
                        Mail::Orders {
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
