//! Limits of teams across all entry hosts.
//!
//! One entry host owns the limits of a team and hands out allowances; every entry host, including
//! the owner, admits requests within its allowance.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bv_config::Team;
use bv_limit::{Admission, Allowance, AllowanceRequest, HostAllowances, Limits, OwnedTeams};
use bv_member::rendezvous;
use bv_types::{HostId, Incarnation, Millis, Refusal, TeamId, Tokens};
use bv_wire::frame::Body;
use bv_wire::{GiveBack, TakeAllowance, Unsupported};
use tracing::debug;

use crate::Host;

/// Time for one call to the owner of a team.
const OWNER_TIMEOUT: Millis = Millis(150);
/// Interval of [`maintain`].
const MAINTENANCE_INTERVAL: Millis = Millis(1_000);

/// Team limits at one entry host, as owner of some teams and as user of allowances.
#[derive(Debug, Default)]
pub(crate) struct TeamLimits {
    owned: Mutex<OwnedTeams>,
    allowances: Mutex<HostAllowances>,
}

/// An admitted request of a team; its tokens are released when it is dropped.
pub(crate) struct TeamPermit {
    host: Arc<Host>,
    team: TeamId,
    limits: Limits,
    tokens: Tokens,
}

impl Drop for TeamPermit {
    fn drop(&mut self) {
        lock(&self.host.limits.allowances).finish(&self.team, self.limits, self.tokens);
    }
}

/// Admits a request of a team, with an allowance from the owner of the team if needed.
///
/// # Errors
/// Returns the limit that the team has reached.
pub(crate) async fn admit(
    host: &Arc<Host>,
    team: &Team,
    tokens: Tokens,
) -> Result<TeamPermit, Refusal> {
    let limits = limits_of(team);
    let first = lock(&host.limits.allowances).admit(host.clock.now(), &team.id, limits, tokens);
    match first {
        Admission::Admitted => {}
        Admission::Refused(refusal) => return Err(refusal),
        Admission::NeedsAllowance(wanted) => {
            let allowance = request_allowance(host, team, limits, wanted, tokens).await;
            admit_with_allowance(host, team, limits, tokens, allowance)?;
        }
    }
    Ok(TeamPermit {
        host: host.clone(),
        team: team.id.clone(),
        limits,
        tokens,
    })
}

fn admit_with_allowance(
    host: &Host,
    team: &Team,
    limits: Limits,
    tokens: Tokens,
    allowance: Allowance,
) -> Result<(), Refusal> {
    let now = host.clock.now();
    let mut allowances = lock(&host.limits.allowances);
    allowances.add_allowance(now, &team.id, allowance);
    match allowances.admit(now, &team.id, limits, tokens) {
        Admission::Admitted => Ok(()),
        Admission::Refused(refusal) => Err(refusal),
        Admission::NeedsAllowance(_) => Err(allowances.record_refusal(now, &team.id, limits)),
    }
}

async fn request_allowance(
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
    if let Some(owner) = rendezvous(team.id.as_str().as_bytes(), &alive).first() {
        match host.peers.call(&owner.host, call, OWNER_TIMEOUT).await {
            Ok(Body::Allowance(allowance)) => {
                return Allowance {
                    requests: allowance.requests,
                    tokens: Tokens(allowance.tokens),
                };
            }
            Ok(_) => debug!(team = %team.id, "limits: the owner of the team gave no allowance"),
            Err(err) => {
                debug!(
                    team = %team.id,
                    %err,
                    "limits: requesting an allowance from the owner failed"
                )
            }
        }
    }
    lock(&host.limits.allowances).fallback_allowance(limits, alive.len(), tokens)
}

impl TeamLimits {
    /// Answers a host that requests an allowance.
    pub fn answer_take(
        &self,
        host: &Host,
        requester: (&HostId, Incarnation),
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
        let allowance = lock(&self.owned).take(now, &team.id, limits, requester, wanted);
        Body::Allowance(bv_wire::Allowance {
            requests: allowance.requests,
            tokens: allowance.tokens.0,
        })
    }

    /// Answers a host that gives tokens back.
    pub fn answer_give_back(&self, requester: (&HostId, Incarnation), back: &GiveBack) -> Body {
        if let Ok(team) = back.team.parse() {
            lock(&self.owned).give_back(&team, requester, Tokens(back.tokens));
        }
        Body::Allowance(bv_wire::Allowance::default())
    }

    /// Takes back the allowances of a dead process.
    pub fn host_dead(&self, host: &HostId, incarnation: Incarnation) {
        lock(&self.owned).host_dead(host, incarnation);
    }
}

/// Expires old allowances and gives unused tokens back to the owners of the teams, until the
/// process ends.
pub(crate) async fn maintain(host: Arc<Host>) {
    loop {
        tokio::time::sleep(MAINTENANCE_INTERVAL.duration()).await;
        let now = host.clock.now();
        lock(&host.limits.owned).expire(now);
        let unused = {
            let mut allowances = lock(&host.limits.allowances);
            allowances.expire(now);
            allowances.take_free_tokens()
        };
        let alive = host.peers.alive();
        for (team, tokens) in unused {
            let Some(owner) = rendezvous(team.as_str().as_bytes(), &alive)
                .first()
                .copied()
            else {
                continue;
            };
            let back = Body::GiveBack(GiveBack {
                team: team.to_string(),
                tokens: tokens.0,
            });
            if let Err(err) = host.peers.call(&owner.host, back, OWNER_TIMEOUT).await {
                debug!(%team, %err, "limits: returning unused tokens to the owner failed");
                let allowance = Allowance {
                    requests: 0,
                    tokens,
                };
                lock(&host.limits.allowances).add_allowance(now, &team, allowance);
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
