//! Routes, services and the limits of callers' connections.

use bv_types::{Bytes, Millis, ServiceId, Tokens};
use smol_str::SmolStr;

/// Which requests of a route may run more than once, and whether the answer is a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Requests that may run more than once.
    Idempotent,
    /// Requests that run at most once for each client attempt.
    AtMostOnce,
    /// Requests that are answered by a stream of events.
    Stream {
        /// Whether a broken stream may be resumed at another backend server, after its last event.
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
    /// Host name in the requests, without port, in lower case.
    pub host: SmolStr,
    /// Prefix of the paths; begins and ends with a slash.
    pub path_prefix: SmolStr,
    /// Which requests may run more than once.
    pub kind: Kind,
    /// Time limit for the whole answer.
    pub timeout: Millis,
    /// Latency objective of the answer, or of the first event of a stream.
    pub objective: Millis,
    /// Largest number of backend servers that may run one client attempt.
    pub max_attempts: u32,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u8,
    /// Services that the requests are split over.
    pub targets: Vec<Target>,
    /// Longest pause between two events with which a stream still counts as on time.
    pub event_gap: Option<Millis>,
    /// Whether the requests carry a prompt for a model.
    pub uses_model: bool,
    /// Whether callers need no key, where the configuration has teams.
    pub is_public: bool,
}

impl Route {
    /// Chooses the service for a request by weight; `draw` is a random number.
    pub fn pick_service(&self, draw: u64) -> Option<&ServiceId> {
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

/// Properties of the model engines of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineFacts {
    /// Capacity of one engine's KV cache, in tokens.
    pub kv_capacity: Tokens,
    /// Tokens in one event of a stream.
    pub event_tokens: u64,
    /// Bytes of KV cache for one token.
    pub kv_token_bytes: Bytes,
    /// Rate of an engine's transfer link, in megabits per second.
    pub link_mbps: f64,
    /// Time that an engine takes to change its role.
    pub role_change: Millis,
    /// Time for which an engine keeps a prefill result that is not fetched.
    pub handle_ttl: Millis,
    /// Longest time for which an engine reserves capacity ahead of a request; none if it does not
    /// support reservations.
    pub max_reservation: Option<Millis>,
}

/// A service and its backend servers.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Id of the service.
    pub id: ServiceId,
    /// Connections that one backend server accepts from all hosts together.
    pub max_connections: u32,
    /// Present if the backend servers are model engines.
    pub engine: Option<EngineFacts>,
}

/// Limits of callers' connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest size of a request's head.
    pub max_head: Bytes,
    /// Largest size of a request's body.
    pub max_body: Bytes,
    /// Time limit for receiving a request's head.
    pub head_timeout: Millis,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Millis,
}

impl Default for Limits {
    /// Limits before the first configuration is received.
    fn default() -> Self {
        Limits {
            max_head: Bytes(16 << 10),
            max_body: Bytes(4 << 20),
            head_timeout: Millis(3_000),
            idle_timeout: Millis(15_000),
        }
    }
}
