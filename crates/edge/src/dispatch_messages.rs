//! Messages between the hosts and the dispatcher of a service. Times are sent as durations, since clocks
//! differ.

use bv_dispatch::{Action, Ask, AskId, Decision, SendEnd, ServerReport};
use bv_types::{BackendId, HostId, Millis, ParseError, TeamId, ZoneId};
use prost::Message;

/// Message about the slots of one service, to its dispatcher or from it.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct DispatchMessage {
    #[prost(string, tag = "1")]
    pub service: String,
    /// Number of the dispatcher among those of the service.
    #[prost(uint32, tag = "2")]
    pub part: u32,
    /// Zone of the asking host.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// Present in messages from a dispatcher: another one has another number.
    #[prost(fixed64, optional, tag = "4")]
    pub epoch: Option<u64>,
    #[prost(message, repeated, tag = "5")]
    pub asks: Vec<AskMessage>,
    /// Granted calls that are in progress.
    #[prost(fixed64, repeated, tag = "6")]
    pub renewals: Vec<u64>,
    #[prost(message, repeated, tag = "7")]
    pub ends: Vec<EndMessage>,
    /// Sends of the host without a grant of this dispatcher.
    #[prost(message, repeated, tag = "8")]
    pub uses: Vec<UseMessage>,
    #[prost(message, repeated, tag = "9")]
    pub replies: Vec<ReplyMessage>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct AskMessage {
    #[prost(fixed64, tag = "1")]
    pub call: u64,
    #[prost(uint32, tag = "2")]
    pub priority: u32,
    #[prost(string, tag = "3")]
    pub team: String,
    /// Time since the call arrived, in ms.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
    /// Time until it is late, in ms.
    #[prost(uint64, tag = "5")]
    pub on_time_ms: u64,
    /// Time until its deadline, in ms.
    #[prost(uint64, tag = "6")]
    pub remaining_ms: u64,
    #[prost(string, repeated, tag = "7")]
    pub tried: Vec<String>,
    #[prost(fixed64, tag = "8")]
    pub key: u64,
    /// When the ask was sent, by the clock of its host.
    #[prost(uint64, tag = "9")]
    pub sent_at: u64,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct EndMessage {
    #[prost(fixed64, tag = "1")]
    pub call: u64,
    #[prost(enumeration = "EndKind", tag = "2")]
    pub kind: i32,
    /// Response time of an answered call, in ms.
    #[prost(uint64, tag = "3")]
    pub took_ms: u64,
    /// Server of the call, with the load that it reported.
    #[prost(string, tag = "4")]
    pub server: String,
    #[prost(message, optional, tag = "5")]
    pub report: Option<ReportMessage>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub(crate) enum EndKind {
    Unused = 0,
    Answered = 1,
    Rejected = 2,
    Failed = 3,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub(crate) struct ReportMessage {
    #[prost(uint32, tag = "1")]
    pub running: u32,
    #[prost(uint32, tag = "2")]
    pub waiting: u32,
    #[prost(uint32, optional, tag = "3")]
    pub pace: Option<u32>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct UseMessage {
    #[prost(string, tag = "1")]
    pub server: String,
    #[prost(uint32, tag = "2")]
    pub count: u32,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct ReplyMessage {
    #[prost(fixed64, tag = "1")]
    pub call: u64,
    /// The same as in the newest ask.
    #[prost(uint64, tag = "2")]
    pub sent_at: u64,
    #[prost(enumeration = "ReplyKind", tag = "3")]
    pub kind: i32,
    /// Server of a grant.
    #[prost(string, tag = "4")]
    pub server: String,
    /// Lease, predicted wait or time until a return, in ms.
    #[prost(uint64, tag = "5")]
    pub time_ms: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub(crate) enum ReplyKind {
    Queued = 0,
    Granted = 1,
    Refused = 2,
}

impl AskMessage {
    pub fn encode(now: Millis, ask: &Ask) -> Self {
        AskMessage {
            call: ask.id.call,
            priority: u32::from(ask.priority),
            team: ask
                .team
                .as_ref()
                .map_or_else(String::new, TeamId::to_string),
            age_ms: (now - ask.arrived).0,
            on_time_ms: (ask.on_time_until - now).0,
            remaining_ms: (ask.deadline - now).0,
            tried: ask.tried.iter().map(BackendId::to_string).collect(),
            key: ask.key,
            sent_at: ask.sent_at.0,
        }
    }

    pub fn decode(
        &self,
        now: Millis,
        host: &HostId,
        zone: Option<&ZoneId>,
    ) -> Result<Ask, ParseError> {
        let tried: Result<Vec<BackendId>, _> = self.tried.iter().map(|id| id.parse()).collect();
        let team = match self.team.as_str() {
            "" => None,
            team => Some(team.parse()?),
        };
        Ok(Ask {
            id: AskId {
                host: host.clone(),
                call: self.call,
            },
            priority: u8::try_from(self.priority).unwrap_or(u8::MAX),
            team,
            zone: zone.cloned(),
            arrived: now - Millis(self.age_ms),
            on_time_until: now + Millis(self.on_time_ms),
            deadline: now + Millis(self.remaining_ms),
            tried: tried?,
            key: self.key,
            sent_at: Millis(self.sent_at),
        })
    }
}

impl EndMessage {
    pub fn new(
        call: u64,
        server: Option<&BackendId>,
        end: SendEnd,
        report: Option<ServerReport>,
    ) -> Self {
        let (kind, took) = match end {
            SendEnd::Answered { took } => (EndKind::Answered, took),
            SendEnd::Rejected => (EndKind::Rejected, Millis::ZERO),
            SendEnd::Failed => (EndKind::Failed, Millis::ZERO),
            SendEnd::Unused => (EndKind::Unused, Millis::ZERO),
        };
        EndMessage {
            call,
            kind: kind as i32,
            took_ms: took.0,
            server: server.map_or_else(String::new, BackendId::to_string),
            report: report.map(|report| ReportMessage {
                running: report.running,
                waiting: report.waiting,
                pace: report.pace,
            }),
        }
    }

    pub fn end(&self) -> SendEnd {
        match self.kind() {
            EndKind::Unused => SendEnd::Unused,
            EndKind::Answered => SendEnd::Answered {
                took: Millis(self.took_ms),
            },
            EndKind::Rejected => SendEnd::Rejected,
            EndKind::Failed => SendEnd::Failed,
        }
    }

    pub fn report(&self) -> Option<ServerReport> {
        self.report.map(|report| ServerReport {
            running: report.running,
            waiting: report.waiting,
            pace: report.pace,
        })
    }
}

impl ReplyMessage {
    pub fn encode(action: &Action) -> Self {
        let (kind, time) = match &action.decision {
            Decision::Grant { lease, .. } => (ReplyKind::Granted, lease),
            Decision::Queued { wait } => (ReplyKind::Queued, wait),
            Decision::Refused { retry_after } => (ReplyKind::Refused, retry_after),
        };
        let server = match &action.decision {
            Decision::Grant { server, .. } => server.to_string(),
            Decision::Queued { .. } | Decision::Refused { .. } => String::new(),
        };
        ReplyMessage {
            call: action.id.call,
            sent_at: action.sent_at.0,
            kind: kind as i32,
            server,
            time_ms: time.0,
        }
    }

    pub fn decode(&self) -> Result<Decision, ParseError> {
        let time = Millis(self.time_ms);
        Ok(match self.kind() {
            ReplyKind::Granted => Decision::Grant {
                server: self.server.parse()?,
                lease: time,
            },
            ReplyKind::Queued => Decision::Queued { wait: time },
            ReplyKind::Refused => Decision::Refused { retry_after: time },
        })
    }
}
