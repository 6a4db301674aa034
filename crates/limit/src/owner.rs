//! Owner side: the request bucket of each team and the tokens granted to entry hosts.

use bv_types::{HostId, Incarnation, Millis, RatePerSec, TeamId, Tokens};

use crate::bucket::Quota;
use crate::lender::{Lender, Want};
use crate::{ALLOWANCE_TIME, Allowance, AllowanceRequest, Limits};

/// Entry host process that requests an allowance.
type Requester<'a> = (&'a HostId, Incarnation);

/// Requests of one second may start at once.
fn request_quota(rate: RatePerSec) -> Quota {
    Quota {
        rate,
        burst: rate.get() * ALLOWANCE_TIME.0 as f64 / 1000.0,
        // Hosts that do not reach the owner are not counted.
        tolerance: f64::INFINITY,
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
    requests: Option<Lender>,
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
            if let Some(requests) = &mut team.requests {
                requests.forget(|other| other == host);
            }
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
                    requests: None,
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
        let quota = request_quota(rate);
        let lender = self
            .requests
            .get_or_insert_with(|| Lender::new(quota.capacity(), now));
        let want = Want {
            least: wanted.min(1),
            waiting: wanted,
            ahead: 0,
        };
        lender.take(now, (quota, 1.0), host, want)
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
