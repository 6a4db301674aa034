//! Errors of encodings.

use bv_types::Fingerprint;
use miette::Diagnostic;

/// A content cannot be encoded or restored.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error, Diagnostic)]
pub enum DeltaError {
    /// The compressor or decompressor failed.
    #[error("{step}: {reason}")]
    #[diagnostic(code(delta::codec))]
    Codec {
        /// What was done.
        step: &'static str,
        /// The library's reason.
        reason: String,
    },
    /// The encoding does not state the size of its content.
    #[error("the encoding does not state the size of its content")]
    #[diagnostic(code(delta::size_unknown))]
    SizeUnknown,
    /// The content is larger than allowed.
    #[error("a content of {size} bytes is larger than {limit} bytes")]
    #[diagnostic(code(delta::too_large))]
    TooLarge {
        /// Size of the content, in bytes.
        size: u64,
        /// Largest size, in bytes.
        limit: usize,
    },
    /// The patch is for another base.
    #[error("the patch is for base {expected}, not {found}")]
    #[diagnostic(
        code(delta::other_base),
        help("the whole content is to be requested instead")
    )]
    OtherBase {
        /// Digest of the patch's base.
        expected: Fingerprint,
        /// Digest of the content that it was applied to.
        found: Fingerprint,
    },
    /// The patch leads to another content than it states.
    #[error("the patch leads to {found} instead of {expected}")]
    #[diagnostic(
        code(delta::other_target),
        help("the whole content is to be requested instead")
    )]
    OtherTarget {
        /// Digest of the patch's target.
        expected: Fingerprint,
        /// Digest of the content that it led to.
        found: Fingerprint,
    },
}

impl DeltaError {
    /// An error of the library, from its code.
    pub(crate) fn codec(step: &'static str, code: usize) -> Self {
        DeltaError::Codec {
            step,
            reason: zstd::zstd_safe::get_error_name(code).to_owned(),
        }
    }
}
