//! Responses to callers.

use bv_admit::AllResting;
use bv_types::{Millis, Refusal};
use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::{Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use std::io;

/// Body of a response; an error closes the connection before the end of the body.
pub(crate) type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Shortest Retry-After. A caller honours up to a third of its remaining time; the shortest
/// deadline is 600 ms.
const MIN_RETRY_AFTER: Millis = Millis(100);
/// Retry-After when it is not known when capacity becomes free.
pub(crate) const DEFAULT_RETRY_AFTER: Millis = Millis(500);

/// Marks a response to a request whose body may not have been read.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UnreadBody;

/// Why a request gets no answer from a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The request did not run and will not.
    NotRun {
        reason: Refusal,
        /// When capacity is likely to be free.
        retry_after: Millis,
    },
    /// The request may have run; its answer was lost or damaged.
    AnswerLost,
    /// The request may have run; its deadline has passed.
    DeadlinePassed,
    /// The request may have run; this host ends before its answer.
    HostEnded,
}

impl Failure {
    /// A refusal where it is not known when capacity becomes free.
    pub fn refused(reason: Refusal) -> Self {
        Failure::NotRun {
            reason,
            retry_after: DEFAULT_RETRY_AFTER,
        }
    }

    /// The refusal while all servers of a service rest. If none returns in time for the caller,
    /// another host may still serve it.
    pub fn resting(resting: AllResting) -> Self {
        Failure::NotRun {
            reason: Refusal::ServersResting,
            retry_after: resting.retry_after.unwrap_or(DEFAULT_RETRY_AFTER),
        }
    }

    /// Status for the caller.
    pub fn status(self) -> StatusCode {
        match self {
            Failure::AnswerLost | Failure::HostEnded => StatusCode::BAD_GATEWAY,
            Failure::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
            Failure::NotRun { reason, .. } => match reason {
                Refusal::BadRequest => StatusCode::BAD_REQUEST,
                Refusal::UnknownKey => StatusCode::UNAUTHORIZED,
                Refusal::TeamRate => StatusCode::TOO_MANY_REQUESTS,
                Refusal::NoRoute => StatusCode::NOT_FOUND,
                Refusal::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
                Refusal::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
                Refusal::ReadTimeout => StatusCode::REQUEST_TIMEOUT,
                _ => StatusCode::SERVICE_UNAVAILABLE,
            },
        }
    }

    /// Reason code for logs, metrics and the response body.
    pub fn code(self) -> &'static str {
        match self {
            Failure::NotRun { reason, .. } => reason.code(),
            Failure::AnswerLost => "answer_lost",
            Failure::DeadlinePassed => "deadline_passed",
            Failure::HostEnded => "host_ended",
        }
    }

    /// The response to the caller.
    pub fn response(self) -> Response<Body> {
        let mut response = Response::new(full(Bytes::from_static(self.code().as_bytes())));
        *response.status_mut() = self.status();
        if let Failure::NotRun {
            reason,
            retry_after,
        } = self
        {
            let may_return = matches!(
                self.status(),
                StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
            );
            if may_return {
                let seconds = retry_after.max(MIN_RETRY_AFTER).0 as f64 / 1_000.0;
                if let Ok(value) = HeaderValue::from_str(&format!("{seconds:.3}")) {
                    response.headers_mut().insert(header::RETRY_AFTER, value);
                }
            }
            // These requests may be refused before they were read completely. Their rest belongs to no
            // request, so the connection cannot be reused.
            if !may_return || reason == Refusal::NoMemory {
                close(&mut response);
            }
        }
        response
    }
}

/// Marks a response so that the caller's connection closes after it.
pub(crate) fn close(response: &mut Response<Body>) {
    let value = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, value);
}

/// A body that is complete.
pub(crate) fn full(body: Bytes) -> Body {
    Full::new(body)
        .map_err(|never| match never {})
        .boxed_unsync()
}
