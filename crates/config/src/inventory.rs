//! The checked inventory and rules.

use std::fmt;
use std::net::SocketAddr;

use bv_types::{
    BackendId, Bytes, Millis, ModelId, ParseError, Pieces, PoolId, RatePerSec, RouteId, ServiceId,
    TeamId, Tokens, ZoneId,
};
use smol_str::SmolStr;

use crate::{ConfigError, check, raw};

/// A checked inventory; every list is sorted by id and every reference resolves.
#[derive(Debug, Clone, PartialEq)]
pub struct Inventory {
    /// Name of the deployment.
    pub name: SmolStr,
    /// One-way delay between availability zones, in milliseconds.
    pub zone_delay_ms: f64,
    /// Cost of using a backend server in another zone, as an added delay.
    pub zone_price: Millis,
    /// One-way delay to callers, in milliseconds.
    pub client_delay_ms: f64,
    /// Header in which the load balancer in front of the entry hosts passes the address of the
    /// calling device.
    pub device_header: Option<SmolStr>,
    /// Largest number of runners in a shard.
    pub shard_runners: usize,
    /// Availability zones.
    pub zones: Vec<Zone>,
    /// Pools of runners.
    pub pools: Vec<Pool>,
    /// Runners.
    pub runners: Vec<Runner>,
    /// Models.
    pub models: Vec<Model>,
    /// Plain services.
    pub services: Vec<Service>,
    /// Servers of plain services.
    pub servers: Vec<Server>,
    /// Routes of plain services.
    pub routes: Vec<Route>,
    /// Teams.
    pub teams: Vec<Team>,
    /// Devices.
    pub devices: Vec<Device>,
}

impl Inventory {
    /// Parses and checks a TOML document.
    ///
    /// # Errors
    /// Returns the first error with its position in the text.
    pub fn parse(text: &str) -> Result<Self, Box<ConfigError>> {
        let document: raw::Document =
            toml::from_str(text).map_err(|err| ConfigError::syntax(text, &err))?;
        check::inventory(text, document)
    }

    /// The zone with this id.
    pub fn zone(&self, id: &ZoneId) -> Option<&Zone> {
        find(&self.zones, |zone| zone.id.cmp(id))
    }

    /// The pool with this id.
    pub fn pool(&self, id: &PoolId) -> Option<&Pool> {
        find(&self.pools, |pool| pool.id.cmp(id))
    }

    /// The runner with this id.
    pub fn runner(&self, id: &BackendId) -> Option<&Runner> {
        find(&self.runners, |runner| runner.id.cmp(id))
    }

    /// The model with this name, which may be any text from a caller.
    pub fn model(&self, name: &str) -> Option<&Model> {
        find(&self.models, |model| model.id.as_str().cmp(name))
    }

    /// The team with this id.
    pub fn team(&self, id: &TeamId) -> Option<&Team> {
        find(&self.teams, |team| team.id.cmp(id))
    }

    /// The device with this id or address, which may be any text from a caller.
    pub fn device(&self, id: &str) -> Option<&Device> {
        find(&self.devices, |device| device.id.as_str().cmp(id))
    }

    /// The route for a method and path; the longest matching path wins, then a named method.
    pub fn route(&self, method: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| route.method.as_ref().is_none_or(|m| m == method))
            .filter(|route| path.starts_with(route.path.as_str()))
            .max_by_key(|route| (route.path.len(), route.method.is_some()))
    }

    /// Servers of one service.
    pub fn servers_of(&self, service: &ServiceId) -> impl Iterator<Item = &Server> {
        self.servers.iter().filter(move |s| s.service == *service)
    }

    /// Runners of one pool.
    pub fn runners_of(&self, pool: &PoolId) -> impl Iterator<Item = &Runner> {
        self.runners.iter().filter(move |r| r.pool == *pool)
    }
}

fn find<T>(sorted: &[T], order: impl Fn(&T) -> std::cmp::Ordering) -> Option<&T> {
    sorted.binary_search_by(order).ok().map(|i| &sorted[i])
}

/// An availability zone.
#[derive(Debug, Clone, PartialEq)]
pub struct Zone {
    /// Id.
    pub id: ZoneId,
    /// Region that contains the zone.
    pub region: SmolStr,
}

/// Runners with the same engine and the same models.
#[derive(Debug, Clone, PartialEq)]
pub struct Pool {
    /// Id.
    pub id: PoolId,
    /// Largest number of requests in one decode batch.
    pub slots: u32,
    /// KV cache capacity of one runner, in pieces of [`PIECE_TOKENS`](bv_types::PIECE_TOKENS)
    /// tokens.
    pub pieces: Pieces,
    /// Prefill speed of one runner, in tokens per second.
    pub prefill: RatePerSec,
    /// Time between tokens with one request in the batch, in milliseconds.
    pub token_gap_ms: f64,
    /// Added time between tokens for each further request in the batch, in milliseconds.
    pub token_gap_slope_ms: f64,
    /// Speed of one runner's transfer link, in bytes per second.
    pub link: RatePerSec,
    /// Size of the KV cache of one token.
    pub kv_per_token: Bytes,
    /// Time after which an exported prefill result is evicted.
    pub eviction: Millis,
    /// Whether the engines reject orders with an outdated fencing token.
    pub checks_fence: bool,
}

/// Role of a runner's engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum EngineRole {
    /// Computes KV cache from prompts.
    Prefill,
    /// Generates tokens from imported KV cache.
    Decode,
}

/// A backend server that runs a model engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Runner {
    /// Id.
    pub id: BackendId,
    /// Pool it belongs to.
    pub pool: PoolId,
    /// Role at start; orders may change it.
    pub role: EngineRole,
    /// Availability zone.
    pub zone: ZoneId,
    /// Address of its HTTP interface.
    pub addr: SocketAddr,
}

/// How soon work must be answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Must be answered now.
    Urgent,
    /// May wait, but must arrive completely.
    Waiting,
}

/// A model and the targets of its calls.
#[derive(Debug, Clone, PartialEq)]
pub struct Model {
    /// Id, which callers use as the model name.
    pub id: ModelId,
    /// Pool that serves it.
    pub pool: PoolId,
    /// Class of its calls.
    pub class: Class,
    /// Target for the first token.
    pub first_token: Millis,
    /// Target for the time between tokens.
    pub token_gap: Millis,
    /// Time limit for the complete answer.
    pub deadline: Millis,
    /// Output tokens assumed when the caller sets no limit.
    pub max_output: Tokens,
}

/// A plain service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Id.
    pub id: ServiceId,
}

/// A server of a plain service.
#[derive(Debug, Clone, PartialEq)]
pub struct Server {
    /// Id.
    pub id: BackendId,
    /// Service it runs.
    pub service: ServiceId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Address of its HTTP interface.
    pub addr: SocketAddr,
}

/// What identifies a call when it is sent again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Identity {
    /// The value of a header.
    Header(SmolStr),
    /// A field of the JSON body, as a dotted path.
    Json(SmolStr),
    /// Device, method, path and body.
    Digest,
}

impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Identity::Header(name) => write!(f, "header:{name}"),
            Identity::Json(path) => write!(f, "json:{path}"),
            Identity::Digest => f.write_str("digest"),
        }
    }
}

impl std::str::FromStr for Identity {
    type Err = ParseError;
    fn from_str(text: &str) -> Result<Self, ParseError> {
        match text.split_once(':') {
            None if text == "digest" => Ok(Identity::Digest),
            Some(("header", name)) if !name.is_empty() => Ok(Identity::Header(name.into())),
            Some(("json", path)) if !path.is_empty() => Ok(Identity::Json(path.into())),
            _ => Err(ParseError {
                kind: "identity",
                value: text.to_owned(),
                expected: "\"digest\", \"header:NAME\" or \"json:FIELD\"",
            }),
        }
    }
}

/// A rule for calls of a plain service.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Id.
    pub id: RouteId,
    /// Service that runs the calls.
    pub service: ServiceId,
    /// Method, or any.
    pub method: Option<SmolStr>,
    /// Prefix of the path.
    pub path: SmolStr,
    /// Class of the calls.
    pub class: Class,
    /// Whether a call may run more than once.
    pub idempotent: bool,
    /// How a resent call is identified.
    pub identity: Identity,
    /// How long a resent call is recognised.
    pub resend_window: Millis,
    /// Time limit for the answer.
    pub deadline: Millis,
}

/// A team of callers and its limits over all entry hosts.
#[derive(Debug, Clone, PartialEq)]
pub struct Team {
    /// Id.
    pub id: TeamId,
    /// Largest number of requests per second.
    pub requests: Option<RatePerSec>,
    /// Largest number of tokens in progress.
    pub tokens: Option<Tokens>,
}

/// A device from the asset register.
#[derive(Debug, Clone, PartialEq)]
pub struct Device {
    /// Id or address, as passed by the load balancer in front of the entry hosts.
    pub id: SmolStr,
    /// Team it belongs to.
    pub team: TeamId,
}
