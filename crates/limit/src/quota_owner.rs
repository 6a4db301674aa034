//! Owner side of quotas that are spent by cost.
//!
//! Load: teams that send up to 7.5 times their usual rate, spread unevenly over up to 350 hosts.

use bv_types::{HostId, Millis, TeamId};

use crate::bucket::Quota;
use crate::lender::{Lender, Want};

/// Hosts as one host knows them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostView {
    /// Live hosts including this one, by their rows in the store; `None` before they were read.
    pub known: Option<usize>,
    /// Other hosts that this one hears.
    pub heard: usize,
}

impl HostView {
    /// Known hosts; those that are heard are known.
    pub(crate) fn hosts(self) -> usize {
        self.known.unwrap_or(1).max(self.heard + 1)
    }

    /// Whether there are other hosts and none is heard.
    pub fn is_isolated(self) -> bool {
        self.heard == 0 && self.known != Some(1)
    }

    /// Part of a quota that the owner may lend: hosts that it does not hear spend the rest.
    fn part(self) -> f64 {
        (self.heard + 1) as f64 / self.hosts() as f64
    }
}

/// Request of a host for an allowance. A repeated request has the same id.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct QuotaAsk {
    /// Identifies the request among those of the host.
    pub id: u64,
    /// Cost of the first request that waits; no smaller part is useful.
    pub least: u64,
    /// Cost of all requests that wait.
    pub waiting: u64,
    /// Cost of the requests that the host expects soon.
    pub ahead: u64,
}

/// What the owner grants.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct QuotaGrant {
    /// Id of the request for it.
    pub id: u64,
    /// Units that the host may spend until [`GRANT_TIME`](crate::GRANT_TIME) after its request.
    pub granted: u64,
    /// When the units that were not granted are likely to be free.
    pub retry_after: Millis,
    /// Units left in the bucket; negative if requests overdrew it.
    pub left: i64,
}

#[derive(Debug, Clone)]
struct Team {
    id: TeamId,
    quota: Quota,
    lender: Lender,
    /// The latest grant of each host, sent again if its request is repeated.
    replies: Vec<(HostId, QuotaGrant, Millis)>,
    asked_at: Millis,
}

/// Time for which the reply to a host's latest request is kept.
const REPLY_TIME: Millis = Millis(500);
/// Time without a call after which this host counts as paused. Others do without it after 1.6 s.
const MAX_PAUSE: Millis = Millis(1_000);
/// Time after which a team that nobody asks for is removed. Its bucket is full again by then, unless the
/// burst is longer than this.
const IDLE_TIME: Millis = Millis(10_000);

/// Quotas of the teams that this host owns.
#[derive(Debug, Clone)]
pub struct OwnedQuotas {
    teams: Vec<Team>,
    /// Since when this host owns what it owns. Buckets are empty then, since another host may have lent
    /// their contents.
    since: Millis,
    /// When this host last ran.
    ran_at: Millis,
}

impl OwnedQuotas {
    /// Quotas of a host that has no memory of what was spent before `now`.
    pub fn new(now: Millis) -> Self {
        OwnedQuotas {
            teams: Vec::new(),
            since: now,
            ran_at: now,
        }
    }

    /// Lends to a host.
    pub fn take(
        &mut self,
        now: Millis,
        (team, quota): (&TeamId, Quota),
        view: HostView,
        host: &HostId,
        ask: QuotaAsk,
    ) -> QuotaGrant {
        self.check_pause(now);
        let part = view.part();
        let team = self.team(now, team, quota);
        team.asked_at = now;
        team.replies.retain(|(_, _, at)| now < *at + REPLY_TIME);
        let known = team.replies.iter().find(|(other, _, _)| other == host);
        if let Some((_, grant, _)) = known.filter(|(_, grant, _)| grant.id == ask.id) {
            return *grant;
        }
        let want = Want {
            least: ask.least,
            waiting: ask.waiting,
            ahead: ask.ahead,
        };
        team.quota = quota;
        let granted = team.lender.take(now, (quota, part), host, want);
        let missing = team.lender.unmet(now) - team.lender.level();
        let wait_ms = missing.max(0.0) * 1000.0 / (quota.rate.get() * part);
        let grant = QuotaGrant {
            id: ask.id,
            granted,
            retry_after: Millis(wait_ms as u64),
            left: team.lender.level() as i64,
        };
        team.replies.retain(|(other, _, _)| other != host);
        team.replies.push((host.clone(), grant, now));
        grant
    }

    /// Takes back units that a host did not use.
    pub fn give_back(&mut self, now: Millis, team: &TeamId, host: &HostId, units: u64) {
        if let Ok(at) = self.position(team) {
            self.teams[at].lender.give_back(now, host, units);
        }
    }

    /// Records that this host may have begun to own other teams, which other hosts lent before. Keeps the
    /// teams that it owned before and still owns, without the demand of hosts that are not heard.
    pub fn change_view(
        &mut self,
        now: Millis,
        is_owned: impl Fn(&TeamId) -> bool,
        is_heard: impl Fn(&HostId) -> bool,
    ) {
        self.teams.retain(|team| is_owned(&team.id));
        for team in &mut self.teams {
            team.lender.forget(|host| !is_heard(host));
            team.lender.spend_kept(now, team.quota);
        }
        self.since = now;
    }

    /// Removes teams that nobody asks for. Call it at least every 500 ms, so that pauses are noticed.
    pub fn expire(&mut self, now: Millis) {
        self.check_pause(now);
        self.teams.retain(|team| now < team.asked_at + IDLE_TIME);
    }

    /// Empties the buckets if this host did not run for a while, in which others may have lent.
    fn check_pause(&mut self, now: Millis) {
        if now >= self.ran_at + MAX_PAUSE {
            self.change_view(now, |_| false, |_| true);
        }
        self.ran_at = self.ran_at.max(now);
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

    fn team(&mut self, now: Millis, id: &TeamId, quota: Quota) -> &mut Team {
        let index = match self.position(id) {
            Ok(index) => index,
            Err(index) => {
                // The first refill adds what was earned since then.
                let team = Team {
                    id: id.clone(),
                    quota,
                    lender: Lender::new(0.0, self.since),
                    replies: Vec::new(),
                    asked_at: now,
                };
                self.teams.insert(index, team);
                index
            }
        };
        &mut self.teams[index]
    }
}
