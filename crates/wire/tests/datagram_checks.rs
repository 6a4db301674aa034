//! Tests of the datagrams of the membership protocol: content, size and digest.

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use bv_member::{
    GossipUpdate, Kind, MAX_MESSAGE_BYTES, Member, MemberUpdate, Message, SentGossipUpdate, Status,
};
use bv_types::{Fingerprint, Incarnation, Millis, Version};
use bv_wire::{DatagramCodec, MAX_DATAGRAM_BYTES, SignatureError, SignedDatagram, sign, verify};
use bytes::BytesMut;
use prost::Message as _;
use tokio_util::codec::{Decoder, Encoder};

const CASES: u64 = 10_000;
const INPUT_BYTES: u64 = 4_096;
/// Multiplier that spreads the case numbers over the seeds: small seeds yield inputs that start
/// with similar bytes.
const SEED_MULTIPLIER: u64 = 0x9E37_79B9;
const KEY: &[u8] = b"cluster-key-0123456789";

fn for_each_case(check: impl Fn(&mut Unstructured<'_>) -> Result<()>) {
    for case in 1..=CASES {
        let seed = case.wrapping_mul(SEED_MULTIPLIER) << 32 | INPUT_BYTES;
        arbtest(&check).seed(seed);
    }
}

fn text(u: &mut Unstructured<'_>) -> Result<String> {
    let len = u.int_in_range(1..=64usize)?;
    Ok("h".repeat(len))
}

fn member(u: &mut Unstructured<'_>) -> Result<Member> {
    let port: u16 = u.arbitrary()?;
    let addr = match u.arbitrary()? {
        true => (u.arbitrary::<[u8; 4]>()?, port).into(),
        false => (u.arbitrary::<[u8; 16]>()?, port).into(),
    };
    Ok(Member {
        host: text(u)?.parse().unwrap(),
        incarnation: Incarnation(u.arbitrary()?),
        addr,
    })
}

fn gossip_update(u: &mut Unstructured<'_>) -> Result<SentGossipUpdate> {
    let ttl = Millis(u.arbitrary()?);
    let fingerprint = Fingerprint(u.arbitrary()?);
    let update = match u.int_in_range(0..=3u8)? {
        0 => GossipUpdate::Config {
            version: Version(u.arbitrary()?),
            digest: fingerprint,
            age: Millis(u.arbitrary()?),
        },
        1 => GossipUpdate::Leaving {
            backend: text(u)?.parse().unwrap(),
            incarnation: Incarnation(u.arbitrary()?),
        },
        2 => GossipUpdate::SuspectRequest {
            fingerprint,
            score: u.arbitrary()?,
        },
        _ => GossipUpdate::BlockedRequest {
            fingerprint,
            until: ttl,
        },
    };
    Ok(SentGossipUpdate { update, ttl })
}

fn message(u: &mut Unstructured<'_>) -> Result<Message> {
    let from = member(u)?;
    let target = member(u)?;
    let kind = match u.int_in_range(0..=5u8)? {
        0 => Kind::Ping,
        1 => Kind::Ack { target: None },
        2 => Kind::Ack {
            target: Some(target.host),
        },
        3 => Kind::PingReq {
            target: target.host,
            addr: target.addr,
        },
        4 => Kind::Gossip,
        _ => Kind::Leave,
    };
    let mut message = Message {
        from,
        counter: u.arbitrary()?,
        seq: u.arbitrary()?,
        kind,
        member_updates: Vec::new(),
        view_digest: u.arbitrary()?,
        gossip_digest: u.arbitrary()?,
        gossip_updates: Vec::new(),
    };
    for _ in 0..u.int_in_range(0..=20u8)? {
        let statuses = [Status::Alive, Status::Suspect, Status::Dead, Status::Left];
        let update = MemberUpdate {
            member: member(u)?,
            counter: u.arbitrary()?,
            status: *u.choose(&statuses)?,
        };
        let sent = gossip_update(u)?;
        let added = update.max_bytes() + sent.max_bytes();
        if message.max_bytes() + added <= MAX_MESSAGE_BYTES {
            message.member_updates.push(update);
            message.gossip_updates.push(sent);
        }
    }
    Ok(message)
}

/// Guards against fields that are lost in encoding, and against messages that the state machine
/// estimates to be within the size limit but that do not fit into a datagram.
#[test]
fn messages_round_trip() {
    for_each_case(|u| {
        let sent = message(u)?;
        let signed = sign(KEY, &sent);
        assert!(signed.content.len() <= sent.max_bytes(), "{sent:?}");
        let mut codec = DatagramCodec::<SignedDatagram>::default();
        let mut buf = BytesMut::new();
        codec.encode(signed, &mut buf).unwrap();
        assert!(buf.len() <= MAX_DATAGRAM_BYTES, "{} bytes", buf.len());
        let received = codec.decode(&mut buf).unwrap().unwrap();
        assert_eq!(verify(KEY, &received).unwrap(), sent);
        Ok(())
    });
}

/// Guards against accepting datagrams from hosts without the key, or datagrams with changed content
/// or a shortened digest.
#[test]
fn forged_datagrams_are_rejected() {
    for_each_case(|u| {
        let signed = sign(KEY, &message(u)?);
        assert!(matches!(
            verify(b"another-key-0123456789", &signed),
            Err(SignatureError::Digest)
        ));
        let mut changed = signed.clone();
        let at = u.choose_index(changed.content.len())?;
        changed.content[at] ^= u.int_in_range(1..=255u8)?;
        assert!(matches!(verify(KEY, &changed), Err(SignatureError::Digest)));
        let mut short = signed.clone();
        short.digest.truncate(u.choose_index(short.digest.len())?);
        assert!(matches!(verify(KEY, &short), Err(SignatureError::Digest)));
        Ok(())
    });
}

/// Guards against a panic on arbitrary bytes and on changed datagrams.
#[test]
fn arbitrary_bytes_do_not_panic() {
    for_each_case(|u| {
        let content: Vec<u8> = u.arbitrary()?;
        let _ = SignedDatagram::decode(&content[..]);
        let datagram = bv_wire::Datagram::decode(&content[..]);
        if let Ok(datagram) = datagram {
            let _ = Message::try_from(datagram);
        }
        let mut changed = bv_wire::Datagram::from(&message(u)?).encode_to_vec();
        let at = u.choose_index(changed.len())?;
        changed[at] ^= u.int_in_range(1..=255u8)?;
        if let Ok(datagram) = bv_wire::Datagram::decode(&changed[..]) {
            let _ = Message::try_from(datagram);
        }
        Ok(())
    });
}
