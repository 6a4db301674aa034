//! Quotas of teams over all hosts: a request with a cost runs only within an allowance of its team.
//!
//! `bv_limit` decides; this module asks the owner of a team's quota for allowances, and lends those of
//! the teams that this host owns. See `docs/design/quotas.md`.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bv_limit::{
    HostQuotas, HostView, OwnedQuotas, Quota, QuotaAsk, QuotaGrant, QuotaState, Ticket,
};
use bv_roster::HostEntry;
use bv_route::TeamQuota;
use bv_types::{HostId, Millis, RatePerSec, Refusal, TeamId, Tokens};
use tokio::sync::Notify;
use tracing::info;

use crate::answer::Failure;
use crate::counters;
use crate::edge::Edge;
use crate::logs::LogBudget;
use crate::quota_messages::QuotaMessage;
use crate::request::CallerRequest;
use crate::usage::send_quota;

/// Interval at which unused allowances are given back and changes of the heard hosts are noticed.
const MAINTENANCE_INTERVAL: Millis = Millis(100);

/// The hosts as they were when they were last looked at, and the owners chosen among them.
#[derive(Debug, Default)]
struct View {
    known: Option<usize>,
    /// Sorted by id.
    heard: Vec<HostEntry>,
    /// Owner of each team that was looked up, sorted by team; `None` if it is this host. The choice
    /// hashes the name of each host.
    owners: Vec<(TeamId, Option<SocketAddr>)>,
}

/// Quotas at this host, as the owner of some teams and as user of allowances.
#[derive(Debug)]
pub(crate) struct Quotas {
    owned: Mutex<OwnedQuotas>,
    host: Mutex<HostQuotas>,
    view: Mutex<View>,
    /// Notified when requests that wait for an allowance may have been decided.
    changed: Notify,
}

impl Quotas {
    pub fn new(now: Millis, seed: u64) -> Self {
        Quotas {
            owned: Mutex::new(OwnedQuotas::new(now)),
            // An earlier process of this host asked less often than once a millisecond.
            host: Mutex::new(HostQuotas::new(seed, now.0)),
            view: Mutex::default(),
            changed: Notify::new(),
        }
    }
}

/// An admitted request, which counts against the quota of its team.
#[derive(Debug)]
pub(crate) struct QuotaGuard {
    /// `None` if it costs nothing.
    counted: Option<(Arc<Edge>, TeamId, u64)>,
}

impl QuotaGuard {
    /// Gives the cost back, since the request has not run.
    pub fn give_back(self) {
        if let Some((edge, team, cost)) = self.counted {
            let now = edge.now();
            lock(&edge.quotas.host).give_back(now, &team, cost);
            edge.quotas.changed.notify_waiters();
        }
    }
}

/// A request that waits for an allowance. Dropping it ends the wait.
struct WaitGuard<'a> {
    edge: &'a Edge,
    team: &'a TeamId,
    ticket: Ticket,
    runs: bool,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let now = self.edge.now();
        lock(&self.edge.quotas.host).end_wait(now, self.team, self.ticket, self.runs);
        if !self.runs {
            self.edge.quotas.changed.notify_waiters();
        }
    }
}

impl Edge {
    /// Waits for a short time until a request may run within the quota of its team.
    ///
    /// # Errors
    /// The quota is spent, or it cannot be told what this host may spend.
    pub async fn admit_quota(self: &Arc<Self>, req: &CallerRequest) -> Result<QuotaGuard, Failure> {
        let team = req.team.as_ref();
        let Some((team, quota)) = team.and_then(|team| Some((&team.id, team.quota?))) else {
            return Ok(QuotaGuard { counted: None });
        };
        let cost = cost(req, quota);
        if cost == 0 {
            return Ok(QuotaGuard { counted: None });
        }
        let quota = self.limit(quota);
        if cost as f64 > self.largest_cost(quota) {
            return Err(self.refuse_quota(req, team, cost, self.bounds().quota_window));
        }
        match self.wait_for_quota(team, quota, cost).await {
            QuotaState::Admitted => {
                counters::quota_request("admitted");
                Ok(QuotaGuard {
                    counted: Some((self.clone(), team.clone(), cost)),
                })
            }
            QuotaState::Refused(retry_after) => {
                Err(self.refuse_quota(req, team, cost, retry_after))
            }
            QuotaState::Waiting(_) | QuotaState::Unknown => {
                counters::quota_request("unknown");
                Err(Failure::refused(Refusal::NotConfigured))
            }
        }
    }

    /// Decides about a request, after a wait if need be.
    async fn wait_for_quota(&self, team: &TeamId, quota: Quota, cost: u64) -> QuotaState {
        let now = self.now();
        let begun = lock(&self.quotas.host).begin(now, (team, quota), cost);
        let ticket = match begun {
            Ok(state) => {
                self.ask_quota(now, team);
                return state;
            }
            Err(ticket) => ticket,
        };
        let mut wait = WaitGuard {
            edge: self,
            team,
            ticket,
            runs: false,
        };
        loop {
            let changed = self.quotas.changed.notified();
            let now = self.now();
            self.ask_quota(now, team);
            let view = self.host_view();
            let state = lock(&self.quotas.host).state(now, team, ticket, view);
            let QuotaState::Waiting(until) = state else {
                wait.runs = state == QuotaState::Admitted;
                return state;
            };
            let _ = tokio::time::timeout((until - now).duration(), changed).await;
        }
    }

    /// Largest cost of a single request, which alone stays within the bound of a window.
    fn largest_cost(&self, quota: Quota) -> f64 {
        self.window_cost(quota.rate, quota.burst) + quota.tolerance
    }

    /// What a quota allows in a window.
    fn window_cost(&self, rate: RatePerSec, burst: f64) -> f64 {
        rate.get() * self.bounds().quota_window.0 as f64 / 1_000.0 + burst
    }

    fn limit(&self, quota: TeamQuota) -> Quota {
        let burst = quota.burst as f64;
        let bounds = self.bounds();
        let (overage, slack) = (bounds.quota_overage, bounds.quota_slack);
        Quota {
            rate: quota.rate,
            burst,
            tolerance: self.window_cost(quota.rate, burst) * overage + slack,
        }
    }

    fn refuse_quota(
        &self,
        req: &CallerRequest,
        team: &TeamId,
        cost: u64,
        retry_after: Millis,
    ) -> Failure {
        let now = self.now();
        counters::quota_request("refused");
        let evidence = lock(&self.quotas.host).evidence(now, team);
        self.logs
            .quota_refused(now, req, (team, cost), retry_after, evidence);
        Failure::NotRun {
            reason: Refusal::TeamRate,
            retry_after,
        }
    }

    /// Asks the owner for an allowance if one is needed.
    fn ask_quota(&self, now: Millis, team: &TeamId) {
        let view = self.host_view();
        let Some(ask) = lock(&self.quotas.host).ask(now, team, view) else {
            return;
        };
        match self.quota_owner(team) {
            Some(owner) => send_quota(self, owner, QuotaMessage::ask(team, ask)),
            None => {
                if let Some(grant) = self.lend_quota(team, &self.settings.host, ask) {
                    self.take_quota_grant(team, grant);
                }
            }
        }
    }

    /// Lends to a host; nothing if this host does not own the quota.
    pub fn lend_quota(&self, team: &TeamId, host: &HostId, ask: QuotaAsk) -> Option<QuotaGrant> {
        let quota = {
            let state = self.state();
            let teams = state.in_force.table()?.teams()?;
            self.limit(teams.by_id(team)?.quota?)
        };
        // By the view of another host this one may own it while a third one lends.
        if self.quota_owner(team).is_some() {
            return None;
        }
        let (now, view) = (self.now(), self.host_view());
        Some(lock(&self.quotas.owned).take(now, (team, quota), view, host, ask))
    }

    /// Takes the owner's reply.
    pub fn take_quota_grant(&self, team: &TeamId, grant: QuotaGrant) {
        lock(&self.quotas.host).grant(self.now(), team, grant);
        self.quotas.changed.notify_waiters();
    }

    /// Takes back units that a host did not use.
    pub fn take_back_quota(&self, team: &TeamId, host: &HostId, units: u64) {
        lock(&self.quotas.owned).give_back(self.now(), team, host, units);
    }

    fn host_view(&self) -> HostView {
        let view = lock(&self.quotas.view);
        HostView {
            known: view.known,
            heard: view.heard.len(),
        }
    }

    /// The owner of a team's quota; none if it is this host.
    fn quota_owner(&self, team: &TeamId) -> Option<SocketAddr> {
        let mut view = lock(&self.quotas.view);
        let at = match view.owners.binary_search_by(|(other, _)| other.cmp(team)) {
            Ok(at) => at,
            Err(at) => {
                let owner = self.owner(team.as_str().as_bytes());
                view.owners.insert(at, (team.clone(), owner));
                at
            }
        };
        view.owners[at].1
    }

    /// Reads which hosts are known and heard.
    fn update_host_view(&self, now: Millis) {
        let (known, heard) = {
            let state = self.state();
            let others = state.hosts.others().iter();
            let heard = others.filter(|host| state.fleet.hears(&host.id));
            let heard: Vec<HostEntry> = heard.cloned().collect();
            (state.hosts.count(), heard)
        };
        {
            let mut view = lock(&self.quotas.view);
            view.known = known;
            if view.heard == heard {
                return;
            }
            view.heard = heard.clone();
            view.owners.clear();
        }
        let is_owned = |team: &TeamId| self.quota_owner(team).is_none();
        let is_heard = |host: &HostId| {
            *host == self.settings.host
                || heard.binary_search_by(|other| other.id.cmp(host)).is_ok()
        };
        lock(&self.quotas.owned).change_view(now, is_owned, is_heard);
    }
}

/// What a request costs its team.
fn cost(req: &CallerRequest, quota: TeamQuota) -> u64 {
    let stated = match (req.facts.prompt_tokens, req.facts.max_output_tokens) {
        (None, None) => None,
        (prompt, output) => {
            let tokens = |count: Option<Tokens>| count.map_or(0, |tokens| tokens.0);
            Some(Tokens(tokens(prompt).saturating_add(tokens(output))))
        }
    };
    quota.unit.cost(stated)
}

/// Looks at the hosts and gives unused allowances back, until the process ends.
pub(crate) async fn maintain(edge: Arc<Edge>) {
    loop {
        tokio::time::sleep(MAINTENANCE_INTERVAL.duration()).await;
        let has_teams = |edge: &Edge| edge.state().in_force.table()?.teams().map(|_| ());
        if has_teams(&edge).is_none() {
            continue;
        }
        let now = edge.now();
        edge.update_host_view(now);
        let lent = {
            let mut owned = lock(&edge.quotas.owned);
            owned.expire(now);
            owned.len()
        };
        let (unused, spent) = {
            let mut host = lock(&edge.quotas.host);
            (host.expire(now), host.len())
        };
        counters::quota_teams(lent, spent);
        for (team, units) in unused {
            match edge.quota_owner(&team) {
                Some(owner) => send_quota(&edge, owner, QuotaMessage::give_back(&team, units)),
                None => edge.take_back_quota(&team, &edge.settings.host, units),
            }
        }
    }
}

impl LogBudget {
    /// Logs that the quota of a team is spent. `evidence` is the time since the owner last replied, and
    /// what was left of the quota then.
    pub fn quota_refused(
        &self,
        now: Millis,
        req: &CallerRequest,
        (team, cost): (&TeamId, u64),
        retry_after: Millis,
        evidence: Option<(Millis, i64)>,
    ) {
        if self.take(now) {
            info!(
                id = %req.facts.request_id,
                team = %team,
                cost,
                retry_after_ms = retry_after.0,
                left = evidence.map(|(_, left)| left),
                evidence_age_ms = evidence.map(|(age, _)| age.0),
                "quota: request refused"
            );
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
