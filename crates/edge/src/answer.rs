//! Answers to callers.

use bv_types::{Millis, Refusal};
use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::{Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use std::io;

/// Body of an answer; an error ends the connection without the end of the body.
pub(crate) type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Shortest time that a caller is asked to stay away. A caller honours up to a third of the time it
/// has left; 600 ms is the shortest deadline.
const MIN_RETRY_AFTER: Millis = Millis(100);
/// Time after which a caller comes back where nothing tells when a place is free.
pub(crate) const USUAL_RETRY_AFTER: Millis = Millis(500);

/// How a request ended without a backend server's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Failure {
    /// It did not run and will not.
    NotRun {
        /// Why.
        reason: Refusal,
        /// When a place is likely.
        retry_after: Millis,
    },
    /// It may have run; its answer was lost or damaged.
    Lost,
    /// It may have run; its time is over.
    Late,
}

impl Failure {
    /// A refusal without knowledge of when a place is free.
    pub fn refused(reason: Refusal) -> Self {
        Failure::NotRun {
            reason,
            retry_after: USUAL_RETRY_AFTER,
        }
    }

    /// Status for the caller.
    pub fn status(self) -> StatusCode {
        match self {
            Failure::Lost => StatusCode::BAD_GATEWAY,
            Failure::Late => StatusCode::GATEWAY_TIMEOUT,
            Failure::NotRun { reason, .. } => match reason {
                Refusal::BadRequest => StatusCode::BAD_REQUEST,
                Refusal::NoRoute => StatusCode::NOT_FOUND,
                Refusal::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
                Refusal::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
                Refusal::ReadTimeout => StatusCode::REQUEST_TIMEOUT,
                _ => StatusCode::SERVICE_UNAVAILABLE,
            },
        }
    }

    /// Code for logs.
    pub fn code(self) -> &'static str {
        match self {
            Failure::NotRun { reason, .. } => reason.code(),
            Failure::Lost => "answer_lost",
            Failure::Late => "deadline_passed",
        }
    }

    /// The answer for the caller.
    pub fn response(self) -> Response<Body> {
        let mut response = Response::new(full(Bytes::from_static(self.code().as_bytes())));
        *response.status_mut() = self.status();
        if let Failure::NotRun { retry_after, .. } = self {
            if self.status() == StatusCode::SERVICE_UNAVAILABLE {
                let seconds = retry_after.max(MIN_RETRY_AFTER).0 as f64 / 1_000.0;
                if let Ok(value) = HeaderValue::from_str(&format!("{seconds:.3}")) {
                    response.headers_mut().insert(header::RETRY_AFTER, value);
                }
            } else {
                // The rest of a request that was refused while it was read is not read.
                close(&mut response);
            }
        }
        response
    }
}

/// Closes the caller's connection after this answer.
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
