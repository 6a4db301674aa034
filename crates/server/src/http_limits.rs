//! Limits of HTTP connections, shared by the listeners.

use std::time::Duration;

use hyper_util::rt::{TokioExecutor, TokioTimer};
use hyper_util::server::conn::auto;

/// Largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Time to read the head of a request; also the longest idle time of an HTTP/1 connection.
pub(crate) const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Limits that differ between listeners.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HttpLimits {
    /// Requests in progress on one HTTP/2 connection.
    pub streams: u32,
    /// Idle time after which an HTTP/2 connection is probed.
    pub probe_after: Duration,
    /// Time for the answer to a probe.
    pub probe_timeout: Duration,
}

impl HttpLimits {
    /// Builds an HTTP server with these limits.
    pub fn server(self) -> auto::Builder<TokioExecutor> {
        let mut builder = auto::Builder::new(TokioExecutor::new());
        builder
            .http1()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .max_buf_size(MAX_HEAD_BYTES);
        builder
            .http2()
            .timer(TokioTimer::new())
            .max_concurrent_streams(self.streams)
            .max_header_list_size(MAX_HEAD_BYTES as u32)
            .keep_alive_interval(self.probe_after)
            .keep_alive_timeout(self.probe_timeout);
        builder
    }
}
