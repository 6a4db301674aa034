//! Guards against a team that gets more than its limits by using several entry hosts.

use bv_limit::{Admission, HostShare, Limits, TeamHome};
use bv_types::{HostId, Incarnation, Millis, RatePerSec, Refusal, TeamId, Tokens};
use fastrand::Rng;

const HOSTS: usize = 8;
const SEEDS: u64 = 2_000;
const STEP: Millis = Millis(10);
const STEPS: u64 = 500;

struct Fleet {
    home: TeamHome,
    shares: Vec<HostShare>,
    hosts: Vec<HostId>,
    team: TeamId,
    limits: Limits,
}

impl Fleet {
    fn new(limits: Limits) -> Self {
        Fleet {
            home: TeamHome::default(),
            shares: vec![HostShare::default(); HOSTS],
            hosts: (0..HOSTS)
                .map(|i| format!("host-{i}").parse().unwrap())
                .collect(),
            team: "gate".parse().unwrap(),
            limits,
        }
    }

    /// Offers a request at a host, asking the home as the host asks for it.
    fn offer(&mut self, now: Millis, on: usize, tokens: Tokens) -> Result<(), Refusal> {
        let share = &mut self.shares[on];
        match share.admit(now, &self.team, self.limits, tokens) {
            Admission::Admitted => return Ok(()),
            Admission::Refused(refusal) => return Err(refusal),
            Admission::Ask(wanted) => {
                let asker = (&self.hosts[on], Incarnation(1));
                let allowance = self.home.take(now, &self.team, self.limits, asker, wanted);
                share.granted(now, &self.team, allowance);
            }
        }
        match share.admit(now, &self.team, self.limits, tokens) {
            Admission::Admitted => Ok(()),
            _ => Err(share.refused(now, &self.team, self.limits)),
        }
    }
}

fn rate_limit(rate: f64) -> Limits {
    Limits {
        requests: Some(RatePerSec::try_from(rate).unwrap()),
        tokens: None,
    }
}

#[test]
fn rate_over_hosts() {
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
        // One second's worth may be in the bucket at the start.
        let most = rate * seconds + rate.max(1.0);
        assert!(admitted <= most, "seed {seed}: {admitted} of {most}");
    }
}

#[test]
fn rate_is_reached() {
    let mut fleet = Fleet::new(rate_limit(50.0));
    let mut rng = Rng::with_seed(7);
    let mut admitted = 0;
    for step in 0..1_000 {
        let now = Millis(step * STEP.0);
        for _ in 0..4 {
            admitted += u32::from(fleet.offer(now, rng.usize(..HOSTS), Tokens(1)).is_ok());
        }
    }
    // 50 a second over 10 s; a tenth may be lost in allowances that expire unused.
    assert!(admitted >= 450, "{admitted}");
}

#[test]
fn tokens_in_progress() {
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
                fleet.shares[on].finish(&fleet.team, limits, tokens);
            }
            let on = rng.usize(..HOSTS);
            for (team, tokens) in fleet.shares[on].take_free_tokens() {
                let asker = (&fleet.hosts[on], Incarnation(1));
                fleet.home.give_back(&team, asker, tokens);
            }
            let total: u64 = running.iter().map(|(_, tokens)| tokens.0).sum();
            assert!(total <= limit.0, "seed {seed}: {total} of {limit}");
        }
    }
}

#[test]
fn dead_host() {
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
    fleet.home.host_dead(&fleet.hosts[0], Incarnation(1));
    assert!(fleet.offer(Millis(200), 1, Tokens(50)).is_ok());
}

#[test]
fn busy_neighbour() {
    let mut fleet = Fleet::new(rate_limit(20.0));
    let mut admitted = [0; 2];
    for step in 0..1_000 {
        let now = Millis(step * STEP.0);
        for _ in 0..20 {
            admitted[0] += u32::from(fleet.offer(now, 0, Tokens(1)).is_ok());
        }
        admitted[1] += u32::from(fleet.offer(now, 1, Tokens(1)).is_ok());
    }
    // The neighbour asks for far more; the other host must still get a part.
    assert!(admitted[1] >= 10, "{admitted:?}");
}
