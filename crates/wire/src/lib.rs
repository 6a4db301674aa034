//! Messages between entry hosts and their framing.

mod codec;
mod message;

pub use codec::{CodecError, DatagramCodec, FrameCodec, MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES};
pub use message::{Config, ConfigChange, Frame, GetConfig, Hello, Unsupported, frame};
