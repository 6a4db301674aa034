//! Heads of final answers.

use http::{Response, StatusCode, header};

/// A head that is not that of a final answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// The status ends no request, or has no meaning in HTTP. The library passes on 101 and those from 600
    /// to 999; what else the answer states cannot be relied on.
    #[error("the status {0} is not that of a final answer")]
    Status(StatusCode),
    /// The body has a transfer coding besides chunks, so that its bytes are not those of the content.
    #[error("the transfer coding is not supported")]
    Coding,
}

/// Checks that a head is that of a final answer whose body can be read.
pub(crate) fn check_head<B>(response: &Response<B>) -> Result<(), HeadError> {
    let status = response.status();
    if !(200..600).contains(&status.as_u16()) {
        return Err(HeadError::Status(status));
    }
    let mut codings = response.headers().get_all(header::TRANSFER_ENCODING).iter();
    let is_chunked = |value: &http::HeaderValue| {
        let value = value.as_bytes().trim_ascii();
        value.eq_ignore_ascii_case(b"chunked")
    };
    match (codings.next(), codings.next()) {
        (None, _) => Ok(()),
        (Some(coding), None) if is_chunked(coding) => Ok(()),
        _ => Err(HeadError::Coding),
    }
}
