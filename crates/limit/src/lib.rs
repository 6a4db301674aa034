//! Rate limits and fair shares of teams over all entry hosts.
//!
//! The home of a team owns its limits and hands out allowances to the entry hosts that ask. An
//! entry host admits a request only against an allowance, so that the limits hold over all hosts
//! together. Neither side does I/O.
//!
//! ```
//! use bv_limit::{Admission, HostShare, Limits, TeamHome};
//! use bv_types::{Incarnation, Millis, Tokens};
//!
//! let team = "gate".parse().unwrap();
//! let host = "host-a".parse().unwrap();
//! let limits = Limits { requests: Some(2.0.try_into().unwrap()), tokens: None };
//! let mut home = TeamHome::default();
//! let mut share = HostShare::default();
//! let now = Millis::from_secs(1);
//! let Admission::Ask(wanted) = share.admit(now, &team, limits, Tokens(100)) else {
//!     panic!("a host without an allowance asks the home");
//! };
//! let allowance = home.take(now, &team, limits, (&host, Incarnation(1)), wanted);
//! share.granted(now, &team, allowance);
//! assert_eq!(share.admit(now, &team, limits, Tokens(100)), Admission::Admitted);
//! ```

mod home;
mod share;

use bv_types::{Millis, RatePerSec, Tokens};

pub use home::TeamHome;
pub use share::{Admission, HostShare};

/// Time for which an allowance is valid.
pub const ALLOWANCE_TIME: Millis = Millis(1_000);

/// Limits of one team over all entry hosts; `None` means unlimited.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Limits {
    /// Largest rate of requests.
    pub requests: Option<RatePerSec>,
    /// Largest number of tokens in progress.
    pub tokens: Option<Tokens>,
}

impl Limits {
    /// Whether nothing is limited.
    pub fn is_unlimited(&self) -> bool {
        self.requests.is_none() && self.tokens.is_none()
    }
}

/// What an entry host asks for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Wanted {
    /// Requests that wait or are expected in the next second.
    pub requests: u64,
    /// Tokens beyond those already granted.
    pub tokens: Tokens,
}

/// What the home grants; parts that were not granted are 0.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Allowance {
    /// Requests that may start within [`ALLOWANCE_TIME`].
    pub requests: u64,
    /// Tokens that may be in progress until they are given back.
    pub tokens: Tokens,
}
