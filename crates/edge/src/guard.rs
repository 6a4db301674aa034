//! Strict checks of request heads, where the HTTP library is lenient.
//!
//! The library accepts bare line feeds, and drops a `content-length` that follows chunked encoding.
//! Another parser may see a different end of such a request, which allows request smuggling: a
//! second request could hide in the body.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use bv_link::{InboundMemory, Sender, Share};
use http::Version;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;

/// Size up to which a head takes no share of the memory: the buffer that every connection has holds it.
const UNCOUNTED_HEAD_BYTES: usize = 4 << 10;
/// Bytes that a larger head holds for each of its bytes: the buffer that it is read into, which grows by
/// doubling, and the parsed lines.
const HELD_PER_HEAD_BYTE: usize = 3;

/// Bytes kept of each header line; the header names that are checked are shorter.
const KEPT_LINE_BYTES: usize = 24;

/// Result of checking the bytes of one request head.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Verdict {
    bare_line_end: bool,
    content_length_count: u8,
    transfer_encoding_count: u8,
    /// Whether there is no memory for the head.
    lacks_memory: bool,
}

impl Verdict {
    /// Whether there is no memory for the head beside the others.
    pub fn lacks_memory(self) -> bool {
        self.lacks_memory
    }

    /// Whether all parsers agree on the end of the request.
    pub fn has_unambiguous_end(self) -> bool {
        !self.bare_line_end && self.content_length_count + self.transfer_encoding_count <= 1
    }
}

#[derive(Debug)]
enum Phase {
    /// The next bytes belong to a head.
    Head {
        verdict: Verdict,
        line: Vec<u8>,
        line_bytes: usize,
        after_cr: bool,
        has_request_line: bool,
    },
    /// A complete head was read; the bytes that follow are its body.
    HeadComplete(Verdict),
    /// The verdict was taken; no other request may follow before the answer.
    AwaitingAnswer,
}

impl Phase {
    fn head() -> Self {
        Phase::Head {
            verdict: Verdict::default(),
            line: Vec::with_capacity(KEPT_LINE_BYTES),
            line_bytes: 0,
            after_cr: false,
            has_request_line: false,
        }
    }
}

/// What a connection waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Wait {
    /// The first byte of the request with this number.
    Request(u64),
    /// The rest of the head of the request with this number.
    Head(u64),
    /// A request is in progress, or its answer is not written completely.
    Answer,
}

#[derive(Debug)]
struct Progress {
    phase: Phase,
    /// Number of requests whose answer has ended.
    answered: u64,
    /// Whether all bytes of the last answer were written to the connection.
    is_flushed: bool,
    /// Whether a request was refused although its body may not have been read.
    has_unread_body: bool,
    /// Bytes of the head that is read, or of the request in progress.
    head_bytes: usize,
    /// Its share of the memory, if it is large.
    head_share: Option<Share>,
    lacks_memory: bool,
    /// Whether the latest request is of a version in which the end of the connection ends its answer.
    ends_at_close: bool,
}

/// Check state of one connection, shared by its reader and its service.
#[derive(Debug, Clone)]
pub(crate) struct HeadGuard {
    memory: Arc<InboundMemory>,
    progress: Arc<Mutex<Progress>>,
    wait_changed: Arc<Notify>,
}

impl HeadGuard {
    /// The state of a connection whose large heads take their share of `memory`.
    pub fn new(memory: Arc<InboundMemory>) -> Self {
        let progress = Progress {
            phase: Phase::head(),
            answered: 0,
            is_flushed: true,
            has_unread_body: false,
            head_bytes: 0,
            head_share: None,
            lacks_memory: false,
            ends_at_close: false,
        };
        HeadGuard {
            memory,
            progress: Arc::new(Mutex::new(progress)),
            wait_changed: Arc::default(),
        }
    }

    fn progress(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What the connection waits for.
    pub fn wait(&self) -> Wait {
        let progress = self.progress();
        match &progress.phase {
            Phase::Head {
                line_bytes: 0,
                has_request_line: false,
                ..
            } if progress.is_flushed => Wait::Request(progress.answered),
            Phase::Head { .. } if progress.is_flushed => Wait::Head(progress.answered),
            Phase::Head { .. } | Phase::HeadComplete(_) | Phase::AwaitingAnswer => Wait::Answer,
        }
    }

    /// Returns after [`HeadGuard::wait`] has changed.
    pub async fn wait_changed(&self) {
        self.wait_changed.notified().await;
    }

    /// Records that a request was refused although its body may not have been read.
    pub fn set_unread_body(&self) {
        self.progress().has_unread_body = true;
    }

    /// Records the version of a request.
    pub fn set_version(&self, version: Version) {
        self.progress().ends_at_close = version < Version::HTTP_11;
    }

    /// Whether the end of the connection may be the end of the latest request's answer.
    pub fn ends_at_close(&self) -> bool {
        self.progress().ends_at_close
    }

    /// Whether a request was refused although its body may not have been read.
    pub fn has_unread_body(&self) -> bool {
        self.progress().has_unread_body
    }

    /// Records that the library has written all its bytes.
    fn set_flushed(&self) {
        if !std::mem::replace(&mut self.progress().is_flushed, true) {
            self.wait_changed.notify_one();
        }
    }

    /// Takes the verdict on the request that was just read. `None` if its head arrived before the
    /// answer to the previous request was complete.
    pub fn take_verdict(&self) -> Option<Verdict> {
        let mut progress = self.progress();
        match std::mem::replace(&mut progress.phase, Phase::AwaitingAnswer) {
            Phase::HeadComplete(verdict) => Some(Verdict {
                lacks_memory: progress.lacks_memory,
                ..verdict
            }),
            Phase::Head { .. } | Phase::AwaitingAnswer => None,
        }
    }

    /// Starts checking the next head, after a request was answered.
    pub fn expect_head(&self) {
        let mut progress = self.progress();
        progress.phase = Phase::head();
        progress.answered += 1;
        progress.head_bytes = 0;
        progress.head_share = None;
        progress.lacks_memory = false;
        // The library still holds the end of the answer.
        progress.is_flushed = false;
    }

    /// Checks bytes that were read from the connection.
    pub fn check(&self, bytes: &[u8]) {
        let before = self.wait();
        {
            let mut progress = self.progress();
            let of_head = progress.phase.check(bytes);
            progress.take_memory(&self.memory, of_head);
        }
        if self.wait() != before || self.lacks_memory() {
            self.wait_changed.notify_one();
        }
    }

    /// Whether there is no memory for the head beside the others.
    pub fn lacks_memory(&self) -> bool {
        self.progress().lacks_memory
    }
}

impl Progress {
    /// Takes memory for more bytes of a head.
    fn take_memory(&mut self, memory: &Arc<InboundMemory>, bytes: usize) {
        self.head_bytes += bytes;
        if self.head_bytes <= UNCOUNTED_HEAD_BYTES {
            return;
        }
        let held = self.head_bytes * HELD_PER_HEAD_BYTE;
        let share = self.head_share.get_or_insert_with(|| {
            let share = Share::new(memory, Sender::Head);
            // The newest heads are refused rather than those that are there.
            share.finish();
            share
        });
        self.lacks_memory |= !share.resize(held);
    }
}

impl Phase {
    /// Checks bytes, and returns how many of them belong to a head.
    fn check(&mut self, bytes: &[u8]) -> usize {
        for (at, byte) in bytes.iter().enumerate() {
            let done = match self {
                Phase::Head {
                    verdict,
                    line,
                    line_bytes,
                    after_cr,
                    has_request_line,
                } => {
                    let was_cr = std::mem::replace(after_cr, *byte == b'\r');
                    match byte {
                        b'\n' if *line_bytes > 0 || *has_request_line => {
                            verdict.bare_line_end |= !was_cr;
                            let is_end = *line_bytes == 0;
                            check_line(verdict, line);
                            *has_request_line = true;
                            line.clear();
                            *line_bytes = 0;
                            is_end.then_some(*verdict)
                        }
                        // Empty lines before a request line are allowed.
                        b'\n' => None,
                        b'\r' => {
                            verdict.bare_line_end |= was_cr;
                            None
                        }
                        _ => {
                            verdict.bare_line_end |= was_cr;
                            *line_bytes += 1;
                            if line.len() < KEPT_LINE_BYTES {
                                line.push(byte.to_ascii_lowercase());
                            }
                            None
                        }
                    }
                }
                Phase::HeadComplete(_) | Phase::AwaitingAnswer => return at,
            };
            if let Some(verdict) = done {
                *self = Phase::HeadComplete(verdict);
                return at + 1;
            }
        }
        bytes.len()
    }
}

fn check_line(verdict: &mut Verdict, line: &[u8]) {
    if line.starts_with(b"content-length") {
        verdict.content_length_count = verdict.content_length_count.saturating_add(1);
    }
    if line.starts_with(b"transfer-encoding") {
        verdict.transfer_encoding_count = verdict.transfer_encoding_count.saturating_add(1);
    }
}

/// A connection whose incoming bytes are checked by a [`HeadGuard`].
#[derive(Debug)]
pub(crate) struct GuardedStream<S> {
    stream: S,
    guard: HeadGuard,
}

impl<S> GuardedStream<S> {
    pub fn new(stream: S, guard: HeadGuard) -> Self {
        GuardedStream { stream, guard }
    }

    pub fn into_inner(self) -> S {
        self.stream
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for GuardedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        if let Poll::Ready(Ok(())) = &result {
            self.guard.check(&buf.filled()[before..]);
        }
        result
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for GuardedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The library flushes only after it has written all its bytes.
        let result = Pin::new(&mut self.stream).poll_flush(cx);
        if let Poll::Ready(Ok(())) = &result {
            self.guard.set_flushed();
        }
        result
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
