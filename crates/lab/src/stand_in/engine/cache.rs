//! Prefix cache and exported prefill results.

use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Arc, Mutex, MutexGuard};

use super::batch::Hold;

/// Bytes of a prompt in one cached block: 64 tokens.
const BLOCK_BYTES: usize = 256;
/// Blocks kept: 32,768 tokens, about one longest prompt.
const MAX_BLOCKS: usize = 512;

/// Blocks of recent prompts; the oldest go first.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache(Mutex<VecDeque<u64>>);

impl PrefixCache {
    /// Bytes of the prompt found in the cache; the whole prompt is in the cache afterwards.
    pub fn visit(&self, prompt: &str) -> usize {
        let mut blocks = self.0.lock().unwrap_or_else(|err| err.into_inner());
        let mut hasher = DefaultHasher::new();
        let mut found = 0;
        let mut leading = true;
        for block in prompt.as_bytes().chunks_exact(BLOCK_BYTES) {
            // Each hash covers the blocks before it, as only a whole prefix can be used.
            block.hash(&mut hasher);
            let hash = hasher.finish();
            let place = blocks.iter().position(|known| *known == hash);
            leading &= place.is_some();
            found += usize::from(leading);
            if let Some(place) = place {
                blocks.remove(place);
            }
            blocks.push_back(hash);
            if blocks.len() > MAX_BLOCKS {
                blocks.pop_front();
            }
        }
        found * BLOCK_BYTES
    }

    pub fn clear(&self) {
        let mut blocks = self.0.lock().unwrap_or_else(|err| err.into_inner());
        blocks.clear();
    }
}

/// Prefill results that wait for their import, over all engines of a deployment.
#[derive(Debug, Default)]
pub struct Exports(Mutex<Vec<Export>>);

/// A prefill result; its memory stays held at the engine that computed it.
#[derive(Debug)]
pub(crate) struct Export {
    pub attempt: String,
    pub engine: String,
    /// Tokens of the prompt.
    pub tokens: u64,
    /// Tokens that were not found in the prefix cache.
    pub computed: u64,
    /// The exporting engine's side of the transfer.
    pub link: Arc<tokio::sync::Mutex<()>>,
    pub hold: Hold,
}

impl Exports {
    fn lock(&self) -> MutexGuard<'_, Vec<Export>> {
        self.0.lock().unwrap_or_else(|err| err.into_inner())
    }

    pub(crate) fn add(&self, export: Export) {
        self.lock().push(export);
    }

    /// Takes an export out for its import; it can no longer be evicted.
    pub(crate) fn take(&self, attempt: &str) -> Option<Export> {
        let mut exports = self.lock();
        let index = exports
            .iter()
            .position(|export| export.attempt == attempt)?;
        Some(exports.swap_remove(index))
    }

    /// Drops one engine's export of an attempt, or all its exports; returns how many.
    pub(crate) fn evict(&self, engine: &str, attempt: Option<&str>) -> u64 {
        let mut exports = self.lock();
        let (dropped, kept): (Vec<Export>, Vec<Export>) = exports.drain(..).partition(|export| {
            export.engine == engine && attempt.is_none_or(|id| id == export.attempt)
        });
        *exports = kept;
        dropped.len() as u64
    }
}
