//! A numbered configuration document.

use std::sync::Arc;

use bv_types::{Fingerprint, Version};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Number of earlier changes whose ids a document keeps. A repeated change still gets its outcome
/// if at most this many changes were accepted after it.
pub const KEPT_CHANGES: usize = 16;

/// An accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Version that the change produced.
    pub version: Version,
    /// Id of the change, chosen by the operator's client.
    pub change: SmolStr,
}

/// A configuration document with its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Document {
    /// Version; 1 is the first.
    pub version: Version,
    /// Id of the change that produced it.
    pub change: SmolStr,
    /// The text, in TOML.
    pub text: Arc<str>,
    /// Earlier changes, the latest first, at most [`KEPT_CHANGES`].
    pub earlier: Vec<Change>,
    digest: Fingerprint,
}

impl Document {
    /// Creates a document; its digest covers the version, the change id and the text.
    pub fn new(
        version: Version,
        change: SmolStr,
        text: Arc<str>,
        mut earlier: Vec<Change>,
    ) -> Self {
        earlier.truncate(KEPT_CHANGES);
        let number = version.0.to_le_bytes();
        let parts: [&[u8]; 3] = [&number, change.as_bytes(), text.as_bytes()];
        Document {
            version,
            digest: Fingerprint::digest(parts),
            change,
            text,
            earlier,
        }
    }

    /// Creates the successor of `base` that `change` produces with `text`.
    pub fn after(base: Option<&Document>, change: SmolStr, text: Arc<str>) -> Self {
        let Some(base) = base else {
            return Document::new(Version(1), change, text, Vec::new());
        };
        let mut earlier = vec![Change {
            version: base.version,
            change: base.change.clone(),
        }];
        earlier.extend(base.earlier.iter().cloned());
        Document::new(Version(base.version.0 + 1), change, text, earlier)
    }

    /// Digest of the version, the change id and the text.
    pub fn digest(&self) -> Fingerprint {
        self.digest
    }

    /// The version that the change with this id produced, if the document still lists it.
    pub fn version_of(&self, change_id: &str) -> Option<Version> {
        if self.change == change_id {
            return Some(self.version);
        }
        self.earlier
            .iter()
            .find(|earlier| earlier.change == change_id)
            .map(|earlier| earlier.version)
    }
}
