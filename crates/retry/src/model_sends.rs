//! Sends of one model call that count as retries.

/// Sends of one model call: prompts that are prefilled, and decodes that produce its tokens.
///
/// The first of each kind is free. A call that moves to another engine repeats both. Both retries
/// are then taken from the budget before the prompt is prefilled, because a prompt whose decode has
/// no retry left is prefilled in vain.
#[derive(Debug, Clone, Default)]
pub struct ModelSends {
    prefills: u32,
    /// Decodes that reached an engine.
    decodes: u32,
    /// Retries taken from the budget for sends that were not made yet.
    prepaid: u32,
}

impl ModelSends {
    /// Number of retries to take from the budget before a prompt is prefilled and decoded.
    pub fn missing_for_split(&self) -> u32 {
        (is_repeat(self.prefills) + is_repeat(self.decodes)).saturating_sub(self.prepaid)
    }

    /// Number of retries to take from the budget before a decode.
    pub fn missing_for_decode(&self) -> u32 {
        is_repeat(self.decodes).saturating_sub(self.prepaid)
    }

    /// Records retries that were taken from the budget for the next sends.
    pub fn prepay(&mut self, retries: u32) {
        self.prepaid += retries;
    }

    /// Records the start of a prefill.
    pub fn begin_prefill(&mut self) {
        self.prepaid = self.prepaid.saturating_sub(is_repeat(self.prefills));
        self.prefills += 1;
    }

    /// Records the start of a decode.
    pub fn begin_decode(&mut self) {
        self.prepaid = self.prepaid.saturating_sub(is_repeat(self.decodes));
    }

    /// Records that a decode reached its engine.
    pub fn decode_delivered(&mut self) {
        self.decodes += 1;
    }

    /// Whether the next decode repeats one that reached an engine.
    pub fn is_decode_repeat(&self) -> bool {
        self.decodes > 0
    }
}

fn is_repeat(earlier_sends: u32) -> u32 {
    u32::from(earlier_sends > 0)
}
