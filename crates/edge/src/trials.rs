//! Trials of requests that may have crashed servers: at most one of them is sent at a time over all
//! hosts that hear each other.
//!
//! The host that hands out the permit for a content is chosen by a rendezvous hash among the hosts that
//! this one hears, so hosts with the same view ask the same one. Hosts with different views may grant
//! one permit each.

use std::net::SocketAddr;
use std::sync::Arc;

use bv_blame::{Admission, RENEW_INTERVAL, TrialId};
use bv_types::{Fingerprint, HostId, Millis};
use prost::Message;

use crate::answer::Failure;
use crate::edge::Edge;
use crate::request::CallerRequest;
use crate::usage::send_trial;

/// Longest wait for the trials of other requests; a caller waits for its answer meanwhile.
const MAX_WAIT: Millis = Millis(400);
/// A request waits for this share of its remaining time, so that it can still be served afterwards.
const WAIT_DIVISOR: u64 = 2;
/// Interval at which a permit is asked for again, since datagrams can be lost and permits end.
const ASK_INTERVAL: Millis = Millis(40);

/// A step of a trial, between the host that sends the request and the one that grants the permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub(crate) enum TrialStep {
    /// Asks for the permit of the first content.
    Ask = 0,
    /// Grants it.
    Grant = 1,
    /// Does not grant it now.
    Refuse = 2,
    /// Gives it back.
    End = 3,
}

/// Message about a trial.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct TrialMessage {
    /// A [`TrialStep`].
    #[prost(enumeration = "TrialStep", tag = "1")]
    kind: i32,
    #[prost(fixed64, tag = "2")]
    trial: u64,
    /// Contents of the whole request; the permit is for the first one.
    #[prost(bytes = "vec", repeated, tag = "3")]
    contents: Vec<Vec<u8>>,
}

impl TrialMessage {
    fn new(kind: TrialStep, trial: TrialId, contents: &[Fingerprint]) -> Self {
        TrialMessage {
            kind: kind as i32,
            trial: trial.0,
            contents: contents.iter().map(|content| content.0.to_vec()).collect(),
        }
    }
}

/// The request's part in a trial. Dropping it tells that the request is sent no more.
#[derive(Debug)]
pub(crate) struct RequestInTrial {
    edge: Arc<Edge>,
    trial: TrialId,
    content: Fingerprint,
}

impl RequestInTrial {
    /// Begins a trial; none while another request of this host tries the content.
    fn begin(edge: &Arc<Edge>, content: Fingerprint) -> Option<Self> {
        let trial = edge.state().crashes.begin_trial(content)?;
        Some(RequestInTrial {
            edge: edge.clone(),
            trial,
            content,
        })
    }

    /// The contents of its request, that of the trial first.
    fn contents(&self, req: &CallerRequest) -> Vec<Fingerprint> {
        let others = req.content.whole().filter(|key| *key != self.content);
        [self.content].into_iter().chain(others).collect()
    }
}

impl Drop for RequestInTrial {
    fn drop(&mut self) {
        self.edge.state().crashes.end_trial_request(self.trial);
        self.edge.tell_ended_trials();
    }
}

/// Waits until a request may be sent, for a limited time. Returns its part in a trial if it needs one.
///
/// # Errors
/// The request is blocked, or other requests with its content are tried first.
pub(crate) async fn admit(
    edge: &Arc<Edge>,
    req: &CallerRequest,
) -> Result<Option<RequestInTrial>, Failure> {
    let began = edge.now();
    let until = began + MAX_WAIT.min(Millis(req.remaining(began).0 / WAIT_DIVISOR));
    let mut own: Option<RequestInTrial> = None;
    let mut is_logged = false;
    loop {
        let changed = edge.trials_changed.notified();
        let now = edge.now();
        let trial = own.as_ref().map(|own| own.trial);
        let content = match edge.state().crashes.admission(now, &req.content, trial) {
            Admission::Blocked(block) => return Err(edge.refuse_blocked(now, req, block)),
            Admission::Free => None,
            Admission::OneAtATime(content) => Some(content),
        };
        let Some(content) = content else {
            let own = own.filter(|own| edge.state().crashes.is_granted(own.trial));
            if let Some(own) = &own {
                edge.logs.trial_began(now, req, own.content);
                req.trial.get_or_init(|| own.trial);
                tokio::spawn(renew(edge.clone(), own.trial, own.contents(req)));
            }
            return Ok(own);
        };
        if now >= until {
            return Err(edge.refuse_untried(now, req, content));
        }
        if !std::mem::replace(&mut is_logged, true) {
            edge.logs.trial_awaited(now, req, content);
        }
        if own.as_ref().is_none_or(|own| own.content != content) {
            own = RequestInTrial::begin(edge, content);
        }
        let is_granted = |own: &RequestInTrial| edge.ask_permit(own.trial, &own.contents(req));
        if own.as_ref().is_some_and(is_granted) {
            continue;
        }
        // At the end of the wait the permit is asked for again.
        let _ = tokio::time::timeout(ASK_INTERVAL.min(until - now).duration(), changed).await;
    }
}

/// Renews the permit for a trial until the trial is over.
async fn renew(edge: Arc<Edge>, trial: TrialId, contents: Vec<Fingerprint>) {
    loop {
        tokio::time::sleep(RENEW_INTERVAL.duration()).await;
        if !edge.state().crashes.has_trial(trial) {
            return;
        }
        edge.ask_permit(trial, &contents);
    }
}

/// Handles a message about a trial.
pub(crate) fn receive(edge: &Edge, peer: SocketAddr, host: &HostId, message: &TrialMessage) {
    let trial = TrialId(message.trial);
    let digest = |bytes: &Vec<u8>| Some(Fingerprint(bytes.as_slice().try_into().ok()?));
    let contents: Vec<Fingerprint> = message.contents.iter().filter_map(digest).collect();
    let Some(&content) = contents.first() else {
        return;
    };
    let now = edge.now();
    match message.kind() {
        TrialStep::Ask => {
            let is_granted = {
                let crashes = &mut edge.state().crashes;
                crashes.grant_permit(now, &contents, host, trial)
            };
            let step = match is_granted {
                true => TrialStep::Grant,
                false => TrialStep::Refuse,
            };
            send_trial(edge, peer, TrialMessage::new(step, trial, &[content]));
        }
        TrialStep::Grant => {
            let is_awaited = edge.state().crashes.grant_trial(trial);
            if !is_awaited {
                send_trial(
                    edge,
                    peer,
                    TrialMessage::new(TrialStep::End, trial, &[content]),
                );
            }
        }
        // The report in the same datagram tells why, if the content is blocked.
        TrialStep::Refuse => {}
        TrialStep::End => edge.state().crashes.end_permit(content, trial),
    }
}

impl Edge {
    /// Asks for the permit for the first of a request's contents, or renews it; returns whether this host
    /// has granted it itself.
    fn ask_permit(&self, trial: TrialId, contents: &[Fingerprint]) -> bool {
        let Some(&content) = contents.first() else {
            return false;
        };
        if let Some(grantor) = self.owner(&content.0) {
            send_trial(
                self,
                grantor,
                TrialMessage::new(TrialStep::Ask, trial, contents),
            );
            return false;
        }
        let now = self.now();
        let crashes = &mut self.state().crashes;
        crashes.grant_permit(now, contents, &self.settings.host, trial)
            && crashes.grant_trial(trial)
    }

    /// Gives back the permits of trials that are over.
    pub fn tell_ended_trials(&self) {
        let ended = self.state().crashes.take_ended_trials();
        for trial in &ended {
            match self.owner(&trial.content.0) {
                Some(peer) => {
                    let message = TrialMessage::new(TrialStep::End, trial.id, &[trial.content]);
                    send_trial(self, peer, message);
                }
                None => self.state().crashes.end_permit(trial.content, trial.id),
            }
        }
        if !ended.is_empty() {
            self.trials_changed.notify_waiters();
        }
    }
}
