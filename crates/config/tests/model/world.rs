//! Hosts, operators and faults in simulated time.

use arbtest::arbitrary::{Result, Unstructured};
use bv_config::{Action, Document, Event, Outcome, Versions};
use bv_types::{Fingerprint, HostId, Millis, Version};
use smol_str::{SmolStr, format_smolstr};

use super::check;
use super::network::Message;
use super::table::Table;

const TICK_MS: u64 = 200;
/// Duration of the faults: above the freshness limit (15 s), so that hosts become stale in long
/// outages.
const FAULTS_MS: u64 = 24_000;
/// Duration of the time without faults: above the apply timeout (10 s) and the freshness limit
/// (15 s), with some polls.
const NO_FAULTS_MS: u64 = 24_000;
/// Added by the sender to an advertised age, for the time in transit.
const TRANSIT_ALLOWANCE: Millis = Millis(500);
const NO_FAULTS_DELAY_MS: u64 = 5;

/// Which faults may occur.
#[derive(Clone, Copy)]
pub struct Faults {
    /// Whether the store may be restored from an older copy.
    pub store_restores: bool,
}

/// Counts over many cases, which show that the cases are not trivial.
#[derive(Debug, Default)]
pub struct OutcomeCounts {
    pub accepted: u64,
    pub conflicts: u64,
    pub unknown: u64,
    /// Cases in which two accepted changes have the same version.
    pub duplicate_versions: u64,
    /// Cases in which a host repaired the row.
    pub repaired: u64,
}

pub struct Host {
    pub id: HostId,
    pub versions: Option<Versions>,
    pub process: u64,
    /// Documents in force in this process, in order.
    pub in_force: Vec<Document>,
}

/// A change requested by an operator, and its reported outcome.
pub struct Change {
    pub id: SmolStr,
    pub expected: Version,
    pub outcome: Option<Outcome>,
    /// Whether no certain outcome has been reported yet.
    pub uncertain: bool,
    text: SmolStr,
    host: usize,
}

pub struct World<'a, 'b> {
    pub(super) u: &'a mut Unstructured<'b>,
    pub faults: Faults,
    pub now_ms: u64,
    pub hosts: Vec<Host>,
    pub table: Table,
    pub changes: Vec<Change>,
    pub repairs: u64,
    pub(super) messages: Vec<(u64, Message)>,
    pub(super) faulty: bool,
    pub(super) store_up: bool,
    /// Pairs of hosts that cannot reach each other, one bit each.
    pub(super) partitions: u64,
    pub(super) next_process: u64,
}

impl<'a, 'b> World<'a, 'b> {
    pub fn new(u: &'a mut Unstructured<'b>, faults: Faults) -> Result<Self> {
        let count = u.int_in_range(2..=4)?;
        let hosts = (0..count).map(|index| Host {
            id: format!("host-{index}").as_str().try_into().unwrap(),
            versions: Some(Versions::new(true)),
            process: index as u64,
            in_force: Vec::new(),
        });
        Ok(World {
            u,
            faults,
            now_ms: 1_000_000,
            hosts: hosts.collect(),
            table: Table::default(),
            changes: Vec::new(),
            repairs: 0,
            messages: Vec::new(),
            faulty: true,
            store_up: true,
            partitions: 0,
            next_process: 100,
        })
    }

    /// Runs a phase with faults and a phase without, and checks the invariants.
    pub fn run(mut self, counts: &mut OutcomeCounts) -> Result<()> {
        let faults_end = self.now_ms + FAULTS_MS;
        while self.now_ms < faults_end {
            self.inject_faults()?;
            self.step()?;
        }
        self.end_faults();
        let end = self.now_ms + NO_FAULTS_MS;
        while self.now_ms < end {
            self.step()?;
        }
        check::check_final_state(&self, counts);
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
            true => Ok(u64::from(self.u.int_in_range(1..=60u16)?) * 7),
            false => Ok(NO_FAULTS_DELAY_MS),
        }
    }

    fn inject_faults(&mut self) -> Result<()> {
        if self.chance(6)? {
            self.store_up = !self.store_up;
        }
        if self.chance(5)? {
            let bit = self.pick(16)?;
            self.partitions ^= 1 << bit;
        }
        if self.chance(4)? {
            let host = self.pick(self.hosts.len())?;
            match self.hosts[host].versions {
                Some(_) => self.hosts[host].versions = None,
                None => self.restart(host),
            }
        }
        if self.faults.store_restores && self.chance(2)? {
            let writes = self.u.int_in_range(1..=4usize)?;
            self.table.restore(writes);
        }
        if self.chance(20)? {
            self.submit_change()?;
        }
        if self.chance(30)? {
            self.advertise()?;
        }
        Ok(())
    }

    fn end_faults(&mut self) {
        self.faulty = false;
        self.store_up = true;
        self.partitions = 0;
        for host in 0..self.hosts.len() {
            if self.hosts[host].versions.is_none() {
                self.restart(host);
            }
        }
    }

    fn restart(&mut self, host: usize) {
        self.next_process += 1;
        self.hosts[host].process = self.next_process;
        self.hosts[host].in_force.clear();
        self.hosts[host].versions = Some(Versions::new(true));
    }

    /// Requests a new change as an operator, or repeats one without a certain outcome.
    fn submit_change(&mut self) -> Result<()> {
        let host = self.pick(self.hosts.len())?;
        let open = self.changes.iter().position(|change| {
            change.uncertain && matches!(change.outcome, None | Some(Outcome::Unknown))
        });
        let index = match open {
            Some(index) if self.chance(60)? => index,
            _ => {
                let seen = self.hosts[host].versions.as_ref().map(Versions::version);
                let number = self.changes.len();
                self.changes.push(Change {
                    id: format_smolstr!("change-{number}"),
                    expected: seen.unwrap_or_default(),
                    outcome: None,
                    uncertain: false,
                    text: format_smolstr!("text {number}"),
                    host,
                });
                number
            }
        };
        let change = &mut self.changes[index];
        change.outcome = None;
        change.host = host;
        // The outcome is uncertain until an answer arrives, for instance if the host stops.
        change.uncertain = true;
        let event = Event::Apply {
            change: change.id.clone(),
            expected: change.expected,
            text: change.text.as_str().into(),
        };
        self.handle_event(host, event)
    }

    /// Advertises one host's version to another.
    fn advertise(&mut self) -> Result<()> {
        let from = self.pick(self.hosts.len())?;
        let to = self.pick(self.hosts.len())?;
        let now = Millis(self.now_ms);
        let Some(versions) = &self.hosts[from].versions else {
            return Ok(());
        };
        let Some(document) = versions.current() else {
            return Ok(());
        };
        let event = Event::Advertised {
            peer: self.hosts[from].id.clone(),
            version: document.version,
            digest: document.digest(),
            age: versions.age(now).map(|age| age + TRANSIT_ALLOWANCE),
        };
        if from != to && self.connected(from, to) {
            self.deliver(to, self.hosts[to].process, event)?;
        }
        Ok(())
    }

    pub(super) fn connected(&self, a: usize, b: usize) -> bool {
        self.partitions & (1 << (a.min(b) * 4 + a.max(b))) == 0
    }

    fn step(&mut self) -> Result<()> {
        let end = self.now_ms + TICK_MS;
        loop {
            let next = self
                .messages
                .iter()
                .enumerate()
                .min_by_key(|(_, (at, _))| *at)
                .map(|(index, (at, _))| (index, *at));
            let Some((index, at)) = next.filter(|(_, at)| *at <= end) else {
                break;
            };
            self.now_ms = self.now_ms.max(at);
            let (_, message) = self.messages.remove(index);
            self.receive(message)?;
        }
        self.now_ms = end;
        for host in 0..self.hosts.len() {
            let peers = (0..self.hosts.len())
                .filter(|peer| *peer != host && self.connected(host, *peer))
                .filter(|peer| self.hosts[*peer].versions.is_some())
                .map(|peer| self.hosts[peer].id.clone())
                .collect();
            self.handle_event(host, Event::Peers(peers))?;
            self.handle_event(host, Event::Tick)?;
        }
        check::check_freshness(self);
        Ok(())
    }

    pub(super) fn handle_event(&mut self, host: usize, event: Event) -> Result<()> {
        let now = Millis(self.now_ms);
        let process = self.hosts[host].process;
        let Some(versions) = &mut self.hosts[host].versions else {
            return Ok(());
        };
        for action in versions.handle(now, event) {
            self.perform(host, process, action)?;
        }
        Ok(())
    }

    fn perform(&mut self, host: usize, process: u64, action: Action) -> Result<()> {
        match action {
            Action::ReadStore { read } => self.send(Message::ReadArrives {
                host,
                process,
                read,
            }),
            Action::WriteStore {
                write,
                document,
                expected,
            } => self.send_write(host, process, write, document, expected),
            Action::QueryPeer(peer) => {
                let peer = self.hosts.iter().position(|host| host.id == peer).unwrap();
                self.send(Message::QueryArrives {
                    from: host,
                    process,
                    peer,
                })
            }
            Action::PutInForce(document) => {
                check::check_put_in_force(self, host, &document);
                self.hosts[host].in_force.push(document);
                Ok(())
            }
            Action::Reply { change, outcome } => {
                self.report_outcome(host, &change, outcome);
                Ok(())
            }
            Action::Notice(bv_config::Notice::Repair { .. }) => {
                self.repairs += 1;
                Ok(())
            }
            Action::Notice(_) => Ok(()),
        }
    }

    pub(super) fn report_outcome(&mut self, host: usize, change: &str, outcome: Outcome) {
        let Some(change) = self.changes.iter_mut().find(|known| known.id == change) else {
            panic!("an outcome was reported for a change that no operator requested");
        };
        // The operator accepts an uncertain outcome only from the host it used last; certain ones
        // count from any host.
        if change.host == host {
            change.outcome = Some(outcome);
        }
        if let Outcome::Accepted(_) | Outcome::Conflict(_) = outcome {
            change.outcome = Some(outcome);
            change.uncertain = false;
        }
    }

    pub fn digest_of(&self, host: usize) -> Option<Fingerprint> {
        let versions = self.hosts[host].versions.as_ref()?;
        versions.current().map(Document::digest)
    }
}
