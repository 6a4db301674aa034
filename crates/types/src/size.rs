//! Sizes, rates, versions and fencing tokens.

use std::fmt;
use std::iter::Sum;
use std::ops::Add;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ParseError;

/// Tokens in one piece of engine memory.
pub const PIECE_TOKENS: u64 = 2_000;

macro_rules! number {
    ($($(#[$doc:meta])* $name:ident($inner:ty) = $kind:literal;)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseError;
            fn from_str(text: &str) -> Result<Self, ParseError> {
                text.parse().map(Self).map_err(|_| ParseError {
                    kind: $kind,
                    value: text.to_owned(),
                    expected: "a whole number",
                })
            }
        }
    )*};
}

number! {
    /// A number of tokens.
    Tokens(u64) = "number of tokens";
    /// A number of memory pieces, each of [`PIECE_TOKENS`] tokens.
    Pieces(u32) = "number of memory pieces";
    /// A number of bytes.
    Bytes(u64) = "number of bytes";
    /// Version of the configuration or of a table row; increases with each change.
    Version(u64) = "version";
    /// How often the store was restored from an older copy. Versions of one era cannot be compared
    /// with those of another, since the store assigns them again; a store that does not state its
    /// era is in era 0.
    Era(u64) = "era";
    /// Fencing token of a lease; increases with each holder.
    Fence(u64) = "fencing token";
}

impl Tokens {
    /// Number of memory pieces needed for these tokens, rounded up.
    ///
    /// ```
    /// use bv_types::{Pieces, Tokens};
    /// assert_eq!(Tokens(2_001).pieces(), Pieces(2));
    /// ```
    pub fn pieces(self) -> Pieces {
        Pieces(u32::try_from(self.0.div_ceil(PIECE_TOKENS)).unwrap_or(u32::MAX))
    }
}

/// Saturates: sizes in messages of others may be any number.
impl Add for Tokens {
    type Output = Tokens;
    fn add(self, other: Tokens) -> Tokens {
        Tokens(self.0.saturating_add(other.0))
    }
}

impl Sum for Tokens {
    fn sum<I: Iterator<Item = Tokens>>(items: I) -> Tokens {
        items.fold(Tokens(0), Add::add)
    }
}

/// A rate per second; finite and above zero.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RatePerSec(f64);

impl RatePerSec {
    /// The rate as a number.
    pub fn get(self) -> f64 {
        self.0
    }

    /// Milliseconds that `amount` takes at this rate.
    pub fn millis_for(self, amount: f64) -> f64 {
        amount * 1000.0 / self.0
    }
}

impl TryFrom<f64> for RatePerSec {
    type Error = ParseError;
    fn try_from(rate: f64) -> Result<Self, ParseError> {
        if rate.is_finite() && rate > 0.0 {
            return Ok(RatePerSec(rate));
        }
        Err(ParseError {
            kind: "rate per second",
            value: rate.to_string(),
            expected: "a number above 0",
        })
    }
}

impl From<RatePerSec> for f64 {
    fn from(rate: RatePerSec) -> f64 {
        rate.0
    }
}

impl fmt::Display for RatePerSec {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for RatePerSec {
    type Err = ParseError;
    fn from_str(text: &str) -> Result<Self, ParseError> {
        let rate: f64 = text.trim_end_matches("/s").parse().unwrap_or(f64::NAN);
        Self::try_from(rate)
    }
}
