//! What a backend server says of itself.

use std::net::SocketAddr;

use bv_types::{BackendId, Millis, ServiceId, ZoneId};

/// Whether a backend server takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It takes work.
    Ready,
    /// It is about to leave and takes no new work.
    Leaving,
}

/// Part of a model call that an engine runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// It reads prompts.
    Prefill,
    /// It produces tokens.
    Decode,
}

/// One backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The backend server.
    pub id: BackendId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: State,
    /// Present on model engines.
    pub stage: Option<Stage>,
    /// Start of its process; a restart under the same id has another value.
    pub started_at: Option<Millis>,
    /// Number of the report; grows with each report of one process.
    pub sequence: u64,
}
