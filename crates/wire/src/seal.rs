//! Keyed digests of datagrams.
//!
//! The digest shows that the sender holds the cluster key. It is not encryption: the content stays
//! readable, and a recorded datagram can be sent again. A repeated datagram changes nothing, since
//! incarnations and refutation counters order all news.

use bv_member::Message;
use prost::Message as _;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::{Datagram, DatagramError, Sealed};

const DIGEST_BYTES: usize = 16;

/// A datagram is dropped.
#[derive(Debug, thiserror::Error)]
pub enum SealError {
    /// The digest does not fit the content and the key.
    #[error("the digest does not fit the content and the cluster key")]
    Digest,
    /// The content does not decode.
    #[error("malformed content: {0}")]
    Malformed(#[from] prost::DecodeError),
    /// The content has a value that is not allowed.
    #[error(transparent)]
    Content(#[from] DatagramError),
}

impl SealError {
    /// The reason in metrics.
    pub fn reason(&self) -> &'static str {
        match self {
            SealError::Digest => "digest",
            SealError::Malformed(_) => "malformed",
            SealError::Content(_) => "content",
        }
    }
}

/// Encodes a message with the digest for this key.
pub fn seal(key: &[u8], message: &Message) -> Sealed {
    let content = Datagram::from(message).encode_to_vec();
    let digest = digest(key, &content)[..DIGEST_BYTES].to_vec();
    Sealed { content, digest }
}

/// Checks the digest in constant time and decodes the message.
///
/// # Errors
/// Fails if the digest does not fit or the content is not a valid message.
pub fn open(key: &[u8], sealed: &Sealed) -> Result<Message, SealError> {
    let expected = digest(key, &sealed.content);
    if !bool::from(expected[..DIGEST_BYTES].ct_eq(&sealed.digest)) {
        return Err(SealError::Digest);
    }
    let datagram = Datagram::decode(&sealed.content[..])?;
    Ok(Message::try_from(datagram)?)
}

/// Nested, so that a digest cannot be extended to a longer content.
fn digest(key: &[u8], content: &[u8]) -> [u8; 32] {
    let inner = Sha256::new()
        .chain_update((key.len() as u64).to_le_bytes())
        .chain_update(key)
        .chain_update(content)
        .finalize();
    Sha256::new()
        .chain_update(key)
        .chain_update(inner)
        .finalize()
        .into()
}
