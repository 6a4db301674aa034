//! Prefix cache, and prefill results that wait for their import.

use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Arc, Mutex, MutexGuard};

use super::scheduler::Reservation;

/// Bytes of a prompt per cached block; equals 64 tokens.
const BLOCK_BYTES: usize = 256;
/// Capacity of the cache in blocks; equals 32,768 tokens, about one longest prompt.
const MAX_BLOCKS: usize = 512;

/// Hashes of the blocks of recent prompts; the least recently used are evicted first.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache(Mutex<VecDeque<u64>>);

impl PrefixCache {
    /// Adds the prompt to the cache and returns the number of its bytes that were already there.
    pub fn look_up_and_insert(&self, prompt: &str) -> usize {
        let mut blocks = self.0.lock().unwrap_or_else(|err| err.into_inner());
        let mut hasher = DefaultHasher::new();
        let mut found = 0;
        let mut in_prefix = true;
        for block in prompt.as_bytes().chunks_exact(BLOCK_BYTES) {
            // Each hash covers all blocks before it, because only a complete prefix can be reused.
            block.hash(&mut hasher);
            let hash = hasher.finish();
            let index = blocks.iter().position(|known| *known == hash);
            in_prefix &= index.is_some();
            found += usize::from(in_prefix);
            if let Some(index) = index {
                blocks.remove(index);
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

/// Prefill results of all engines of a deployment that wait for their import.
#[derive(Debug, Default)]
pub struct Exports(Mutex<Vec<Export>>);

/// A prefill result; its memory stays reserved at the engine that computed it.
#[derive(Debug)]
pub(crate) struct Export {
    pub attempt: String,
    pub engine: String,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens that were not found in the prefix cache.
    pub computed_tokens: u64,
    /// Outgoing link of the exporting engine; one transfer at a time.
    pub link: Arc<tokio::sync::Mutex<()>>,
    pub reservation: Reservation,
}

impl Exports {
    fn lock(&self) -> MutexGuard<'_, Vec<Export>> {
        self.0.lock().unwrap_or_else(|err| err.into_inner())
    }

    pub(crate) fn add(&self, export: Export) {
        self.lock().push(export);
    }

    /// Removes an export for its import; afterwards it cannot be evicted.
    pub(crate) fn take(&self, attempt: &str) -> Option<Export> {
        let mut exports = self.lock();
        let index = exports
            .iter()
            .position(|export| export.attempt == attempt)?;
        Some(exports.swap_remove(index))
    }

    /// Drops one engine's export of an attempt, or all its exports if `attempt` is `None`; returns
    /// the number of dropped exports.
    pub(crate) fn evict(&self, engine: &str, attempt: Option<&str>) -> u64 {
        let mut exports = self.lock();
        let (dropped, kept): (Vec<Export>, Vec<Export>) = exports.drain(..).partition(|export| {
            export.engine == engine && attempt.is_none_or(|id| id == export.attempt)
        });
        *exports = kept;
        dropped.len() as u64
    }
}
