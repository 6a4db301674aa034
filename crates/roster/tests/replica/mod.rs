//! A store, and hosts with copies of one of its tables. Each step is one event; answers are taken long
//! after they were given, as by a host that was frozen.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use bv_roster::{Answer, Extent, FeedAnswer, Rejected, Row, StoreClock, TableAnswer, TableCopy};
use bv_types::{Era, Millis, Version};
use smol_str::SmolStr;

/// Time that one wait takes, in ms.
const WAIT_MS: u64 = 550;
/// Longest time for which the feed hides changes, in ms.
const LONGEST_HIDING_MS: u64 = 1_000;
/// Difference of the store's clock from the time, in ms.
const STORE_CLOCK_MS: u64 = 70_000;
/// Error of a host's estimate of the store's clock that is allowed, in ms.
const CLOCK_ERROR_MS: u64 = 30;
const KEYS: [&str; 3] = ["a", "b", "c"];

/// How often each event may happen.
#[derive(Debug, Clone, Copy, Hash)]
pub struct Limits {
    pub changes: u32,
    pub hidings: u32,
    pub waits: u32,
    /// Answers of the store.
    pub answers: u32,
    /// Queries between hosts.
    pub queries: u32,
}

impl Limits {
    pub const NONE: Limits = Limits {
        changes: u32::MAX,
        hidings: u32::MAX,
        waits: u32::MAX,
        answers: u32::MAX,
        queries: u32::MAX,
    };
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Op {
    /// A row changes; the number chooses its key and whether it is removed.
    Change(u64),
    /// The feed hides the changes that follow.
    Hide,
    /// The history is lost, and the calls that wait are cut.
    Lose,
    Wait,
    /// The store answers a host's call.
    Serve(usize),
    /// A host takes the answer, and calls again.
    Take(usize),
    /// A host asks another one, which answers at once.
    Ask(usize, usize),
    /// A host takes the answer of the other one.
    TakeReply(usize),
    /// A host starts again without a copy; its estimate of the store's clock is right.
    Restart(usize),
}

#[derive(Debug, Clone, Hash)]
enum Call {
    /// Made at a time, with the position; none for the whole table.
    Made(u64, Option<Version>),
    Answered(Answer),
    Failed,
}

#[derive(Debug, Clone, Hash)]
struct Host {
    copy: TableCopy,
    clock: StoreClock,
    /// Rows as the answers told them, with their versions.
    in_use: BTreeMap<SmolStr, Version>,
    call: Call,
    reply: Option<TableAnswer>,
}

impl Host {
    fn take(&mut self, answer: Answer) -> Result<(), Rejected> {
        for row in self.copy.take(answer)? {
            match row.value {
                Some(_) => self.in_use.insert(row.key, row.version),
                None => self.in_use.remove(&row.key),
            };
        }
        Ok(())
    }

    /// Whether the rows in use are those of the copy.
    fn is_consistent(&self) -> bool {
        let rows = self.copy.rows().all();
        let rows = rows.into_iter().map(|row| (row.key, row.version));
        rows.eq(self.in_use.clone())
    }
}

#[derive(Debug, Clone, Hash)]
struct Change {
    at: u64,
    key: &'static str,
    version: Version,
    is_removal: bool,
}

#[derive(Debug, Clone, Hash)]
pub struct World {
    now: u64,
    version: u64,
    /// All states of all rows, in their order.
    history: Vec<Row>,
    changes: Vec<Change>,
    /// Oldest version after which the feed knows the changes.
    history_from: Version,
    /// Time and version from which on the feed hides changes.
    hiding: Option<(u64, Version)>,
    /// Times in which the feed hid changes.
    hidings: Vec<(u64, u64)>,
    hosts: Vec<Host>,
    left: Limits,
}

impl World {
    /// Hosts that have read the table and wait for changes.
    pub fn new(hosts: usize, limits: Limits) -> Self {
        let host = Host {
            copy: TableCopy::default(),
            clock: StoreClock::default(),
            in_use: BTreeMap::new(),
            call: Call::Made(0, None),
            reply: None,
        };
        let mut world = World {
            now: 10_000,
            version: 7,
            history: Vec::new(),
            changes: Vec::new(),
            history_from: Version(0),
            hiding: None,
            hidings: Vec::new(),
            hosts: vec![host; hosts],
            left: Limits::NONE,
        };
        world.apply(Op::Change(0));
        for n in 0..hosts {
            for _ in 0..2 {
                world.serve(n);
                world.take(n);
            }
            world.hosts[n]
                .clock
                .observe(Millis(world.now), Millis(world.now + STORE_CLOCK_MS));
        }
        world.left = limits;
        world
    }

    /// The same for worlds that differ in the order of the hosts only.
    pub fn fingerprint(&self) -> u64 {
        let hash = |hashed: &dyn Fn(&mut DefaultHasher)| {
            let mut hasher = DefaultHasher::new();
            hashed(&mut hasher);
            hasher.finish()
        };
        let hosts = self.hosts.iter();
        let mut hosts: Vec<u64> = hosts
            .map(|host| hash(&|hasher| host.hash(hasher)))
            .collect();
        hosts.sort_unstable();
        let mut rest = self.clone();
        rest.hosts.clear();
        hash(&|hasher| (&hosts, &rest).hash(hasher))
    }

    /// The events that are possible now.
    pub fn ops(&self) -> Vec<Op> {
        let mut ops = Vec::new();
        let left = self.left;
        if left.changes > 0 {
            let choices: &[u64] = match left.changes {
                1 => &[0, 1, 3],
                2 => &[0],
                _ => &[0, 1, 2, 3, 4, 5],
            };
            ops.extend(choices.iter().copied().map(Op::Change));
        }
        match self.hiding {
            None if left.hidings > 0 => ops.push(Op::Hide),
            Some(_) => ops.push(Op::Lose),
            None => {}
        }
        let ends_in_time = |(since, _)| self.now + WAIT_MS <= since + LONGEST_HIDING_MS;
        if left.waits > 0 && self.hiding.is_none_or(ends_in_time) {
            ops.push(Op::Wait);
        }
        for (n, host) in self.hosts.iter().enumerate() {
            match host.call {
                Call::Made(..) if left.answers == 0 => {}
                Call::Made(..) if self.is_due(n) => ops.push(Op::Serve(n)),
                Call::Made(..) => {}
                Call::Answered(_) | Call::Failed => ops.push(Op::Take(n)),
            }
            if host.reply.is_some() {
                ops.push(Op::TakeReply(n));
            } else if left.queries > 0 {
                let others = (0..self.hosts.len()).filter(|peer| *peer != n);
                ops.extend(others.map(|peer| Op::Ask(n, peer)));
            }
            if left.answers == u32::MAX && n == 0 {
                ops.push(Op::Restart(n));
            }
        }
        ops
    }

    pub fn apply(&mut self, op: Op) {
        match op {
            Op::Change(choice) => self.change(choice),
            Op::Hide => {
                self.left.hidings -= 1;
                self.hiding = Some((self.now, Version(self.version)));
            }
            Op::Lose => self.lose_history(),
            Op::Wait => {
                self.left.waits -= 1;
                self.now += WAIT_MS;
            }
            Op::Serve(n) => self.serve(n),
            Op::Take(n) => self.take(n),
            Op::Ask(n, peer) => {
                self.left.queries -= 1;
                let position = self.hosts[n].copy.position();
                self.hosts[n].reply = self.hosts[peer]
                    .copy
                    .since(position.map(|version| (Era(0), version)));
            }
            Op::TakeReply(n) => {
                let host = &mut self.hosts[n];
                if let Some(reply) = host.reply.take() {
                    // A reply may find a host that has started again.
                    let _ = host.take(Answer::Peer(reply));
                }
            }
            Op::Restart(n) => {
                let host = &mut self.hosts[n];
                host.copy = TableCopy::default();
                host.in_use.clear();
                host.call = Call::Made(self.now, None);
            }
        }
    }

    fn change(&mut self, choice: u64) {
        self.left.changes -= 1;
        self.version += 1;
        let version = Version(self.version);
        let key = KEYS[choice as usize % KEYS.len()];
        let is_removal = choice as usize >= KEYS.len();
        self.history.push(Row {
            key: key.into(),
            value: (!is_removal).then(|| self.version.to_string().into()),
            version,
        });
        let at = self.now;
        self.changes.push(Change {
            at,
            key,
            version,
            is_removal,
        });
        // Other tables have the same counter, and the acknowledgement takes some time.
        self.version += 1;
        self.now += 1;
    }

    fn lose_history(&mut self) {
        if let Some((since, _)) = self.hiding.take() {
            self.hidings.push((since, self.now));
        }
        self.history_from = Version(self.version);
        for host in &mut self.hosts {
            if let Call::Made(_, Some(_)) = host.call {
                host.call = Call::Failed;
            }
        }
    }

    /// Whether a call has something to return, or has waited long enough.
    fn is_due(&self, n: usize) -> bool {
        match self.hosts[n].call {
            Call::Made(began, Some(after)) => {
                let is_gone = after < self.history_from;
                is_gone || !self.shown(after).is_empty() || self.now >= began + WAIT_MS
            }
            Call::Made(_, None) | Call::Answered(_) | Call::Failed => true,
        }
    }

    /// What the feed shows after a version: each change, in order.
    fn shown(&self, after: Version) -> Vec<Row> {
        let until = self.hiding.map_or(Version(self.version), |(_, from)| from);
        let changes = self.history.iter();
        let shown = changes.filter(|row| after < row.version && row.version <= until);
        shown.cloned().collect()
    }

    fn serve(&mut self, n: usize) {
        let Call::Made(began, after) = self.hosts[n].call else {
            return;
        };
        let store_time = Millis(self.now + STORE_CLOCK_MS);
        let version = Version(self.version);
        let began = Millis(began + STORE_CLOCK_MS);
        let call = match after {
            None => {
                let rows = self.rows();
                Call::Answered(Answer::Read(TableAnswer {
                    era: Era(0),
                    extent: Extent::Whole,
                    rows,
                    has_gap: true,
                    up_to: version,
                    newest_stated: version,
                    confirmed_at: began,
                }))
            }
            Some(after) if after < self.history_from => Call::Failed,
            Some(after) => Call::Answered(Answer::Feed(FeedAnswer {
                era: Era(0),
                after,
                rows: self.shown(after),
                newest_foreign: None,
                version,
                truncated: false,
                store_time,
            })),
        };
        self.left.answers -= 1;
        let host = &mut self.hosts[n];
        host.call = call;
    }

    /// The rows that are present.
    fn rows(&self) -> Vec<Row> {
        let newest = |key: &&str| self.history.iter().rev().find(|row| row.key == **key);
        let rows = KEYS.iter().filter_map(newest);
        rows.filter(|row| row.value.is_some()).cloned().collect()
    }

    fn take(&mut self, n: usize) {
        let now = Millis(self.now);
        let host = &mut self.hosts[n];
        let call = std::mem::replace(&mut host.call, Call::Failed);
        let is_taken = match call {
            Call::Answered(answer) => {
                if let Answer::Feed(feed) = &answer {
                    host.clock.observe(now, feed.store_time);
                }
                host.take(answer).is_ok()
            }
            Call::Made(..) | Call::Failed => false,
        };
        // After a failed call the whole table is read.
        host.call = Call::Made(self.now, host.copy.position().filter(|_| is_taken));
    }

    /// Ends the trouble, and lets each host take some answers.
    pub fn settle(&mut self) {
        self.left = Limits::NONE;
        if self.hiding.is_some() {
            self.lose_history();
        }
        for _ in 0..4 {
            self.now += 2 * WAIT_MS;
            for n in 0..self.hosts.len() {
                self.serve(n);
                self.take(n);
            }
        }
    }

    /// Number of hosts that lack a change.
    pub fn lacking(&self) -> usize {
        let hosts = self.hosts.iter();
        hosts
            .filter(|host| self.changes.iter().any(|change| !self.holds(host, change)))
            .count()
    }

    /// Whether a host holds a change or a later one of the same row.
    fn holds(&self, host: &Host, change: &Change) -> bool {
        let row = host.copy.rows().get(change.key);
        if row.is_some_and(|row| row.version >= change.version || row.value.is_some()) {
            return row.is_some_and(|row| row.version >= change.version);
        }
        // A row that a whole table lacks was removed at an unknown version.
        let is_known = |other: &Change| Some(other.version) <= host.copy.position();
        let mut later = self.changes.iter().filter(|other| other.key == change.key);
        later.any(|other| other.is_removal && other.version >= change.version && is_known(other))
    }

    pub fn check(&self) -> Result<(), String> {
        for (n, host) in self.hosts.iter().enumerate() {
            if !host.is_consistent() {
                return Err(format!("host {n} uses other rows than its copy holds"));
            }
            let Some(confirmed_at) = host.copy.confirmed_at() else {
                continue;
            };
            // As the host itself judges the age of its rows.
            let estimate = host.clock.store_time(Millis(self.now)).unwrap_or_default();
            let age = estimate - confirmed_at;
            let store_now = Millis(self.now + STORE_CLOCK_MS);
            let believed = store_now - age - Millis(CLOCK_ERROR_MS);
            let until = confirmed_at.max(believed) - Millis(STORE_CLOCK_MS);
            for change in &self.changes {
                if self.holds(host, change) {
                    continue;
                }
                let position = host.copy.position();
                if Some(change.version) <= position {
                    return Err(format!(
                        "host {n} lacks version {} and is at position {position:?}",
                        change.version
                    ));
                }
                if change.at < until.0 && !self.was_hidden(change, until.0) {
                    return Err(format!(
                        "host {n} is confirmed up to {until} and lacks version {} of {} ms",
                        change.version, change.at
                    ));
                }
            }
        }
        Ok(())
    }

    /// Whether the feed hid a change at a time.
    fn was_hidden(&self, change: &Change, at: u64) -> bool {
        let current = self.hiding.map(|(since, _)| (since, u64::MAX));
        let mut hidings = self.hidings.iter().copied().chain(current);
        hidings.any(|(since, until)| since <= change.at && change.at <= until && at <= until)
    }
}
