//! Checks of the bytes of a connection that the HTTP library leaves out: a bound for the informational
//! heads (1xx) before an answer, and the end of an answer while its request is still being written.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Most informational heads before an answer.
const MAX_INFORMATIONAL_HEADS: usize = 64;
/// Position of the status code in a status line, as in `HTTP/1.1 200 OK`.
const STATUS_AT: usize = 9;
const STATUS_BYTES: usize = 3;

/// A server sends informational heads and no answer.
#[derive(Debug, thiserror::Error)]
#[error(
    "read head from {peer}: {heads} informational heads in {bytes} bytes without an answer \
     (limits: {MAX_INFORMATIONAL_HEADS} heads, {max_bytes} bytes)"
)]
pub struct EndlessHeads {
    /// Address of the peer.
    pub peer: SocketAddr,
    /// Number of complete informational heads.
    pub heads: usize,
    /// Bytes that were read since the request, or since the connection was opened.
    pub bytes: usize,
    /// Most bytes before the answer.
    pub max_bytes: usize,
}

/// A server closed its side of the connection while the request was still being written. An answer whose
/// end is marked by the end of the connection may have been cut off there.
#[derive(Debug, thiserror::Error)]
#[error("read from {peer}: closed before the request was written completely")]
pub struct ClosedEarly {
    /// Address of the peer.
    pub peer: SocketAddr,
}

/// Whether an answer was given up because of [`EndlessHeads`].
pub fn is_endless_heads(err: &hyper::Error) -> bool {
    let mut cause = std::error::Error::source(err);
    while let Some(err) = cause {
        if let Some(err) = err.downcast_ref::<io::Error>() {
            return err.get_ref().is_some_and(|err| err.is::<EndlessHeads>());
        }
        cause = err.source();
    }
    false
}

/// Tells a [`BoundedHeads`] that the next bytes begin an answer.
#[derive(Debug, Clone, Default)]
pub(crate) struct AnswerExpected(Arc<AtomicBool>);

impl AnswerExpected {
    pub fn set(&self) {
        self.0.store(true, Ordering::Release);
    }

    fn take(&self) -> bool {
        self.0.swap(false, Ordering::AcqRel)
    }
}

/// What was read of the heads before an answer.
#[derive(Debug, Default)]
struct Heads {
    is_final: bool,
    complete: usize,
    bytes: usize,
    has_status_line: bool,
    line_bytes: usize,
    status: [u8; STATUS_BYTES],
}

impl Heads {
    /// Returns false if the limits are exceeded.
    fn read(&mut self, bytes: &[u8], max_bytes: usize) -> bool {
        for byte in bytes {
            if self.is_final {
                return true;
            }
            self.bytes += 1;
            self.read_byte(*byte);
            if self.complete > MAX_INFORMATIONAL_HEADS || self.bytes > max_bytes {
                return false;
            }
        }
        true
    }

    fn read_byte(&mut self, byte: u8) {
        match byte {
            b'\r' => {}
            b'\n' if self.line_bytes > 0 => {
                self.has_status_line = true;
                self.line_bytes = 0;
            }
            b'\n' if self.has_status_line => {
                self.has_status_line = false;
                self.complete += 1;
            }
            // Empty lines before a status line are allowed.
            b'\n' => {}
            _ => {
                let at = self.line_bytes.checked_sub(STATUS_AT);
                if let Some(digit) = at.and_then(|at| self.status.get_mut(at))
                    && !self.has_status_line
                {
                    *digit = byte;
                    // After 101 the connection has another protocol.
                    let is_complete = at == Some(STATUS_BYTES - 1);
                    let is_informational = self.status[0] == b'1' && self.status != *b"101";
                    self.is_final = is_complete && !is_informational;
                }
                self.line_bytes += 1;
            }
        }
    }
}

/// A connection that fails if the heads before an answer exceed their limits, or if it ends while the
/// request is still being written.
#[derive(Debug)]
pub(crate) struct BoundedHeads<S> {
    stream: S,
    peer: SocketAddr,
    max_bytes: usize,
    heads: Heads,
    answer_expected: AnswerExpected,
    /// Whether all bytes of the request were written; the library flushes only then.
    is_flushed: bool,
}

impl<S> BoundedHeads<S> {
    pub fn new(
        stream: S,
        peer: SocketAddr,
        max_bytes: usize,
        answer_expected: AnswerExpected,
    ) -> Self {
        BoundedHeads {
            stream,
            peer,
            max_bytes,
            heads: Heads::default(),
            answer_expected,
            is_flushed: true,
        }
    }

    fn check(&mut self, bytes: &[u8]) -> io::Result<()> {
        if self.answer_expected.take() {
            self.heads = Heads::default();
        }
        if self.heads.read(bytes, self.max_bytes) {
            return Ok(());
        }
        let err = EndlessHeads {
            peer: self.peer,
            heads: self.heads.complete,
            bytes: self.heads.bytes,
            max_bytes: self.max_bytes,
        };
        Err(io::Error::new(io::ErrorKind::InvalidData, err))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for BoundedHeads<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        match result {
            // A failed write has taken the error of a reset, so that this read finds an ordinary end.
            Poll::Ready(Ok(())) if buf.filled().len() == before && !self.is_flushed => {
                let err = ClosedEarly { peer: self.peer };
                Poll::Ready(Err(io::Error::new(io::ErrorKind::ConnectionReset, err)))
            }
            Poll::Ready(Ok(())) => Poll::Ready(self.check(&buf.filled()[before..])),
            other => other,
        }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for BoundedHeads<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.is_flushed = false;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_flush(cx);
        if let Poll::Ready(Ok(())) = &result {
            self.is_flushed = true;
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
        self.is_flushed = false;
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
