//! Guards against a team that exceeds its limits by using several entry hosts.

use bv_limit::{Admission, HostAllowances, Limits, OwnedTeams};
use bv_types::{HostId, Incarnation, Millis, RatePerSec, Refusal, TeamId, Tokens};
use fastrand::Rng;

const HOSTS: usize = 8;
const SEEDS: u64 = 2_000;
const STEP: Millis = Millis(10);
const STEPS: u64 = 500;

struct Fleet {
    owner: OwnedTeams,
    allowances: Vec<HostAllowances>,
    hosts: Vec<HostId>,
    team: TeamId,
    limits: Limits,
}

impl Fleet {
    fn new(limits: Limits) -> Self {
        Fleet {
            owner: OwnedTeams::default(),
            allowances: vec![HostAllowances::default(); HOSTS],
            hosts: (0..HOSTS)
                .map(|i| format!("host-{i}").parse().unwrap())
                .collect(),
            team: "gate".parse().unwrap(),
            limits,
        }
    }

    /// Sends a request to a host, which requests an allowance from the owner if it needs one.
    fn offer(&mut self, now: Millis, on: usize, tokens: Tokens) -> Result<(), Refusal> {
        let allowances = &mut self.allowances[on];
        match allowances.admit(now, &self.team, self.limits, tokens) {
            Admission::Admitted => return Ok(()),
            Admission::Refused(refusal) => return Err(refusal),
            Admission::NeedsAllowance(wanted) => {
                let requester = (&self.hosts[on], Incarnation(1));
                let allowance = self
                    .owner
                    .take(now, &self.team, self.limits, requester, wanted);
                allowances.add_allowance(now, &self.team, allowance);
            }
        }
        match allowances.admit(now, &self.team, self.limits, tokens) {
            Admission::Admitted => Ok(()),
            _ => Err(allowances.record_refusal(now, &self.team, self.limits)),
        }
    }
}

fn rate_limit(rate: f64) -> Limits {
    Limits {
        requests: Some(RatePerSec::try_from(rate).unwrap()),
        tokens: None,
    }
}

/// Guards against more requests than the rate limit allows over all hosts.
#[test]
fn rate_limit_over_hosts() {
    for seed in 0..SEEDS {
        let mut rng = Rng::with_seed(seed);
        let rate = rng.u32(1..200) as f64;
        let mut fleet = Fleet::new(rate_limit(rate));
        let mut admitted = 0.0;
        for step in 0..STEPS {
            let now = Millis(step * STEP.0);
            for _ in 0..rng.usize(..6) {
                let on = rng.usize(..HOSTS);
                admitted += f64::from(fleet.offer(now, on, Tokens(1)).is_ok());
            }
        }
        let seconds = (STEPS * STEP.0) as f64 / 1000.0;
        // The bucket holds the requests of one second at the start.
        let max = rate * seconds + rate.max(1.0);
        assert!(
            admitted <= max,
            "seed {seed}: {admitted} admitted, at most {max} allowed"
        );
    }
}

/// Guards against a rate limit that cannot be reached because allowances expire unused.
#[test]
fn rate_limit_is_reached() {
    let mut fleet = Fleet::new(rate_limit(50.0));
    let mut rng = Rng::with_seed(7);
    let mut admitted = 0;
    for step in 0..1_000 {
        let now = Millis(step * STEP.0);
        for _ in 0..4 {
            admitted += u32::from(fleet.offer(now, rng.usize(..HOSTS), Tokens(1)).is_ok());
        }
    }
    // 50 per second for 10 s; 10 % may be lost in allowances that expire unused.
    assert!(admitted >= 450, "{admitted} admitted");
}

/// Guards against more tokens in progress over all hosts than the limit allows.
#[test]
fn token_limit_over_hosts() {
    for seed in 0..SEEDS {
        let mut rng = Rng::with_seed(seed);
        let limit = Tokens(rng.u64(100..10_000));
        let limits = Limits {
            requests: None,
            tokens: Some(limit),
        };
        let mut fleet = Fleet::new(limits);
        let mut running: Vec<(usize, Tokens)> = Vec::new();
        for step in 0..STEPS {
            let now = Millis(step * STEP.0);
            let on = rng.usize(..HOSTS);
            let tokens = Tokens(rng.u64(1..2_000));
            if fleet.offer(now, on, tokens).is_ok() {
                running.push((on, tokens));
            }
            if !running.is_empty() && rng.bool() {
                let (on, tokens) = running.swap_remove(rng.usize(..running.len()));
                fleet.allowances[on].finish(&fleet.team, limits, tokens);
            }
            let on = rng.usize(..HOSTS);
            for (team, tokens) in fleet.allowances[on].take_free_tokens() {
                let requester = (&fleet.hosts[on], Incarnation(1));
                fleet.owner.give_back(&team, requester, tokens);
            }
            let total: u64 = running.iter().map(|(_, tokens)| tokens.0).sum();
            assert!(
                total <= limit.0,
                "seed {seed}: {total} tokens in progress, at most {limit} allowed"
            );
        }
    }
}

/// Guards against tokens that stay granted to a dead host.
#[test]
fn dead_host_tokens_are_taken_back() {
    let limits = Limits {
        requests: None,
        tokens: Some(Tokens(100)),
    };
    let mut fleet = Fleet::new(limits);
    assert!(fleet.offer(Millis(1), 0, Tokens(100)).is_ok());
    assert_eq!(
        fleet.offer(Millis(1), 1, Tokens(50)),
        Err(Refusal::TeamTokens)
    );
    fleet.owner.host_dead(&fleet.hosts[0], Incarnation(1));
    assert!(fleet.offer(Millis(200), 1, Tokens(50)).is_ok());
}

/// Guards against a host with high demand that takes the whole rate limit.
#[test]
fn high_demand_leaves_a_part_to_other_hosts() {
    let mut fleet = Fleet::new(rate_limit(20.0));
    let mut admitted = [0; 2];
    for step in 0..1_000 {
        let now = Millis(step * STEP.0);
        for _ in 0..20 {
            admitted[0] += u32::from(fleet.offer(now, 0, Tokens(1)).is_ok());
        }
        admitted[1] += u32::from(fleet.offer(now, 1, Tokens(1)).is_ok());
    }
    // Host 0 asks 20 times as often; host 1 must still be granted a part.
    assert!(admitted[1] >= 10, "{admitted:?}");
}
