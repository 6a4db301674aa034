//! Ensures that only one attempt of a request answers its caller.

use std::sync::OnceLock;

/// Lets the answers of one attempt through: the one that calls `pass` first.
#[derive(Debug, Default)]
pub(crate) struct AnswerGate(OnceLock<u32>);

impl AnswerGate {
    /// Whether the answer of this attempt may go to the caller; true for one attempt only.
    pub fn pass(&self, attempt: u32) -> bool {
        *self.0.get_or_init(|| attempt) == attempt
    }
}
