//! Placement of model calls on one shard of runners, without I/O.
//!
//! A [`Shard`] is a state machine: it takes events with their arrival times and returns actions.
//! Its driver, which is the code that embeds it, polls the runners for load reports, sends and
//! receives messages, and cancels attempts at engines.
//!
//! ```
//! use bv_place::{Action, Class, Event, Policy, PoolSpec, Report, Request, Role, RunnerSpec};
//! use bv_place::{Shard, ShardSpec};
//! use bv_types::{Bytes, Incarnation, Millis, Pieces, RatePerSec, Tokens};
//!
//! let rate = |value: f64| RatePerSec::try_from(value).unwrap();
//! let runner = |id: &str, role| RunnerSpec {
//!     id: id.parse().unwrap(),
//!     role,
//!     zone: "zone-a".parse().unwrap(),
//! };
//! let spec = ShardSpec {
//!     pool: PoolSpec {
//!         slots: 20,
//!         pieces: Pieces(60),
//!         prefill: rate(12_000.0),
//!         token_gap_ms: 20.0,
//!         token_gap_slope_ms: 1.5,
//!         link: rate(2.5e9),
//!         kv_per_token: Bytes(50_000),
//!         eviction: Millis(800),
//!     },
//!     runners: vec![runner("p-1", Role::Prefill), runner("d-1", Role::Decode)],
//!     zone_delay_ms: 4.5,
//!     zone_price: Millis(5),
//!     headroom_slots: 4,
//! };
//! let now = Millis::from_secs(1);
//! let mut shard = Shard::new(spec, Policy::Planned);
//! for id in ["p-1", "d-1"] {
//!     let report = Report {
//!         at: now,
//!         incarnation: Incarnation(1),
//!         running: 0,
//!         waiting: 0,
//!         free_pieces: Pieces(60),
//!         leaving: false,
//!     };
//!     shard.handle(now, Event::Report { runner: id.parse().unwrap(), report });
//! }
//! let request = Request {
//!     attempt: "host-a.17.4.0".parse().unwrap(),
//!     team: "team-a".into(),
//!     class: Class::Urgent,
//!     prompt: Tokens(1_200),
//!     max_output: Tokens(64),
//!     prefix: 7,
//!     zone: "zone-a".parse().unwrap(),
//!     first_token_by: now + Millis(1_100),
//!     token_gap: Millis(71),
//!     deadline: now + Millis::from_secs(5),
//!     avoid: Vec::new(),
//!     suspect: false,
//! };
//! let actions = shard.handle(now, Event::Reserve(request));
//! let [Action::Grant(grant)] = &actions[..] else { panic!("{actions:?}") };
//! assert_eq!(grant.decode.as_str(), "d-1");
//! ```

mod admission;
mod affinity;
mod baseline;
mod event;
mod lifecycle;
mod planned;
mod policy;
mod predict;
mod queue;
mod reservation;
mod runner;
mod shard;
mod spec;
mod split;

pub use affinity::{prefix_key, score};
pub use event::{Action, Adoption, Event, Grant, Report};
pub use policy::Policy;
pub use shard::{RunnerLoad, Shard};
pub use spec::{Class, PoolSpec, Request, Role, RunnerSpec, ShardSpec};
pub use split::split;
