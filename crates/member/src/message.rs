//! Messages between members.

use std::net::SocketAddr;

use bv_types::HostId;

use crate::{GossipUpdate, Member, SentGossipUpdate};

/// Largest encoded message in bytes. Together with the keyed digest it fits into a datagram of
/// 1,200 bytes.
pub const MAX_MESSAGE_BYTES: usize = 1_150;

/// Bytes of a field's tag and of the length of a nested message or text.
const FIELD_BYTES: usize = 4;
/// Bytes of the longest varint with its tag.
const NUMBER_BYTES: usize = 11;

/// One message, sent in one datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// The sender.
    pub from: Member,
    /// The sender's refutation counter.
    pub counter: u32,
    /// Sequence number, which the acknowledgement repeats.
    pub seq: u64,
    /// Request or reply that the message carries.
    pub kind: Kind,
    /// Updates about members.
    pub member_updates: Vec<MemberUpdate>,
    /// Digest of the sender's view.
    pub view_digest: u64,
    /// Digest of all gossip updates that the sender holds.
    pub gossip_digest: u64,
    /// Gossip updates; the sender's configuration comes first.
    pub gossip_updates: Vec<SentGossipUpdate>,
}

/// Request or reply of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Kind {
    /// Asks for an acknowledgement.
    Ping,
    /// Acknowledges a ping to the sender, or a relayed ping to `target`.
    Ack {
        /// The member that is alive; none for the sender itself.
        target: Option<HostId>,
    },
    /// Asks the receiver to ping `target`.
    PingReq {
        /// The member to ping.
        target: HostId,
        /// Its address.
        addr: SocketAddr,
    },
    /// Carries updates only and needs no reply.
    Gossip,
    /// The sender's process is leaving.
    Leave,
}

/// State of a member, in the order of precedence at equal counters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Status {
    /// The member answers probes.
    Alive,
    /// The member did not answer a probe and has not refuted yet.
    Suspect,
    /// The member did not refute the suspicion in time.
    Dead,
    /// The member announced its departure; final for the incarnation.
    Left,
}

/// Update about one member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberUpdate {
    /// The member.
    pub member: Member,
    /// Its refutation counter.
    pub counter: u32,
    /// Its state.
    pub status: Status,
}

fn member_bytes(member: &Member) -> usize {
    // Id, incarnation and an address of up to 18 bytes.
    FIELD_BYTES + member.host.as_str().len() + NUMBER_BYTES + FIELD_BYTES + 18
}

impl MemberUpdate {
    /// Upper bound of the encoded size in bytes.
    pub fn max_bytes(&self) -> usize {
        // The counter has 32 bits, hence at most 6 bytes with its tag; the state takes 2.
        FIELD_BYTES + member_bytes(&self.member) + 8
    }
}

impl SentGossipUpdate {
    /// Upper bound of the encoded size in bytes.
    pub fn max_bytes(&self) -> usize {
        let content = match &self.update {
            GossipUpdate::Config { .. } => 2 * NUMBER_BYTES + FIELD_BYTES + 16,
            GossipUpdate::Leaving { backend, .. } => {
                FIELD_BYTES + backend.as_str().len() + NUMBER_BYTES
            }
            GossipUpdate::SuspectRequest { .. } => FIELD_BYTES + 16 + NUMBER_BYTES,
            GossipUpdate::BlockedRequest { .. } => FIELD_BYTES + 16 + NUMBER_BYTES,
        };
        2 * FIELD_BYTES + NUMBER_BYTES + content
    }
}

impl Message {
    /// Upper bound of the encoded size in bytes.
    pub fn max_bytes(&self) -> usize {
        let kind = match &self.kind {
            Kind::Ping | Kind::Gossip | Kind::Leave => 2,
            Kind::Ack { target } => 2 + target.as_ref().map_or(0, target_bytes),
            Kind::PingReq { target, .. } => 2 + target_bytes(target) + FIELD_BYTES + 18,
        };
        let updates: usize = self
            .member_updates
            .iter()
            .map(MemberUpdate::max_bytes)
            .sum();
        let gossip_updates: usize = self
            .gossip_updates
            .iter()
            .map(SentGossipUpdate::max_bytes)
            .sum();
        member_bytes(&self.from) + 6 + 3 * NUMBER_BYTES + kind + updates + gossip_updates
    }
}

fn target_bytes(target: &HostId) -> usize {
    FIELD_BYTES + target.as_str().len()
}
