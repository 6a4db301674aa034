//! A caller's request in progress.

use std::sync::{Arc, OnceLock};

use bv_blame::{Content, TrialId};
use bv_platform::CallerHeaders;
use bv_route::{Route, RouteTable, Team, TeamQuota};
use bv_types::{Millis, ServiceId, TeamId};
use bytes::Bytes;
use http::{HeaderMap, Method, Request, Uri};
use http_body_util::Full;

/// A caller honours a Retry-After of at most its remaining time divided by this.
const RETRY_AFTER_DIVISOR: u64 = 3;

/// The team of a request's caller.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct CallerTeam {
    pub id: TeamId,
    pub quota: Option<TeamQuota>,
}

impl From<&Team> for CallerTeam {
    fn from(team: &Team) -> Self {
        CallerTeam {
            id: team.id.clone(),
            quota: team.quota,
        }
    }
}

/// A request that was read completely, with its route.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    pub method: Method,
    pub uri: Uri,
    /// Headers without hop-by-hop headers and those of this system.
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Values of the headers that callers send to this system.
    pub facts: CallerHeaders,
    /// What other requests may have in common with it that crashes engines.
    pub content: Content,
    /// The trial that it was admitted to, if its content may have caused crashes.
    pub trial: OnceLock<TrialId>,
    /// Configuration by which the request was routed.
    pub table: Arc<RouteTable>,
    /// Its route, with the priority of the request among those of all teams.
    pub route: Route,
    /// The team of its caller, where the configuration has teams.
    pub team: Option<CallerTeam>,
    pub service: ServiceId,
    /// When the head of the request was read.
    pub arrived: Millis,
    /// When the answer must be complete.
    pub deadline: Millis,
}

impl CallerRequest {
    /// Id of the team of its caller, where the configuration has teams.
    pub fn team_id(&self) -> Option<&TeamId> {
        self.team.as_ref().map(|team| &team.id)
    }

    /// Time left until the deadline.
    pub fn remaining(&self, now: Millis) -> Millis {
        self.deadline - now
    }

    /// Longest Retry-After that the caller honours.
    pub fn longest_retry_after(&self, now: Millis) -> Millis {
        Millis(self.remaining(now).0 / RETRY_AFTER_DIVISOR)
    }

    /// The request to a backend server, without this system's headers.
    pub fn to_forward(&self) -> Request<Full<Bytes>> {
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.uri.clone();
        *req.headers_mut() = self.headers.clone();
        req
    }
}
