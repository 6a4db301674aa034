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
/// Time of a call, as a multiple of the usual one, that must be left before its deadline when it is granted a
/// slot: machines are shared, and the answer of a call that must run at most once may not be late. For the
/// decision whether it waits, the usual time is enough; with more, calls were refused that found a slot.
const DEADLINE_MARGIN: f64 = 2.0;
/// Least share of the servers that counts as left to calls behind more urgent ones, whose bursts end.
const LEAST_SHARE: f64 = 0.3;

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

    /// Handles an ask, which may be a repeated one. Without servers there is no decision: another host may
    /// know of some, and places the call itself without a reply.
    pub fn ask(&mut self, now: Millis, mut ask: Ask) -> Vec<Action> {
        if self.servers.is_empty() {
            return Vec::new();
        }
        // Grants of another dispatcher have ended by then.
        if now >= self.began_at + LEASE {
            self.servers.set_floor();
        }
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
        if self.waiting.find(&id).is_none()
            && let Some(arrived) = self.returns.take(ask.key)
        {
            ask.arrived = ask.arrived.min(arrived);
        }
        let priority = ask.priority;
        if self.waiting.put(now, ask) {
            self.count_arrival(now, priority);
        }
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
            let work_ms = self.servers.answer_ms();
            let servers = &self.servers;
            let server_of = |ask: &Ask| servers.best(now, ask.zone.as_ref(), &ask.tried);
            // Few calls were tried elsewhere, so the first one can nearly always go.
            let first = self.waiting.first(now, work_ms, |_| true);
            let first = match first.filter(|ask| server_of(ask).is_some()) {
                Some(first) => Some(first),
                None => self
                    .waiting
                    .first(now, work_ms, |ask| server_of(ask).is_some()),
            };
            if let Some(late) = first.filter(|ask| !self.is_in_time(now, ask, DEADLINE_MARGIN)) {
                let id = late.id.clone();
                actions.extend(self.refuse(now, &id, now));
                continue;
            }
            let found = first.and_then(|ask| {
                let server = server_of(ask)?;
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
        let Some(ask) = self.waiting.find(id).cloned() else {
            return Decision::Queued { wait: Millis::ZERO };
        };
        if let Some(slot_at) = self.waiting.predicted(now, id)
            && self.is_in_time(now, &ask, DEADLINE_MARGIN)
        {
            let wait = slot_at - now;
            return Decision::Queued { wait };
        }
        let ahead = self.waiting.ahead(now, self.servers.answer_ms(), id) + 1;
        let rate = self.rate_left(now, ask.priority);
        let mut wait_ms = ahead as f64 / rate * WAIT_MARGIN;
        // Calls that were told to return meanwhile have their places.
        let returning = self.returns.due_before(now + Millis(wait_ms as u64));
        wait_ms += returning as f64 / rate;
        let wait = Millis(wait_ms.min(60_000.0).ceil() as u64);
        let is_hopeless = !self.is_in_time(now, &ask, DEADLINE_MARGIN);
        let is_learning = now < self.began_at + LEARN_TIME;
        if !is_hopeless && (self.is_in_time(now + wait, &ask, 1.0) || is_learning) {
            self.waiting.set_predicted(now, id, now + wait);
            return Decision::Queued { wait };
        }
        // A slot is free for it when as many calls have ended as are now too many before it.
        let answered = now + wait + Millis(work_ms as u64);
        let free_at = now + (answered - ask.deadline);
        match self.refuse(now, id, free_at) {
            Some(action) => action.decision,
            None => Decision::Queued { wait },
        }
    }

    /// Whether a call that is sent at this time is likely to be answered by its deadline, with `margin` times
    /// the usual time to an answer. In the first half
    /// of its time it always counts so: if all calls were refused after some slow answers, no quick one could
    /// correct the estimate.
    fn is_in_time(&self, now: Millis, ask: &Ask, margin: f64) -> bool {
        let answer_ms = self.servers.work_ms().max(self.servers.answer_ms()) * margin;
        let half = Millis((ask.deadline - ask.arrived).0 / 2);
        now + Millis(answer_ms as u64).min(half) <= ask.deadline
    }

    /// Refuses a waiting call, with the time of its return.
    fn refuse(&mut self, now: Millis, id: &AskId, free_at: Millis) -> Option<Action> {
        let ask = self.waiting.remove(id)?;
        self.stats.refused += 1;
        let free_at = free_at.max(now + Millis(self.servers.work_ms() as u64));
        let spacing_ms = 1.0 / self.rate_left(now, ask.priority);
        let due = self
            .returns
            .promise(ask.key, ask.arrived, free_at, spacing_ms);
        Some(Action {
            id: ask.id,
            sent_at: ask.sent_at,
            decision: Decision::Refused {
                retry_after: due - now,
            },
        })
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
