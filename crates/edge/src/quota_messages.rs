//! Messages between a host that spends a team's quota and the owner of the quota.

use std::net::SocketAddr;

use bv_limit::{QuotaAsk, QuotaGrant};
use bv_types::{HostId, Millis, TeamId};
use prost::Message;

use crate::counters;
use crate::edge::Edge;
use crate::usage::send_quota;

/// What a message about a quota means.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub(crate) enum QuotaStep {
    /// Asks the owner for an allowance.
    Ask = 0,
    /// The owner's reply.
    Grant = 1,
    /// Gives unused units back.
    Return = 2,
}

/// Message about the quota of one team. Amounts are in the unit of the quota.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct QuotaMessage {
    /// A [`QuotaStep`].
    #[prost(enumeration = "QuotaStep", tag = "1")]
    kind: i32,
    #[prost(string, tag = "2")]
    team: String,
    /// Id of the request for an allowance, unique at the asking host.
    #[prost(uint64, tag = "3")]
    id: u64,
    /// Cost of the first waiting request.
    #[prost(uint64, tag = "4")]
    least: u64,
    /// Cost of all waiting requests.
    #[prost(uint64, tag = "5")]
    waiting: u64,
    /// Cost of the requests expected soon.
    #[prost(uint64, tag = "6")]
    ahead: u64,
    /// Units granted, or given back.
    #[prost(uint64, tag = "7")]
    units: u64,
    /// When the rest is likely to be free.
    #[prost(uint64, tag = "8")]
    retry_after_ms: u64,
    /// Units left at the owner.
    #[prost(sint64, tag = "9")]
    left: i64,
}

impl QuotaMessage {
    pub fn ask(team: &TeamId, ask: QuotaAsk) -> Self {
        QuotaMessage {
            kind: QuotaStep::Ask as i32,
            team: team.to_string(),
            id: ask.id,
            least: ask.least,
            waiting: ask.waiting,
            ahead: ask.ahead,
            ..QuotaMessage::default()
        }
    }

    fn grant(team: &TeamId, grant: QuotaGrant) -> Self {
        QuotaMessage {
            kind: QuotaStep::Grant as i32,
            team: team.to_string(),
            id: grant.id,
            units: grant.granted,
            retry_after_ms: grant.retry_after.0,
            left: grant.left,
            ..QuotaMessage::default()
        }
    }

    pub fn give_back(team: &TeamId, units: u64) -> Self {
        QuotaMessage {
            kind: QuotaStep::Return as i32,
            team: team.to_string(),
            units,
            ..QuotaMessage::default()
        }
    }
}

/// Handles a message about a quota.
pub(crate) fn receive(edge: &Edge, peer: SocketAddr, host: &HostId, message: &QuotaMessage) {
    counters::quota_message("received", message.encoded_len());
    let Ok(team) = message.team.parse::<TeamId>() else {
        return;
    };
    match message.kind() {
        QuotaStep::Ask => {
            let ask = QuotaAsk {
                id: message.id,
                least: message.least,
                waiting: message.waiting,
                ahead: message.ahead,
            };
            if let Some(grant) = edge.lend_quota(&team, host, ask) {
                send_quota(edge, peer, QuotaMessage::grant(&team, grant));
            }
        }
        QuotaStep::Grant => {
            let grant = QuotaGrant {
                id: message.id,
                granted: message.units,
                retry_after: Millis(message.retry_after_ms),
                left: message.left,
            };
            edge.take_quota_grant(&team, grant);
        }
        QuotaStep::Return => edge.take_back_quota(&team, host, message.units),
    }
}
