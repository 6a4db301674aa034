//! Codecs for TCP frames and UDP datagrams.

use std::io;
use std::marker::PhantomData;

use bytes::{Bytes, BytesMut};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::Frame;

/// Largest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 1 << 20;
/// Largest datagram, in bytes; fits into an Ethernet frame together with tunnel headers.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Failure to read or write a message.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// The connection failed or a frame is longer than [`MAX_FRAME_BYTES`].
    #[error("connection: {0}")]
    Io(#[from] io::Error),
    /// The bytes are not a valid message.
    #[error("malformed message: {0}")]
    Malformed(#[from] prost::DecodeError),
    /// The message does not fit into a datagram.
    #[error("message of {bytes} bytes exceeds the datagram limit of {MAX_DATAGRAM_BYTES} bytes")]
    TooLong {
        /// Size of the message.
        bytes: usize,
    },
}

/// Codec of length-delimited [`Frame`]s over TCP.
#[derive(Debug)]
pub struct FrameCodec(LengthDelimitedCodec);

impl Default for FrameCodec {
    fn default() -> Self {
        let inner = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        FrameCodec(inner)
    }
}

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = CodecError;

    fn decode(&mut self, buf: &mut BytesMut) -> Result<Option<Frame>, CodecError> {
        match self.0.decode(buf)? {
            Some(bytes) => Ok(Some(Frame::decode(bytes)?)),
            None => Ok(None),
        }
    }
}

impl Encoder<Frame> for FrameCodec {
    type Error = CodecError;

    fn encode(&mut self, frame: Frame, buf: &mut BytesMut) -> Result<(), CodecError> {
        Ok(self.0.encode(Bytes::from(frame.encode_to_vec()), buf)?)
    }
}

/// Codec with one message in each UDP datagram.
#[derive(Debug)]
pub struct DatagramCodec<M>(PhantomData<M>);

impl<M> Default for DatagramCodec<M> {
    fn default() -> Self {
        DatagramCodec(PhantomData)
    }
}

impl<M: Message + Default> Decoder for DatagramCodec<M> {
    type Item = M;
    type Error = CodecError;

    fn decode(&mut self, buf: &mut BytesMut) -> Result<Option<M>, CodecError> {
        if buf.is_empty() {
            return Ok(None);
        }
        Ok(Some(M::decode(buf.split())?))
    }
}

impl<M: Message> Encoder<M> for DatagramCodec<M> {
    type Error = CodecError;

    fn encode(&mut self, message: M, buf: &mut BytesMut) -> Result<(), CodecError> {
        let bytes = message.encoded_len();
        if bytes > MAX_DATAGRAM_BYTES {
            return Err(CodecError::TooLong { bytes });
        }
        buf.reserve(bytes);
        message.encode_raw(buf);
        Ok(())
    }
}
