//! Hosts before a store that is restored from older copies, without a network.

mod host;
mod store;

use std::collections::HashSet;

use bv_lease::{Term, TermRow};
use bv_roster::{Answer, Extent, FeedAnswer, Rejected, TableAnswer};
use bv_types::{Era, Fence, HostId, Millis, ServiceId, Version};
use fastrand::Rng;

use host::{Call, Host, TermCall, text};
use store::{History, Table, Truth};

pub const HOSTS: usize = 6;
const TICK_MS: u64 = 20;
/// Longest wait of a call for changes.
const CHANGE_WAIT_MS: u64 = 2_000;
const CONFIG_KEY: &str = "config";

/// What a run has met, so that a test can tell that its faults happened.
#[derive(Debug, Default)]
pub struct Met {
    pub restorations: usize,
    pub later_era: usize,
    pub earlier_era: usize,
    pub rounds: usize,
    /// Conditional writes that were done in another era than their read.
    pub crossed_writes: usize,
    /// Servers that left and that a copy shows ready.
    pub shown_ready: usize,
}

pub struct World {
    pub met: Met,
    rng: Rng,
    now: u64,
    era: u64,
    store: History,
    copy: Option<History>,
    rewrite_at: Option<u64>,
    truth: Truth,
    hosts: Vec<Host>,
    /// Fences under which orders were sent, and the time of the latest round.
    fences: HashSet<Fence>,
    last_round: Option<u64>,
    next_server: usize,
}

impl World {
    pub fn new(seed: u64) -> Self {
        let mut world = World {
            met: Met::default(),
            rng: Rng::with_seed(seed),
            now: 100_000,
            era: 0,
            store: History::default(),
            copy: None,
            rewrite_at: None,
            truth: Truth::default(),
            hosts: (0..HOSTS).map(|_| Host::new(0)).collect(),
            fences: HashSet::new(),
            last_round: None,
            next_server: 0,
        };
        world.change_config();
        (0..4).for_each(|_| world.add_server());
        world
    }

    /// Runs for a time with changes and faults, or without.
    pub fn run(&mut self, time: Millis, is_quiet: bool) {
        let until = self.now + time.0;
        while self.now < until {
            self.now += TICK_MS;
            if !is_quiet {
                self.change();
                self.fail();
            }
            if self.rewrite_at.is_some_and(|at| self.now >= at) {
                self.rewrite();
            }
            for n in 0..HOSTS {
                self.step(n);
                self.check(n);
            }
        }
    }

    fn chance(&mut self, one_in: u32) -> bool {
        self.rng.u32(..one_in) == 0
    }

    fn change_config(&mut self) {
        self.truth.config += 1;
        let text = self.truth.config.to_string();
        self.store.write(Table::Config, CONFIG_KEY, Some(&text));
    }

    fn add_server(&mut self) {
        self.next_server += 1;
        self.write_server(&format!("i-{}", self.next_server), Some("ready 1"));
    }

    fn write_server(&mut self, id: &str, value: Option<&str>) {
        self.store.write(Table::Servers, id, value);
        let value = value.map(str::to_owned);
        self.truth.servers.insert(id.to_owned(), value);
    }

    fn change(&mut self) {
        if self.chance(150) {
            self.change_config();
        }
        if self.chance(100) {
            self.add_server();
        }
        if self.chance(80) {
            let present = self
                .truth
                .servers
                .iter()
                .filter(|(_, value)| value.is_some());
            let present: Vec<(String, String)> = present
                .map(|(id, value)| (id.clone(), value.clone().unwrap()))
                .collect();
            let Some((id, value)) = self.rng.choice(&present).cloned() else {
                return;
            };
            match value.starts_with("ready") && self.rng.bool() {
                true => self.write_server(&id, Some("draining 2")),
                false => self.write_server(&id, None),
            }
        }
    }

    fn fail(&mut self) {
        if self.copy.is_none() && self.chance(300) {
            self.copy = Some(self.store.clone());
        }
        if self.copy.is_some() && self.chance(300) {
            self.restore();
        }
        let n = self.rng.usize(..HOSTS);
        if self.chance(400) {
            self.hosts[n] = Host::new(self.now);
        }
        if self.chance(200) {
            self.hosts[n].cut_until = self.now + self.rng.u64(100..12_000);
        }
    }

    fn restore(&mut self) {
        let copy = self.copy.take().unwrap();
        self.met.restorations += 1;
        for row in copy.rows(Table::Servers) {
            let is_ready = text(&row).starts_with("ready");
            let truth = &self.truth.servers[row.key.as_str()];
            let has_left = truth
                .as_ref()
                .is_none_or(|value| value.starts_with("draining"));
            self.met.shown_ready += usize::from(is_ready && has_left);
        }
        self.store = copy;
        self.era += 1;
        self.rewrite_at = Some(self.now + self.rng.u64(100..1_500));
        // Half of the waiting calls are closed; the others are answered in the new era.
        for host in &mut self.hosts {
            let rng = &mut self.rng;
            host.calls
                .retain(|call| call.arrives.is_some() || rng.bool());
        }
    }

    fn rewrite(&mut self) {
        self.rewrite_at = None;
        let present = |table, key: &str| {
            let rows = self.store.rows(table);
            let row = rows.iter().find(|row| row.key == key);
            row.map(|row| text(row).to_owned())
        };
        let config = self.truth.config.to_string();
        let mut lost = Vec::new();
        if present(Table::Config, CONFIG_KEY).as_ref() != Some(&config) {
            lost.push((Table::Config, CONFIG_KEY.to_owned(), Some(config)));
        }
        for (id, value) in &self.truth.servers {
            if present(Table::Servers, id) != *value {
                lost.push((Table::Servers, id.clone(), value.clone()));
            }
        }
        for (table, key, value) in lost {
            self.store.write(table, &key, value.as_deref());
        }
    }

    fn step(&mut self, n: usize) {
        self.call_store(n);
        self.ask_peer(n);
        self.take_round(n);
    }

    fn call_store(&mut self, n: usize) {
        let now = self.now;
        let is_cut = now < self.hosts[n].cut_until;
        for table in [Table::Config, Table::Servers] {
            let host = &mut self.hosts[n];
            if !is_cut && !host.calls.iter().any(|call| call.table == table) {
                let reread = self.rng.u32(..40) == 0;
                let after = host.copy(table).position().filter(|_| !reread);
                let call = Call {
                    table,
                    after,
                    began: now,
                    arrives: None,
                    answer: None,
                };
                host.calls.push(call);
            }
        }
        let mut calls = std::mem::take(&mut self.hosts[n].calls);
        for call in calls.iter_mut().filter(|call| call.arrives.is_none()) {
            let answer = match is_cut {
                true => None,
                false => self.answer(call),
            };
            call.arrives = answer.map(|answer| {
                call.answer = answer;
                // Some answers are held up, also across a restoration.
                let held_up = self.chance(10);
                now + self.rng.u64(4..if held_up { 900 } else { 30 })
            });
        }
        let mut waiting = Vec::new();
        for call in calls {
            let Some(arrives) = call.arrives else {
                waiting.push(call);
                continue;
            };
            if now < arrives {
                waiting.push(call);
                continue;
            }
            let Some(answer) = call.answer else {
                // The whole table is read after a 410.
                let table = call.table;
                waiting.push(Call {
                    table,
                    after: None,
                    began: now,
                    arrives: None,
                    answer: None,
                });
                continue;
            };
            let taken = self.hosts[n].take(Millis(now), call.table, answer);
            match taken {
                Err(Rejected::LaterEra) => {
                    self.met.later_era += 1;
                    waiting.push(Call {
                        after: None,
                        began: now,
                        arrives: None,
                        answer: None,
                        ..call
                    });
                }
                Err(Rejected::EarlierEra) => self.met.earlier_era += 1,
                Ok(()) | Err(_) => {}
            }
        }
        self.hosts[n].calls = waiting;
    }

    /// The answer of the store to a call: none while it waits, `Some(None)` for a 410.
    fn answer(&self, call: &Call) -> Option<Option<Answer>> {
        let (era, version) = (Era(self.era), Version(self.store.version));
        let Some(after) = call.after else {
            return Some(Some(Answer::Read(TableAnswer {
                era,
                extent: Extent::Whole,
                rows: self.store.rows(call.table),
                has_gap: true,
                up_to: version,
                newest_stated: version,
                confirmed_at: Millis(call.began),
            })));
        };
        if after > version {
            return Some(None);
        }
        let rows = self.store.after(call.table, after);
        if rows.is_empty() && self.now < call.began + CHANGE_WAIT_MS {
            return None;
        }
        Some(Some(Answer::Feed(FeedAnswer {
            era,
            after,
            rows,
            newest_foreign: None,
            version,
            truncated: false,
            store_time: Millis(self.now),
        })))
    }

    /// Hosts that are cut off ask others often, the rest now and then.
    fn ask_peer(&mut self, n: usize) {
        let now = self.now;
        let one_in = if now < self.hosts[n].cut_until {
            15
        } else {
            100
        };
        if self.chance(one_in) {
            let peer = (n + self.rng.usize(1..HOSTS)) % HOSTS;
            for table in [Table::Config, Table::Servers] {
                let own = self.hosts[n].copy(table);
                let position = own.position().map(|version| (own.era(), version));
                let grace = self.hosts[peer].roster.grace_left(Millis(now));
                let reply = self.hosts[peer].copy(table).since(position);
                let arrives = now + self.rng.u64(1..400);
                let reply = reply.map(|reply| (arrives, table, reply, grace));
                self.hosts[n].replies.extend(reply);
            }
        }
        let replies = std::mem::take(&mut self.hosts[n].replies);
        for (arrives, table, reply, grace) in replies {
            if now < arrives {
                self.hosts[n].replies.push((arrives, table, reply, grace));
                continue;
            }
            let host = &mut self.hosts[n];
            host.roster.extend_grace(Millis(now), grace);
            let taken = host.take(Millis(now), table, Answer::Peer(reply));
            self.met.earlier_era += usize::from(taken == Err(Rejected::EarlierEra));
        }
    }

    fn take_round(&mut self, n: usize) {
        let now = self.now;
        let key = "llm";
        let service: ServiceId = key.parse().unwrap();
        if now < self.hosts[n].cut_until {
            return;
        }
        let rows = self.store.rows(Table::Terms);
        let row = rows.iter().find(|row| row.key == key);
        if self.hosts[n].term.is_none() && self.chance(50) {
            let era = Era(self.era);
            let term_row = row.map(|row| {
                let (fence, taken_at) = text(row).split_once(' ').unwrap();
                TermRow {
                    version: row.version,
                    term: Some(Term {
                        holder: host_id(n),
                        fence: Fence(fence.parse().unwrap()),
                        taken_at: Millis(taken_at.parse().unwrap()),
                    }),
                }
            });
            let rounds = &mut self.hosts[n].rounds;
            let latest = rounds.latest(&service, term_row.as_ref(), (era, Millis(now)));
            let expected = row.map(|row| row.version);
            let replaced = (era, expected.unwrap_or(Version(self.store.version)));
            let term = Term::next(latest, replaced, &host_id(n), Millis(now));
            let executes = now + self.rng.u64(4..900);
            self.hosts[n].term = term.map(|term| TermCall {
                read_in: (era, expected),
                executes,
                term,
            });
        }
        let is_due = |call: &mut TermCall| now >= call.executes;
        let Some(call) = self.hosts[n].term.take_if(is_due) else {
            return;
        };
        let (era, expected) = call.read_in;
        if row.map(|row| row.version) != expected {
            return;
        }
        let value = format!("{} {}", call.term.fence, call.term.taken_at.0);
        self.store.write(Table::Terms, key, Some(&value));
        if era != Era(self.era) {
            self.met.crossed_writes += 1;
            return;
        }
        self.hosts[n]
            .rounds
            .record_taken(&service, call.term.taken_at);
        self.met.rounds += 1;
        let is_new = self.fences.insert(call.term.fence);
        assert!(is_new, "fence {} is used twice", call.term.fence);
        // The write may be done 0.9 s after the read, from which the interval counts.
        let interval = bv_lease::MIN_TERM_INTERVAL.0 - 900;
        let last = self.last_round.replace(now);
        assert!(
            last.is_none_or(|last| now >= last + interval),
            "rounds overlap"
        );
    }

    fn check(&mut self, n: usize) {
        let now = Millis(self.now);
        let host = &mut self.hosts[n];
        let version = host.in_force.version();
        assert!(
            version >= host.version,
            "host {n}: {version:?} after {:?}",
            host.version
        );
        host.version = version;
        for (id, from) in &host.left {
            let is_used = now >= *from && host.roster.usable(now, id).is_some();
            assert!(!is_used, "host {n} uses {id} at {now}, left at {from}");
        }
    }

    /// Checks that all hosts have what the operator and the servers want.
    pub fn check_end(&self) {
        let ready = self.truth.servers.iter();
        let ready =
            ready.filter(|(_, value)| value.as_ref().is_some_and(|v| v.starts_with("ready")));
        let ready: Vec<&str> = ready.map(|(id, _)| id.as_str()).collect();
        let service: ServiceId = "plain".parse().unwrap();
        for (n, host) in self.hosts.iter().enumerate() {
            let version = host.in_force.version();
            assert_eq!(version, Some(Version(self.truth.config)), "host {n}");
            let used = host.roster.of_service(Millis(self.now), &service);
            let mut used: Vec<&str> = used.map(|entry| entry.id.as_str()).collect();
            used.sort_unstable();
            let mut ready = ready.clone();
            ready.sort_unstable();
            assert_eq!(used, ready, "host {n}");
            assert_eq!(host.servers.era(), Era(self.era), "host {n}");
        }
    }
}

fn host_id(n: usize) -> HostId {
    format!("host-{n}").parse().unwrap()
}
