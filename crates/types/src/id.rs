//! Identifiers of hosts, backend servers, configuration entries, requests and attempts.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use smol_str::SmolStr;

use crate::ParseError;

/// Valid ids are ASCII, so bytes and characters are the same.
const MAX_ID_LEN_BYTES: usize = 64;

/// Punctuation that ids may hold.
#[derive(Clone, Copy)]
enum Punctuation {
    /// Hyphens and underscores.
    Plain,
    /// Dots as well, but not first.
    Dotted,
}

impl Punctuation {
    fn allows(self, c: char) -> bool {
        matches!(c, '-' | '_') || (c == '.' && matches!(self, Punctuation::Dotted))
    }

    fn expected(self) -> &'static str {
        match self {
            Punctuation::Plain => "1 to 64 letters, digits, '-' or '_'",
            Punctuation::Dotted => {
                "1 to 64 letters, digits, '-', '_' or '.', not beginning with '.'"
            }
        }
    }
}

fn check_id(
    kind: &'static str,
    punctuation: Punctuation,
    text: &str,
) -> Result<SmolStr, ParseError> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || punctuation.allows(c);
    let is_valid = !text.is_empty()
        && text.len() <= MAX_ID_LEN_BYTES
        && !text.starts_with('.')
        && text.chars().all(allowed);
    if !is_valid {
        return Err(ParseError {
            kind,
            value: text.chars().take(MAX_ID_LEN_BYTES).collect(),
            expected: punctuation.expected(),
        });
    }
    Ok(SmolStr::new(text))
}

macro_rules! text_id {
    ($($(#[$doc:meta])* $name:ident = $kind:literal, $punctuation:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "SmolStr", into = "SmolStr")]
        pub struct $name(SmolStr);

        impl $name {
            /// The id as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<&str> for $name {
            type Error = ParseError;
            fn try_from(text: &str) -> Result<Self, ParseError> {
                check_id($kind, Punctuation::$punctuation, text).map(Self)
            }
        }

        impl TryFrom<SmolStr> for $name {
            type Error = ParseError;
            fn try_from(text: SmolStr) -> Result<Self, ParseError> {
                check_id($kind, Punctuation::$punctuation, &text).map(Self)
            }
        }

        impl From<$name> for SmolStr {
            fn from(id: $name) -> SmolStr {
                id.0
            }
        }

        impl FromStr for $name {
            type Err = ParseError;
            fn from_str(text: &str) -> Result<Self, ParseError> {
                Self::try_from(text)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    )*};
}

text_id! {
    /// An entry host.
    HostId = "entry host id", Plain;
    /// A backend server: a runner or a server of a plain service.
    BackendId = "backend server id", Plain;
    /// An availability zone.
    ZoneId = "availability zone id", Plain;
    /// A model.
    ModelId = "model id", Plain;
    /// A pool of runners.
    PoolId = "pool id", Plain;
    /// A plain service.
    ServiceId = "service id", Dotted;
    /// A route of a plain service.
    RouteId = "route id", Plain;
    /// A team of callers.
    TeamId = "team id", Plain;
}

/// Start time of a process in milliseconds since the Unix epoch. It distinguishes the process from
/// earlier ones under the same id, which have lower values.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Incarnation {
    type Err = ParseError;
    fn from_str(text: &str) -> Result<Self, ParseError> {
        parse_number("incarnation", text).map(Self)
    }
}

fn parse_number<T: FromStr>(kind: &'static str, text: &str) -> Result<T, ParseError> {
    text.parse().map_err(|_| ParseError {
        kind,
        value: text.to_owned(),
        expected: "a whole number",
    })
}

/// Id of a request that a caller sent to an entry host.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId {
    /// Entry host that accepted the request.
    pub host: HostId,
    /// Incarnation of the host's process.
    pub incarnation: Incarnation,
    /// Number of the request within that process.
    pub sequence: u64,
}

impl RequestId {
    /// The id of an attempt of this request; attempts are numbered from 0.
    pub fn attempt(&self, attempt: u32) -> AttemptId {
        AttemptId {
            request: self.clone(),
            attempt,
        }
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.host, self.incarnation, self.sequence)
    }
}

/// Id of one attempt to run a request on a backend server.
///
/// ```
/// use bv_types::AttemptId;
/// let id: AttemptId = "host-a.17.4.0".parse().unwrap();
/// assert_eq!(id.request.sequence, 4);
/// assert_eq!(id.to_string(), "host-a.17.4.0");
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt, starting at 0.
    pub attempt: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.request, self.attempt)
    }
}

impl FromStr for AttemptId {
    type Err = ParseError;
    fn from_str(text: &str) -> Result<Self, ParseError> {
        let parts: Vec<&str> = text.split('.').collect();
        let [host, incarnation, sequence, attempt] = parts[..] else {
            return Err(ParseError {
                kind: "attempt id",
                value: text.to_owned(),
                expected: "host.incarnation.sequence.attempt",
            });
        };
        Ok(AttemptId {
            request: RequestId {
                host: host.parse()?,
                incarnation: incarnation.parse()?,
                sequence: parse_number("request sequence", sequence)?,
            },
            attempt: parse_number("attempt number", attempt)?,
        })
    }
}

/// Digest that identifies a request by its content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub [u8; 16]);

impl Fingerprint {
    /// Digests the parts. Each is prefixed with its length, so that different divisions of the same
    /// bytes into parts have different digests.
    pub fn digest<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hasher.finalize()[..16]);
        Fingerprint(bytes)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for Fingerprint {
    type Err = ParseError;
    fn from_str(text: &str) -> Result<Self, ParseError> {
        u128::from_str_radix(text, 16)
            .ok()
            .filter(|_| text.len() == 32)
            .map(|bits| Fingerprint(bits.to_be_bytes()))
            .ok_or_else(|| ParseError {
                kind: "fingerprint",
                value: text.chars().take(40).collect(),
                expected: "32 hexadecimal digits",
            })
    }
}
