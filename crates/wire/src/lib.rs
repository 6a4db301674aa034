//! Messages between entry hosts and their framing.

mod codec;
mod message;

pub use codec::{CodecError, DatagramCodec, FrameCodec, MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES};
pub use message::{
    Adopt, Config, Deny, Done, Frame, GetConfig, Grant, Hello, PrefillDone, Queued, Release,
    Reserve, Unsupported, frame,
};
