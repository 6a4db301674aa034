//! First-wins gate for the answers to one request.

use std::sync::OnceLock;

/// Passes the answer of exactly one attempt.
#[derive(Debug, Default)]
pub(crate) struct AnswerGate(OnceLock<u32>);

impl AnswerGate {
    /// Whether the answer of this attempt may go to the caller; true for one attempt only.
    pub fn pass(&self, attempt: u32) -> bool {
        *self.0.get_or_init(|| attempt) == attempt
    }
}
