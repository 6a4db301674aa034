//! What identifies a request, as far as it may be the cause of a crash.

use std::sync::Arc;

use bv_types::{BackendId, Fingerprint, Millis};

/// Identifies the crash of one engine process; all hosts that saw it agree on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CrashId(pub u64);

impl CrashId {
    /// The crash of the process that registered under `engine` at `started_at`. A process crashes once.
    pub fn of_process(engine: &BackendId, started_at: Option<Millis>) -> Self {
        let started_at = started_at.map_or(0, |at| at.0).to_le_bytes();
        let digest = Fingerprint::digest([engine.as_str().as_bytes(), &started_at]);
        let Fingerprint([a, b, c, d, e, f, g, h, ..]) = digest;
        CrashId(u64::from_le_bytes([a, b, c, d, e, f, g, h]))
    }
}

impl std::fmt::Display for CrashId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Digests of a request and of the parts of its prompt that other requests may share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Content {
    /// The request as a whole, whoever sent it.
    request: Fingerprint,
    /// The request together with each mark of its caller.
    of_caller: Arc<[Fingerprint]>,
    /// Sorted.
    parts: Arc<[Fingerprint]>,
}

impl Content {
    /// Digests a request. The last part of a prompt belongs to the request alone, so it is left out.
    pub fn new<'a>(
        prompt_parts: impl DoubleEndedIterator<Item = &'a str>,
        request: impl IntoIterator<Item = &'a [u8]>,
    ) -> Self {
        let shared = prompt_parts.rev().skip(1);
        let mut parts: Vec<Fingerprint> = shared.map(Content::part).collect();
        parts.sort_unstable();
        parts.dedup();
        Content {
            request: Fingerprint::digest([b"request".as_slice()].into_iter().chain(request)),
            of_caller: Arc::default(),
            parts: parts.into(),
        }
    }

    /// Adds marks of the request's caller, such as its address. Equal requests of two callers have the
    /// digest of the request in common, and that of each mark that the callers share.
    pub fn with_caller<'a>(self, marks: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let marks = marks.into_iter();
        let digest =
            |mark| Fingerprint::digest([b"caller".as_slice(), self.request.0.as_slice(), mark]);
        Content {
            of_caller: marks.map(digest).collect(),
            ..self
        }
    }

    /// Digest of a prompt part.
    pub fn part(id: &str) -> Fingerprint {
        Fingerprint::digest([b"part".as_slice(), id.as_bytes()])
    }

    /// Digest of the request as a whole.
    pub fn request(&self) -> Fingerprint {
        self.request
    }

    /// Digests of the request as a whole: that of the request, and those with its caller.
    pub fn whole(&self) -> impl Iterator<Item = Fingerprint> {
        [self.request]
            .into_iter()
            .chain(self.of_caller.iter().copied())
    }

    /// Digests of the parts of the prompt, without the last part.
    pub fn parts(&self) -> &[Fingerprint] {
        &self.parts
    }

    /// All digests.
    pub fn keys(&self) -> impl Iterator<Item = Fingerprint> {
        self.parts.iter().copied().chain(self.whole())
    }

    /// Whether the request has this digest.
    pub fn contains(&self, key: Fingerprint) -> bool {
        self.whole().any(|whole| whole == key) || self.parts.binary_search(&key).is_ok()
    }
}
