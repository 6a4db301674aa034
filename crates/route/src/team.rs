//! Teams of callers and the keys by which they are recognised.

use std::fmt;
use std::str::FromStr;

use bv_types::{RatePerSec, TeamId, Tokens};
use sha2::{Digest, Sha256};

const DIGEST_BYTES: usize = 32;

/// SHA-256 digest of an API key. Keys themselves are not held.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// The digest of a key.
    pub fn of(key: &str) -> Self {
        KeyDigest(Sha256::digest(key.as_bytes()).into())
    }

    /// The digest in hexadecimal digits, as [`KeyDigest::from_str`] reads it. It stands for the key in
    /// messages between hosts and must not be logged.
    pub fn to_hex(&self) -> String {
        self.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

impl FromStr for KeyDigest {
    type Err = ParseDigestError;

    fn from_str(hex: &str) -> Result<Self, ParseDigestError> {
        if hex.len() != 2 * DIGEST_BYTES || !hex.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(ParseDigestError);
        }
        let mut digest = [0; DIGEST_BYTES];
        for (at, byte) in digest.iter_mut().enumerate() {
            let digits = &hex[2 * at..2 * at + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| ParseDigestError)?;
        }
        Ok(KeyDigest(digest))
    }
}

/// A text is not the digest of a key. Does not repeat the text, which may be a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("not a SHA-256 digest in hexadecimal digits")]
pub struct ParseDigestError;

impl fmt::Debug for KeyDigest {
    /// Hides the digest: short keys could be guessed from it.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// What a request states about the identity of its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Credential {
    /// Nothing.
    Absent,
    /// Something that is not exactly one key in the expected form.
    Malformed,
    /// A key.
    Key(KeyDigest),
}

/// Why the team of a request cannot be told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// The route needs a key and the request has none.
    #[error("the request has no key")]
    Absent,
    /// The request does not state exactly one key in the expected form.
    #[error("the request does not state exactly one key")]
    Malformed,
    /// No team has the key.
    #[error("no team has the key of the request")]
    Unknown,
}

impl KeyError {
    /// Code for logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            KeyError::Absent => "absent",
            KeyError::Malformed => "malformed",
            KeyError::Unknown => "unknown",
        }
    }
}

/// What a quota counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Each request counts as one.
    Requests,
    /// A request counts as the tokens that it states, prompt and answer together.
    Tokens {
        /// Tokens of a request that states none.
        plain: Tokens,
    },
}

impl QuotaUnit {
    /// What a request costs that states these tokens.
    pub fn cost(self, stated: Option<Tokens>) -> u64 {
        match self {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens { plain } => stated.unwrap_or(plain).0,
        }
    }
}

/// What a team may spend over all hosts together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TeamQuota {
    /// What is counted.
    pub unit: QuotaUnit,
    /// Units per second.
    pub rate: RatePerSec,
    /// Units that may be spent at once beyond the rate.
    pub burst: u64,
}

/// A team of callers.
#[derive(Debug, Clone, PartialEq)]
pub struct Team {
    /// Its name, which backend servers are told.
    pub id: TeamId,
    /// Priority of its requests, instead of that of their routes; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Its quota; none if it is unlimited.
    pub quota: Option<TeamQuota>,
    /// Digests of its keys; a team without keys has no callers.
    pub keys: Vec<KeyDigest>,
}

/// Number of priorities of routes that are told apart within a priority of teams. Engines know ten
/// priorities in all.
const ROUTE_LEVELS: u8 = 3;

/// Priority of a request where the configuration has teams; 0 is the most urgent. The team's own
/// priority goes first, then that of the route, which also takes the place of a missing one.
pub fn request_priority(team: Option<u8>, route: u8) -> u8 {
    let first = team.unwrap_or(route).saturating_mul(ROUTE_LEVELS);
    first.saturating_add(route.min(ROUTE_LEVELS - 1))
}

/// The teams of one version of the configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Teams {
    /// Sorted by id.
    teams: Vec<Team>,
    /// Digest of each key and the index of its team, sorted by digest.
    keys: Vec<(KeyDigest, usize)>,
}

/// Two teams cannot be told apart.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum TeamsError {
    /// Two teams have the same id.
    #[error("team {0} is defined twice")]
    DuplicateId(TeamId),
    /// Two teams have the same key.
    #[error("teams {0} and {1} have a key in common")]
    SharedKey(TeamId, TeamId),
}

impl Teams {
    /// Teams by their keys.
    ///
    /// # Errors
    /// Two teams have the same id or a key in common.
    pub fn new(mut teams: Vec<Team>) -> Result<Self, TeamsError> {
        teams.sort_by(|a, b| a.id.cmp(&b.id));
        if let Some(pair) = teams.windows(2).find(|pair| pair[0].id == pair[1].id) {
            return Err(TeamsError::DuplicateId(pair[0].id.clone()));
        }
        let mut keys: Vec<(KeyDigest, usize)> = Vec::new();
        for (at, team) in teams.iter().enumerate() {
            keys.extend(team.keys.iter().map(|key| (*key, at)));
        }
        keys.sort_unstable();
        keys.dedup();
        if let Some(pair) = keys.windows(2).find(|pair| pair[0].0 == pair[1].0) {
            let name = |at: usize| teams[at].id.clone();
            return Err(TeamsError::SharedKey(name(pair[0].1), name(pair[1].1)));
        }
        Ok(Teams { teams, keys })
    }

    /// The team with this key.
    pub fn by_key(&self, key: &KeyDigest) -> Option<&Team> {
        let at = self
            .keys
            .binary_search_by(|(other, _)| other.cmp(key))
            .ok()?;
        Some(&self.teams[self.keys[at].1])
    }

    /// All teams, by id.
    pub fn all(&self) -> &[Team] {
        &self.teams
    }

    /// The team with this id.
    pub fn by_id(&self, id: &TeamId) -> Option<&Team> {
        let at = self.teams.binary_search_by(|team| team.id.cmp(id)).ok()?;
        Some(&self.teams[at])
    }
}
