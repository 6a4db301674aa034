//! Owner side: the request bucket of each team and the tokens granted to entry hosts.

use bv_types::{HostId, Incarnation, Millis, RatePerSec, TeamId, Tokens};

use crate::{ALLOWANCE_TIME, Allowance, AllowanceRequest, Limits};

/// Entry host process that requests an allowance.
type Requester<'a> = (&'a HostId, Incarnation);

/// Token bucket of the request rate of a team.
#[derive(Debug, Clone)]
struct Bucket {
    level: f64,
    refilled_at: Millis,
}

impl Bucket {
    fn full(rate: RatePerSec, now: Millis) -> Self {
        Bucket {
            level: bucket_capacity(rate),
            refilled_at: now,
        }
    }

    fn refill(&mut self, rate: RatePerSec, now: Millis) {
        let added = rate.get() * (now - self.refilled_at).0 as f64 / 1000.0;
        self.level = (self.level + added).min(bucket_capacity(rate));
        self.refilled_at = self.refilled_at.max(now);
    }
}

/// Requests of one second, but at least one, so that rates below 1 per second admit any requests.
fn bucket_capacity(rate: RatePerSec) -> f64 {
    (rate.get() * ALLOWANCE_TIME.0 as f64 / 1000.0).max(1.0)
}

/// Time for which unmet demand of a host takes precedence over hosts that were granted more.
const UNMET_DEMAND_TIME: Millis = Millis(300);
/// Half-life of the count of requests that a host was granted.
const GRANTED_HALF_LIFE_MS: f64 = 1_000.0;
/// Time after which the demand of a host that requests no allowance is removed.
const DEMAND_EXPIRY: Millis = Millis(5_000);

/// Recent demand of one host.
#[derive(Debug, Clone)]
struct Demand {
    host: HostId,
    /// Part of the host's latest [`AllowanceRequest`] that was not granted, in requests.
    unmet: u64,
    /// Granted requests, decayed until `updated_at`.
    granted: f64,
    updated_at: Millis,
}

impl Demand {
    fn granted_at(&self, now: Millis) -> f64 {
        let age = (now - self.updated_at).0 as f64;
        self.granted * (-age / GRANTED_HALF_LIFE_MS).exp2()
    }

    /// Number of requests to leave in the bucket for this host while another host, which was
    /// recently granted `other_granted` requests, takes from it.
    fn reserved(&self, now: Millis, other_granted: f64) -> f64 {
        if now >= self.updated_at + UNMET_DEMAND_TIME {
            return 0.0;
        }
        let deficit = (other_granted - self.granted_at(now)).max(0.0);
        deficit.min(self.unmet as f64)
    }
}

/// Tokens granted to one entry host process.
#[derive(Debug, Clone)]
struct TokenGrant {
    host: HostId,
    incarnation: Incarnation,
    tokens: Tokens,
}

#[derive(Debug, Clone)]
struct Team {
    id: TeamId,
    bucket: Option<Bucket>,
    demands: Vec<Demand>,
    token_grants: Vec<TokenGrant>,
    last_used: Millis,
}

/// Limits of the teams that this entry host owns.
#[derive(Debug, Clone, Default)]
pub struct OwnedTeams {
    teams: Vec<Team>,
}

impl OwnedTeams {
    /// Grants as much of `wanted` as the limits and the demand of other hosts allow.
    pub fn take(
        &mut self,
        now: Millis,
        team: &TeamId,
        limits: Limits,
        requester: Requester<'_>,
        wanted: AllowanceRequest,
    ) -> Allowance {
        let team = self.team(now, team);
        team.last_used = now;
        Allowance {
            requests: team.take_requests(now, limits, requester.0, wanted.requests),
            tokens: team.take_tokens(limits, requester, wanted.tokens),
        }
    }

    /// Takes back tokens that a host no longer uses.
    pub fn give_back(&mut self, team: &TeamId, requester: Requester<'_>, tokens: Tokens) {
        let Ok(index) = self.position(team) else {
            return;
        };
        let grants = &mut self.teams[index].token_grants;
        if let Some(grant) = grants.iter_mut().find(|grant| grant.is_to(requester)) {
            grant.tokens = Tokens(grant.tokens.0.saturating_sub(tokens.0));
        }
        grants.retain(|grant| grant.tokens > Tokens(0));
    }

    /// Takes back all tokens granted to a dead process and removes the demand of its host.
    pub fn host_dead(&mut self, host: &HostId, incarnation: Incarnation) {
        for team in &mut self.teams {
            team.token_grants
                .retain(|grant| !grant.is_to((host, incarnation)));
            team.demands.retain(|demand| demand.host != *host);
        }
    }

    /// Removes teams without granted tokens that have not been used for [`ALLOWANCE_TIME`].
    pub fn expire(&mut self, now: Millis) {
        // The bucket is full again after this time if the rate is at least 1 per second, so that
        // its removal changes nothing.
        self.teams
            .retain(|team| !team.token_grants.is_empty() || now < team.last_used + ALLOWANCE_TIME);
    }

    /// Number of teams with state.
    pub fn len(&self) -> usize {
        self.teams.len()
    }

    /// Whether no team has state.
    pub fn is_empty(&self) -> bool {
        self.teams.is_empty()
    }

    fn position(&self, team: &TeamId) -> Result<usize, usize> {
        self.teams.binary_search_by(|entry| entry.id.cmp(team))
    }

    fn team(&mut self, now: Millis, id: &TeamId) -> &mut Team {
        let index = match self.position(id) {
            Ok(index) => index,
            Err(index) => {
                let team = Team {
                    id: id.clone(),
                    bucket: None,
                    demands: Vec::new(),
                    token_grants: Vec::new(),
                    last_used: now,
                };
                self.teams.insert(index, team);
                index
            }
        };
        &mut self.teams[index]
    }
}

impl TokenGrant {
    fn is_to(&self, requester: Requester<'_>) -> bool {
        self.host == *requester.0 && self.incarnation == requester.1
    }
}

impl Team {
    fn take_requests(&mut self, now: Millis, limits: Limits, host: &HostId, wanted: u64) -> u64 {
        let Some(rate) = limits.requests else {
            return wanted;
        };
        let previously_granted = self.granted(now, host);
        let reserved: f64 = self
            .demands
            .iter()
            .filter(|demand| demand.host != *host)
            .map(|demand| demand.reserved(now, previously_granted))
            .sum();
        let bucket = self.bucket.get_or_insert_with(|| Bucket::full(rate, now));
        bucket.refill(rate, now);
        let granted = (wanted as f64)
            .min(bucket.level - reserved)
            .floor()
            .max(0.0);
        bucket.level -= granted;
        self.record_demand(
            now,
            host,
            wanted - granted as u64,
            previously_granted + granted,
        );
        granted as u64
    }

    /// Requests that a host was granted, decayed until now.
    fn granted(&self, now: Millis, host: &HostId) -> f64 {
        self.demands
            .iter()
            .find(|demand| demand.host == *host)
            .map_or(0.0, |demand| demand.granted_at(now))
    }

    fn record_demand(&mut self, now: Millis, host: &HostId, unmet: u64, granted: f64) {
        self.demands
            .retain(|demand| demand.host != *host && now < demand.updated_at + DEMAND_EXPIRY);
        self.demands.push(Demand {
            host: host.clone(),
            unmet,
            granted,
            updated_at: now,
        });
    }

    fn take_tokens(&mut self, limits: Limits, requester: Requester<'_>, wanted: Tokens) -> Tokens {
        let Some(limit) = limits.tokens else {
            return wanted;
        };
        let granted: u64 = self.token_grants.iter().map(|grant| grant.tokens.0).sum();
        // A request cannot start with only a part of its tokens, so all or none are granted.
        if wanted == Tokens(0) || granted + wanted.0 > limit.0 {
            return Tokens(0);
        }
        match self
            .token_grants
            .iter_mut()
            .find(|grant| grant.is_to(requester))
        {
            Some(grant) => grant.tokens = Tokens(grant.tokens.0 + wanted.0),
            None => self.token_grants.push(TokenGrant {
                host: requester.0.clone(),
                incarnation: requester.1,
                tokens: wanted,
            }),
        }
        wanted
    }
}
