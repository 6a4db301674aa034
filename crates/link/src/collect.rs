//! Reading complete message bodies.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

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
}

/// Reads a body of at most `limit` bytes.
///
/// # Errors
/// Fails if the body is cut off or too long.
pub async fn collect(mut body: Incoming, limit: usize) -> Result<Bytes, CollectError> {
    let expected = body.size_hint().lower() as usize;
    if expected > limit {
        return Err(CollectError::TooLong { limit });
    }
    let mut buf = BytesMut::with_capacity(expected);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if buf.len() + data.len() > limit {
            return Err(CollectError::TooLong { limit });
        }
        buf.extend_from_slice(&data);
    }
    Ok(buf.freeze())
}
