//! Conversion between datagrams and validated messages of the membership protocol.

use std::net::{IpAddr, SocketAddr};

use bv_member::{GossipUpdate, Kind, Member, MemberUpdate, Message, SentGossipUpdate, Status};
use bv_types::{Fingerprint, HostId, Incarnation, Millis, ParseError, Version};

use crate::datagram::news::{BlockedEntry, Body, ConfigEntry, LeavingEntry, SuspectEntry};
use crate::{Datagram, DatagramKind, GossipEntry, Peer, PeerStatus};

/// A field of a datagram is missing or has a value that is not allowed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DatagramError {
    /// A required field is missing.
    #[error("field {0} is missing")]
    Missing(&'static str),
    /// An id is not valid.
    #[error(transparent)]
    Id(#[from] ParseError),
    /// An address does not have 6 or 18 bytes.
    #[error("an address has {0} bytes instead of 6 or 18")]
    Address(usize),
    /// A digest does not have 16 bytes.
    #[error("a digest has {0} bytes instead of 16")]
    Digest(usize),
    /// The kind of message is unknown.
    #[error("message kind {0} is unknown")]
    Kind(i32),
    /// The state of a member is unknown.
    #[error("member state {0} is unknown")]
    Status(u32),
}

impl TryFrom<Datagram> for Message {
    type Error = DatagramError;

    fn try_from(datagram: Datagram) -> Result<Self, DatagramError> {
        let from = datagram.from.ok_or(DatagramError::Missing("from"))?;
        let kind = parse_kind(datagram.kind, &datagram.target, &datagram.target_addr)?;
        let updates = datagram.updates.into_iter().map(MemberUpdate::try_from);
        // Gossip updates of a kind that this version does not support are decoded without a body.
        let gossip_updates = datagram.rumours.into_iter().filter(|r| r.body.is_some());
        Ok(Message {
            from: parse_member(&from.host, from.incarnation, &from.addr)?,
            counter: datagram.counter,
            seq: datagram.seq,
            kind,
            view_digest: datagram.view_digest,
            gossip_digest: datagram.rumour_digest,
            member_updates: updates.collect::<Result<_, _>>()?,
            gossip_updates: gossip_updates
                .map(SentGossipUpdate::try_from)
                .collect::<Result<_, _>>()?,
        })
    }
}

impl TryFrom<PeerStatus> for MemberUpdate {
    type Error = DatagramError;

    fn try_from(raw: PeerStatus) -> Result<Self, DatagramError> {
        let status = match raw.status {
            0 => Status::Alive,
            1 => Status::Suspect,
            2 => Status::Dead,
            3 => Status::Left,
            other => return Err(DatagramError::Status(other)),
        };
        Ok(MemberUpdate {
            member: parse_member(&raw.host, raw.incarnation, &raw.addr)?,
            counter: raw.counter,
            status,
        })
    }
}

impl TryFrom<GossipEntry> for SentGossipUpdate {
    type Error = DatagramError;

    fn try_from(raw: GossipEntry) -> Result<Self, DatagramError> {
        let ttl = Millis(raw.ttl_ms);
        let update = match raw.body.ok_or(DatagramError::Missing("rumour"))? {
            Body::Config(raw) => GossipUpdate::Config {
                version: Version(raw.version),
                digest: parse_digest(&raw.digest)?,
                age: Millis(raw.age_ms),
            },
            Body::Leaving(raw) => GossipUpdate::Leaving {
                backend: raw.backend.parse()?,
                incarnation: Incarnation(raw.incarnation),
            },
            Body::Suspect(raw) => GossipUpdate::SuspectRequest {
                fingerprint: parse_digest(&raw.fingerprint)?,
                score: raw.score,
            },
            Body::Blocked(raw) => GossipUpdate::BlockedRequest {
                fingerprint: parse_digest(&raw.fingerprint)?,
                until: ttl,
            },
        };
        Ok(SentGossipUpdate { update, ttl })
    }
}

fn parse_kind(kind: i32, target: &str, addr: &[u8]) -> Result<Kind, DatagramError> {
    let kind = DatagramKind::try_from(kind).map_err(|_| DatagramError::Kind(kind))?;
    Ok(match kind {
        DatagramKind::Ping => Kind::Ping,
        DatagramKind::Ack if target.is_empty() => Kind::Ack { target: None },
        DatagramKind::Ack => Kind::Ack {
            target: Some(target.parse()?),
        },
        DatagramKind::PingReq => Kind::PingReq {
            target: target.parse()?,
            addr: parse_addr(addr)?,
        },
        DatagramKind::Gossip => Kind::Gossip,
        DatagramKind::Leave => Kind::Leave,
    })
}

fn parse_member(host: &str, incarnation: u64, addr: &[u8]) -> Result<Member, DatagramError> {
    Ok(Member {
        host: host.parse()?,
        incarnation: Incarnation(incarnation),
        addr: parse_addr(addr)?,
    })
}

fn parse_addr(bytes: &[u8]) -> Result<SocketAddr, DatagramError> {
    let length_error = DatagramError::Address(bytes.len());
    let Some((ip, port)) = bytes.split_last_chunk::<2>() else {
        return Err(length_error);
    };
    let ip = match ip.len() {
        4 => <[u8; 4]>::try_from(ip).map(IpAddr::from),
        _ => <[u8; 16]>::try_from(ip).map(IpAddr::from),
    };
    Ok(SocketAddr::new(
        ip.map_err(|_| length_error)?,
        u16::from_be_bytes(*port),
    ))
}

fn encode_addr(addr: SocketAddr) -> Vec<u8> {
    let mut bytes = match addr.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    bytes.extend(addr.port().to_be_bytes());
    bytes
}

fn parse_digest(bytes: &[u8]) -> Result<Fingerprint, DatagramError> {
    <[u8; 16]>::try_from(bytes)
        .map(Fingerprint)
        .map_err(|_| DatagramError::Digest(bytes.len()))
}

impl From<&Message> for Datagram {
    fn from(message: &Message) -> Self {
        let (kind, target, target_addr) = encode_kind(&message.kind);
        Datagram {
            from: Some(Peer {
                host: message.from.host.to_string(),
                incarnation: message.from.incarnation.0,
                addr: encode_addr(message.from.addr),
            }),
            counter: message.counter,
            seq: message.seq,
            kind: kind.into(),
            target: target.map(HostId::to_string).unwrap_or_default(),
            target_addr: target_addr.map(encode_addr).unwrap_or_default(),
            view_digest: message.view_digest,
            rumour_digest: message.gossip_digest,
            updates: message
                .member_updates
                .iter()
                .map(PeerStatus::from)
                .collect(),
            rumours: message
                .gossip_updates
                .iter()
                .map(GossipEntry::from)
                .collect(),
        }
    }
}

fn encode_kind(kind: &Kind) -> (DatagramKind, Option<&HostId>, Option<SocketAddr>) {
    match kind {
        Kind::Ping => (DatagramKind::Ping, None, None),
        Kind::Ack { target } => (DatagramKind::Ack, target.as_ref(), None),
        Kind::PingReq { target, addr } => (DatagramKind::PingReq, Some(target), Some(*addr)),
        Kind::Gossip => (DatagramKind::Gossip, None, None),
        Kind::Leave => (DatagramKind::Leave, None, None),
    }
}

impl From<&MemberUpdate> for PeerStatus {
    fn from(update: &MemberUpdate) -> Self {
        PeerStatus {
            host: update.member.host.to_string(),
            incarnation: update.member.incarnation.0,
            addr: encode_addr(update.member.addr),
            counter: update.counter,
            status: match update.status {
                Status::Alive => 0,
                Status::Suspect => 1,
                Status::Dead => 2,
                Status::Left => 3,
            },
        }
    }
}

impl From<&SentGossipUpdate> for GossipEntry {
    fn from(sent: &SentGossipUpdate) -> Self {
        let body = match &sent.update {
            GossipUpdate::Config {
                version,
                digest,
                age,
            } => Body::Config(ConfigEntry {
                version: version.0,
                digest: digest.0.to_vec(),
                age_ms: age.0,
            }),
            GossipUpdate::Leaving {
                backend,
                incarnation,
            } => Body::Leaving(LeavingEntry {
                backend: backend.to_string(),
                incarnation: incarnation.0,
            }),
            GossipUpdate::SuspectRequest { fingerprint, score } => Body::Suspect(SuspectEntry {
                fingerprint: fingerprint.0.to_vec(),
                score: *score,
            }),
            GossipUpdate::BlockedRequest { fingerprint, .. } => Body::Blocked(BlockedEntry {
                fingerprint: fingerprint.0.to_vec(),
            }),
        };
        GossipEntry {
            ttl_ms: sent.ttl.0,
            body: Some(body),
        }
    }
}
