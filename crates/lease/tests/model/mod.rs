//! Simulated holders, table and engines around `Lease` and `Orders`, with an oracle engine.

use arbtest::arbitrary::{Result, Unstructured};
use bv_lease::{
    Action, EngineSpec, Event, Holder, LATE_ORDER_LIMIT, Lease, ORDER_TIMEOUT, Order, OrderAction,
    OrderEvent, OrderResult, Orders, Role, Stored, WriteResult,
};
use bv_types::{BackendId, Incarnation, Millis, Version};

const TICK: u64 = 250;
const FAULTS_MS: u64 = 70_000;
/// A lease runs out (9 s), is taken (10 s), the wait (4 s) and a late order (8 s) pass.
const SETTLE_MS: u64 = 50_000;

/// Counts over many cases, to show that the cases are not trivial.
#[derive(Debug, Default)]
pub struct Tally {
    pub acquired: u64,
    pub orders: u64,
    pub late_orders: u64,
    pub refused: u64,
}

struct Host {
    lease: Lease,
    orders: Orders,
    process: u64,
    paused_until: u64,
    want: bool,
}

/// Records the orders that took effect.
struct Engine {
    spec: EngineSpec,
    role: Role,
    applied: Vec<Order>,
}

impl Engine {
    /// Carries out an order unless it knows a higher fence and checks it.
    fn order(&mut self, order: Order) -> OrderResult {
        let highest = self.applied.iter().map(|order| order.fence).max();
        if let Some(highest) = highest.filter(|highest| order.fence < *highest) {
            if self.spec.checks_fence {
                return OrderResult::Stale(highest);
            }
            panic!(
                "an order with fence {} took effect at {} after one with fence {highest}",
                order.fence, self.spec.id
            );
        }
        if let Some(last) = self.applied.last() {
            assert!(
                (order.fence, order.sequence) > (last.fence, last.sequence),
                "{order:?} took effect after {last:?} of the same holder"
            );
        }
        self.applied.push(order);
        self.role = order.role;
        OrderResult::Done
    }
}

enum Mail {
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
        stored: Stored,
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

pub struct World<'a, 'b> {
    u: &'a mut Unstructured<'b>,
    now: u64,
    hosts: Vec<Host>,
    engines: Vec<Engine>,
    row: Option<Stored>,
    past: Option<Stored>,
    mail: Vec<(u64, Mail)>,
    faulty: bool,
    store_up: bool,
    next_process: u64,
}

fn new_host(index: usize, process: u64, engines: &[Engine]) -> Host {
    let me = Holder {
        host: format!("host-{index}").as_str().try_into().unwrap(),
        incarnation: Incarnation(process),
    };
    let mut orders = Orders::default();
    let specs = engines.iter().map(|engine| engine.spec.clone()).collect();
    orders.handle(Millis(0), None, OrderEvent::Engines(specs));
    Host {
        lease: Lease::new(me),
        orders,
        process,
        paused_until: 0,
        want: false,
    }
}

impl<'a, 'b> World<'a, 'b> {
    pub fn new(u: &'a mut Unstructured<'b>) -> Result<Self> {
        let engines: Vec<Engine> = [true, false]
            .into_iter()
            .enumerate()
            .map(|(index, checks_fence)| Engine {
                spec: EngineSpec {
                    id: format!("engine-{index}").as_str().try_into().unwrap(),
                    checks_fence,
                },
                role: Role::Prefill,
                applied: Vec::new(),
            })
            .collect();
        let count = u.int_in_range(2..=3)?;
        let hosts = (0..count).map(|index| new_host(index, index as u64, &engines));
        Ok(World {
            u,
            now: 1_000_000,
            hosts: hosts.collect(),
            engines,
            row: None,
            past: None,
            mail: Vec::new(),
            faulty: true,
            store_up: true,
            next_process: 100,
        })
    }

    /// Runs a time with faults and a time without, and checks that orders get through at last.
    pub fn run(mut self, tally: &mut Tally) -> Result<()> {
        let faults_end = self.now + FAULTS_MS;
        for host in 0..self.hosts.len() {
            self.want(host, true)?;
        }
        while self.now < faults_end {
            self.disturb()?;
            self.step(tally)?;
        }
        self.settle()?;
        let end = self.now + SETTLE_MS;
        while self.now < end {
            self.step(tally)?;
        }
        for engine in &self.engines {
            assert_eq!(
                engine.role,
                Role::Decode,
                "{} has the wrong role",
                engine.spec.id
            );
        }
        Ok(())
    }

    fn chance(&mut self, percent: u8) -> Result<bool> {
        Ok(self.faulty && self.u.int_in_range(0..=99u8)? >= 100 - percent)
    }

    fn pick(&mut self, count: usize) -> Result<usize> {
        self.u.int_in_range(0..=count - 1)
    }

    fn delay(&mut self) -> Result<u64> {
        match self.faulty {
            true => Ok(u64::from(self.u.int_in_range(1..=50u8)?) * 8),
            false => Ok(5),
        }
    }

    fn disturb(&mut self) -> Result<()> {
        if self.chance(3)? {
            self.store_up = !self.store_up;
        }
        let host = self.pick(self.hosts.len())?;
        if self.chance(4)? {
            let want = !self.hosts[host].want;
            self.want(host, want)?;
        }
        if self.chance(3)? {
            let pause = u64::from(self.u.int_in_range(1..=20u8)?) * 1_000;
            self.hosts[host].paused_until = self.now + pause;
        }
        if self.chance(2)? {
            self.next_process += 1;
            let want = self.hosts[host].want;
            self.hosts[host] = new_host(host, self.next_process, &self.engines);
            self.want(host, want)?;
        }
        if self.chance(40)? {
            let engine = self.pick(self.engines.len())?;
            let role = match self.u.arbitrary()? {
                true => Role::Prefill,
                false => Role::Decode,
            };
            for host in 0..self.hosts.len() {
                self.want_role(host, engine, role)?;
            }
        }
        Ok(())
    }

    fn want(&mut self, host: usize, want: bool) -> Result<()> {
        self.hosts[host].want = want;
        let process = self.hosts[host].process;
        self.mail.push((
            self.now,
            Mail::Lease {
                host,
                process,
                event: Event::Want(want),
            },
        ));
        Ok(())
    }

    fn want_role(&mut self, host: usize, engine: usize, role: Role) -> Result<()> {
        let id = self.engines[engine].spec.id.clone();
        let process = self.hosts[host].process;
        let event = OrderEvent::Want(id, role);
        self.mail.push((
            self.now,
            Mail::Orders {
                host,
                process,
                event,
            },
        ));
        Ok(())
    }

    /// Ends the faults; one host wants the lease and both engines in the decode role.
    fn settle(&mut self) -> Result<()> {
        self.faulty = false;
        self.store_up = true;
        for host in 0..self.hosts.len() {
            self.hosts[host].paused_until = 0;
            self.want(host, host == 0)?;
            for engine in 0..self.engines.len() {
                self.want_role(host, engine, Role::Decode)?;
            }
        }
        Ok(())
    }

    fn step(&mut self, tally: &mut Tally) -> Result<()> {
        let end = self.now + TICK;
        loop {
            let due = |(at, mail): &(u64, Mail)| self.due(*at, mail);
            let next = self
                .mail
                .iter()
                .map(due)
                .enumerate()
                .min_by_key(|(_, at)| *at);
            let Some((index, at)) = next.filter(|(_, at)| *at <= end) else {
                break;
            };
            self.now = self.now.max(at);
            let (_, mail) = self.mail.remove(index);
            self.receive(mail, tally)?;
            self.check_holders();
        }
        self.now = end;
        for host in 0..self.hosts.len() {
            if self.hosts[host].paused_until <= self.now {
                self.lease(host, Event::Tick, tally)?;
                self.orders(host, OrderEvent::Tick, tally)?;
            }
        }
        self.check_holders();
        Ok(())
    }

    /// A paused host receives its mail when it wakes.
    fn due(&self, at: u64, mail: &Mail) -> u64 {
        match mail {
            Mail::Lease { host, .. } | Mail::Orders { host, .. } => {
                at.max(self.hosts[*host].paused_until)
            }
            _ => at,
        }
    }

    fn check_holders(&self) {
        let now = Millis(self.now);
        let holders = self
            .hosts
            .iter()
            .filter(|host| host.lease.held(now).is_some());
        assert!(
            holders.count() <= 1,
            "two processes hold the lease at {now}"
        );
    }

    fn lease(&mut self, host: usize, event: Event, tally: &mut Tally) -> Result<()> {
        let process = self.hosts[host].process;
        for action in self.hosts[host].lease.handle(Millis(self.now), event) {
            match action {
                Action::Read { read } => {
                    let at = self.now + self.delay()?;
                    self.mail.push((
                        at,
                        Mail::Read {
                            host,
                            process,
                            read,
                        },
                    ));
                }
                Action::Write {
                    write,
                    stored,
                    expected,
                } => {
                    self.send_write(host, write, stored, expected)?;
                }
                Action::Acquired(_) => tally.acquired += 1,
                Action::Lost(_) => {}
            }
        }
        Ok(())
    }

    /// Some writes are not answered, whether or not they arrive, and at once or late.
    fn send_write(
        &mut self,
        host: usize,
        write: u64,
        stored: Stored,
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

    fn orders(&mut self, host: usize, event: OrderEvent, tally: &mut Tally) -> Result<()> {
        let now = Millis(self.now);
        let process = self.hosts[host].process;
        let held = self.hosts[host].lease.held(now);
        for action in self.hosts[host].orders.handle(now, held, event) {
            match action {
                OrderAction::ReadState { engine, read } => {
                    let engine = self.find(&engine);
                    let at = self.now + self.delay()?;
                    self.mail.push((
                        at,
                        Mail::State {
                            host,
                            process,
                            engine,
                            read,
                        },
                    ));
                }
                OrderAction::Send { engine, order } => {
                    let engine = self.find(&engine);
                    self.send_order(host, engine, order, tally)?;
                }
                OrderAction::FenceSeen(fence) => {
                    self.lease(host, Event::FenceSeen(fence), tally)?
                }
            }
        }
        Ok(())
    }

    /// Some orders are not answered; they get lost or take effect up to the stated bound later.
    fn send_order(
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

    fn find(&self, id: &BackendId) -> usize {
        self.engines
            .iter()
            .position(|engine| engine.spec.id == *id)
            .unwrap()
    }

    fn receive(&mut self, mail: Mail, tally: &mut Tally) -> Result<()> {
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
                let role = match self.chance(10)? {
                    true => None,
                    false => Some(self.engines[engine].role),
                };
                let id = self.engines[engine].spec.id.clone();
                let event = OrderEvent::State {
                    engine: id,
                    read,
                    role,
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

    fn is(&self, host: usize, process: u64) -> bool {
        self.hosts[host].process == process
    }
}
