//! Limits of teams over all entry hosts.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bv_config::Team;
use bv_limit::{Admission, Allowance, AllowanceRequest, HostAllowances, Limits, OwnedTeams};
use bv_member::rendezvous;
use bv_types::{HostId, Incarnation, Millis, Refusal, TeamId, Tokens};
use bv_wire::frame::Body;
use bv_wire::{GiveBack, TakeAllowance, Unsupported};
use tracing::debug;

use crate::Host;

/// Time for one call to the home of a team.
const HOME_TIMEOUT: Millis = Millis(150);
/// Interval at which unused tokens are given back.
const MAINTENANCE: Millis = Millis(1_000);

/// Both sides of the team limits at one entry host.
#[derive(Debug, Default)]
pub(crate) struct TeamLimits {
    home: Mutex<OwnedTeams>,
    share: Mutex<HostAllowances>,
}

/// An admitted request of a team; its tokens are free again when it is dropped.
pub(crate) struct TeamPermit {
    host: Arc<Host>,
    team: TeamId,
    limits: Limits,
    tokens: Tokens,
}

impl Drop for TeamPermit {
    fn drop(&mut self) {
        lock(&self.host.limits.share).finish(&self.team, self.limits, self.tokens);
    }
}

/// Admits a request of a team, asking the team's home if needed.
///
/// # Errors
/// Returns the limit that the team has reached.
pub(crate) async fn admit(
    host: &Arc<Host>,
    team: &Team,
    tokens: Tokens,
) -> Result<TeamPermit, Refusal> {
    let limits = limits_of(team);
    let first = lock(&host.limits.share).admit(host.clock.now(), &team.id, limits, tokens);
    match first {
        Admission::Admitted => {}
        Admission::Refused(refusal) => return Err(refusal),
        Admission::NeedsAllowance(wanted) => {
            let allowance = ask(host, team, limits, wanted, tokens).await;
            take(host, team, limits, tokens, allowance)?;
        }
    }
    Ok(TeamPermit {
        host: host.clone(),
        team: team.id.clone(),
        limits,
        tokens,
    })
}

fn take(
    host: &Host,
    team: &Team,
    limits: Limits,
    tokens: Tokens,
    allowance: Allowance,
) -> Result<(), Refusal> {
    let now = host.clock.now();
    let mut share = lock(&host.limits.share);
    share.granted(now, &team.id, allowance);
    match share.admit(now, &team.id, limits, tokens) {
        Admission::Admitted => Ok(()),
        Admission::Refused(refusal) => Err(refusal),
        Admission::NeedsAllowance(_) => Err(share.refused(now, &team.id, limits)),
    }
}

async fn ask(
    host: &Arc<Host>,
    team: &Team,
    limits: Limits,
    wanted: AllowanceRequest,
    tokens: Tokens,
) -> Allowance {
    let alive = host.peers.alive();
    let call = Body::TakeAllowance(TakeAllowance {
        team: team.id.to_string(),
        requests: wanted.requests,
        tokens: wanted.tokens.0,
    });
    if let Some(home) = rendezvous(team.id.as_str().as_bytes(), &alive).first() {
        match host.peers.call(&home.host, call, HOME_TIMEOUT).await {
            Ok(Body::Allowance(allowance)) => {
                return Allowance {
                    requests: allowance.requests,
                    tokens: Tokens(allowance.tokens),
                };
            }
            Ok(_) => debug!(team = %team.id, "limits: the home gave no allowance"),
            Err(err) => debug!(team = %team.id, %err, "limits: the home did not answer"),
        }
    }
    lock(&host.limits.share).fallback_allowance(limits, alive.len(), tokens)
}

impl TeamLimits {
    /// Answers a host that asks for an allowance.
    pub fn answer_take(
        &self,
        host: &Host,
        asker: (&HostId, Incarnation),
        take: &TakeAllowance,
    ) -> Body {
        let current = host.conf.current();
        let team = take
            .team
            .parse()
            .ok()
            .and_then(|id: TeamId| current.as_ref()?.inventory.team(&id));
        let Some(team) = team else {
            return Body::Unsupported(Unsupported {});
        };
        let wanted = AllowanceRequest {
            requests: take.requests,
            tokens: Tokens(take.tokens),
        };
        let now = host.clock.now();
        let limits = limits_of(team);
        let allowance = lock(&self.home).take(now, &team.id, limits, asker, wanted);
        Body::Allowance(bv_wire::Allowance {
            requests: allowance.requests,
            tokens: allowance.tokens.0,
        })
    }

    /// Answers a host that gives tokens back.
    pub fn answer_give_back(&self, asker: (&HostId, Incarnation), back: &GiveBack) -> Body {
        if let Ok(team) = back.team.parse() {
            lock(&self.home).give_back(&team, asker, Tokens(back.tokens));
        }
        Body::Allowance(bv_wire::Allowance::default())
    }

    /// Takes back what a dead process held.
    pub fn host_dead(&self, host: &HostId, incarnation: Incarnation) {
        lock(&self.home).host_dead(host, incarnation);
    }
}

/// Gives unused tokens back until the process ends.
pub(crate) async fn maintain(host: Arc<Host>) {
    loop {
        tokio::time::sleep(MAINTENANCE.duration()).await;
        let now = host.clock.now();
        lock(&host.limits.home).expire(now);
        let free = {
            let mut share = lock(&host.limits.share);
            share.expire(now);
            share.take_free_tokens()
        };
        let alive = host.peers.alive();
        for (team, tokens) in free {
            let Some(home) = rendezvous(team.as_str().as_bytes(), &alive)
                .first()
                .copied()
            else {
                continue;
            };
            let back = Body::GiveBack(GiveBack {
                team: team.to_string(),
                tokens: tokens.0,
            });
            if let Err(err) = host.peers.call(&home.host, back, HOME_TIMEOUT).await {
                debug!(%team, %err, "limits: tokens were not given back");
                let allowance = Allowance {
                    requests: 0,
                    tokens,
                };
                lock(&host.limits.share).granted(now, &team, allowance);
            }
        }
    }
}

fn limits_of(team: &Team) -> Limits {
    Limits {
        requests: team.requests,
        tokens: team.tokens,
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
