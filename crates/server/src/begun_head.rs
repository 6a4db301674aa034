//! Whether part of a request's head has arrived on a connection.
//!
//! The HTTP library closes such a connection when it is told to shut down, and the request gets no
//! answer.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::watch;

/// First bytes of an HTTP/2 connection, whose frames say themselves what they belong to.
const HTTP2_PREFACE: &[u8] = b"PRI ";

/// Progress of the heads on one connection, shared by its stream and its service.
#[derive(Debug, Clone)]
pub(crate) struct HeadWatch(Arc<watch::Sender<Progress>>);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// No byte of the next head has arrived.
    Idle,
    Begun,
    /// The head was read, and the request has no answer yet.
    InService,
    /// The connection speaks HTTP/2.
    Multiplexed,
}

impl HeadWatch {
    pub fn new() -> Self {
        HeadWatch(Arc::new(watch::Sender::new(Progress::Idle)))
    }

    /// Records that a head was read.
    pub fn begin_service(&self) {
        self.advance(|progress| match progress {
            Progress::Multiplexed => Progress::Multiplexed,
            _ => Progress::InService,
        });
    }

    /// Records that the request was answered.
    pub fn end_service(&self) {
        self.advance(|progress| match progress {
            Progress::InService => Progress::Idle,
            other => other,
        });
    }

    /// Waits until no part of a head has arrived without the rest.
    pub async fn no_begun_head(&self) {
        let mut rx = self.0.subscribe();
        // The sender is a field of this struct, so it is not closed.
        let _ = rx.wait_for(|progress| *progress != Progress::Begun).await;
    }

    fn record_read(&self, bytes: &[u8]) {
        self.advance(|progress| match progress {
            Progress::Idle if bytes.starts_with(HTTP2_PREFACE) => Progress::Multiplexed,
            Progress::Idle if !bytes.is_empty() => Progress::Begun,
            other => other,
        });
    }

    fn advance(&self, next: impl FnOnce(Progress) -> Progress) {
        self.0.send_if_modified(|progress| {
            let before = *progress;
            *progress = next(before);
            *progress != before
        });
    }
}

/// A connection whose reads a [`HeadWatch`] sees.
#[derive(Debug)]
pub(crate) struct WatchedStream<S> {
    stream: S,
    heads: HeadWatch,
}

impl<S> WatchedStream<S> {
    pub fn new(stream: S, heads: HeadWatch) -> Self {
        WatchedStream { stream, heads }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for WatchedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        if let Poll::Ready(Ok(())) = &result {
            self.heads.record_read(&buf.filled()[before..]);
        }
        result
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for WatchedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
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
