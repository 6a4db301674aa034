//! Lookup of routes by host and path.

use bv_types::{ServiceId, Version};

use crate::route::{Limits, Route, Service};
use crate::team::{Credential, KeyError, Team, Teams};

/// All routes of one version of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTable {
    version: Version,
    /// Sorted by host and prefix.
    routes: Vec<Route>,
    /// Sorted by id.
    services: Vec<Service>,
    limits: Limits,
    /// `None` if the configuration has no teams, so that callers need no keys.
    teams: Option<Teams>,
}

impl RouteTable {
    /// A table of these routes and services; of entries with the same key only the first is kept.
    pub fn new(
        version: Version,
        mut routes: Vec<Route>,
        mut services: Vec<Service>,
        limits: Limits,
    ) -> Self {
        routes.sort_by(|a, b| key(a).cmp(&key(b)));
        routes.dedup_by(|b, a| key(a) == key(b));
        services.sort_by(|a, b| a.id.cmp(&b.id));
        services.dedup_by(|b, a| a.id == b.id);
        RouteTable {
            version,
            routes,
            services,
            limits,
            teams: None,
        }
    }

    /// The same table with teams, whose keys callers need.
    pub fn with_teams(self, teams: Teams) -> Self {
        RouteTable {
            teams: Some(teams),
            ..self
        }
    }

    /// The teams; `None` if the configuration has none.
    pub fn teams(&self) -> Option<&Teams> {
        self.teams.as_ref()
    }

    /// The team of a request on a route; `None` if the configuration has no teams, or the route is
    /// public and the request states no known key.
    ///
    /// # Errors
    /// The route needs a key, and the request does not state a known one.
    pub fn identify(
        &self,
        route: &Route,
        credential: Credential,
    ) -> Result<Option<&Team>, KeyError> {
        let Some(teams) = &self.teams else {
            return Ok(None);
        };
        let found = match credential {
            Credential::Absent => Err(KeyError::Absent),
            Credential::Malformed => Err(KeyError::Malformed),
            Credential::Key(key) => teams.by_key(&key).ok_or(KeyError::Unknown),
        };
        match found {
            Ok(team) => Ok(Some(team)),
            Err(_) if route.is_public => Ok(None),
            Err(err) => Err(err),
        }
    }

    /// Version of the configuration.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Limits of callers' connections.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Whether there are no routes.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// The route of this host whose path prefix is the longest one that the path begins with. The
    /// host may carry a port and upper-case letters.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host_name(host).to_ascii_lowercase();
        let ends = path.match_indices('/').map(|(at, _)| at + 1);
        ends.rev().find_map(|end| {
            let wanted = (host.as_str(), &path[..end]);
            let at = self.routes.binary_search_by(|r| key(r).cmp(&wanted));
            at.ok().map(|at| &self.routes[at])
        })
    }

    /// All services, by id.
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// The service with this id.
    pub fn service(&self, id: &ServiceId) -> Option<&Service> {
        let at = self.services.binary_search_by(|s| s.id.cmp(id));
        at.ok().map(|at| &self.services[at])
    }
}

fn key(route: &Route) -> (&str, &str) {
    (route.host.as_str(), route.path_prefix.as_str())
}

fn host_name(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}
