//! Direct probes of other members, and probes relayed for other hosts.

use std::net::SocketAddr;

use bv_types::{HostId, Millis};
use fastrand::Rng;

use crate::Member;
use crate::timing::{DIRECT_TIMEOUT, MAX_RELAYS, PROBE_PERIOD, PROBE_TIMEOUT};

/// A probe that waits for an acknowledgement.
#[derive(Debug)]
pub(crate) struct Probe {
    pub seq: u64,
    pub member: Member,
    started: Millis,
    requested_indirect: bool,
}

/// A ping that this host sends on behalf of another member.
#[derive(Debug)]
pub(crate) struct Relay {
    seq: u64,
    target: HostId,
    requester: SocketAddr,
    requester_seq: u64,
    deadline: Millis,
}

/// Next step of a probe.
#[derive(Debug)]
pub(crate) enum Step {
    /// Ask other hosts to ping the member.
    RequestIndirect { seq: u64, member: Member },
    /// No acknowledgement arrived in time.
    Failed(Member),
}

/// Probes of one host. Each member is probed once per round, in shuffled order.
#[derive(Debug)]
pub(crate) struct Probes {
    round: Vec<HostId>,
    pending: Vec<Probe>,
    relays: Vec<Relay>,
    next_at: Millis,
}

impl Probes {
    pub fn new(now: Millis, rng: &mut Rng) -> Self {
        Probes {
            round: Vec::new(),
            pending: Vec::new(),
            relays: Vec::new(),
            next_at: now + Millis(rng.u64(..PROBE_PERIOD.0)),
        }
    }

    /// Returns whether the next probe is due, and if so schedules the one after it.
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
        self.pending.push(Probe {
            seq,
            member,
            started: now,
            requested_indirect: false,
        });
    }

    /// Ends the probe that this acknowledgement answers.
    pub fn acknowledge(&mut self, seq: u64, by: &HostId) {
        self.pending
            .retain(|p| p.seq != seq || p.member.host != *by);
    }

    /// Returns the steps of probes whose timeouts have passed, and ends probes that failed.
    pub fn advance(&mut self, now: Millis) -> Vec<Step> {
        let mut steps = Vec::new();
        self.pending.retain_mut(|p| {
            if now >= p.started + PROBE_TIMEOUT {
                steps.push(Step::Failed(p.member.clone()));
                return false;
            }
            if !p.requested_indirect && now >= p.started + DIRECT_TIMEOUT {
                p.requested_indirect = true;
                steps.push(Step::RequestIndirect {
                    seq: p.seq,
                    member: p.member.clone(),
                });
            }
            true
        });
        self.relays.retain(|r| now < r.deadline);
        steps
    }

    /// Drops all pending probes without a result, because this process was paused.
    pub fn abandon(&mut self) {
        self.pending.clear();
        self.relays.clear();
    }

    /// Records a ping on behalf of another member; returns false at the limit of relays.
    pub fn add_relay(
        &mut self,
        now: Millis,
        seq: u64,
        target: HostId,
        requester: SocketAddr,
        requester_seq: u64,
    ) -> bool {
        if self.relays.len() >= MAX_RELAYS {
            return false;
        }
        self.relays.push(Relay {
            seq,
            target,
            requester,
            requester_seq,
            deadline: now + PROBE_TIMEOUT,
        });
        true
    }

    /// Removes the relay that this acknowledgement answers. Returns the requester and the sequence
    /// number of its request.
    pub fn take_relay(&mut self, seq: u64, by: &HostId) -> Option<(SocketAddr, u64)> {
        let at = self
            .relays
            .iter()
            .position(|r| r.seq == seq && r.target == *by)?;
        let relay = self.relays.swap_remove(at);
        Some((relay.requester, relay.requester_seq))
    }
}
