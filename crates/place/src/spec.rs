//! What a shard consists of and what a request needs.

use bv_types::{AttemptId, BackendId, Bytes, Millis, Pieces, RatePerSec, Tokens, ZoneId};
use smol_str::SmolStr;

/// What a runner does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Computes KV cache from prompts.
    Prefill,
    /// Generates tokens from imported KV cache.
    Decode,
}

/// How soon a request must be answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Must be answered now.
    Urgent,
    /// May wait, but must arrive whole.
    Waiting,
}

/// Speeds and sizes of the runners of one pool.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolSpec {
    /// Requests in one decode batch.
    pub slots: u32,
    /// Memory of one runner.
    pub pieces: Pieces,
    /// Prefill speed of one runner, in tokens.
    pub prefill: RatePerSec,
    /// Time between tokens with one request in the batch, in milliseconds.
    pub token_gap_ms: f64,
    /// Added time between tokens for each further request in the batch, in milliseconds.
    pub token_gap_slope_ms: f64,
    /// Speed of one decode runner's transfer link, in bytes.
    pub link: RatePerSec,
    /// KV cache of one token.
    pub kv_per_token: Bytes,
    /// Time after which an exported prefill result is evicted.
    pub eviction: Millis,
}

/// One runner of a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunnerSpec {
    /// Id.
    pub id: BackendId,
    /// What it does.
    pub role: Role,
    /// Availability zone.
    pub zone: ZoneId,
}

/// The runners of a shard and the facts used for predictions.
#[derive(Debug, Clone, PartialEq)]
pub struct ShardSpec {
    /// Speeds and sizes of each runner.
    pub pool: PoolSpec,
    /// Runners of both roles.
    pub runners: Vec<RunnerSpec>,
    /// One-way delay between availability zones, in milliseconds.
    pub zone_delay_ms: f64,
    /// Price of crossing zones.
    pub zone_price: Millis,
    /// Batch slots of each decode runner that waiting work may not use.
    pub headroom_slots: u32,
}

impl ShardSpec {
    /// Slots of a decode runner that waiting work may use.
    pub(crate) fn waiting_limit(&self) -> u32 {
        self.pool.slots.saturating_sub(self.headroom_slots)
    }
}

/// A request for a pair of runners; times are points on the home's clock.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The attempt.
    pub attempt: AttemptId,
    /// Team, or the address of a caller without one.
    pub team: SmolStr,
    /// Class.
    pub class: Class,
    /// Estimated length of the prompt.
    pub prompt: Tokens,
    /// Largest output.
    pub max_output: Tokens,
    /// Hash of the start of the prompt.
    pub prefix: u64,
    /// Zone of the entry host.
    pub zone: ZoneId,
    /// Time by which the first token must be at the entry host.
    pub first_token_by: Millis,
    /// Target between tokens.
    pub token_gap: Millis,
    /// Time by which the whole answer must be at the entry host.
    pub deadline: Millis,
    /// Runners on which earlier attempts failed; used only if there are no others.
    pub avoid: Vec<BackendId>,
    /// Whether it was in flight when an engine crashed; such requests do not share a runner, so
    /// that a further crash points to one of them.
    pub suspect: bool,
}

impl Request {
    /// Decode memory for prompt and output.
    pub fn pieces(&self) -> Pieces {
        self.tokens().pieces()
    }

    /// Tokens of prompt and output.
    pub fn tokens(&self) -> Tokens {
        Tokens(self.prompt.0.saturating_add(self.max_output.0))
    }
}
