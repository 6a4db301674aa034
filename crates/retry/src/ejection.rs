//! Ejection of failing backend servers and their gradual return.

use std::collections::VecDeque;

use bv_types::{BackendId, Millis};

/// Consecutive connection failures that eject a server.
const MAX_CONNECT_FAILURES: u32 = 3;
/// Period over which the failure rate is taken.
const RATE_WINDOW: Millis = Millis(10_000);
/// Fewest calls in the period from which a failure rate is taken.
const MIN_CALLS: usize = 10;
/// Most calls kept for the failure rate; older ones are forgotten first.
const MAX_CALLS: usize = 1_000;
const MIN_EJECTION: Millis = Millis(2_000);
const MAX_EJECTION: Millis = Millis(30_000);
/// Period over which a returning server gets its full share again.
const RETURN_PERIOD: Millis = Millis(10_000);
/// Smallest share of a returning server, so that it is tried at all.
const MIN_WEIGHT: f64 = 0.05;

/// Result of one call at a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The server answered.
    Success,
    /// The connection could not be opened.
    ConnectFailed,
    /// The call failed in another way.
    Failed,
}

#[derive(Debug)]
struct Server {
    id: BackendId,
    connect_failures: u32,
    /// Time and failure of the latest calls.
    calls: VecDeque<(Millis, bool)>,
    ejected_until: Millis,
    /// Length of the latest ejection, or zero.
    ejection: Millis,
}

/// Backend servers of one group, sorted by id.
#[derive(Debug, Default)]
pub struct Ejection {
    servers: Vec<Server>,
}

impl Ejection {
    /// A group with no failures.
    pub fn new(servers: Vec<BackendId>) -> Self {
        let mut group = Ejection::default();
        group.set_servers(&servers);
        group
    }

    /// Changes the servers of the group; those that stay keep their records.
    pub fn set_servers(&mut self, ids: &[BackendId]) {
        self.servers.retain(|server| ids.contains(&server.id));
        for id in ids {
            if let Err(index) = self.index_of(id) {
                let server = Server {
                    id: id.clone(),
                    connect_failures: 0,
                    calls: VecDeque::new(),
                    ejected_until: Millis::ZERO,
                    ejection: Millis::ZERO,
                };
                self.servers.insert(index, server);
            }
        }
    }

    /// Records the result of a call. Returns whether it ejected the server.
    pub fn record(&mut self, now: Millis, id: &BackendId, outcome: Outcome) -> bool {
        let Ok(index) = self.index_of(id) else {
            return false;
        };
        self.servers[index].record(now, outcome);
        if !self.servers[index].is_failing(now) || !self.may_eject(now, index) {
            return false;
        }
        self.servers[index].eject(now);
        true
    }

    /// Share of its usual work that a server gets: 0 while ejected, rising to 1 after its return.
    /// A server outside the group gets 0.
    pub fn weight(&self, now: Millis, id: &BackendId) -> f64 {
        match self.index_of(id) {
            Ok(index) => self.servers[index].weight(now),
            Err(_) => 0.0,
        }
    }

    /// Number of servers that are ejected.
    pub fn ejected(&self, now: Millis) -> usize {
        let servers = self.servers.iter();
        servers.filter(|server| server.is_ejected(now)).count()
    }

    /// At most half of the group is ejected, so that a fault that all servers share, or that lies
    /// at this host, does not stop all work.
    fn may_eject(&self, now: Millis, index: usize) -> bool {
        !self.servers[index].is_ejected(now) && (self.ejected(now) + 1) * 2 <= self.servers.len()
    }

    fn index_of(&self, id: &BackendId) -> Result<usize, usize> {
        self.servers.binary_search_by(|server| server.id.cmp(id))
    }
}

impl Server {
    fn record(&mut self, now: Millis, outcome: Outcome) {
        if outcome == Outcome::ConnectFailed {
            self.connect_failures += 1;
        } else {
            self.connect_failures = 0;
        }
        self.calls.push_back((now, outcome != Outcome::Success));
        while self.calls.len() > MAX_CALLS
            || self
                .calls
                .front()
                .is_some_and(|(at, _)| *at + RATE_WINDOW <= now)
        {
            self.calls.pop_front();
        }
    }

    fn is_failing(&self, now: Millis) -> bool {
        let recent = || self.calls.iter().filter(|(at, _)| *at + RATE_WINDOW > now);
        let calls = recent().count();
        let failures = recent().filter(|(_, failed)| *failed).count();
        self.connect_failures >= MAX_CONNECT_FAILURES
            || (calls >= MIN_CALLS && failures * 2 > calls)
    }

    fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until
    }

    fn eject(&mut self, now: Millis) {
        let returned = self.ejection == Millis::ZERO || now >= self.ejected_until + RETURN_PERIOD;
        self.ejection = match returned {
            true => MIN_EJECTION,
            false => (self.ejection + self.ejection).min(MAX_EJECTION),
        };
        self.ejected_until = now + self.ejection;
        self.connect_failures = 0;
        self.calls.clear();
    }

    fn weight(&self, now: Millis) -> f64 {
        if self.ejection == Millis::ZERO {
            return 1.0;
        }
        if self.is_ejected(now) {
            return 0.0;
        }
        let since = (now - self.ejected_until).0 as f64 / RETURN_PERIOD.0 as f64;
        since.clamp(MIN_WEIGHT, 1.0)
    }
}
