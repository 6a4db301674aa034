//! Body of a call's row.

use bv_types::{HostId, Incarnation, Millis};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::Answer;

/// State of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RowState {
    /// An attempt may dispatch the call or has dispatched it.
    Claimed,
    /// The call ran and was answered.
    Done,
    /// The call did not run; it may be claimed again.
    NotRun,
    /// The call may have run; it is not run again.
    Unknown,
}

/// Content of a row, stored as JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowBody {
    /// State.
    pub state: RowState,
    /// Entry host of the attempt.
    pub host: HostId,
    /// Process of that host.
    pub incarnation: Incarnation,
    /// Unique to the attempt; distinguishes its writes from those of other attempts.
    pub nonce: SmolStr,
    /// Number of the dispatch, from 0.
    pub attempt: u32,
    /// Time of the write since the Unix epoch.
    pub time: Millis,
    /// Time since the Unix epoch from which the row counts as deleted.
    pub expires: Millis,
    /// Answer of the backend server if it fits into the row.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<Answer>,
}

impl RowBody {
    /// Parses a row; none if it is malformed.
    pub fn parse(text: &str) -> Option<Self> {
        serde_json::from_str(text).ok()
    }

    /// Returns the row as JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}
