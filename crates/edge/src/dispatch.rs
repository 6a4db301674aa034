//! Exchange of asks, grants and ends between this host and the dispatchers of plain services.
//!
//! The host of a dispatcher is chosen by [`Edge::owner`]. A host that gets no reply, or that hears no other
//! host, places its calls by itself.

use std::net::SocketAddr;
use std::sync::Arc;

use bv_dispatch::{Action, Ask, AskId, Dispatcher, dispatcher_count};
use bv_types::{BackendId, HostId, Millis, ServiceId};
use tracing::{info, warn};

use crate::counters;
use crate::dispatch_messages::{AskMessage, DispatchMessage, ReplyMessage, UseMessage};
use crate::dispatch_state::{OwnDispatcher, Part, Reply};
use crate::edge::Edge;
use crate::request::CallerRequest;
use crate::slots::OpenAsk;
use crate::usage::send_dispatch;

/// Interval at which a dispatcher ends what has expired, while it has calls.
const TICK: Millis = Millis(20);
/// The same interval while there is nothing to do.
const IDLE_TICK: Millis = Millis(500);
/// Interval at which a dispatcher takes the servers from the roster.
const SERVERS_INTERVAL: Millis = Millis(100);
/// Interval at which the gauges of a dispatcher are set.
const GAUGE_INTERVAL: Millis = Millis(250);
/// Interval at which grants in use are renewed; a lease lasts a second.
const RENEW_GRANTS: Millis = Millis(300);

impl Edge {
    pub(crate) fn ask_id(&self, call: u64) -> AskId {
        AskId {
            host: self.settings.host.clone(),
            call,
        }
    }

    /// The dispatcher to ask for a call, and the servers that it must not be sent to; none if the call is
    /// placed without one.
    pub(crate) fn dispatcher_part(
        &self,
        now: Millis,
        service: &ServiceId,
        tried: &[BackendId],
        call: u64,
    ) -> Option<(Part, Vec<BackendId>)> {
        let state = self.state();
        if !state.dispatch.is_on(service) {
            return None;
        }
        // A host that is cut off would grant slots that others use.
        let others = state.hosts.others();
        let is_cut_off = !others.is_empty() && !others.iter().any(|h| state.fleet.hears(&h.id));
        if state.hosts.count().is_none() || is_cut_off {
            return None;
        }
        let servers: Vec<_> = state.roster.of_service(now, service).collect();
        let count = dispatcher_count(servers.len());
        let may_take = |id: &BackendId| !tried.contains(id);
        let excluded: Vec<BackendId> = servers
            .iter()
            .filter(|s| !may_take(&s.id) || !state.announced.may_send(now, s))
            .map(|s| s.id.clone())
            .collect();
        // Parts get calls in proportion to their servers.
        let first = (call % servers.len().max(1) as u64) as usize;
        let mut from_first = servers.iter().cycle().skip(first).take(servers.len());
        let server = from_first.find(|server| !excluded.contains(&server.id))?;
        let part = Part::of(service, &server.id, count);
        Some((part, excluded))
    }

    pub(crate) fn send_ask(
        &self,
        now: Millis,
        open: &OpenAsk,
        req: &CallerRequest,
        excluded: &[BackendId],
    ) {
        let [a, b, c, d, e, f, g, h, ..] = req.content.request().0;
        let ask = Ask {
            id: self.ask_id(open.call),
            priority: req.route.priority,
            team: req.team.as_ref().map(|team| team.id.clone()),
            zone: Some(self.settings.zone.clone()),
            arrived: req.arrived,
            on_time_until: req.arrived + req.route.objective,
            deadline: req.deadline,
            tried: excluded.to_vec(),
            key: u64::from_le_bytes([a, b, c, d, e, f, g, h]),
            sent_at: now,
        };
        match open.to {
            Some(to) => {
                let mut state = self.state();
                let outboxes = &mut state.dispatch.outboxes;
                let outbox = outboxes.entry((open.part.clone(), to)).or_default();
                outbox.asks.push(ask);
                drop(state);
                self.dispatch_due.notify_one();
            }
            None => {
                let epoch = self
                    .state()
                    .dispatch
                    .own
                    .get(&open.part)
                    .map(|own| own.epoch);
                let uses = self.uses(now, &open.part, epoch);
                let actions = self.with_dispatcher(now, &open.part, |dispatcher| {
                    dispatcher.set_uses(now, &self.settings.host, uses);
                    dispatcher.ask(now, ask)
                });
                self.deliver(&open.part, actions);
            }
        }
    }

    /// Calls a dispatcher at this host, which begins if there is none yet.
    fn with_dispatcher<T>(
        &self,
        now: Millis,
        part: &Part,
        call: impl FnOnce(&mut Dispatcher) -> T,
    ) -> T {
        let mut guard = self.state();
        let state = &mut *guard;
        let began = !state.dispatch.own.contains_key(part);
        let own = state.dispatch.own.entry(part.clone());
        let own = own.or_insert_with(|| OwnDispatcher::new(now));
        own.asked_at = now;
        if own.servers_at.is_none_or(|at| now >= at + SERVERS_INTERVAL) {
            own.servers_at = Some(now);
            let count = dispatcher_count(state.roster.of_service(now, &part.service).count());
            let servers = state.roster.of_service(now, &part.service);
            let servers = state.announced.allowed(now, servers);
            let servers = servers.filter(|s| Part::of(&part.service, &s.id, count) == *part);
            own.dispatcher.set_servers(now, servers);
        }
        if began {
            for (server, report, at) in state.dispatch.reports.iter() {
                own.dispatcher.record_report(*at, server, *report);
            }
            info!(service = %part.service, part = part.number, "dispatch: this host grants slots");
        }
        call(&mut own.dispatcher)
    }

    /// This host's sends at the servers of a part that its dispatcher did not grant.
    fn uses(&self, now: Millis, part: &Part, epoch: Option<u64>) -> Vec<(BackendId, u32)> {
        let state = self.state();
        let servers = state.roster.of_service(now, &part.service);
        let uses = servers.filter_map(|server| {
            let granted = state.dispatch.granted_at(&server.id, epoch);
            let alone = state.fleet.own_sends(&server.id).saturating_sub(granted);
            (alone > 0).then(|| (server.id.clone(), alone as u32))
        });
        uses.collect()
    }

    /// Tells the hosts what a dispatcher at this host decided.
    pub(crate) fn deliver(&self, part: &Part, actions: Vec<Action>) {
        let state = self.state();
        let Some(epoch) = state.dispatch.own.get(part).map(|own| own.epoch) else {
            return;
        };
        let mut replies: Vec<(HostId, Vec<ReplyMessage>)> = Vec::new();
        for action in actions {
            if action.id.host == self.settings.host {
                let reply = Reply {
                    decision: action.decision,
                    sent_at: action.sent_at,
                    epoch,
                };
                if let Some(pending) = state.dispatch.pending.get(&action.id.call) {
                    // The call may have ended meanwhile; its guard returns the slot.
                    let _ = pending.replies.send(reply);
                }
                continue;
            }
            let reply = ReplyMessage::encode(&action);
            match replies.iter_mut().find(|(host, _)| *host == action.id.host) {
                Some((_, known)) => known.push(reply),
                None => replies.push((action.id.host, vec![reply])),
            }
        }
        let askers = state.dispatch.own.get(part).map(|own| &own.askers);
        let addressed: Vec<(SocketAddr, Vec<ReplyMessage>)> = replies
            .into_iter()
            .filter_map(|(host, replies)| Some((*askers?.get(&host)?, replies)))
            .collect();
        drop(state);
        for (to, replies) in addressed {
            let message = DispatchMessage {
                service: part.service.to_string(),
                part: part.number,
                epoch: Some(epoch),
                replies,
                ..DispatchMessage::default()
            };
            send_dispatch(self, to, message);
        }
    }

    /// Sends what waits in the outboxes.
    fn flush_asks(&self, now: Millis) {
        let due: Vec<(Part, SocketAddr)> = {
            let state = self.state();
            let outboxes = state.dispatch.outboxes.iter();
            let due = outboxes.filter(|(_, outbox)| outbox.is_due(now));
            due.map(|(key, _)| key.clone()).collect()
        };
        for (part, to) in due {
            let epoch = self.state().dispatch.epochs.get(&part).copied();
            let uses = self.uses(now, &part, epoch);
            let mut state = self.state();
            let outboxes = &mut state.dispatch.outboxes;
            let Some(outbox) = outboxes.get_mut(&(part.clone(), to)) else {
                continue;
            };
            let asks = std::mem::take(&mut outbox.asks);
            let ends = std::mem::take(&mut outbox.ends);
            let told = std::mem::take(&mut outbox.told);
            outbox.told = ends.iter().map(|end| (now, end.clone())).collect();
            let message = DispatchMessage {
                service: part.service.to_string(),
                part: part.number,
                zone: self.settings.zone.to_string(),
                asks: asks
                    .iter()
                    .map(|ask| AskMessage::encode(now, ask))
                    .collect(),
                renewals: std::mem::take(&mut outbox.renewals),
                ends: told.into_iter().map(|(_, end)| end).chain(ends).collect(),
                uses: uses
                    .into_iter()
                    .map(|(server, count)| UseMessage {
                        server: server.to_string(),
                        count,
                    })
                    .collect(),
                ..DispatchMessage::default()
            };
            if outbox.told.is_empty() {
                outboxes.remove(&(part, to));
            }
            drop(state);
            send_dispatch(self, to, message);
        }
    }

    /// Queues the renewal of grants that are in use for long.
    fn renew_grants(&self, now: Millis) {
        let dispatch = &mut self.state().dispatch;
        for (call, grant) in &mut dispatch.grants {
            if now < grant.renewed_at + RENEW_GRANTS {
                continue;
            }
            grant.renewed_at = now;
            let part = grant.part.clone();
            match grant.to {
                Some(to) => {
                    let outbox = dispatch.outboxes.entry((part, to)).or_default();
                    outbox.renewals.push(*call);
                }
                None => {
                    if let Some(own) = dispatch.own.get_mut(&part) {
                        own.dispatcher.renew(now, &self.ask_id(*call));
                    }
                }
            }
        }
    }
}

/// Sends the asks and ends of this host, and ends what has expired at its dispatchers.
pub(crate) async fn run(edge: Arc<Edge>) {
    loop {
        let is_idle = {
            let dispatch = &edge.state().dispatch;
            let own_idle = dispatch.own.values().all(|own| own.dispatcher.is_idle());
            own_idle && dispatch.grants.is_empty() && dispatch.outboxes.is_empty()
        };
        let pause = if is_idle { IDLE_TICK } else { TICK };
        // At the end of the pause there may be something to expire.
        let _ = tokio::time::timeout(pause.duration(), edge.dispatch_due.notified()).await;
        let now = edge.now();
        edge.renew_grants(now);
        edge.flush_asks(now);
        let parts: Vec<Part> = edge.state().dispatch.own.keys().cloned().collect();
        for part in parts {
            let own_tick = |own: &mut OwnDispatcher| {
                if now >= own.counted_at + GAUGE_INTERVAL {
                    own.counted_at = now;
                    counters::dispatcher(&part.service, now, &own.dispatcher);
                }
                own.dispatcher.tick(now)
            };
            let actions = edge.state().dispatch.own.get_mut(&part).map(own_tick);
            edge.deliver(&part, actions.unwrap_or_default());
        }
        let unused = edge.state().dispatch.end_unused(now);
        for (part, dispatcher) in unused {
            counters::dispatcher_ended(&part.service, now, &dispatcher);
            info!(service = %part.service, part = part.number, "dispatch: this host grants no slots");
        }
    }
}

/// Handles a message about slots.
pub(crate) fn receive(edge: &Edge, peer: SocketAddr, host: &HostId, message: &DispatchMessage) {
    let Ok(service) = message.service.parse::<ServiceId>() else {
        return;
    };
    let now = edge.now();
    let part = Part {
        service,
        number: message.part,
    };
    if let Some(epoch) = message.epoch {
        receive_replies(edge, &part, epoch, message);
        return;
    }
    edge.state().dispatch.record_evidence(now, &part.service);
    let zone = message.zone.parse().ok();
    let was_idle = {
        let own = &edge.state().dispatch.own;
        own.values().all(|own| own.dispatcher.is_idle())
    };
    let mut actions = Vec::new();
    edge.with_dispatcher(now, &part, |dispatcher| {
        let uses = message.uses.iter();
        let uses = uses.filter_map(|u| Some((u.server.parse().ok()?, u.count)));
        dispatcher.set_uses(now, host, uses.collect());
        for end in &message.ends {
            if let (Some(report), Ok(server)) = (end.report(), end.server.parse()) {
                dispatcher.record_report(now, &server, report);
            }
            let id = AskId {
                host: host.clone(),
                call: end.call,
            };
            actions.extend(dispatcher.end(now, &id, end.end()));
        }
        for call in &message.renewals {
            let id = AskId {
                host: host.clone(),
                call: *call,
            };
            dispatcher.renew(now, &id);
        }
        for ask in &message.asks {
            match ask.decode(now, host, zone.as_ref()) {
                Ok(ask) => actions.extend(dispatcher.ask(now, ask)),
                Err(err) => warn!(host = %host, error = %err, "dispatch: unreadable ask ignored"),
            }
        }
    });
    if let Some(own) = edge.state().dispatch.own.get_mut(&part) {
        own.askers.insert(host.clone(), peer);
    }
    edge.deliver(&part, actions);
    // The task waits longer while there is nothing to expire.
    if was_idle {
        edge.dispatch_due.notify_one();
    }
}

fn receive_replies(edge: &Edge, part: &Part, epoch: u64, message: &DispatchMessage) {
    let dispatch = &mut edge.state().dispatch;
    dispatch.epochs.insert(part.clone(), epoch);
    for reply in &message.replies {
        let Ok(decision) = reply.decode() else {
            continue;
        };
        // A reply for a call that waits no more needs nothing: its end was told.
        if let Some(pending) = dispatch.pending.get(&reply.call) {
            let reply = Reply {
                decision,
                sent_at: Millis(reply.sent_at),
                epoch,
            };
            let _ = pending.replies.send(reply);
        }
    }
}
