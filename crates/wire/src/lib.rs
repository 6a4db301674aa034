//! Messages between entry hosts and their encoding as TCP frames and UDP datagrams.

mod codec;
mod convert;
mod datagram;
mod message;
mod sign;

pub use codec::{CodecError, DatagramCodec, FrameCodec, MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES};
pub use convert::DatagramError;
pub use datagram::{Datagram, DatagramKind, GossipEntry, Peer, PeerStatus, SignedDatagram, news};
pub use message::{
    Adopt, Allowance, AttemptEnd, Config, ConfigChange, Deny, Done, Frame, GetConfig, GiveBack,
    Grant, Hello, PrefillDone, Queued, Release, Reserve, TakeAllowance, Unsupported, frame,
};
pub use sign::{SignatureError, sign, verify};
