//! Authentication of datagrams by a message authentication code (MAC), a digest keyed with the
//! cluster key that all entry hosts share.
//!
//! The digest shows that the sender holds the cluster key. It is not encryption: the content stays
//! readable. It does not prevent replay either, but a replayed datagram has no effect, because
//! incarnations and refutation counters order all updates.

use bv_member::Message;
use prost::Message as _;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::{Datagram, DatagramError, SignedDatagram};

const DIGEST_BYTES: usize = 16;

/// Why a datagram is dropped.
#[derive(Debug, thiserror::Error)]
pub enum SignatureError {
    /// The digest does not match the content and the key.
    #[error("the digest does not match the content and the cluster key")]
    Digest,
    /// The content cannot be decoded.
    #[error("malformed content: {0}")]
    Malformed(#[from] prost::DecodeError),
    /// A field of the content is missing or has a value that is not allowed.
    #[error(transparent)]
    Content(#[from] DatagramError),
}

impl SignatureError {
    /// The value of the metric label `reason`.
    pub fn reason(&self) -> &'static str {
        match self {
            SignatureError::Digest => "digest",
            SignatureError::Malformed(_) => "malformed",
            SignatureError::Content(_) => "content",
        }
    }
}

/// Encodes a message and adds its digest under this key.
pub fn sign(key: &[u8], message: &Message) -> SignedDatagram {
    let content = Datagram::from(message).encode_to_vec();
    let digest = digest(key, &content)[..DIGEST_BYTES].to_vec();
    SignedDatagram { content, digest }
}

/// Checks the digest in constant time and decodes the message.
///
/// # Errors
/// Fails if the digest does not match or the content is not a valid message.
pub fn verify(key: &[u8], signed: &SignedDatagram) -> Result<Message, SignatureError> {
    let expected = digest(key, &signed.content);
    if !bool::from(expected[..DIGEST_BYTES].ct_eq(&signed.digest)) {
        return Err(SignatureError::Digest);
    }
    let datagram = Datagram::decode(&signed.content[..])?;
    Ok(Message::try_from(datagram)?)
}

/// Hashes twice, which prevents length extension: without the outer hash, a digest could be
/// extended to longer content without the key.
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
