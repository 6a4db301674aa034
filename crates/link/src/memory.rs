//! Memory that answers in progress may use together.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::BytesMut;

/// Bytes of each answer that need no share of the memory, so that usual answers are read while
/// long ones use all of it.
pub const UNSHARED_BYTES: usize = 64 << 10;
/// Step in which an answer takes its share.
const SHARE_STEP_BYTES: usize = 64 << 10;

/// Memory for the long answers that a process holds at the same time.
///
/// A server in trouble may send bytes without end. A limit for each answer alone does not bound the
/// memory of many such answers.
#[derive(Debug)]
pub struct AnswerMemory {
    free: AtomicUsize,
}

impl AnswerMemory {
    /// Memory of this many bytes.
    pub fn new(bytes: usize) -> Self {
        AnswerMemory {
            free: AtomicUsize::new(bytes),
        }
    }

    fn take(&self, bytes: usize) -> bool {
        let taken = self
            .free
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |free| {
                free.checked_sub(bytes)
            });
        taken.is_ok()
    }
}

/// The share of one answer, given back on drop.
#[derive(Debug)]
pub(crate) struct Share {
    memory: Arc<AnswerMemory>,
    bytes: usize,
}

impl Share {
    pub fn new(memory: &Arc<AnswerMemory>) -> Self {
        Share {
            memory: memory.clone(),
            bytes: 0,
        }
    }

    /// Takes what an answer of `len` bytes needs; returns whether the memory suffices.
    pub fn grow_to(&mut self, len: usize) -> bool {
        let needed = len.saturating_sub(UNSHARED_BYTES);
        if needed <= self.bytes {
            return true;
        }
        let missing = (needed - self.bytes).next_multiple_of(SHARE_STEP_BYTES);
        let is_taken = self.memory.take(missing);
        if is_taken {
            self.bytes += missing;
        }
        is_taken
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.memory.free.fetch_add(self.bytes, Ordering::Relaxed);
    }
}

/// An answer that was read, with its share of the memory.
pub(crate) struct SharedAnswer {
    pub buf: BytesMut,
    pub _share: Share,
}

impl AsRef<[u8]> for SharedAnswer {
    fn as_ref(&self) -> &[u8] {
        &self.buf
    }
}
