//! Replies to callers.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bv_types::Refusal;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Largest answer kept in a row, in bytes of headers and body.
pub const MAX_STORED_BYTES: usize = 64 << 10;

/// Whole answer of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Names and values of the headers; each byte of a value is one character.
    pub headers: Vec<(String, String)>,
    /// Body.
    #[serde(serialize_with = "to_base64", deserialize_with = "from_base64")]
    pub body: Vec<u8>,
}

impl Answer {
    /// Whether the answer fits into a row.
    pub fn is_storable(&self) -> bool {
        let headers: usize = self.headers.iter().map(|(n, v)| n.len() + v.len()).sum();
        headers + self.body.len() <= MAX_STORED_BYTES
    }
}

fn to_base64<S: Serializer>(body: &[u8], out: S) -> Result<S::Ok, S::Error> {
    out.serialize_str(&STANDARD.encode(body))
}

fn from_base64<'de, D: Deserializer<'de>>(input: D) -> Result<Vec<u8>, D::Error> {
    let text = String::deserialize(input)?;
    STANDARD.decode(text).map_err(serde::de::Error::custom)
}

/// Why the outcome of a call is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum UnknownReason {
    /// The deadline passed after dispatch.
    Deadline,
    /// Another attempt has claimed the call and has not finished it.
    InProgress,
    /// The entry host process that claimed the call has ended.
    HostDead,
    /// The connection to the backend server broke after dispatch.
    ConnectionLost,
    /// An earlier attempt recorded that its outcome is unknown.
    Recorded,
    /// The call ran, but its answer was too large to keep.
    AnswerTooLarge,
    /// The content of the row cannot be parsed.
    RowMalformed,
    /// The row of another attempt disappeared.
    RowVanished,
}

impl UnknownReason {
    /// The code in answers and metrics.
    pub const fn code(self) -> &'static str {
        match self {
            UnknownReason::Deadline => "deadline",
            UnknownReason::InProgress => "in_progress",
            UnknownReason::HostDead => "host_dead",
            UnknownReason::ConnectionLost => "connection_lost",
            UnknownReason::Recorded => "recorded",
            UnknownReason::AnswerTooLarge => "answer_too_large",
            UnknownReason::RowMalformed => "row_malformed",
            UnknownReason::RowVanished => "row_vanished",
        }
    }
}

impl fmt::Display for UnknownReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}

/// Reply to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The answer of the backend server, fresh or stored.
    Answer(Answer),
    /// This attempt did not run and will not.
    NotRun {
        /// Why.
        refusal: Refusal,
    },
    /// The call may have run.
    Unknown {
        /// Why this is not known.
        reason: UnknownReason,
    },
}
