//! Counts and faults of an engine.

/// Counts of one engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineCounts {
    /// Tokens of prompts computed, without those found in the prefix cache.
    pub prefill_tokens: u64,
    /// Computed tokens whose KV cache was imported for decode.
    pub imported_tokens: u64,
    /// Attempts that were cancelled.
    pub cancelled: u64,
    /// Attempts that hold memory now.
    pub held: u64,
    /// Exports that were evicted before their import.
    pub evicted: u64,
    /// Attempts started more than 3 s after the leaving mark.
    pub work_after_leaving: u64,
    /// Longest time from the leaving mark to new work.
    pub leaving_longest_ms: u64,
    /// Crashes.
    pub crashes: u64,
    /// Crashes caused by a request.
    pub request_crashes: u64,
}

/// Faults of an engine, each with the share of calls it hits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineFault {
    /// Prefill and decode take five times as long.
    Slow,
    /// A transfer makes no progress for 20 s.
    StallTransfer,
    /// A cancel is neither carried out nor answered.
    LoseCancel,
    /// An answer or event of another attempt arrives.
    Crossed,
    /// An answer ends early.
    Truncated,
    /// An answer starts 1 to 3 s late.
    Late,
    /// Events arrive twice.
    Repeated,
    /// Load reports are 2 s old.
    StaleLoad,
    /// Load reports arrive 300 ms late.
    LateLoad,
}

/// Number of variants of [`EngineFault`].
pub(super) const FAULTS: usize = 9;
