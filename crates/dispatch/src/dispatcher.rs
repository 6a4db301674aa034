//! The dispatcher of a service: who gets which slot, and when.

use std::collections::BTreeMap;

use bv_roster::Registration;
use bv_types::{BackendId, HostId, Millis};

use crate::ask::{Action, Ask, AskId, Decision, SendEnd, ServerReport};
use crate::returns::Returns;
use crate::servers::Servers;
use crate::waiting::Waiting;

/// Longest time for which a grant lasts without a sign of its use.
pub const LEASE: Millis = Millis(1_000);
/// Time after the start in which all servers count as running already, and calls that could wait are not
/// refused: the dispatcher knows neither the slots in use nor the hosts' calls yet.
const LEARN_TIME: Millis = Millis(200);
/// Predicted waits are this much longer than computed, since calls of others arrive meanwhile.
const WAIT_MARGIN: f64 = 1.1;
/// Time over which arrivals are averaged, in ms.
const ARRIVAL_WINDOW_MS: f64 = 1_000.0;
/// Least share of the servers that counts as left to calls behind more urgent ones.
const LEAST_SHARE: f64 = 0.05;

#[derive(Debug, Clone)]
struct Held {
    server: BackendId,
    until: Millis,
    deadline: Millis,
    /// Calls in progress at the server when this one was granted, itself included.
    at_once: u32,
    sent_at: Millis,
}

/// Counts since the start of a dispatcher.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Stats {
    /// Slots granted.
    pub granted: u64,
    /// Calls refused.
    pub refused: u64,
    /// Granted calls that their server rejected.
    pub rejected: u64,
    /// Grants that ended without a message of their host.
    pub expired: u64,
    /// Grants that were returned unused.
    pub unused: u64,
}

/// Arrivals of calls of one priority, averaged.
#[derive(Debug)]
struct Arrivals {
    priority: u8,
    per_ms: f64,
    at: Millis,
}

/// Grants the slots of some servers of one service to the calls of all hosts.
///
/// It begins without memory. What was granted by another dispatcher before it is learnt from the sends that
/// hosts state and the load that servers report.
#[derive(Debug)]
pub struct Dispatcher {
    began_at: Millis,
    servers: Servers,
    grants: BTreeMap<AskId, Held>,
    waiting: Waiting,
    returns: Returns,
    arrivals: Vec<Arrivals>,
    stats: Stats,
}

impl Dispatcher {
    /// A dispatcher without servers and calls.
    pub fn new(now: Millis) -> Self {
        Dispatcher {
            began_at: now,
            servers: Servers::new(),
            grants: BTreeMap::new(),
            waiting: Waiting::default(),
            returns: Returns::default(),
            arrivals: Vec::new(),
            stats: Stats::default(),
        }
    }

    /// Sets the servers that may get calls now.
    pub fn set_servers<'a>(
        &mut self,
        now: Millis,
        servers: impl Iterator<Item = &'a Registration>,
    ) {
        let is_new = now >= self.began_at + LEARN_TIME;
        self.servers.set(servers, is_new);
        for held in self.grants.values() {
            if let Some(server) = self.servers.find(&held.server) {
                server.granted = 0;
            }
        }
        for held in self.grants.values() {
            self.servers.count_grant(now, &held.server, 1);
        }
    }

    /// Handles an ask, which may be a repeated one.
    pub fn ask(&mut self, now: Millis, mut ask: Ask) -> Vec<Action> {
        let id = ask.id.clone();
        let sent_at = ask.sent_at;
        if let Some(held) = self.grants.get_mut(&id) {
            if !ask.tried.contains(&held.server) {
                // The grant was lost, or is on its way.
                held.sent_at = sent_at;
                return vec![grant_action(now, &id, held)];
            }
            let held = held.clone();
            self.release(now, &id, &held.server);
        }
        if self.waiting.iter().all(|known| known.id != id) {
            self.count_arrival(now, ask.priority);
            if let Some(arrived) = self.returns.take(ask.key) {
                ask.arrived = ask.arrived.min(arrived);
            }
        }
        self.waiting.put(now, ask);
        let mut actions = self.serve(now);
        if actions.iter().any(|action| action.id == id) {
            return actions;
        }
        let decision = self.decide_wait(now, &id);
        actions.push(Action {
            id,
            sent_at,
            decision,
        });
        actions
    }

    /// Renews the grant of a call that is in progress.
    pub fn renew(&mut self, now: Millis, id: &AskId) {
        if let Some(held) = self.grants.get_mut(id) {
            held.until = now + LEASE.min(held.deadline - now);
        }
    }

    /// Handles the end of a granted call, or of one that no longer waits. A repeated end changes nothing.
    pub fn end(&mut self, now: Millis, id: &AskId, end: SendEnd) -> Vec<Action> {
        self.waiting.remove(id);
        if let Some(held) = self.grants.get(id).cloned() {
            self.release(now, id, &held.server);
            self.record_end(now, &held, end);
        }
        self.serve(now)
    }

    fn record_end(&mut self, now: Millis, held: &Held, end: SendEnd) {
        match end {
            SendEnd::Answered { took } => self.servers.answered(&held.server, took, held.at_once),
            SendEnd::Rejected => {
                self.stats.rejected += 1;
                if let Some(server) = self.servers.find(&held.server) {
                    server.pace.rejected(now, held.at_once);
                }
            }
            SendEnd::Failed => {
                if let Some(server) = self.servers.find(&held.server) {
                    server.pace.failed(now);
                }
            }
            SendEnd::Unused => self.stats.unused += 1,
        }
    }

    /// Records the load that a server reported with an answer.
    pub fn record_report(&mut self, now: Millis, server: &BackendId, report: ServerReport) {
        self.servers.record_report(now, server, report);
    }

    /// Records the sends of a host that this dispatcher did not grant.
    pub fn set_uses(&mut self, now: Millis, host: &HostId, uses: Vec<(BackendId, u32)>) {
        self.servers.set_uses(now, host, uses);
    }

    /// Ends what has expired, and grants what became free. Called every few ms while calls wait.
    pub fn tick(&mut self, now: Millis) -> Vec<Action> {
        let ended = self.grants.iter().filter(|(_, held)| now >= held.until);
        let ended: Vec<(AskId, BackendId)> = ended
            .map(|(id, held)| (id.clone(), held.server.clone()))
            .collect();
        for (id, server) in ended {
            self.stats.expired += 1;
            self.release(now, &id, &server);
        }
        self.servers.expire_uses(now);
        self.waiting.expire(now);
        self.returns.expire(now);
        self.serve(now)
    }

    /// Whether there is nothing to expire or to grant.
    pub fn is_idle(&self) -> bool {
        self.grants.is_empty() && self.waiting.is_empty()
    }

    /// Number of waiting calls.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Calls in progress and limit of each server.
    pub fn loads(&self, now: Millis) -> impl Iterator<Item = (&BackendId, u32, u32)> {
        let servers = self.servers.iter();
        servers.map(move |s| (&s.id, s.in_use(now), s.pace.limit(now)))
    }

    /// Counts since the start.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    fn release(&mut self, now: Millis, id: &AskId, server: &BackendId) {
        if self.grants.remove(id).is_some() {
            self.servers.count_grant(now, server, -1);
        }
    }

    /// Grants free slots to the calls in their order.
    fn serve(&mut self, now: Millis) -> Vec<Action> {
        let mut actions = Vec::new();
        while !self.waiting.is_empty() && self.servers.free(now) > 0 {
            let order = self.waiting.order(now, self.servers.work_ms());
            let found = order.into_iter().find_map(|ask| {
                let server = self.servers.best(now, ask.zone.as_ref(), &ask.tried)?;
                Some((ask.id.clone(), server.id.clone(), server.in_use(now) + 1))
            });
            let Some((id, server, at_once)) = found else {
                break;
            };
            let Some(ask) = self.waiting.grant(&id) else {
                break;
            };
            self.servers.count_grant(now, &server, 1);
            self.stats.granted += 1;
            let held = Held {
                server,
                until: now + LEASE.min(ask.deadline - now),
                deadline: ask.deadline,
                at_once,
                sent_at: ask.sent_at,
            };
            actions.push(grant_action(now, &id, &held));
            self.grants.insert(id, held);
        }
        actions
    }

    /// Whether a waiting call stays or is refused.
    fn decide_wait(&mut self, now: Millis, id: &AskId) -> Decision {
        let work_ms = self.servers.work_ms();
        let Some(ask) = self.waiting.iter().find(|ask| ask.id == *id).cloned() else {
            return Decision::Queued { wait: Millis::ZERO };
        };
        let ahead = self.waiting.ahead(now, work_ms, id) + 1;
        let rate = self.rate_left(now, ask.priority);
        let mut wait_ms = ahead as f64 / rate * WAIT_MARGIN;
        // Calls that were told to return meanwhile have their places.
        let returning = self.returns.due_before(now + Millis(wait_ms as u64));
        wait_ms += returning as f64 / rate;
        let wait = Millis(wait_ms.min(60_000.0).ceil() as u64);
        let answered = now + wait + Millis(work_ms as u64);
        if answered <= ask.deadline || now < self.began_at + LEARN_TIME {
            return Decision::Queued { wait };
        }
        self.waiting.remove(id);
        self.stats.refused += 1;
        let free_at = now + Millis((answered - ask.deadline).0.max(work_ms as u64));
        let due = self
            .returns
            .promise(ask.key, ask.arrived, free_at, 1.0 / rate);
        Decision::Refused {
            retry_after: due - now,
        }
    }

    /// Calls of a priority that the servers end in a ms beside the more urgent ones.
    fn rate_left(&self, now: Millis, priority: u8) -> f64 {
        let all = self.servers.rate_per_ms(now).max(0.001);
        let urgent = self.arrivals.iter().filter(|a| a.priority < priority);
        let urgent: f64 = urgent.map(|a| a.decayed(now)).sum();
        (all - urgent).max(all * LEAST_SHARE)
    }

    fn count_arrival(&mut self, now: Millis, priority: u8) {
        let known = self.arrivals.iter_mut().find(|a| a.priority == priority);
        match known {
            Some(arrivals) => {
                arrivals.per_ms = arrivals.decayed(now) + 1.0 / ARRIVAL_WINDOW_MS;
                arrivals.at = now;
            }
            None => self.arrivals.push(Arrivals {
                priority,
                per_ms: 1.0 / ARRIVAL_WINDOW_MS,
                at: now,
            }),
        }
    }
}

impl Arrivals {
    fn decayed(&self, now: Millis) -> f64 {
        self.per_ms * (-((now - self.at).0 as f64) / ARRIVAL_WINDOW_MS).exp()
    }
}

fn grant_action(now: Millis, id: &AskId, held: &Held) -> Action {
    Action {
        id: id.clone(),
        sent_at: held.sent_at,
        decision: Decision::Grant {
            server: held.server.clone(),
            lease: held.until - now,
        },
    }
}
