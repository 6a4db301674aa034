//! The home's side: buckets of requests and tokens in progress.

use bv_types::{HostId, Incarnation, Millis, RatePerSec, TeamId, Tokens};

use crate::{ALLOWANCE_TIME, Allowance, Limits, Wanted};

/// Entry host process that asks.
type Asker<'a> = (&'a HostId, Incarnation);

#[derive(Debug, Clone)]
struct Bucket {
    level: f64,
    at: Millis,
}

impl Bucket {
    fn full(rate: RatePerSec, now: Millis) -> Self {
        Bucket {
            level: capacity(rate),
            at: now,
        }
    }

    fn refill(&mut self, rate: RatePerSec, now: Millis) {
        let added = rate.get() * (now - self.at).0 as f64 / 1000.0;
        self.level = (self.level + added).min(capacity(rate));
        self.at = self.at.max(now);
    }
}

/// Requests of one second, and at least one so that slow rates admit anything at all.
fn capacity(rate: RatePerSec) -> f64 {
    (rate.get() * ALLOWANCE_TIME.0 as f64 / 1000.0).max(1.0)
}

/// Time for which a host that got too little keeps its place before hosts that got more.
const UNMET_TIME: Millis = Millis(300);
/// Time over which what a host got is forgotten by half.
const SERVED_HALF_LIFE_MS: f64 = 1_000.0;
/// Time after which a host that does not ask is forgotten.
const DEMAND_TIME: Millis = Millis(5_000);

/// What one host wanted and got in the recent past.
#[derive(Debug, Clone)]
struct Demand {
    host: HostId,
    unmet: u64,
    served: f64,
    at: Millis,
}

impl Demand {
    fn served_at(&self, now: Millis) -> f64 {
        let age = (now - self.at).0 as f64;
        self.served * (-age / SERVED_HALF_LIFE_MS).exp2()
    }

    /// Requests to leave in the bucket for this host when one that got `served` asks.
    fn reserved(&self, now: Millis, served: f64) -> f64 {
        if now >= self.at + UNMET_TIME {
            return 0.0;
        }
        let behind = (served - self.served_at(now)).max(0.0);
        behind.min(self.unmet as f64)
    }
}

#[derive(Debug, Clone)]
struct Held {
    host: HostId,
    incarnation: Incarnation,
    tokens: Tokens,
}

#[derive(Debug, Clone)]
struct Team {
    id: TeamId,
    bucket: Option<Bucket>,
    demands: Vec<Demand>,
    held: Vec<Held>,
    last_used: Millis,
}

/// Limits of the teams whose home this entry host is.
#[derive(Debug, Clone, Default)]
pub struct TeamHome {
    teams: Vec<Team>,
}

impl TeamHome {
    /// Grants as much of `wanted` as the limits and the other hosts' demand allow.
    pub fn take(
        &mut self,
        now: Millis,
        team: &TeamId,
        limits: Limits,
        asker: Asker<'_>,
        wanted: Wanted,
    ) -> Allowance {
        let team = self.team(now, team);
        team.last_used = now;
        Allowance {
            requests: team.take_requests(now, limits, asker.0, wanted.requests),
            tokens: team.take_tokens(limits, asker, wanted.tokens),
        }
    }

    /// Takes back tokens that a host no longer uses.
    pub fn give_back(&mut self, team: &TeamId, asker: Asker<'_>, tokens: Tokens) {
        let Ok(index) = self.position(team) else {
            return;
        };
        let held = &mut self.teams[index].held;
        if let Some(entry) = held.iter_mut().find(|held| held.is(asker)) {
            entry.tokens = Tokens(entry.tokens.0.saturating_sub(tokens.0));
        }
        held.retain(|held| held.tokens > Tokens(0));
    }

    /// Takes back everything that a dead process holds.
    pub fn host_dead(&mut self, host: &HostId, incarnation: Incarnation) {
        for team in &mut self.teams {
            team.held.retain(|held| !held.is((host, incarnation)));
            team.demands.retain(|demand| demand.host != *host);
        }
    }

    /// Forgets teams that hold nothing and were not used for a while.
    pub fn expire(&mut self, now: Millis) {
        // A bucket is full again after this time, so that forgetting it changes nothing.
        self.teams
            .retain(|team| !team.held.is_empty() || now < team.last_used + ALLOWANCE_TIME);
    }

    /// Number of teams kept.
    pub fn len(&self) -> usize {
        self.teams.len()
    }

    /// Whether no team is kept.
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
                    held: Vec::new(),
                    last_used: now,
                };
                self.teams.insert(index, team);
                index
            }
        };
        &mut self.teams[index]
    }
}

impl Held {
    fn is(&self, asker: Asker<'_>) -> bool {
        self.host == *asker.0 && self.incarnation == asker.1
    }
}

impl Team {
    fn take_requests(&mut self, now: Millis, limits: Limits, host: &HostId, wanted: u64) -> u64 {
        let Some(rate) = limits.requests else {
            return wanted;
        };
        let served = self.served(now, host);
        let reserved: f64 = self
            .demands
            .iter()
            .filter(|demand| demand.host != *host)
            .map(|demand| demand.reserved(now, served))
            .sum();
        let bucket = self.bucket.get_or_insert_with(|| Bucket::full(rate, now));
        bucket.refill(rate, now);
        let granted = (wanted as f64)
            .min(bucket.level - reserved)
            .floor()
            .max(0.0);
        bucket.level -= granted;
        self.note(now, host, wanted - granted as u64, served + granted);
        granted as u64
    }

    fn served(&self, now: Millis, host: &HostId) -> f64 {
        self.demands
            .iter()
            .find(|demand| demand.host == *host)
            .map_or(0.0, |demand| demand.served_at(now))
    }

    fn note(&mut self, now: Millis, host: &HostId, unmet: u64, served: f64) {
        self.demands
            .retain(|demand| demand.host != *host && now < demand.at + DEMAND_TIME);
        self.demands.push(Demand {
            host: host.clone(),
            unmet,
            served,
            at: now,
        });
    }

    fn take_tokens(&mut self, limits: Limits, asker: Asker<'_>, wanted: Tokens) -> Tokens {
        let Some(limit) = limits.tokens else {
            return wanted;
        };
        let held: u64 = self.held.iter().map(|held| held.tokens.0).sum();
        // A part of what a request needs cannot be used, so tokens are granted whole or not at all.
        if wanted == Tokens(0) || held + wanted.0 > limit.0 {
            return Tokens(0);
        }
        match self.held.iter_mut().find(|held| held.is(asker)) {
            Some(entry) => entry.tokens = Tokens(entry.tokens.0 + wanted.0),
            None => self.held.push(Held {
                host: asker.0.clone(),
                incarnation: asker.1,
                tokens: wanted,
            }),
        }
        wanted
    }
}
