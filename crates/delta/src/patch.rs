//! Differences between two contents.

use bv_types::Fingerprint;
use bytes::Bytes;

use crate::DeltaError;
use crate::codec::{decode, digest, encode};

/// Leads from one content to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Patch {
    /// Digest of the content that it is applied to.
    pub base: Fingerprint,
    /// Digest of the content that it leads to.
    pub target: Fingerprint,
    /// The encoded difference.
    pub encoded: Bytes,
}

impl Patch {
    /// The patch that leads from `base` to `target`.
    ///
    /// # Errors
    /// The library fails, as when it gets no memory.
    pub fn between(base: &[u8], target: &[u8]) -> Result<Self, DeltaError> {
        Ok(Patch {
            base: digest(base),
            target: digest(target),
            encoded: encode(base, target)?,
        })
    }

    /// Applies the patch to its base. The result has at most `limit` bytes.
    ///
    /// # Errors
    /// `base` is another content than that of the patch, or the patch is damaged.
    pub fn apply(&self, base: &[u8], limit: usize) -> Result<Bytes, DeltaError> {
        let found = digest(base);
        if found != self.base {
            return Err(DeltaError::OtherBase {
                expected: self.base,
                found,
            });
        }
        let content = decode(base, &self.encoded, limit)?;
        let found = digest(&content);
        if found != self.target {
            return Err(DeltaError::OtherTarget {
                expected: self.target,
                found,
            });
        }
        Ok(content)
    }

    /// Applies patches one after the other.
    ///
    /// # Errors
    /// As for [`Patch::apply`].
    pub fn apply_all(patches: &[Patch], base: &Bytes, limit: usize) -> Result<Bytes, DeltaError> {
        let apply = |content: Bytes, patch: &Patch| patch.apply(&content, limit);
        patches.iter().try_fold(base.clone(), apply)
    }
}
