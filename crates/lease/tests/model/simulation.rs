//! Simulation of hosts with their leases and orders, and of faults, in simulated time.

use arbtest::arbitrary::{Result, Unstructured};
use bv_lease::{
    Action, EngineSpec, Event, Holder, Lease, OrderAction, OrderEvent, Orders, Role, StoredLease,
};
use bv_types::{BackendId, Incarnation, Millis};

use super::engine::Engine;
use super::network::Message;

const TICK_MS: u64 = 250;
const FAULTS_MS: u64 = 70_000;
/// Covers the end of a lease (9 s), its takeover (10 s), the wait before the first order (4 s) and
/// a late order (8 s).
const SETTLE_MS: u64 = 50_000;

/// Totals over many cases, to check that the cases are not trivial.
#[derive(Debug, Default)]
pub struct CaseCounts {
    pub acquired: u64,
    pub orders: u64,
    pub late_orders: u64,
    pub refused: u64,
}

pub(super) struct Host {
    lease: Lease,
    orders: Orders,
    pub(super) process: u64,
    paused_until: u64,
    want: bool,
}

pub struct Simulation<'a, 'b> {
    pub(super) u: &'a mut Unstructured<'b>,
    pub(super) now: u64,
    pub(super) hosts: Vec<Host>,
    pub(super) engines: Vec<Engine>,
    pub(super) row: Option<StoredLease>,
    pub(super) previous_row: Option<StoredLease>,
    pub(super) messages: Vec<(u64, Message)>,
    pub(super) has_faults: bool,
    pub(super) is_store_up: bool,
    pub(super) next_process: u64,
}

fn new_host(index: usize, process: u64, engines: &[Engine]) -> Host {
    let this_process = Holder {
        host: format!("host-{index}").as_str().try_into().unwrap(),
        incarnation: Incarnation(process),
    };
    let mut orders = Orders::default();
    let specs = engines.iter().map(|engine| engine.spec.clone()).collect();
    orders.handle(Millis(0), None, OrderEvent::Engines(specs));
    Host {
        lease: Lease::new(this_process),
        orders,
        process,
        paused_until: 0,
        want: false,
    }
}

impl<'a, 'b> Simulation<'a, 'b> {
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
        Ok(Simulation {
            u,
            now: 1_000_000,
            hosts: hosts.collect(),
            engines,
            row: None,
            previous_row: None,
            messages: Vec::new(),
            has_faults: true,
            is_store_up: true,
            next_process: 100,
        })
    }

    /// Runs a period with faults and one without, and checks that the engines get their wanted
    /// roles.
    pub fn run(mut self, counts: &mut CaseCounts) -> Result<()> {
        let faults_end = self.now + FAULTS_MS;
        for host in 0..self.hosts.len() {
            self.want(host, true)?;
        }
        while self.now < faults_end {
            self.inject_faults()?;
            self.step(counts)?;
        }
        self.end_faults()?;
        let end = self.now + SETTLE_MS;
        while self.now < end {
            self.step(counts)?;
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

    pub(super) fn chance(&mut self, percent: u8) -> Result<bool> {
        Ok(self.has_faults && self.u.int_in_range(0..=99u8)? >= 100 - percent)
    }

    pub(super) fn pick(&mut self, count: usize) -> Result<usize> {
        self.u.int_in_range(0..=count - 1)
    }

    pub(super) fn delay(&mut self) -> Result<u64> {
        match self.has_faults {
            true => Ok(u64::from(self.u.int_in_range(1..=50u8)?) * 8),
            false => Ok(5),
        }
    }

    fn inject_faults(&mut self) -> Result<()> {
        if self.chance(3)? {
            self.is_store_up = !self.is_store_up;
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
        self.messages.push((
            self.now,
            Message::LeaseEvent {
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
        self.messages.push((
            self.now,
            Message::OrdersEvent {
                host,
                process,
                event,
            },
        ));
        Ok(())
    }

    /// Ends the faults; from then on one host wants the lease, and both engines in the decode role.
    fn end_faults(&mut self) -> Result<()> {
        self.has_faults = false;
        self.is_store_up = true;
        for host in 0..self.hosts.len() {
            self.hosts[host].paused_until = 0;
            self.want(host, host == 0)?;
            for engine in 0..self.engines.len() {
                self.want_role(host, engine, Role::Decode)?;
            }
        }
        Ok(())
    }

    fn step(&mut self, counts: &mut CaseCounts) -> Result<()> {
        let end = self.now + TICK_MS;
        loop {
            let due = |(at, message): &(u64, Message)| self.due(*at, message);
            let next = self
                .messages
                .iter()
                .map(due)
                .enumerate()
                .min_by_key(|(_, at)| *at);
            let Some((index, at)) = next.filter(|(_, at)| *at <= end) else {
                break;
            };
            self.now = self.now.max(at);
            let (_, message) = self.messages.remove(index);
            self.receive(message, counts)?;
            self.check_holders();
        }
        self.now = end;
        for host in 0..self.hosts.len() {
            if self.hosts[host].paused_until <= self.now {
                self.handle_lease_event(host, Event::Tick, counts)?;
                self.handle_order_event(host, OrderEvent::Tick, counts)?;
            }
        }
        self.check_holders();
        Ok(())
    }

    /// Time at which a message is received; a paused host receives it after the pause.
    fn due(&self, at: u64, message: &Message) -> u64 {
        match message {
            Message::LeaseEvent { host, .. } | Message::OrdersEvent { host, .. } => {
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

    pub(super) fn handle_lease_event(
        &mut self,
        host: usize,
        event: Event,
        counts: &mut CaseCounts,
    ) -> Result<()> {
        let process = self.hosts[host].process;
        for action in self.hosts[host].lease.handle(Millis(self.now), event) {
            match action {
                Action::Read { read } => {
                    let at = self.now + self.delay()?;
                    self.messages.push((
                        at,
                        Message::Read {
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
                Action::Acquired(_) => counts.acquired += 1,
                Action::Lost(_) => {}
            }
        }
        Ok(())
    }

    pub(super) fn handle_order_event(
        &mut self,
        host: usize,
        event: OrderEvent,
        counts: &mut CaseCounts,
    ) -> Result<()> {
        let now = Millis(self.now);
        let process = self.hosts[host].process;
        let held = self.hosts[host].lease.held(now);
        for action in self.hosts[host].orders.handle(now, held, event) {
            match action {
                OrderAction::ReadState { engine, read } => {
                    let engine = self.engine_index(&engine);
                    let at = self.now + self.delay()?;
                    self.messages.push((
                        at,
                        Message::ReadState {
                            host,
                            process,
                            engine,
                            read,
                        },
                    ));
                }
                OrderAction::Send { engine, order } => {
                    let engine = self.engine_index(&engine);
                    self.send_order(host, engine, order, counts)?;
                }
                OrderAction::FenceSeen(fence) => {
                    self.handle_lease_event(host, Event::FenceSeen(fence), counts)?
                }
            }
        }
        Ok(())
    }

    pub(super) fn engine_index(&self, id: &BackendId) -> usize {
        self.engines
            .iter()
            .position(|engine| engine.spec.id == *id)
            .unwrap()
    }

    pub(super) fn is_current_process(&self, host: usize, process: u64) -> bool {
        self.hosts[host].process == process
    }
}
