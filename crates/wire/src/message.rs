//! Frames of calls between entry hosts.

/// One call or its answer; an answer carries the id of its call.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Frame {
    /// Id of the call, chosen by the host that opened the connection.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Content.
    #[prost(
        oneof = "frame::Body",
        tags = "2, 3, 4, 5, 16, 17, 18, 19, 20, 21, 22, 23, 32, 33, 34"
    )]
    pub body: Option<frame::Body>,
}

/// Contents of a [`Frame`].
pub mod frame {
    /// The content of a frame.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Body {
        /// First frame of a connection.
        #[prost(message, tag = "2")]
        Hello(super::Hello),
        /// Asks for the configuration in force.
        #[prost(message, tag = "3")]
        GetConfig(super::GetConfig),
        /// The configuration in force.
        #[prost(message, tag = "4")]
        Config(super::Config),
        /// The receiver does not support the content of the call.
        #[prost(message, tag = "5")]
        Unsupported(super::Unsupported),
        /// Asks the owner of a shard for a pair of runners.
        #[prost(message, tag = "16")]
        Reserve(super::Reserve),
        /// A pair of runners.
        #[prost(message, tag = "17")]
        Grant(super::Grant),
        /// The request is refused.
        #[prost(message, tag = "18")]
        Deny(super::Deny),
        /// The request is still queued.
        #[prost(message, tag = "19")]
        Queued(super::Queued),
        /// The prefill of an attempt has ended.
        #[prost(message, tag = "20")]
        PrefillDone(super::PrefillDone),
        /// An attempt has ended.
        #[prost(message, tag = "21")]
        Release(super::Release),
        /// Registers a grant that the receiver did not make.
        #[prost(message, tag = "22")]
        Adopt(super::Adopt),
        /// Answer without content.
        #[prost(message, tag = "23")]
        Done(super::Done),
        /// Asks the owner of a team for an allowance.
        #[prost(message, tag = "32")]
        TakeAllowance(super::TakeAllowance),
        /// Allowance that the owner of a team grants.
        #[prost(message, tag = "33")]
        Allowance(super::Allowance),
        /// Returns tokens to the owner of a team; answered with an empty allowance.
        #[prost(message, tag = "34")]
        GiveBack(super::GiveBack),
    }
}

/// Identifies the host that opened the connection.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    /// Entry host id.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Incarnation of its process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Cluster key, shared by all entry hosts of a deployment.
    #[prost(string, tag = "3")]
    pub cluster_key: String,
}

/// Asks for the configuration in force.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct GetConfig {}

/// A configuration; version 0 means none.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Config {
    /// Version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Id of the change that created it.
    #[prost(string, tag = "2")]
    pub change: String,
    /// The document as text.
    #[prost(string, tag = "3")]
    pub document: String,
    /// Milliseconds since the table service confirmed the sender's document; none if it never did.
    #[prost(uint64, optional, tag = "4")]
    pub age_ms: Option<u64>,
    /// Earlier changes, the latest first.
    #[prost(message, repeated, tag = "5")]
    pub earlier: Vec<ConfigChange>,
}

/// A change that created a version of the configuration.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigChange {
    /// Version that the change created.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Id of the change.
    #[prost(string, tag = "2")]
    pub change: String,
}

/// The receiver does not support the content of a call.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Unsupported {}

/// Asks the owner of a shard for a pair of runners. A repeated call gets the same answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Reserve {
    /// Shard.
    #[prost(string, tag = "1")]
    pub shard: String,
    /// Attempt id.
    #[prost(string, tag = "2")]
    pub attempt: String,
    /// Team, or the address of a caller that belongs to no team.
    #[prost(string, tag = "3")]
    pub team: String,
    /// Whether the request may be queued.
    #[prost(bool, tag = "4")]
    pub may_wait: bool,
    /// Estimated tokens of the prompt.
    #[prost(uint64, tag = "5")]
    pub prompt_tokens: u64,
    /// Largest output in tokens.
    #[prost(uint64, tag = "6")]
    pub output_tokens: u64,
    /// Hash of the prefix of the prompt.
    #[prost(fixed64, tag = "7")]
    pub prefix: u64,
    /// Availability zone of the entry host.
    #[prost(string, tag = "8")]
    pub zone: String,
    /// Time left until the first token is due, in ms.
    #[prost(uint64, tag = "9")]
    pub first_token_ms: u64,
    /// Target time between tokens in ms.
    #[prost(uint64, tag = "10")]
    pub token_gap_ms: u64,
    /// Time left until the whole answer is due, in ms.
    #[prost(uint64, tag = "11")]
    pub deadline_ms: u64,
    /// Time in ms for which the owner may keep the call open before it answers `Queued`.
    #[prost(uint64, tag = "12")]
    pub wait_ms: u64,
    /// Runners on which earlier attempts of the request failed.
    #[prost(string, repeated, tag = "13")]
    pub avoid: Vec<String>,
    /// Digest of model and body, 16 bytes.
    #[prost(bytes = "vec", tag = "14")]
    pub fingerprint: Vec<u8>,
}

/// A pair of runners for an attempt.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Grant {
    /// Prefill runner.
    #[prost(string, tag = "1")]
    pub prefill: String,
    /// Decode runner.
    #[prost(string, tag = "2")]
    pub decode: String,
    /// Predicted time to the end of prefill in ms.
    #[prost(uint64, tag = "3")]
    pub prefill_ms: u64,
    /// Predicted time to the first token in ms.
    #[prost(uint64, tag = "4")]
    pub first_token_ms: u64,
    /// Load of the shard in percent of its decode slots.
    #[prost(uint32, tag = "5")]
    pub load_percent: u32,
    /// Whether decode may start after prefill without an answer to `PrefillDone`.
    #[prost(bool, tag = "6")]
    pub slot_ready: bool,
}

/// A request is refused.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Deny {
    /// Code of the reason.
    #[prost(string, tag = "1")]
    pub reason: String,
    /// Load of the shard in percent of its decode slots.
    #[prost(uint32, tag = "2")]
    pub load_percent: u32,
}

/// A request is still queued.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Queued {}

/// The prefill of an attempt has ended; answered by `Done` when decode may start.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PrefillDone {
    /// Shard.
    #[prost(string, tag = "1")]
    pub shard: String,
    /// Attempt id.
    #[prost(string, tag = "2")]
    pub attempt: String,
    /// Time in ms for which the owner may keep the call open before it answers `Queued`.
    #[prost(uint64, tag = "3")]
    pub wait_ms: u64,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum AttemptEnd {
    /// It was withdrawn, was cancelled or failed.
    Stopped = 0,
    /// Its whole answer arrived.
    Completed = 1,
    /// It failed at its runner, which may have crashed.
    Failed = 2,
}

/// An attempt has ended or is withdrawn.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Release {
    /// Shard.
    #[prost(string, tag = "1")]
    pub shard: String,
    /// Attempt id.
    #[prost(string, tag = "2")]
    pub attempt: String,
    /// How it ended.
    #[prost(enumeration = "AttemptEnd", tag = "3")]
    pub end: i32,
}

/// Registers a grant with a host that did not make it, so that the host counts the grant and
/// cancels the work if the sender fails. Sent by the entry host that holds the grant: to the owner
/// of the shard, for a grant made by an earlier owner or without one, or to the second-ranked
/// candidate, as a copy, if the sender itself is the owner.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Adopt {
    /// The request that was granted.
    #[prost(message, optional, tag = "1")]
    pub request: Option<Reserve>,
    /// Prefill runner.
    #[prost(string, tag = "2")]
    pub prefill: String,
    /// Decode runner.
    #[prost(string, tag = "3")]
    pub decode: String,
    /// Whether decode has started.
    #[prost(bool, tag = "4")]
    pub decoding: bool,
}

/// Answer without content.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Done {}

/// Asks the owner of a team for an allowance.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TakeAllowance {
    /// Team id.
    #[prost(string, tag = "1")]
    pub team: String,
    /// Number of requests waiting for an allowance.
    #[prost(uint64, tag = "2")]
    pub requests: u64,
    /// Tokens needed beyond those already granted.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
}

/// Allowance that the owner of a team grants.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Allowance {
    /// Requests that may start within a second.
    #[prost(uint64, tag = "1")]
    pub requests: u64,
    /// Tokens that may be in progress until they are returned.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
}

/// Returns tokens to the owner of a team.
#[derive(Clone, PartialEq, prost::Message)]
pub struct GiveBack {
    /// Team id.
    #[prost(string, tag = "1")]
    pub team: String,
    /// Tokens that are no longer used.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
}
