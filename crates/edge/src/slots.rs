//! Slots that the calls of this host wait for, and hold.

use std::net::SocketAddr;
use std::sync::Arc;

use bv_dispatch::{AskStep, Asking, Decision, SendEnd};
use bv_types::{BackendId, Millis, ServiceId};
use tokio::sync::mpsc;
use tracing::warn;

use crate::counters;
use crate::dispatch_state::{OwnGrant, Part, PendingAsk};
use crate::edge::Edge;
use crate::logs::LogBudget;
use crate::request::CallerRequest;

/// Result of an ask for a slot.
#[derive(Debug)]
pub(crate) enum Acquired {
    /// The call may be sent to the server of the slot.
    Slot(Slot),
    /// The call is placed as without a dispatcher.
    Alone,
    /// The call cannot be answered by its deadline.
    Refused { retry_after: Millis },
}

/// A slot at a server. Dropping it without [`Slot::end`] returns it unused.
#[derive(Debug)]
pub(crate) struct Slot {
    ask: OpenAsk,
    pub server: BackendId,
}

impl Slot {
    /// Tells the dispatcher how the send ended.
    pub fn end(mut self, end: SendEnd) {
        self.ask.end = end;
    }
}

/// A call that the dispatcher knows. Dropping it tells that the call needs no slot any more.
#[derive(Debug)]
pub(crate) struct OpenAsk {
    edge: Arc<Edge>,
    pub part: Part,
    /// Host of the dispatcher; none if it is this one.
    pub to: Option<SocketAddr>,
    pub call: u64,
    end: SendEnd,
}

impl Drop for OpenAsk {
    fn drop(&mut self) {
        let now = self.edge.now();
        let mut actions = Vec::new();
        {
            let dispatch = &mut self.edge.state().dispatch;
            dispatch.pending.remove(&self.call);
            let grant = dispatch.grants.remove(&self.call);
            let server = grant.map(|grant| grant.server);
            match self.to {
                Some(to) => {
                    let call = (self.call, server.as_ref());
                    dispatch.queue_end(now, (&self.part, to), call, self.end);
                }
                None => {
                    let id = self.edge.ask_id(self.call);
                    if let Some(own) = dispatch.own.get_mut(&self.part) {
                        actions = own.dispatcher.end(now, &id, self.end);
                    }
                }
            }
        }
        self.edge.deliver(&self.part, actions);
        self.edge.dispatch_due.notify_one();
    }
}

/// Waits for a slot for a call that was sent to the servers `tried` before.
pub(crate) async fn acquire(
    edge: &Arc<Edge>,
    req: &CallerRequest,
    tried: &[BackendId],
) -> Acquired {
    let now = edge.now();
    let call = fastrand::u64(1..);
    let Some((part, excluded)) = edge.dispatcher_part(now, &req.service, tried, call) else {
        return Acquired::Alone;
    };
    let reach = edge.state().dispatch.reaches.get(&part).copied();
    if reach.is_some_and(|reach| !reach.may_ask(now)) {
        counters::slot("alone");
        return Acquired::Alone;
    }
    let to = edge.owner(&part.key());
    let (tx, mut rx) = mpsc::unbounded_channel();
    edge.state()
        .dispatch
        .pending
        .insert(call, PendingAsk { replies: tx });
    let open = OpenAsk {
        edge: edge.clone(),
        part,
        to,
        call,
        end: SendEnd::Unused,
    };
    let mut asking = Asking::default();
    loop {
        let now = edge.now();
        if now >= req.deadline {
            return Acquired::Alone;
        }
        let until = match asking.step(now) {
            AskStep::Send => {
                edge.send_ask(now, &open, req, &excluded);
                now
            }
            AskStep::Wait(until) => until.min(req.deadline),
            AskStep::PlaceAlone => {
                let part = open.part.clone();
                let reaches = &mut edge.state().dispatch.reaches;
                reaches.entry(part).or_default().silent(now);
                edge.logs.dispatcher_silent(now, &open.part.service, to);
                counters::slot("alone");
                return Acquired::Alone;
            }
        };
        let wait = (until - now).duration();
        let reply = match rx.try_recv() {
            Ok(reply) => reply,
            Err(_) => match tokio::time::timeout(wait, rx.recv()).await {
                Ok(Some(reply)) => reply,
                Ok(None) | Err(_) => continue,
            },
        };
        let now = edge.now();
        match reply.decision {
            Decision::Queued { .. } => asking.queued(now),
            Decision::Refused { retry_after } => {
                counters::slot("refused");
                return Acquired::Refused { retry_after };
            }
            // A late grant may have expired, and another call may have the slot.
            Decision::Grant { lease, .. } if now >= reply.sent_at + lease => {}
            Decision::Grant { server, .. } => {
                counters::slot("granted");
                counters::slot_wait(now - req.arrived);
                let grant = OwnGrant {
                    part: open.part.clone(),
                    to,
                    server: server.clone(),
                    epoch: reply.epoch,
                    renewed_at: now,
                };
                edge.state().dispatch.grants.insert(call, grant);
                return Acquired::Slot(Slot { ask: open, server });
            }
        }
    }
}

impl LogBudget {
    /// Logs that a dispatcher did not reply, and that calls are placed by this host.
    fn dispatcher_silent(&self, now: Millis, service: &ServiceId, to: Option<SocketAddr>) {
        if self.take(now) {
            let dispatcher = to.map_or_else(String::new, |to| to.to_string());
            warn!(service = %service, dispatcher, "dispatch: no reply, calls are placed by this host");
        }
    }
}
