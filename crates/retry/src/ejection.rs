//! Ejection of failing backend servers, and slow start when they return.

use std::collections::VecDeque;

use bv_types::{BackendId, Millis};

/// Consecutive connection failures that eject a server.
const MAX_CONNECT_FAILURES: u32 = 3;
/// Window over which the failure rate is computed.
const RATE_WINDOW: Millis = Millis(10_000);
/// Minimum number of calls in the window for a failure rate.
const MIN_CALLS: usize = 10;
/// Calls kept per server for the failure rate; the oldest are dropped first.
const MAX_CALLS: usize = 1_000;
/// Length of the first ejection; doubled if the server fails again during slow start.
const MIN_EJECTION_TIME: Millis = Millis(2_000);
const MAX_EJECTION_TIME: Millis = Millis(30_000);
/// Time in which the weight of a returning server rises to 1.
const SLOW_START_PERIOD: Millis = Millis(10_000);
/// Smallest weight of a returning server, so that it receives requests at all.
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
    /// Time of each recent call and whether it failed.
    calls: VecDeque<(Millis, bool)>,
    ejected_until: Millis,
    /// Length of the latest ejection, or zero.
    last_ejection_time: Millis,
}

/// Health of the backend servers of one group, sorted by id.
#[derive(Debug, Default)]
pub struct Ejection {
    servers: Vec<Server>,
}

impl Ejection {
    /// Creates a group without recorded failures.
    pub fn new(servers: Vec<BackendId>) -> Self {
        let mut group = Ejection::default();
        group.set_servers(&servers);
        group
    }

    /// Replaces the servers of the group; servers that remain keep their records.
    pub fn set_servers(&mut self, ids: &[BackendId]) {
        self.servers.retain(|server| ids.contains(&server.id));
        for id in ids {
            if let Err(index) = self.index_of(id) {
                let server = Server {
                    id: id.clone(),
                    connect_failures: 0,
                    calls: VecDeque::new(),
                    ejected_until: Millis::ZERO,
                    last_ejection_time: Millis::ZERO,
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

    /// Fraction of its usual load that a server gets: 0 while ejected, rising to 1 after its
    /// return. A server outside the group gets 0.
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

    /// Limits ejection to half of the group, so that a fault that all servers share, or a fault of
    /// this host, does not stop all requests.
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
        let has_recovered = self.last_ejection_time == Millis::ZERO
            || now >= self.ejected_until + SLOW_START_PERIOD;
        self.last_ejection_time = match has_recovered {
            true => MIN_EJECTION_TIME,
            false => (self.last_ejection_time + self.last_ejection_time).min(MAX_EJECTION_TIME),
        };
        self.ejected_until = now + self.last_ejection_time;
        self.connect_failures = 0;
        self.calls.clear();
    }

    fn weight(&self, now: Millis) -> f64 {
        if self.last_ejection_time == Millis::ZERO {
            return 1.0;
        }
        if self.is_ejected(now) {
            return 0.0;
        }
        let slow_start_progress = (now - self.ejected_until).0 as f64 / SLOW_START_PERIOD.0 as f64;
        slow_start_progress.clamp(MIN_WEIGHT, 1.0)
    }
}
