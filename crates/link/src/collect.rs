//! Reading complete message bodies.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::memory::{AnswerMemory, Share, SharedAnswer, UNSHARED_BYTES};

/// The body could not be read completely.
#[derive(Debug, thiserror::Error)]
pub enum CollectError {
    /// The connection broke before the end.
    #[error("read body: {0}")]
    Broken(#[from] hyper::Error),
    /// The body is longer than allowed.
    #[error("read body: longer than {limit} bytes")]
    TooLong {
        /// Maximum number of bytes.
        limit: usize,
    },
    /// All answers in progress together are longer than allowed.
    #[error("read body: no memory left for more than {read} bytes beside the other answers")]
    NoMemory {
        /// Bytes that were read.
        read: usize,
    },
}

/// Reads a body of at most `limit` bytes.
///
/// # Errors
/// Fails if the body is cut off or too long.
pub async fn collect(body: Incoming, limit: usize) -> Result<Bytes, CollectError> {
    Ok(read(body, limit, |_| true).await?.freeze())
}

/// Reads a body of at most `limit` bytes, for which it takes a share of `memory`. The share is given
/// back when the body is dropped.
///
/// # Errors
/// Fails if the body is cut off or too long, or the memory does not suffice.
pub async fn collect_within(
    body: Incoming,
    limit: usize,
    memory: &Arc<AnswerMemory>,
) -> Result<Bytes, CollectError> {
    let mut share = Share::new(memory);
    let buf = read(body, limit, |len| share.grow_to(len)).await?;
    Ok(Bytes::from_owner(SharedAnswer { buf, _share: share }))
}

async fn read(
    mut body: Incoming,
    limit: usize,
    mut may_hold: impl FnMut(usize) -> bool,
) -> Result<BytesMut, CollectError> {
    let expected = body.size_hint().lower() as usize;
    if expected > limit {
        return Err(CollectError::TooLong { limit });
    }
    // A server may announce more than it sends, so memory is taken only as the bytes arrive.
    let mut buf = BytesMut::with_capacity(expected.min(UNSHARED_BYTES));
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        let len = buf.len() + data.len();
        if len > limit {
            return Err(CollectError::TooLong { limit });
        }
        if !may_hold(len) {
            return Err(CollectError::NoMemory { read: buf.len() });
        }
        buf.extend_from_slice(&data);
    }
    Ok(buf)
}
