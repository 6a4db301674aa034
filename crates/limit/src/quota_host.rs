//! Entry host side of quotas that are spent by cost.
//!
//! Load: the same as of the owner's side. A request without an allowance waits a short time for the
//! owner's reply; without a reply the host spends its own part of the quota.

use bv_types::{Millis, TeamId};

use crate::bucket::{Bucket, Quota};
use crate::quota_owner::{HostView, QuotaAsk, QuotaGrant};

/// Time after the request for an allowance at which it ends. It bounds what a window may hold beyond the
/// bucket of the owner.
pub const GRANT_TIME: Millis = Millis(500);
/// Time after which an allowance is asked for again, since datagrams can be lost.
const REPEAT_INTERVAL: Millis = Millis(40);
/// Time without requests to the owner after which an earlier lack of replies no longer counts.
const SILENCE_MEMORY: Millis = Millis(1_000);
/// Shortest time until the owner is asked again after it granted too little.
const MIN_ASK_INTERVAL: Millis = Millis(20);
/// Longest wait of a request for an allowance.
const MAX_WAIT: Millis = Millis(150);
/// Time without a reply after which a host spends its own part; three repetitions fit into it.
const SILENT_TIME: Millis = Millis(140);
/// Longest wait while the hosts are not known, as after a restart of all, no other one is heard or the owner
/// does not reply. The own part of a quota is filled slowly.
const MAX_WAIT_ALONE: Millis = Millis(500);
/// Time for which requests are refused on the owner's word that the quota is spent.
const CLOSED_TIME: Millis = Millis(250);
/// Time for which a host asks in advance.
const AHEAD_TIME: Millis = Millis(250);
/// Longest time for which a host that does not reach the owner spends at the rate that it was granted
/// last. The owner is not heard after it, so that another one lends.
const LAST_RATE_TIME: Millis = Millis(1_600);
/// Part of the tolerance that hosts which do not reach the owner may use at the rates granted last, if
/// they were granted the whole quota. The rest is for allowances and changes of the owner.
const LAST_RATE_TOLERANCE: f64 = 0.25;
/// Part of the tolerance that all hosts together may spend at once when they lose the owner.
const FIRST_TOLERANCE: f64 = 0.7;
/// Time constant of the rates of demand and of grants.
const RATE_TIME_MS: f64 = 1_000.0;
/// Share of a new sample in the usual cost of a request.
const COST_WEIGHT: f64 = 0.05;
/// Time after which a team without requests is removed.
const IDLE_TIME: Millis = Millis(10_000);
/// Shortest Retry-After of a refusal.
const MIN_RETRY_AFTER: Millis = Millis(100);

/// Identifies a request that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

/// State of a request with a cost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaState {
    /// It may run.
    Admitted,
    /// It waits for an allowance; its state is to be read again then, or when it changes.
    Waiting(Millis),
    /// The quota is spent until this time from now.
    Refused(Millis),
    /// The other hosts are not known yet, so that it cannot be told what this one may spend.
    Unknown,
}

#[derive(Debug, Clone)]
struct Waiting {
    ticket: Ticket,
    cost: u64,
    began: Millis,
    /// Set once it is decided.
    decided: Option<QuotaState>,
}

/// Units that were granted and may be spent until a time.
#[derive(Debug, Clone, Copy)]
struct Allowance {
    units: u64,
    until: Millis,
}

/// Decaying sum of amounts, which gives their rate.
#[derive(Debug, Clone, Copy, Default)]
struct Rate {
    sum: f64,
    at: Millis,
}

impl Rate {
    fn add(&mut self, now: Millis, amount: f64) {
        self.sum = self.per_sec(now) * RATE_TIME_MS / 1000.0 + amount;
        self.at = self.at.max(now);
    }

    fn per_sec(&self, now: Millis) -> f64 {
        let age = (now - self.at).0 as f64;
        self.sum * (-age / RATE_TIME_MS).exp() * 1000.0 / RATE_TIME_MS
    }
}

#[derive(Debug, Clone)]
struct Team {
    id: TeamId,
    quota: Quota,
    allowances: Vec<Allowance>,
    /// Units of allowances that ended, to be given back.
    ended: u64,
    waiting: Vec<Waiting>,
    /// The request for an allowance without a reply, when it was first sent and when last.
    asked: Option<(QuotaAsk, Millis, Millis)>,
    /// Since when the owner has not replied to any request.
    silent_since: Option<Millis>,
    /// Time before which the owner is not asked again after it granted too little.
    ask_at: Millis,
    /// Until when requests are refused, and when units are free again.
    closed: Option<(Millis, Millis)>,
    /// When the owner last replied, and what it had left then.
    replied: Option<(Millis, i64)>,
    demand: Rate,
    granted: Rate,
    /// Usual cost of a request.
    usual_cost: f64,
    /// Own part of the quota, while the owner does not reply.
    share: Option<Bucket>,
    used_at: Millis,
}

/// Quotas at one entry host.
#[derive(Debug, Clone)]
pub struct HostQuotas {
    teams: Vec<Team>,
    next_ticket: u64,
    next_ask: u64,
    random: u64,
}

impl HostQuotas {
    /// `seed` sets the random levels at which a host without an owner begins; `first_ask` is larger than the
    /// ids that an earlier process of this host used.
    pub fn new(seed: u64, first_ask: u64) -> Self {
        HostQuotas {
            teams: Vec::new(),
            next_ticket: 0,
            next_ask: first_ask,
            random: seed | 1,
        }
    }

    /// Begins a request of a team. Unless it is decided at once, it has a ticket until
    /// [`HostQuotas::end_wait`].
    pub fn begin(
        &mut self,
        now: Millis,
        (id, quota): (&TeamId, Quota),
        cost: u64,
    ) -> Result<QuotaState, Ticket> {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let team = self.team(now, id, quota);
        team.used_at = now;
        team.quota = quota;
        team.demand.add(now, cost as f64);
        team.usual_cost = match team.usual_cost > 0.0 {
            true => team.usual_cost + (cost as f64 - team.usual_cost) * COST_WEIGHT,
            false => cost as f64,
        };
        team.drop_expired(now);
        if team.waiting.is_empty() && team.free() >= cost {
            team.spend(cost);
            return Ok(QuotaState::Admitted);
        }
        if let Some((_, free_at)) = team.closed.filter(|(until, _)| now < *until) {
            return Ok(QuotaState::Refused((free_at - now).max(MIN_RETRY_AFTER)));
        }
        team.waiting.push(Waiting {
            ticket,
            cost,
            began: now,
            decided: None,
        });
        Err(ticket)
    }

    /// Request for an allowance that is to be sent to the owner now, if any.
    pub fn ask(&mut self, now: Millis, id: &TeamId, view: HostView) -> Option<QuotaAsk> {
        let next_ask = self.next_ask;
        let team = self.find(id)?;
        if view.known.is_none() || view.is_isolated() {
            return None;
        }
        if let Some((ask, began, sent)) = &mut team.asked
            && now < *began + MAX_WAIT + REPEAT_INTERVAL
        {
            let is_due = now >= *sent + REPEAT_INTERVAL;
            if is_due {
                *sent = now;
            }
            return is_due.then_some(*ask);
        }
        if now < team.ask_at {
            return None;
        }
        team.drop_expired(now);
        let open = || team.waiting.iter().filter(|entry| entry.decided.is_none());
        let waiting: u64 = open().map(|entry| entry.cost).sum();
        let least = open().next().map_or(0, |entry| entry.cost);
        let expected = team.demand.per_sec(now) * AHEAD_TIME.0 as f64 / 1000.0;
        // A team with less than a request in that time asks for each request instead.
        let is_busy = expected >= team.usual_cost;
        let is_low = (team.free() as f64) < expected / 4.0;
        let ahead = match is_busy && (is_low || waiting > 0) && team.closed.is_none() {
            true => expected as u64,
            false => 0,
        };
        if waiting == 0 && ahead == 0 {
            return None;
        }
        let free = team.free();
        let ask = QuotaAsk {
            id: next_ask,
            least: least.saturating_sub(free),
            waiting: waiting.saturating_sub(free),
            ahead,
        };
        let last_sent = team.asked.map_or(Millis::ZERO, |(_, _, sent)| sent);
        if team.silent_since.is_none() || now >= last_sent + SILENCE_MEMORY {
            team.silent_since = Some(now);
        }
        team.asked = Some((ask, now, now));
        self.next_ask += 1;
        Some(ask)
    }

    /// Takes the reply of the owner. A reply to a request that was given up is ignored.
    pub fn grant(&mut self, now: Millis, id: &TeamId, grant: QuotaGrant) {
        let Some(team) = self.find(id) else {
            return;
        };
        let Some((_, began, _)) = team.asked.filter(|(ask, _, _)| ask.id == grant.id) else {
            return;
        };
        team.asked = None;
        team.silent_since = None;
        team.replied = Some((now, grant.left));
        team.share = None;
        team.granted.add(now, grant.granted as f64);
        if grant.granted > 0 && now < began + GRANT_TIME {
            team.allowances.push(Allowance {
                units: grant.granted,
                until: began + GRANT_TIME,
            });
        }
        team.admit_waiting();
        let is_unmet = team.waiting.iter().any(|entry| entry.decided.is_none());
        team.closed = None;
        team.ask_at = match is_unmet {
            true => now + grant.retry_after.clamp(MIN_ASK_INTERVAL, REPEAT_INTERVAL),
            false => now,
        };
        if is_unmet && grant.retry_after > MAX_WAIT {
            team.closed = Some((now + CLOSED_TIME, now + grant.retry_after));
            for entry in team.waiting.iter_mut().filter(|e| e.decided.is_none()) {
                entry.decided = Some(QuotaState::Refused(grant.retry_after));
            }
        }
    }

    /// State of a request that waits.
    pub fn state(
        &mut self,
        now: Millis,
        id: &TeamId,
        ticket: Ticket,
        view: HostView,
    ) -> QuotaState {
        let level = self.random_part();
        let Some(team) = self.find(id) else {
            return QuotaState::Unknown;
        };
        team.drop_expired(now);
        team.admit_waiting();
        let Some(at) = team.waiting.iter().position(|e| e.ticket == ticket) else {
            return QuotaState::Unknown;
        };
        let entry = &team.waiting[at];
        if let Some(decided) = entry.decided {
            return decided;
        }
        let (cost, began) = (entry.cost, entry.began);
        // The owner was asked for so long that one of the repetitions would have been answered.
        let is_unanswered = team
            .silent_since
            .is_some_and(|since| now >= since + SILENT_TIME);
        let is_alone = view.known.is_none() || view.is_isolated() || is_unanswered;
        let until = began + if is_alone { MAX_WAIT_ALONE } else { MAX_WAIT };
        if view.known.is_none() {
            return match now < until {
                true => QuotaState::Waiting(until.min(now + REPEAT_INTERVAL)),
                false => QuotaState::Unknown,
            };
        }
        if is_alone {
            let share = team.refill_share(now, view, level);
            // One request may overdraw the share.
            if share.level >= 0.0 {
                share.level -= cost as f64;
                team.waiting[at].decided = Some(QuotaState::Admitted);
                return QuotaState::Admitted;
            }
            if now >= until {
                let wait_ms = -share.level * 1000.0 / team.share_rate(now, view);
                let wait = Millis(wait_ms as u64).max(MIN_RETRY_AFTER);
                return QuotaState::Refused(wait);
            }
        } else if now >= until {
            return QuotaState::Refused(MIN_RETRY_AFTER);
        }
        QuotaState::Waiting(until.min(now + REPEAT_INTERVAL))
    }

    /// Ends the wait of a request. If it was admitted and `runs` is false, its cost is taken back.
    pub fn end_wait(&mut self, now: Millis, id: &TeamId, ticket: Ticket, runs: bool) {
        let Some(team) = self.find(id) else {
            return;
        };
        let Some(at) = team.waiting.iter().position(|e| e.ticket == ticket) else {
            return;
        };
        let entry = team.waiting.remove(at);
        if entry.decided == Some(QuotaState::Admitted) && !runs {
            self.give_back(now, id, entry.cost);
        }
    }

    /// Takes back the cost of a request that was admitted and has not run.
    pub fn give_back(&mut self, now: Millis, id: &TeamId, cost: u64) {
        if let Some(team) = self.find(id) {
            team.allowances.push(Allowance {
                units: cost,
                until: now + AHEAD_TIME,
            });
            team.admit_waiting();
        }
    }

    /// Removes allowances that end and returns them, to be given back to the owners; removes teams
    /// without requests.
    pub fn expire(&mut self, now: Millis) -> Vec<(TeamId, u64)> {
        let mut unused = Vec::new();
        for team in &mut self.teams {
            team.drop_expired(now);
            let units = std::mem::take(&mut team.ended);
            if units > 0 {
                unused.push((team.id.clone(), units));
            }
        }
        self.teams
            .retain(|team| !team.waiting.is_empty() || now < team.used_at + IDLE_TIME);
        unused
    }

    /// Time since the owner of a team last replied, and what it had left then.
    pub fn evidence(&self, now: Millis, id: &TeamId) -> Option<(Millis, i64)> {
        let at = self.teams.binary_search_by(|team| team.id.cmp(id)).ok()?;
        let (at, left) = self.teams[at].replied?;
        Some((now - at, left))
    }

    /// Number of teams with state.
    pub fn len(&self) -> usize {
        self.teams.len()
    }

    /// Whether no team has state.
    pub fn is_empty(&self) -> bool {
        self.teams.is_empty()
    }

    /// A random number from 0 to 1 (xorshift).
    fn random_part(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn find(&mut self, id: &TeamId) -> Option<&mut Team> {
        let at = self.teams.binary_search_by(|team| team.id.cmp(id)).ok()?;
        Some(&mut self.teams[at])
    }

    fn team(&mut self, now: Millis, id: &TeamId, quota: Quota) -> &mut Team {
        let at = match self.teams.binary_search_by(|team| team.id.cmp(id)) {
            Ok(at) => at,
            Err(at) => {
                self.teams.insert(at, Team::new(now, id, quota));
                at
            }
        };
        &mut self.teams[at]
    }
}

impl Team {
    fn new(now: Millis, id: &TeamId, quota: Quota) -> Self {
        Team {
            id: id.clone(),
            quota,
            allowances: Vec::new(),
            ended: 0,
            waiting: Vec::new(),
            asked: None,
            silent_since: None,
            ask_at: Millis::ZERO,
            closed: None,
            replied: None,
            demand: Rate::default(),
            granted: Rate::default(),
            usual_cost: 0.0,
            share: None,
            used_at: now,
        }
    }

    fn free(&self) -> u64 {
        self.allowances.iter().map(|part| part.units).sum()
    }

    /// Spends units of the allowances, those that end first.
    fn spend(&mut self, cost: u64) {
        let mut left = cost;
        self.allowances.sort_by_key(|part| part.until);
        for part in &mut self.allowances {
            let used = part.units.min(left);
            part.units -= used;
            left -= used;
        }
        self.allowances.retain(|part| part.units > 0);
    }

    fn drop_expired(&mut self, now: Millis) {
        let ended = self.allowances.extract_if(.., |part| now >= part.until);
        self.ended += ended.map(|part| part.units).sum::<u64>();
    }

    /// Admits requests in the order of their arrival as far as the allowances reach.
    fn admit_waiting(&mut self) {
        for at in 0..self.waiting.len() {
            if self.waiting[at].decided.is_some() {
                continue;
            }
            let cost = self.waiting[at].cost;
            if self.free() < cost {
                return;
            }
            self.spend(cost);
            self.waiting[at].decided = Some(QuotaState::Admitted);
        }
    }

    /// Rate at which this host may spend while the owner does not reply.
    fn share_rate(&self, now: Millis, view: HostView) -> f64 {
        let rate = self.quota.rate.get();
        let equal = rate / view.hosts() as f64;
        let tolerated_ms = self.quota.tolerance * LAST_RATE_TOLERANCE * 1000.0 / rate;
        let last_rate_time = LAST_RATE_TIME.min(Millis(tolerated_ms as u64));
        match self.replied {
            Some((at, _)) if now < at + last_rate_time => self.granted.per_sec(at).max(equal),
            _ => equal,
        }
    }

    /// Begins at a random level, since many hosts lose their owner at the same moment; in the mean below 0
    /// unless the tolerance allows all of them a request at once.
    fn refill_share(&mut self, now: Millis, view: HostView, random: f64) -> &mut Bucket {
        let rate = self.share_rate(now, view);
        let usual_cost = self.usual_cost;
        let tolerated = self.quota.tolerance * FIRST_TOLERANCE / view.hosts() as f64;
        let tolerated = tolerated.min(usual_cost);
        let capacity = self.quota.capacity() / view.hosts() as f64 + tolerated;
        let first = tolerated - random * usual_cost;
        let share = self.share.get_or_insert_with(|| Bucket::new(first, now));
        share.refill(now, rate, capacity);
        share
    }
}
