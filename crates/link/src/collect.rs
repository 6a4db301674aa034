//! Reading complete message bodies.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::memory::{InboundMemory, Sender, Share, SharedBody, bytes_while_read};
use crate::progress::Progress;

/// Smallest buffer of a body without a stated length.
const MIN_BUFFER_BYTES: usize = 4 << 10;

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
    /// All bodies in progress together are longer than allowed.
    #[error("read body: no memory left for more than {read} bytes beside the other bodies")]
    NoMemory {
        /// Bytes that were read.
        read: usize,
    },
}

/// Reads a body of at most `limit` bytes, for which it takes a share of `memory`. The share is given
/// back when the body is dropped. If the body has a stated length, memory for all of it is taken
/// before the first byte is read.
///
/// # Errors
/// Fails if the body is cut off or too long, or the memory does not suffice.
pub async fn collect(
    body: &mut Incoming,
    limit: usize,
    memory: &Arc<InboundMemory>,
    sender: Sender,
) -> Result<Bytes, CollectError> {
    read(body, limit, memory, sender, None).await
}

/// The same, and records the bytes in `progress` as they arrive.
///
/// # Errors
/// As for [`collect`].
pub async fn collect_with_progress(
    body: &mut Incoming,
    limit: usize,
    memory: &Arc<InboundMemory>,
    sender: Sender,
    progress: &Progress,
) -> Result<Bytes, CollectError> {
    read(body, limit, memory, sender, Some(progress)).await
}

async fn read(
    body: &mut Incoming,
    limit: usize,
    memory: &Arc<InboundMemory>,
    sender: Sender,
    progress: Option<&Progress>,
) -> Result<Bytes, CollectError> {
    let expected = body.size_hint().lower() as usize;
    if expected > limit {
        return Err(CollectError::TooLong { limit });
    }
    let share = Share::new(memory, sender);
    if !share.resize(bytes_while_read(expected)) {
        return Err(CollectError::NoMemory { read: 0 });
    }
    let mut buf = Vec::with_capacity(expected);
    loop {
        let frame = tokio::select! {
            biased;
            () = share.given_up() => return Err(CollectError::NoMemory { read: buf.len() }),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else {
            break;
        };
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if let Some(progress) = progress {
            progress.record(data.len());
        }
        let len = buf.len() + data.len();
        if len > limit {
            return Err(CollectError::TooLong { limit });
        }
        if len > buf.capacity() {
            let capacity =
                (buf.capacity() * 2).clamp(MIN_BUFFER_BYTES, limit.max(MIN_BUFFER_BYTES));
            let capacity = capacity.max(len);
            // While the buffer grows, the old one is held beside the new one, and the allocator may keep
            // the memory of the buffers that were outgrown.
            if !share.resize(bytes_while_read(capacity) + buf.capacity()) {
                return Err(CollectError::NoMemory { read: buf.len() });
            }
            // Without this, the buffer grows to twice its capacity, which the share does not cover.
            buf.reserve_exact(capacity - buf.len());
        }
        buf.extend_from_slice(&data);
    }
    if !share.finish() {
        return Err(CollectError::NoMemory { read: buf.len() });
    }
    share.resize(buf.capacity());
    Ok(Bytes::from_owner(SharedBody { buf, _share: share }))
}
