//! Choice among the servers of a plain service.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use bv_config::Inventory;
use bv_retry::{Backoff, Budget, Ejection, Outcome};
use bv_types::{BackendId, Millis, ServiceId, ZoneId};
use fastrand::Rng;
use tracing::info;

/// Load and health of servers as this host sees them.
#[derive(Debug)]
pub(crate) struct Servers(Mutex<State>);

#[derive(Debug)]
struct State {
    rng: Rng,
    backoff: Backoff,
    /// Sorted by service.
    services: Vec<(ServiceId, ServiceState)>,
    /// Calls in progress, sorted by server.
    in_flight: Vec<(BackendId, usize)>,
    /// Sorted.
    leaving: Vec<BackendId>,
}

#[derive(Debug)]
struct ServiceState {
    ejection: Ejection,
    budget: Budget,
}

/// Criteria for choosing a server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Criteria<'a> {
    pub inventory: &'a Inventory,
    pub service: &'a ServiceId,
    /// Zone of this host.
    pub zone: &'a ZoneId,
    /// Servers that have failed this call.
    pub tried: &'a [BackendId],
}

/// A chosen server; counts as a call in progress until dropped.
#[derive(Debug)]
pub(crate) struct ChosenServer {
    pub id: BackendId,
    pub addr: SocketAddr,
    service: ServiceId,
    servers: Arc<Servers>,
}

impl Servers {
    pub fn new(seed: u64) -> Self {
        Servers(Mutex::new(State {
            rng: Rng::with_seed(seed),
            backoff: Backoff::new(seed),
            services: Vec::new(),
            in_flight: Vec::new(),
            leaving: Vec::new(),
        }))
    }

    /// Chooses a server: same zone first, then the fewest calls in progress.
    pub fn choose(self: &Arc<Self>, now: Millis, criteria: Criteria<'_>) -> Option<ChosenServer> {
        let mut state = self.lock();
        let (id, addr) = state.choose(now, criteria)?;
        state.update_in_flight(&id, |count| count + 1);
        drop(state);
        Some(ChosenServer {
            id,
            addr,
            service: criteria.service.clone(),
            servers: self.clone(),
        })
    }

    /// Counts the first attempt of a call for the retry budget.
    pub fn first_attempt(&self, now: Millis, service: &ServiceId) {
        self.lock()
            .service_state(now, service)
            .budget
            .first_attempt(now);
    }

    /// Delay before a retry, or none if the retry budget is spent.
    pub fn take_retry(&self, now: Millis, service: &ServiceId, retry: u32) -> Option<Millis> {
        let mut state = self.lock();
        let granted = state.service_state(now, service).budget.take(now);
        granted.then(|| state.backoff.delay(retry))
    }

    /// Whether a backend server is leaving and gets no new work.
    pub fn is_leaving(&self, id: &BackendId) -> bool {
        self.lock().is_leaving(id)
    }

    /// Replaces the list of leaving backend servers.
    pub fn set_leaving(&self, mut leaving: Vec<BackendId>) {
        leaving.sort();
        self.lock().leaving = leaving;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(|err| err.into_inner())
    }
}

impl ChosenServer {
    /// Records the result of the call.
    pub fn record(&self, now: Millis, outcome: Outcome) {
        let mut state = self.servers.lock();
        let entry = state.service_state(now, &self.service);
        if entry.ejection.record(now, &self.id, outcome) {
            info!(server = %self.id, "plain: server ejected");
        }
    }
}

impl Drop for ChosenServer {
    fn drop(&mut self) {
        let mut state = self.servers.lock();
        state.update_in_flight(&self.id, |count| count.saturating_sub(1));
    }
}

impl State {
    fn choose(&mut self, now: Millis, criteria: Criteria<'_>) -> Option<(BackendId, SocketAddr)> {
        let all: Vec<_> = criteria.inventory.servers_of(criteria.service).collect();
        let ids: Vec<BackendId> = all.iter().map(|server| server.id.clone()).collect();
        self.service_state(now, criteria.service)
            .ejection
            .set_servers(&ids);
        let mut healthy = Vec::new();
        let mut admitted = Vec::new();
        let mut usable = Vec::new();
        for server in all {
            if criteria.tried.contains(&server.id) || self.is_leaving(&server.id) {
                continue;
            }
            // A server that returns from ejection is admitted with a probability equal to its
            // weight.
            let draw = self.rng.f64();
            let weight = self
                .service_state(now, criteria.service)
                .ejection
                .weight(now, &server.id);
            usable.push(server);
            if weight > 0.0 {
                healthy.push(server);
            }
            if draw < weight {
                admitted.push(server);
            }
        }
        // Ejected servers are used for first attempts if there is no other, but not for retries.
        let candidates = match (admitted.is_empty(), healthy.is_empty()) {
            (false, _) => admitted,
            (true, false) => healthy,
            (true, true) if criteria.tried.is_empty() => usable,
            (true, true) => return None,
        };
        let best = candidates.into_iter().min_by_key(|server| {
            let remote = server.zone != *criteria.zone;
            (remote, self.in_flight_of(&server.id), self.rng.u32(..))
        })?;
        Some((best.id.clone(), best.addr))
    }

    fn is_leaving(&self, id: &BackendId) -> bool {
        self.leaving.binary_search(id).is_ok()
    }

    fn in_flight_of(&self, id: &BackendId) -> usize {
        let found = self.in_flight.binary_search_by(|(known, _)| known.cmp(id));
        found.map_or(0, |index| self.in_flight[index].1)
    }

    /// Changes the number of calls in progress at a server.
    fn update_in_flight(&mut self, id: &BackendId, change: impl FnOnce(usize) -> usize) {
        match self.in_flight.binary_search_by(|(known, _)| known.cmp(id)) {
            Ok(index) => self.in_flight[index].1 = change(self.in_flight[index].1),
            Err(index) => self.in_flight.insert(index, (id.clone(), change(0))),
        }
    }

    fn service_state(&mut self, now: Millis, service: &ServiceId) -> &mut ServiceState {
        let found = self
            .services
            .binary_search_by(|(known, _)| known.cmp(service));
        let index = found.unwrap_or_else(|index| {
            let entry = ServiceState {
                ejection: Ejection::default(),
                budget: Budget::new(now),
            };
            self.services.insert(index, (service.clone(), entry));
            index
        });
        &mut self.services[index].1
    }
}
