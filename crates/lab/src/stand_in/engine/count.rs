//! Counters and faults of an engine.

/// Counters of one engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineCounts {
    /// Prompt tokens computed, without those found in the prefix cache.
    pub prefill_tokens: u64,
    /// Computed prompt tokens whose KV cache was imported for decode.
    pub imported_tokens: u64,
    /// Attempts that were cancelled.
    pub cancelled: u64,
    /// Attempts that currently hold memory.
    pub held: u64,
    /// Exports that were evicted before their import.
    pub evicted: u64,
    /// Attempts started more than 3 s after the leaving mark.
    pub work_after_leaving: u64,
    /// Longest time from the leaving mark to new work, in ms.
    pub leaving_longest_ms: u64,
    /// Crashes, from faults and from requests.
    pub crashes: u64,
    /// Crashes caused by a request.
    pub request_crashes: u64,
}

/// Faults of an engine; each affects a configured share of the calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineFault {
    /// Prefill and decode take five times as long.
    Slow,
    /// A transfer makes no progress for 20 s.
    StallTransfer,
    /// A cancellation has no effect and is answered with an error after 5 s.
    LoseCancel,
    /// An answer or event carries the id and content of another attempt.
    Crossed,
    /// An answer is truncated.
    Truncated,
    /// An answer starts 1 to 3 s late.
    Late,
    /// Each event is sent twice.
    Repeated,
    /// Load reports are 2 s old.
    StaleLoad,
    /// Load reports arrive 300 ms late.
    LateLoad,
}

/// Number of variants of [`EngineFault`].
pub(super) const FAULT_COUNT: usize = 9;
