//! Registration of a backend server.

use std::net::SocketAddr;

use bv_types::{BackendId, Millis, ServiceId, ZoneId};

/// Whether a backend server accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    /// It accepts work.
    Ready,
    /// It is about to leave and accepts no new work.
    Leaving,
}

/// Part of a model call that an engine runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// It prefills prompts.
    Prefill,
    /// It produces tokens.
    Decode,
}

/// Registration of one backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Registration {
    /// Id of the backend server.
    pub id: BackendId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Number of requests that it can run at once.
    pub slots: u32,
    /// Whether it accepts new work.
    pub state: ServerState,
    /// Stage that a model engine runs; none on other servers.
    pub stage: Option<Stage>,
    /// Start time of its process; it differs after a restart under the same id.
    pub started_at: Option<Millis>,
    /// Sequence number of the report; grows with each report of one process.
    pub sequence: u64,
}
