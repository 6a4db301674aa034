//! The entry host's side: allowances and what they were used for.

use bv_types::{Millis, RatePerSec, Refusal, TeamId, Tokens};

use crate::{ALLOWANCE_TIME, Allowance, Limits, Wanted};

/// Whether a request may start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may start; its tokens are counted until [`HostShare::finish`].
    Admitted,
    /// The home must be asked first.
    Ask(Wanted),
    /// The team is over a limit.
    Refused(Refusal),
}

#[derive(Debug, Clone)]
struct Team {
    id: TeamId,
    /// Requests that may start before `until`.
    requests: u64,
    until: Millis,
    /// Tokens granted and not used by a request in progress.
    free_tokens: Tokens,
    /// Requests that were not admitted since the last answer of the home.
    waiting: u64,
    /// Time before which the home is not asked again after it granted nothing.
    ask_after: Millis,
    refused: Refusal,
}

/// Allowances of one entry host.
#[derive(Debug, Clone, Default)]
pub struct HostShare {
    teams: Vec<Team>,
}

/// Pause before the home is asked again after it granted nothing.
const ASK_PAUSE: Millis = Millis(100);

impl HostShare {
    /// Decides about a request of `tokens` tokens.
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
            team.use_up(limits, tokens);
            return Admission::Admitted;
        }
        if now < team.ask_after {
            return Admission::Refused(team.refused);
        }
        team.waiting += 1;
        let lacking = tokens.0.saturating_sub(team.free_tokens.0);
        Admission::Ask(Wanted {
            requests: if needs_requests { team.waiting } else { 0 },
            tokens: Tokens(if needs_tokens { lacking } else { 0 }),
        })
    }

    /// Adds what the home granted; the request must then be put to [`HostShare::admit`] again.
    pub fn granted(&mut self, now: Millis, team: &TeamId, allowance: Allowance) {
        let team = self.team(team);
        team.waiting = 0;
        team.free_tokens = Tokens(team.free_tokens.0 + allowance.tokens.0);
        if allowance.requests > 0 {
            team.requests += allowance.requests;
            team.until = now + ALLOWANCE_TIME;
        }
    }

    /// Records that the home granted too little, so that it is not asked for every request.
    pub fn refused(&mut self, now: Millis, team: &TeamId, limits: Limits) -> Refusal {
        let team = self.team(team);
        team.waiting = 0;
        team.ask_after = now + ASK_PAUSE;
        team.refused = match limits.requests.is_some() && team.requests == 0 {
            true => Refusal::TeamRate,
            false => Refusal::TeamTokens,
        };
        team.refused
    }

    /// Stands in for an unreachable home with an equal share of the limits.
    pub fn without_home(&self, limits: Limits, live_hosts: usize, tokens: Tokens) -> Allowance {
        let hosts = live_hosts.max(1) as f64;
        let share = |rate: RatePerSec| (rate.get() / hosts).floor().max(1.0) as u64;
        let tokens_share = limits
            .tokens
            .map_or(tokens.0, |limit| limit.0 / hosts as u64);
        Allowance {
            requests: limits.requests.map_or(0, share),
            tokens: Tokens(if tokens.0 <= tokens_share {
                tokens.0
            } else {
                0
            }),
        }
    }

    /// Ends a request; its tokens are free for the next one of the team.
    pub fn finish(&mut self, team: &TeamId, limits: Limits, tokens: Tokens) {
        if limits.tokens.is_some() {
            let team = self.team(team);
            team.free_tokens = Tokens(team.free_tokens.0 + tokens.0);
        }
    }

    /// Tokens that no request uses, to be given back to the homes.
    pub fn take_free_tokens(&mut self) -> Vec<(TeamId, Tokens)> {
        let mut free = Vec::new();
        for team in &mut self.teams {
            if team.free_tokens > Tokens(0) {
                free.push((team.id.clone(), std::mem::take(&mut team.free_tokens)));
            }
        }
        free
    }

    /// Forgets teams without an allowance.
    pub fn expire(&mut self, now: Millis) {
        self.teams.retain(|team| {
            team.free_tokens > Tokens(0) || now < team.until || now < team.ask_after
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
                    waiting: 0,
                    ask_after: Millis::ZERO,
                    refused: Refusal::TeamRate,
                };
                self.teams.insert(index, team);
                index
            }
        };
        &mut self.teams[index]
    }
}

impl Team {
    fn use_up(&mut self, limits: Limits, tokens: Tokens) {
        if limits.requests.is_some() {
            self.requests -= 1;
        }
        if limits.tokens.is_some() {
            self.free_tokens = Tokens(self.free_tokens.0 - tokens.0);
        }
    }
}
