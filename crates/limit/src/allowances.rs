//! Entry host side: allowances and their use.

use bv_types::{Millis, RatePerSec, Refusal, TeamId, Tokens};

use crate::{ALLOWANCE_TIME, Allowance, AllowanceRequest, Limits};

/// Decision about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request may start; its tokens are counted until [`HostAllowances::finish`].
    Admitted,
    /// An allowance must be requested from the owner first.
    NeedsAllowance(AllowanceRequest),
    /// The team is over a limit.
    Refused(Refusal),
}

#[derive(Debug, Clone)]
struct Team {
    id: TeamId,
    /// Requests that may start before `until`.
    requests: u64,
    until: Millis,
    /// Granted tokens that no request in progress uses.
    free_tokens: Tokens,
    /// Requests that were not admitted since the last answer of the owner.
    unadmitted: u64,
    /// Time before which the owner is not asked again after it granted too little.
    ask_owner_at: Millis,
    /// Reason for which requests are refused until `ask_owner_at`.
    refusal: Refusal,
}

/// Allowances of one entry host.
#[derive(Debug, Clone, Default)]
pub struct HostAllowances {
    teams: Vec<Team>,
}

/// Time for which the owner is not asked again after it granted too little.
const OWNER_RETRY_DELAY: Millis = Millis(100);

impl HostAllowances {
    /// Decides whether a request of `tokens` tokens may start.
    pub fn admit(
        &mut self,
        now: Millis,
        team: &TeamId,
        limits: Limits,
        tokens: Tokens,
    ) -> Admission {
        if limits.is_unlimited() {
            return Admission::Admitted;
        }
        let team = self.team(team);
        if now >= team.until {
            team.requests = 0;
        }
        let needs_requests = limits.requests.is_some() && team.requests == 0;
        let needs_tokens = limits.tokens.is_some() && team.free_tokens < tokens;
        if !needs_requests && !needs_tokens {
            team.consume(limits, tokens);
            return Admission::Admitted;
        }
        if now < team.ask_owner_at {
            return Admission::Refused(team.refusal);
        }
        team.unadmitted += 1;
        let missing = tokens.0.saturating_sub(team.free_tokens.0);
        Admission::NeedsAllowance(AllowanceRequest {
            requests: if needs_requests { team.unadmitted } else { 0 },
            tokens: Tokens(if needs_tokens { missing } else { 0 }),
        })
    }

    /// Adds what the owner granted; the driver then passes the request to
    /// [`HostAllowances::admit`] again.
    pub fn add_allowance(&mut self, now: Millis, team: &TeamId, allowance: Allowance) {
        let team = self.team(team);
        team.unadmitted = 0;
        team.free_tokens = Tokens(team.free_tokens.0 + allowance.tokens.0);
        if allowance.requests > 0 {
            team.requests += allowance.requests;
            team.until = now + ALLOWANCE_TIME;
        }
    }

    /// Records that the owner granted too little. Until `OWNER_RETRY_DELAY` has passed, the owner
    /// is not asked again and requests that need an allowance are refused.
    pub fn record_refusal(&mut self, now: Millis, team: &TeamId, limits: Limits) -> Refusal {
        let team = self.team(team);
        team.unadmitted = 0;
        team.ask_owner_at = now + OWNER_RETRY_DELAY;
        team.refusal = match limits.requests.is_some() && team.requests == 0 {
            true => Refusal::TeamRate,
            false => Refusal::TeamTokens,
        };
        team.refusal
    }

    /// Allowance of an equal share of the limits, used while the owner is unreachable.
    pub fn fallback_allowance(
        &self,
        limits: Limits,
        live_hosts: usize,
        tokens: Tokens,
    ) -> Allowance {
        let hosts = live_hosts.max(1) as f64;
        let share = |rate: RatePerSec| (rate.get() / hosts).floor().max(1.0) as u64;
        let token_share = limits
            .tokens
            .map_or(tokens.0, |limit| limit.0 / hosts as u64);
        Allowance {
            requests: limits.requests.map_or(0, share),
            tokens: Tokens(if tokens.0 <= token_share { tokens.0 } else { 0 }),
        }
    }

    /// Ends a request; its tokens become free for other requests of the team.
    pub fn finish(&mut self, team: &TeamId, limits: Limits, tokens: Tokens) {
        if limits.tokens.is_some() {
            let team = self.team(team);
            team.free_tokens = Tokens(team.free_tokens.0 + tokens.0);
        }
    }

    /// Removes and returns the tokens that no request uses, to be given back to the team owners.
    pub fn take_free_tokens(&mut self) -> Vec<(TeamId, Tokens)> {
        let mut free = Vec::new();
        for team in &mut self.teams {
            if team.free_tokens > Tokens(0) {
                free.push((team.id.clone(), std::mem::take(&mut team.free_tokens)));
            }
        }
        free
    }

    /// Removes teams without an allowance and without a refusal in force.
    pub fn expire(&mut self, now: Millis) {
        self.teams.retain(|team| {
            team.free_tokens > Tokens(0) || now < team.until || now < team.ask_owner_at
        });
    }

    fn team(&mut self, id: &TeamId) -> &mut Team {
        let index = match self.teams.binary_search_by(|entry| entry.id.cmp(id)) {
            Ok(index) => index,
            Err(index) => {
                let team = Team {
                    id: id.clone(),
                    requests: 0,
                    until: Millis::ZERO,
                    free_tokens: Tokens(0),
                    unadmitted: 0,
                    ask_owner_at: Millis::ZERO,
                    refusal: Refusal::TeamRate,
                };
                self.teams.insert(index, team);
                index
            }
        };
        &mut self.teams[index]
    }
}

impl Team {
    fn consume(&mut self, limits: Limits, tokens: Tokens) {
        if limits.requests.is_some() {
            self.requests -= 1;
        }
        if limits.tokens.is_some() {
            self.free_tokens = Tokens(self.free_tokens.0 - tokens.0);
        }
    }
}
