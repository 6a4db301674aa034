//! Rate limits and fair shares of teams over all entry hosts.
//!
//! Each team has an owner host, which grants allowances within the limits of the team to the entry
//! hosts that request them. An entry host admits a request only against an allowance, so that the
//! limits apply to all hosts together. Neither side does I/O: the driver, which is the
//! code that embeds them, exchanges the messages.
//!
//! ```
//! use bv_limit::{Admission, HostAllowances, Limits, OwnedTeams};
//! use bv_types::{Incarnation, Millis, Tokens};
//!
//! let team = "gate".parse().unwrap();
//! let host = "host-a".parse().unwrap();
//! let limits = Limits { requests: Some(2.0.try_into().unwrap()), tokens: None };
//! let mut owner = OwnedTeams::default();
//! let mut allowances = HostAllowances::default();
//! let now = Millis::from_secs(1);
//! let Admission::NeedsAllowance(wanted) = allowances.admit(now, &team, limits, Tokens(100)) else {
//!     panic!("a host without an allowance must request one from the owner");
//! };
//! let allowance = owner.take(now, &team, limits, (&host, Incarnation(1)), wanted);
//! allowances.add_allowance(now, &team, allowance);
//! assert_eq!(allowances.admit(now, &team, limits, Tokens(100)), Admission::Admitted);
//! ```

mod allowances;
mod bucket;
mod lender;
mod owner;
mod quota_host;
mod quota_owner;

use bv_types::{Millis, RatePerSec, Tokens};

pub use allowances::{Admission, HostAllowances};
pub use bucket::Quota;
pub use owner::OwnedTeams;
pub use quota_host::{GRANT_TIME, HostQuotas, QuotaState, Ticket};
pub use quota_owner::{HostView, OwnedQuotas, QuotaAsk, QuotaGrant};

/// Time within which the requests of an allowance must start; requests left after it are void.
/// Tokens of an allowance stay granted until they are given back.
pub const ALLOWANCE_TIME: Millis = Millis(1_000);

/// Limits of one team over all entry hosts; `None` means unlimited.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Limits {
    /// Largest request rate.
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

/// Request of an entry host for an allowance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AllowanceRequest {
    /// Requests that wait or are expected in the next second.
    pub requests: u64,
    /// Tokens beyond those already granted.
    pub tokens: Tokens,
}

/// What the owner grants; a part that is not granted is 0.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Allowance {
    /// Requests that may start within [`ALLOWANCE_TIME`].
    pub requests: u64,
    /// Tokens that may be in progress until the entry host gives them back.
    pub tokens: Tokens,
}
