//! Specifications of shards, pools and runners, and requests for placement.

use bv_types::{AttemptId, BackendId, Bytes, Millis, Pieces, RatePerSec, Tokens, ZoneId};
use smol_str::SmolStr;

/// Role of a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Computes KV cache from prompts.
    Prefill,
    /// Generates tokens from imported KV cache.
    Decode,
}

/// Urgency of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Must be answered immediately; goes before waiting work.
    Urgent,
    /// May wait in the queue, but must be answered completely.
    Waiting,
}

/// Speeds and sizes of the runners of one pool.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolSpec {
    /// Largest decode batch of one runner, in requests.
    pub slots: u32,
    /// Memory of one runner, in pieces.
    pub pieces: Pieces,
    /// Prefill speed of one runner, in tokens per second.
    pub prefill: RatePerSec,
    /// Time between tokens with one request in the batch, in milliseconds.
    pub token_gap_ms: f64,
    /// Added time between tokens for each further request in the batch, in milliseconds.
    pub token_gap_slope_ms: f64,
    /// Bandwidth of one decode runner's transfer link, in bytes per second.
    pub link: RatePerSec,
    /// Size of the KV cache of one token.
    pub kv_per_token: Bytes,
    /// Time after which an exported prefill result is evicted.
    pub eviction: Millis,
}

/// One runner of a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunnerSpec {
    /// Id of the runner.
    pub id: BackendId,
    /// Role of the runner.
    pub role: Role,
    /// Availability zone.
    pub zone: ZoneId,
}

/// The runners of a shard and the values used for predictions.
#[derive(Debug, Clone, PartialEq)]
pub struct ShardSpec {
    /// Speeds and sizes of each runner.
    pub pool: PoolSpec,
    /// Runners of both roles.
    pub runners: Vec<RunnerSpec>,
    /// One-way delay between availability zones, in milliseconds.
    pub zone_delay_ms: f64,
    /// Cost added for each zone crossing when runners are compared.
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

/// A request for a pair of runners; points in time are on the clock of the shard owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The attempt.
    pub attempt: AttemptId,
    /// Team, or the address of a caller without a team.
    pub team: SmolStr,
    /// Class.
    pub class: Class,
    /// Estimated length of the prompt.
    pub prompt: Tokens,
    /// Largest length of the output.
    pub max_output: Tokens,
    /// Hash of the start of the prompt.
    pub prefix: u64,
    /// Zone of the entry host.
    pub zone: ZoneId,
    /// Time by which the first token must be at the entry host.
    pub first_token_by: Millis,
    /// Target for the time between tokens.
    pub token_gap: Millis,
    /// Time by which the complete answer must be at the entry host.
    pub deadline: Millis,
    /// Runners on which earlier attempts failed; they are used only if there are no others.
    pub avoid: Vec<BackendId>,
    /// Whether the request was in flight when an engine crashed. Such requests do not share a
    /// runner, so that another crash identifies the request that causes it.
    pub suspect: bool,
}

impl Request {
    /// Decode memory for prompt and output, in pieces.
    pub fn pieces(&self) -> Pieces {
        self.tokens().pieces()
    }

    /// Tokens of prompt and output.
    pub fn tokens(&self) -> Tokens {
        Tokens(self.prompt.0.saturating_add(self.max_output.0))
    }
}
