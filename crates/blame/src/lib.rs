//! Identification of requests that crash the runners on which they run.
//!
//! About twenty requests run on a runner at a time, so a crash alone does not show which of them
//! caused it. All of them become suspects. A suspect then runs on a runner without other suspects,
//! so that a second crash identifies the request, which is blocked for a while. The crate does no
//! I/O: it takes events and returns actions for its driver, which is the code that embeds it.
//!
//! ```
//! use bv_blame::{Action, Blame, Event};
//! use bv_types::{Fingerprint, Millis};
//!
//! let mut blame = Blame::default();
//! let runner = "draft-1".parse::<bv_types::BackendId>().unwrap();
//! let request = Fingerprint::digest([b"prompt".as_slice()]);
//! for crash in 0..3 {
//!     let now = Millis::from_secs(crash);
//!     blame.handle(now, Event::Started { runner: runner.clone(), request });
//!     blame.handle(now, Event::Crashed { runner: runner.clone() });
//! }
//! assert!(blame.is_blocked(Millis::from_secs(3), request));
//! ```

//!
//! [`CrashWatch`] does the same for prompt parts and whole requests where each host sees only its own
//! runs: hosts report suspects and survivals to each other.
//!
//! ```
//! use bv_blame::{Content, CrashId, CrashWatch};
//! use bv_types::Millis;
//!
//! let mut watch = CrashWatch::new(1);
//! let request = |own| Content::new(["shared", "crashing", own].into_iter(), [own.as_bytes()]);
//! for (n, own) in ["a", "b", "c"].into_iter().enumerate() {
//!     let now = Millis::from_secs(n as u64);
//!     let engine = CrashId::of_process(&"engine".parse().unwrap(), Some(now));
//!     let run = watch.begin(engine, request(own), None);
//!     assert!(watch.lose(now, run));
//!     watch.confirm(now, engine, true);
//! }
//! assert!(watch.block_of(Millis(2_500), &request("d")).is_some());
//! ```

mod content;
mod evidence;
mod exchange;
mod state;
mod verdict;
mod watch;

pub use content::{Content, CrashId};
pub use evidence::{MAX_SURVIVALS, MAX_SUSPECTS, SUSPECT_TIME as CRASH_MEMORY};
pub use exchange::{ExchangeStep, ExchangeView, StoreExchange};
pub use state::{Action, BLOCK_SCORE, BLOCK_TIME, Blame, Event, SUSPECT_TIME, Score};
pub use verdict::{Block, Crash, MAX_BLOCK_TIME, MAX_CRASHES, Suspicion};
pub use watch::{
    Admission, CrashReport, CrashWatch, EndedTrial, PERMIT_TIME, RENEW_INTERVAL, REPORT_TIME,
    Report, RunEnd, RunId, SURVIVAL_TIME, SurvivalReport, TrialId,
};
