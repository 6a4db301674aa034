//! Hosts, operators and faults in simulated time.

use arbtest::arbitrary::{Result, Unstructured};
use bv_config::{Action, Document, Event, Outcome, Versions};
use bv_types::{Fingerprint, HostId, Millis, Version};
use smol_str::{SmolStr, format_smolstr};

use super::check;
use super::network::Mail;
use super::table::Table;

const TICK: u64 = 200;
/// Above the freshness limit (15 s), so that hosts become stale in long outages.
const FAULTS_MS: u64 = 24_000;
/// Beyond the apply limit (10 s), the freshness limit (15 s) and some polls.
const SETTLE_MS: u64 = 24_000;
/// Added to an advertised age by the senders for the time in transit.
const HOP_AGE: Millis = Millis(500);
const SETTLED_DELAY_MS: u64 = 5;

/// Which faults may occur.
#[derive(Clone, Copy)]
pub struct Faults {
    /// The store may be set back to an older copy.
    pub old_copies: bool,
}

/// Counts over many cases, to show that the cases are not trivial.
#[derive(Debug, Default)]
pub struct Tally {
    pub accepted: u64,
    pub lost: u64,
    pub unknown: u64,
    pub forked: u64,
    pub repaired: u64,
}

pub struct Host {
    pub id: HostId,
    pub versions: Option<Versions>,
    pub process: u64,
    /// Documents in force in this process, in order.
    pub in_force: Vec<Document>,
}

/// What one operator asked for and was told.
pub struct Change {
    pub id: SmolStr,
    pub expected: Version,
    pub told: Option<Outcome>,
    /// Whether an earlier request for it was told nothing certain.
    pub doubtful: bool,
    text: SmolStr,
    host: usize,
}

pub struct World<'a, 'b> {
    pub(super) u: &'a mut Unstructured<'b>,
    pub faults: Faults,
    pub now: u64,
    pub hosts: Vec<Host>,
    pub table: Table,
    pub changes: Vec<Change>,
    pub notices: u64,
    pub(super) mail: Vec<(u64, Mail)>,
    pub(super) faulty: bool,
    pub(super) store_up: bool,
    /// Pairs of hosts that cannot talk, one bit each.
    pub(super) cut: u64,
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
            now: 1_000_000,
            hosts: hosts.collect(),
            table: Table::default(),
            changes: Vec::new(),
            notices: 0,
            mail: Vec::new(),
            faulty: true,
            store_up: true,
            cut: 0,
            next_process: 100,
        })
    }

    /// Runs a time with faults and a time without, and checks everything.
    pub fn run(mut self, tally: &mut Tally) -> Result<()> {
        let faults_end = self.now + FAULTS_MS;
        while self.now < faults_end {
            self.disturb()?;
            self.step()?;
        }
        self.settle();
        let end = self.now + SETTLE_MS;
        while self.now < end {
            self.step()?;
        }
        check::end(&self, tally);
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
            false => Ok(SETTLED_DELAY_MS),
        }
    }

    fn disturb(&mut self) -> Result<()> {
        if self.chance(6)? {
            self.store_up = !self.store_up;
        }
        if self.chance(5)? {
            let bit = self.pick(16)?;
            self.cut ^= 1 << bit;
        }
        if self.chance(4)? {
            let host = self.pick(self.hosts.len())?;
            match self.hosts[host].versions {
                Some(_) => self.hosts[host].versions = None,
                None => self.restart(host),
            }
        }
        if self.faults.old_copies && self.chance(2)? {
            let writes = self.u.int_in_range(1..=4usize)?;
            self.table.restore(writes);
        }
        if self.chance(20)? {
            self.operate()?;
        }
        if self.chance(30)? {
            self.gossip()?;
        }
        Ok(())
    }

    fn settle(&mut self) {
        self.faulty = false;
        self.store_up = true;
        self.cut = 0;
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

    /// An operator asks for a new change, or again for one without a certain outcome.
    fn operate(&mut self) -> Result<()> {
        let host = self.pick(self.hosts.len())?;
        let open = self.changes.iter().position(|change| {
            change.doubtful && matches!(change.told, None | Some(Outcome::Unknown))
        });
        let index = match open {
            Some(index) if self.chance(60)? => index,
            _ => {
                let seen = self.hosts[host].versions.as_ref().map(Versions::version);
                let number = self.changes.len();
                self.changes.push(Change {
                    id: format_smolstr!("change-{number}"),
                    expected: seen.unwrap_or_default(),
                    told: None,
                    doubtful: false,
                    text: format_smolstr!("text {number}"),
                    host,
                });
                number
            }
        };
        let change = &mut self.changes[index];
        change.told = None;
        change.host = host;
        // Until an answer arrives nothing is known, for instance if the host dies.
        change.doubtful = true;
        let event = Event::Apply {
            change: change.id.clone(),
            expected: change.expected,
            text: change.text.as_str().into(),
        };
        self.feed(host, event)
    }

    /// One host advertises its version to another.
    fn gossip(&mut self) -> Result<()> {
        let from = self.pick(self.hosts.len())?;
        let to = self.pick(self.hosts.len())?;
        let now = Millis(self.now);
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
            age: versions.age(now).map(|age| age + HOP_AGE),
        };
        if from != to && self.connected(from, to) {
            self.deliver(to, self.hosts[to].process, event)?;
        }
        Ok(())
    }

    pub(super) fn connected(&self, a: usize, b: usize) -> bool {
        self.cut & (1 << (a.min(b) * 4 + a.max(b))) == 0
    }

    fn step(&mut self) -> Result<()> {
        let end = self.now + TICK;
        loop {
            let next = self
                .mail
                .iter()
                .enumerate()
                .min_by_key(|(_, (at, _))| *at)
                .map(|(index, (at, _))| (index, *at));
            let Some((index, at)) = next.filter(|(_, at)| *at <= end) else {
                break;
            };
            self.now = self.now.max(at);
            let (_, mail) = self.mail.remove(index);
            self.receive(mail)?;
        }
        self.now = end;
        for host in 0..self.hosts.len() {
            let peers = (0..self.hosts.len())
                .filter(|peer| *peer != host && self.connected(host, *peer))
                .filter(|peer| self.hosts[*peer].versions.is_some())
                .map(|peer| self.hosts[peer].id.clone())
                .collect();
            self.feed(host, Event::Peers(peers))?;
            self.feed(host, Event::Tick)?;
        }
        check::freshness(self);
        Ok(())
    }

    pub(super) fn feed(&mut self, host: usize, event: Event) -> Result<()> {
        let now = Millis(self.now);
        let process = self.hosts[host].process;
        let Some(versions) = &mut self.hosts[host].versions else {
            return Ok(());
        };
        for action in versions.handle(now, event) {
            self.act(host, process, action)?;
        }
        Ok(())
    }

    fn act(&mut self, host: usize, process: u64, action: Action) -> Result<()> {
        match action {
            Action::ReadStore { read } => self.send(Mail::ReadArrives {
                host,
                process,
                read,
            }),
            Action::WriteStore {
                write,
                document,
                expected,
            } => self.send_write(host, process, write, document, expected),
            Action::AskPeer(peer) => {
                let peer = self.hosts.iter().position(|host| host.id == peer).unwrap();
                self.send(Mail::AskArrives {
                    from: host,
                    process,
                    peer,
                })
            }
            Action::InForce(document) => {
                check::in_force(self, host, &document);
                self.hosts[host].in_force.push(document);
                Ok(())
            }
            Action::Reply { change, outcome } => {
                self.told(host, &change, outcome);
                Ok(())
            }
            Action::Notice(bv_config::Notice::Repair { .. }) => {
                self.notices += 1;
                Ok(())
            }
            Action::Notice(_) => Ok(()),
        }
    }

    pub(super) fn told(&mut self, host: usize, change: &str, outcome: Outcome) {
        let Some(change) = self.changes.iter_mut().find(|known| known.id == change) else {
            panic!("an outcome was given for a change that nobody asked for");
        };
        // The operator listens only to the host that it asked last.
        if change.host == host {
            change.told = Some(outcome);
        }
        if let Outcome::Accepted(_) | Outcome::Conflict(_) = outcome {
            change.told = Some(outcome);
            change.doubtful = false;
        }
    }

    pub fn digest_of(&self, host: usize) -> Option<Fingerprint> {
        let versions = self.hosts[host].versions.as_ref()?;
        versions.current().map(Document::digest)
    }
}
