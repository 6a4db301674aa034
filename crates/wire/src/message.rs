//! Frames of the calls between entry hosts.

/// One call or its answer; an answer carries the id of its call.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Frame {
    /// Id of the call, chosen by the caller of the connection.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Content.
    #[prost(oneof = "frame::Body", tags = "2, 3, 4, 5, 20, 21, 22")]
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
        /// The receiver does not know the content of the call.
        #[prost(message, tag = "5")]
        Unsupported(super::Unsupported),
        /// Asks the home of a team for an allowance.
        #[prost(message, tag = "20")]
        TakeAllowance(super::TakeAllowance),
        /// What the home of a team grants.
        #[prost(message, tag = "21")]
        Allowance(super::Allowance),
        /// Gives tokens back to the home of a team; answered with an empty allowance.
        #[prost(message, tag = "22")]
        GiveBack(super::GiveBack),
    }
}

/// Names the sender of a connection.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    /// Entry host id.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Incarnation of its process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Key shared by the entry hosts of a deployment.
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
    /// Id of the change that made it.
    #[prost(string, tag = "2")]
    pub change: String,
    /// The document.
    #[prost(string, tag = "3")]
    pub document: String,
    /// Milliseconds since the sender's document was confirmed by the store; none if never.
    #[prost(uint64, optional, tag = "4")]
    pub age_ms: Option<u64>,
    /// Earlier changes, the latest first.
    #[prost(message, repeated, tag = "5")]
    pub earlier: Vec<ConfigChange>,
}

/// A change that made a version of the configuration.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigChange {
    /// Version that the change made.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Id of the change.
    #[prost(string, tag = "2")]
    pub change: String,
}

/// The content of a call is not known.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Unsupported {}

/// Asks the home of a team for an allowance.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TakeAllowance {
    /// Team id.
    #[prost(string, tag = "1")]
    pub team: String,
    /// Requests that wait.
    #[prost(uint64, tag = "2")]
    pub requests: u64,
    /// Tokens beyond those already granted.
    #[prost(uint64, tag = "3")]
    pub tokens: u64,
}

/// What the home of a team grants.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Allowance {
    /// Requests that may start within a second.
    #[prost(uint64, tag = "1")]
    pub requests: u64,
    /// Tokens that may be in progress until they are given back.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
}

/// Gives tokens back to the home of a team.
#[derive(Clone, PartialEq, prost::Message)]
pub struct GiveBack {
    /// Team id.
    #[prost(string, tag = "1")]
    pub team: String,
    /// Tokens that are no longer used.
    #[prost(uint64, tag = "2")]
    pub tokens: u64,
}
