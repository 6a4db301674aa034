//! Record of what came of the search for another server while one was silent.

use bv_types::{BackendId, Millis};

use crate::counters;
use crate::edge::Edge;
use crate::request::CallerRequest;

/// How a search for another server ended, for logs and metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SearchOutcome {
    /// The silent server went on first.
    WentOn,
    /// Another server accepted the request first.
    Moved,
    /// The silent server was left for one that had neither accepted nor refused yet.
    Left,
    /// The silent server failed, or was left and no other one took over.
    Failed,
    /// The time of the request was over.
    DeadlinePassed,
}

impl SearchOutcome {
    /// The outcome if the silent server sent this first.
    pub fn of<T, E>(reply: &Result<T, E>) -> Self {
        match reply {
            Ok(_) => SearchOutcome::WentOn,
            Err(_) => SearchOutcome::Failed,
        }
    }

    pub fn code(self) -> &'static str {
        match self {
            SearchOutcome::WentOn => "went_on",
            SearchOutcome::Moved => "moved",
            SearchOutcome::Left => "left",
            SearchOutcome::Failed => "failed",
            SearchOutcome::DeadlinePassed => "deadline_passed",
        }
    }
}

/// Logs and counts what came of a search for another server.
pub(crate) fn record_search(
    edge: &Edge,
    req: &CallerRequest,
    server: &BackendId,
    silent: Millis,
    outcome: SearchOutcome,
) {
    counters::silent_server(outcome.code());
    edge.logs
        .search_ended(edge.now(), req, server, silent, outcome.code());
}
