//! Probes of other members, own and relayed.

use std::net::SocketAddr;

use bv_types::{HostId, Millis};
use fastrand::Rng;

use crate::Member;
use crate::timing::{DIRECT_LIMIT, MAX_RELAYS, PROBE_LIMIT, PROBE_PERIOD};

/// A probe that waits for an acknowledgement.
#[derive(Debug)]
pub(crate) struct Probe {
    pub seq: u64,
    pub member: Member,
    started: Millis,
    indirect: bool,
}

/// A ping on behalf of another member.
#[derive(Debug)]
pub(crate) struct Relay {
    seq: u64,
    target: HostId,
    asked_by: SocketAddr,
    asked_seq: u64,
    until: Millis,
}

/// What a probe needs now.
#[derive(Debug)]
pub(crate) enum Step {
    /// Other hosts are to ping the member.
    AskHelpers { seq: u64, member: Member },
    /// The member did not answer.
    Failed(Member),
}

/// Probes of one host; each member is probed once in each round over a shuffled list.
#[derive(Debug)]
pub(crate) struct Probes {
    round: Vec<HostId>,
    open: Vec<Probe>,
    relays: Vec<Relay>,
    next_at: Millis,
}

impl Probes {
    pub fn new(now: Millis, rng: &mut Rng) -> Self {
        Probes {
            round: Vec::new(),
            open: Vec::new(),
            relays: Vec::new(),
            next_at: now + Millis(rng.u64(..PROBE_PERIOD.0)),
        }
    }

    /// Whether the next probe is due; then the one after is scheduled.
    pub fn is_due(&mut self, now: Millis) -> bool {
        if now < self.next_at {
            return false;
        }
        self.next_at = (self.next_at + PROBE_PERIOD).max(now);
        true
    }

    /// The next member to probe, from `alive` in shuffled rounds.
    pub fn next_target(&mut self, alive: &[Member], rng: &mut Rng) -> Option<Member> {
        if alive.is_empty() {
            return None;
        }
        loop {
            while let Some(host) = self.round.pop() {
                if let Ok(at) = alive.binary_search_by(|m| m.host.cmp(&host)) {
                    return Some(alive[at].clone());
                }
            }
            self.round = alive.iter().map(|m| m.host.clone()).collect();
            rng.shuffle(&mut self.round);
        }
    }

    pub fn start(&mut self, now: Millis, seq: u64, member: Member) {
        self.open.push(Probe {
            seq,
            member,
            started: now,
            indirect: false,
        });
    }

    /// Ends the probe that this acknowledgement answers.
    pub fn acknowledge(&mut self, seq: u64, by: &HostId) {
        self.open.retain(|p| p.seq != seq || p.member.host != *by);
    }

    /// Steps of probes whose time has passed.
    pub fn advance(&mut self, now: Millis) -> Vec<Step> {
        let mut steps = Vec::new();
        self.open.retain_mut(|p| {
            if now >= p.started + PROBE_LIMIT {
                steps.push(Step::Failed(p.member.clone()));
                return false;
            }
            if !p.indirect && now >= p.started + DIRECT_LIMIT {
                p.indirect = true;
                steps.push(Step::AskHelpers {
                    seq: p.seq,
                    member: p.member.clone(),
                });
            }
            true
        });
        self.relays.retain(|r| now < r.until);
        steps
    }

    /// Gives up all open probes without a result, because this process was paused.
    pub fn abandon(&mut self) {
        self.open.clear();
        self.relays.clear();
    }

    /// Remembers a ping on behalf of another member; false if there are too many.
    pub fn relay(
        &mut self,
        now: Millis,
        seq: u64,
        target: HostId,
        asked_by: SocketAddr,
        asked_seq: u64,
    ) -> bool {
        if self.relays.len() >= MAX_RELAYS {
            return false;
        }
        self.relays.push(Relay {
            seq,
            target,
            asked_by,
            asked_seq,
            until: now + PROBE_LIMIT,
        });
        true
    }

    /// Who asked for the ping that this acknowledgement answers, with the number of its request.
    pub fn relayed(&mut self, seq: u64, by: &HostId) -> Option<(SocketAddr, u64)> {
        let at = self
            .relays
            .iter()
            .position(|r| r.seq == seq && r.target == *by)?;
        let relay = self.relays.swap_remove(at);
        Some((relay.asked_by, relay.asked_seq))
    }
}
