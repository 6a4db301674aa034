//! What a host knows of dispatchers, of its own calls that wait for a slot and of its grants.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bv_admit::Report;
use bv_dispatch::{Ask, Decision, Dispatcher, Reach, SendEnd, ServerReport};
use bv_roster::Registration;
use bv_types::{BackendId, Fingerprint, HostId, Millis, ServiceId};
use tokio::sync::mpsc;

use crate::dispatch_messages::EndMessage;

/// Time for which a service counts as one whose servers report their pace, after the last such report, if
/// other answers came since.
const PACE_EVIDENCE: Millis = Millis(10_000);
/// Age up to which the load that a server reported is told to the dispatcher.
const REPORT_AGE: Millis = Millis(200);
/// Time without an ask after which a dispatcher without calls ends.
const UNUSED_TIME: Millis = Millis(5_000);
/// Time after which an end is told a second time, since datagrams can be lost.
const END_REPEAT: Millis = Millis(50);

/// One dispatcher of a service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Part {
    pub service: ServiceId,
    pub number: u32,
}

impl Part {
    /// Key by which its host is chosen.
    pub fn key(&self) -> Vec<u8> {
        format!("dispatch {} {}", self.service, self.number).into_bytes()
    }

    /// The part that a server belongs to, among `count` of its service.
    pub fn of(service: &ServiceId, server: &BackendId, count: usize) -> Self {
        let Fingerprint([a, b, c, d, ..]) = Fingerprint::digest([server.as_str().as_bytes()]);
        Part {
            service: service.clone(),
            number: u32::from_le_bytes([a, b, c, d]) % count.max(1) as u32,
        }
    }
}

/// A dispatcher at this host.
#[derive(Debug)]
pub(crate) struct OwnDispatcher {
    pub epoch: u64,
    pub dispatcher: Dispatcher,
    pub asked_at: Millis,
    pub servers_at: Option<Millis>,
    /// When the gauges were set last.
    pub counted_at: Millis,
    /// Where the hosts that ask are reached.
    pub askers: BTreeMap<HostId, SocketAddr>,
}

impl OwnDispatcher {
    pub fn new(now: Millis) -> Self {
        OwnDispatcher {
            epoch: fastrand::u64(1..),
            dispatcher: Dispatcher::new(now),
            asked_at: now,
            servers_at: None,
            counted_at: Millis::ZERO,
            askers: BTreeMap::new(),
        }
    }
}

/// A reply to an ask of this host.
#[derive(Debug)]
pub(crate) struct Reply {
    pub decision: Decision,
    pub sent_at: Millis,
    pub epoch: u64,
}

/// A call of this host that waits for a reply.
#[derive(Debug)]
pub(crate) struct PendingAsk {
    pub replies: mpsc::UnboundedSender<Reply>,
}

/// A grant of this host's call.
#[derive(Debug, Clone)]
pub(crate) struct OwnGrant {
    pub part: Part,
    /// Host of the dispatcher; none if it is this one.
    pub to: Option<SocketAddr>,
    pub server: BackendId,
    pub epoch: u64,
    pub renewed_at: Millis,
}

/// Messages to one dispatcher that were not sent yet.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    pub asks: Vec<Ask>,
    pub renewals: Vec<u64>,
    pub ends: Vec<EndMessage>,
    /// Ends that were told once, and when.
    pub told: Vec<(Millis, EndMessage)>,
}

impl Outbox {
    /// Whether a message is to be sent now.
    pub fn is_due(&self, now: Millis) -> bool {
        let is_new = !(self.asks.is_empty() && self.renewals.is_empty() && self.ends.is_empty());
        is_new
            || self
                .told
                .first()
                .is_some_and(|(at, _)| now >= *at + END_REPEAT)
    }
}

/// Which servers of a service report their pace.
#[derive(Debug)]
struct PaceEvidence {
    service: ServiceId,
    reported_at: Millis,
    /// Latest answer without a pace.
    absent_at: Millis,
}

/// All state of the exchange.
#[derive(Debug, Default)]
pub(crate) struct DispatchState {
    evidence: Vec<PaceEvidence>,
    /// Newest load that each plain server reported, and when.
    pub reports: Vec<(BackendId, ServerReport, Millis)>,
    pub own: BTreeMap<Part, OwnDispatcher>,
    pub pending: BTreeMap<u64, PendingAsk>,
    pub grants: BTreeMap<u64, OwnGrant>,
    pub reaches: BTreeMap<Part, Reach>,
    pub outboxes: BTreeMap<(Part, SocketAddr), Outbox>,
    /// Epoch of the dispatcher that replied last.
    pub epochs: BTreeMap<Part, u64>,
}

impl DispatchState {
    /// Records the load that a plain server reported with an answer.
    pub fn record_load(&mut self, now: Millis, server: &Registration, report: Report) {
        let known = self
            .evidence
            .iter_mut()
            .find(|e| e.service == server.service);
        match (known, report.pace) {
            (Some(evidence), Some(_)) => evidence.reported_at = now,
            (Some(evidence), None) => evidence.absent_at = now,
            (None, Some(_)) => self.record_evidence(now, &server.service),
            (None, None) => return,
        }
        let report = ServerReport {
            running: report.running,
            waiting: report.waiting,
            pace: report.pace,
        };
        self.reports
            .retain(|(id, _, at)| *id != server.id && now < *at + PACE_EVIDENCE);
        self.reports.push((server.id.clone(), report, now));
        for (part, own) in &mut self.own {
            if part.service == server.service {
                own.dispatcher.record_report(now, &server.id, report);
            }
        }
    }

    /// Records that servers of a service report their pace, as this host or another one saw.
    pub fn record_evidence(&mut self, now: Millis, service: &ServiceId) {
        match self.evidence.iter_mut().find(|e| e.service == *service) {
            Some(evidence) => evidence.reported_at = now,
            None => self.evidence.push(PaceEvidence {
                service: service.clone(),
                reported_at: now,
                absent_at: Millis::ZERO,
            }),
        }
    }

    /// Whether the slots of a service are granted by a dispatcher.
    pub fn is_on(&self, service: &ServiceId) -> bool {
        let evidence = self.evidence.iter().find(|e| e.service == *service);
        evidence.is_some_and(|e| e.absent_at < e.reported_at + PACE_EVIDENCE)
    }

    /// The newest load that a server reported to this host.
    pub fn report(&self, now: Millis, server: &BackendId) -> Option<ServerReport> {
        let known = self.reports.iter().find(|(id, _, _)| id == server);
        known
            .filter(|(_, _, at)| now < *at + REPORT_AGE)
            .map(|(_, report, _)| *report)
    }

    /// Ends the dispatchers that no host asks any more.
    pub fn end_unused(&mut self, now: Millis) -> Vec<(Part, Dispatcher)> {
        let is_unused =
            |own: &OwnDispatcher| own.dispatcher.is_idle() && now >= own.asked_at + UNUSED_TIME;
        let (unused, own) = std::mem::take(&mut self.own)
            .into_iter()
            .partition(|(_, own)| is_unused(own));
        self.own = own;
        let unused: BTreeMap<Part, OwnDispatcher> = unused;
        unused
            .into_iter()
            .map(|(part, own)| (part, own.dispatcher))
            .collect()
    }

    /// Queues an end for the dispatcher at `to`.
    pub fn queue_end(
        &mut self,
        now: Millis,
        (part, to): (&Part, SocketAddr),
        (call, server): (u64, Option<&BackendId>),
        end: SendEnd,
    ) {
        let report = server.and_then(|server| self.report(now, server));
        let end = EndMessage::new(call, server, end, report);
        let outbox = self.outboxes.entry((part.clone(), to)).or_default();
        // A call whose ask was not sent yet is unknown to the dispatcher.
        outbox.asks.retain(|ask| ask.id.call != call);
        outbox.ends.push(end);
    }

    /// Number of this host's grants by the dispatcher with this epoch at a server.
    pub fn granted_at(&self, server: &BackendId, epoch: Option<u64>) -> usize {
        let grants = self.grants.values();
        grants
            .filter(|grant| grant.server == *server && Some(grant.epoch) == epoch)
            .count()
    }
}
