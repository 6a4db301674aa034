//! The newest content of a row and the patches that lead to it.

use bv_types::Fingerprint;
use bytes::Bytes;

use crate::codec::{compress, digest};
use crate::{DeltaError, Patch};

/// Largest number of patches that are kept. A host that is further behind gets the whole content; each patch
/// costs it about as much processor time as that.
const MAX_PATCHES: usize = 8;

/// The newest content of a row, with what is needed to pass it on.
#[derive(Debug, Clone, Default)]
pub struct History {
    newest: Option<(Fingerprint, Bytes)>,
    /// The content before the newest one, until a patch leads from it to the newest one.
    previous: Option<Bytes>,
    /// Each leads to the base of the next one, and the last one to the newest content.
    patches: Vec<Patch>,
    /// The newest content compressed, once it was asked for.
    compressed: Option<Bytes>,
}

impl History {
    /// Digest of the newest content, if there is one.
    pub fn digest(&self) -> Option<Fingerprint> {
        Some(self.newest.as_ref()?.0)
    }

    /// The newest content.
    pub fn newest(&self) -> Option<&Bytes> {
        Some(&self.newest.as_ref()?.1)
    }

    /// Replaces the newest content by another one that this host got whole. The patch to it is made when
    /// a host first asks for it.
    pub fn replace(&mut self, content: Bytes) {
        let target = digest(&content);
        if self.digest() == Some(target) {
            return;
        }
        if self.previous.is_some() {
            // No patch was made, so no chain leads across the former newest content.
            self.patches.clear();
        }
        self.previous = self.newest.take().map(|(_, content)| content);
        self.newest = Some((target, content));
        self.compressed = None;
    }

    /// Replaces the newest content by that to which `patches` lead from it.
    pub fn advance(&mut self, patches: &[Patch], content: Bytes) {
        let target = digest(&content);
        if self.digest() == Some(target) {
            return;
        }
        if self.previous.take().is_some() {
            self.patches.clear();
        }
        self.patches.extend_from_slice(patches);
        let surplus = self.patches.len().saturating_sub(MAX_PATCHES);
        self.patches.drain(..surplus);
        self.newest = Some((target, content));
        self.compressed = None;
    }

    /// The patches that lead from the content with the digest `base` to the newest one; none if they are not
    /// known. No patches lead from the newest content to itself.
    pub fn since(&mut self, base: Fingerprint) -> Option<&[Patch]> {
        if self.digest() == Some(base) {
            return Some(&[]);
        }
        self.complete();
        let at = self.patches.iter().position(|patch| patch.base == base)?;
        Some(&self.patches[at..])
    }

    /// The newest content compressed; none if there is no content.
    ///
    /// # Errors
    /// The library fails, as when it gets no memory.
    pub fn compressed(&mut self) -> Result<Option<Bytes>, DeltaError> {
        let Some((_, content)) = &self.newest else {
            return Ok(None);
        };
        if self.compressed.is_none() {
            self.compressed = Some(compress(content)?);
        }
        Ok(self.compressed.clone())
    }

    /// Makes the patch from the previous content to the newest one.
    fn complete(&mut self) {
        let (Some(previous), Some((_, newest))) = (self.previous.take(), &self.newest) else {
            return;
        };
        match Patch::between(&previous, newest) {
            Ok(patch) => {
                self.patches.push(patch);
                let surplus = self.patches.len().saturating_sub(MAX_PATCHES);
                self.patches.drain(..surplus);
            }
            // Hosts that ask get the whole content.
            Err(_) => self.patches.clear(),
        }
    }
}
