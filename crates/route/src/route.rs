//! Routes, services and the limits of callers' connections.

use bv_types::{Bytes, Millis, ServiceId, Tokens};
use smol_str::SmolStr;

/// What may be repeated on a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Requests that may run more than once.
    Idempotent,
    /// Requests that run at most once for each client attempt.
    AtMostOnce,
    /// Requests that are answered by a stream of events.
    Stream {
        /// Whether a stream may go on at another backend server, after the last event.
        resumable: bool,
    },
}

impl Kind {
    /// Whether a request may be sent again after a send with an unknown outcome.
    pub fn may_repeat(self) -> bool {
        matches!(self, Kind::Idempotent | Kind::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Stream { .. })
    }
}

/// A service that a route may send to, with its share of the requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: ServiceId,
    /// Share of the requests, relative to the other targets of the route.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name of the route, for logs.
    pub name: SmolStr,
    /// Host of the requests, without port, in lower case.
    pub host: SmolStr,
    /// Start of the paths; begins and ends with a slash.
    pub path_prefix: SmolStr,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time for the whole answer.
    pub timeout: Millis,
    /// Latency objective of the answer, or of the first event of a stream.
    pub objective: Millis,
    /// Most backend servers that may run one client attempt.
    pub max_attempts: u32,
    /// Rank of the requests; 0 is the most urgent.
    pub priority: u8,
    /// Services of the route.
    pub targets: Vec<Target>,
    /// Longest pause between two events of a stream that is on time.
    pub event_gap: Option<Millis>,
    /// Whether the requests carry a prompt for a model.
    pub uses_model: bool,
}

impl Route {
    /// The service for a request, chosen by weight; `draw` is a random number.
    pub fn target(&self, draw: u64) -> Option<&ServiceId> {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        let mut at = draw.checked_rem(total)?;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if at < weight {
                return Some(&target.service);
            }
            at -= weight;
        }
        None
    }
}

/// Facts about the model engines of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineFacts {
    /// Tokens of KV cache that one engine holds.
    pub kv_capacity: Tokens,
    /// Tokens in one event of a stream.
    pub event_tokens: u64,
    /// Bytes of KV cache for one token.
    pub kv_token_bytes: Bytes,
    /// Rate of an engine's transfer link, in megabits per second.
    pub link_mbps: f64,
    /// Time that an engine takes to change its role.
    pub role_change: Millis,
    /// Time for which an engine keeps a prefill result that nobody takes.
    pub handle_ttl: Millis,
    /// Longest time for which an engine reserves room before a request; none if it does not.
    pub max_reservation: Option<Millis>,
}

/// One service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// The service.
    pub id: ServiceId,
    /// Connections that one backend server accepts from all hosts together.
    pub max_connections: u32,
    /// Present if the backend servers are model engines.
    pub engine: Option<EngineFacts>,
}

/// Limits of callers' connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a request.
    pub max_head: Bytes,
    /// Largest body of a request.
    pub max_body: Bytes,
    /// Longest time for the head of a request.
    pub head_timeout: Millis,
    /// Longest time that a connection may be idle.
    pub idle_timeout: Millis,
}

impl Default for Limits {
    /// In force until a configuration is known.
    fn default() -> Self {
        Limits {
            max_head: Bytes(16 << 10),
            max_body: Bytes(4 << 20),
            head_timeout: Millis(3_000),
            idle_timeout: Millis(15_000),
        }
    }
}
