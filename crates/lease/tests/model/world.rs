//! Hosts, their leases and orders, and faults in simulated time.

use arbtest::arbitrary::{Result, Unstructured};
use bv_lease::{
    Action, EngineSpec, Event, Holder, Lease, OrderAction, OrderEvent, Orders, Role, StoredLease,
};
use bv_types::{BackendId, Incarnation, Millis};

use super::engine::Engine;
use super::network::Mail;

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

pub(super) struct Host {
    lease: Lease,
    orders: Orders,
    pub(super) process: u64,
    paused_until: u64,
    want: bool,
}

pub struct World<'a, 'b> {
    pub(super) u: &'a mut Unstructured<'b>,
    pub(super) now: u64,
    pub(super) hosts: Vec<Host>,
    pub(super) engines: Vec<Engine>,
    pub(super) row: Option<StoredLease>,
    pub(super) past: Option<StoredLease>,
    pub(super) mail: Vec<(u64, Mail)>,
    pub(super) faulty: bool,
    pub(super) store_up: bool,
    pub(super) next_process: u64,
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

    pub(super) fn chance(&mut self, percent: u8) -> Result<bool> {
        Ok(self.faulty && self.u.int_in_range(0..=99u8)? >= 100 - percent)
    }

    pub(super) fn pick(&mut self, count: usize) -> Result<usize> {
        self.u.int_in_range(0..=count - 1)
    }

    pub(super) fn delay(&mut self) -> Result<u64> {
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

    pub(super) fn lease(&mut self, host: usize, event: Event, tally: &mut Tally) -> Result<()> {
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

    pub(super) fn orders(
        &mut self,
        host: usize,
        event: OrderEvent,
        tally: &mut Tally,
    ) -> Result<()> {
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

    pub(super) fn find(&self, id: &BackendId) -> usize {
        self.engines
            .iter()
            .position(|engine| engine.spec.id == *id)
            .unwrap()
    }

    pub(super) fn is(&self, host: usize, process: u64) -> bool {
        self.hosts[host].process == process
    }
}
