//! Membership state machine.

use std::net::SocketAddr;

use bv_types::{HostId, Incarnation, Millis};
use fastrand::Rng;

use crate::departure::Phase;
use crate::gossip::GossipStore;
use crate::message::{Kind, MemberUpdate, Message, Status};
use crate::probe::{Probes, Step};
use crate::rejoin::RejoinPings;
use crate::table::{Change, Table};
use crate::timing::{
    GOSSIP_FANOUT, GOSSIP_PERIOD, INDIRECT_PROBES, PAUSE_THRESHOLD, VIEW_EXCHANGE_PERIOD,
    transmissions,
};
use crate::{Action, Event, GossipUpdate, Member};

/// Membership view of one host.
#[derive(Debug)]
pub struct Membership {
    pub(crate) local: Member,
    /// Refutation counter of this process.
    pub(crate) counter: u32,
    pub(crate) table: Table,
    pub(crate) gossip: GossipStore,
    /// Index of the table entry that was last sent in rotation.
    pub(crate) rotation: usize,
    pub(crate) own_digest: u64,
    /// Last time at which another host had the same view, or this host sent its whole view to one
    /// whose view differs.
    views_compared_at: Millis,
    probes: Probes,
    rejoin_pings: RejoinPings,
    pub(crate) phase: Phase,
    rng: Rng,
    next_seq: u64,
    last_tick_at: Millis,
    /// Refutation counter in the last report that this process is dead.
    reported_dead_counter: Option<u32>,
    /// Whether member or gossip updates are to be sent without waiting for a probe.
    has_pending_updates: bool,
    next_gossip_at: Millis,
}

impl Membership {
    /// Creates the view of a host that knows only the addresses of its seeds.
    pub fn new(local: Member, seeds: Vec<SocketAddr>, seed: u64, now: Millis) -> Self {
        let mut rng = Rng::with_seed(seed);
        Membership {
            own_digest: local.digest(),
            views_compared_at: now,
            rejoin_pings: RejoinPings::new(seeds, local.addr, now),
            local,
            counter: 0,
            table: Table::default(),
            gossip: GossipStore::default(),
            rotation: 0,
            probes: Probes::new(now, &mut rng),
            phase: Phase::Active,
            next_seq: rng.u64(..1 << 32),
            rng,
            last_tick_at: now,
            reported_dead_counter: None,
            has_pending_updates: false,
            next_gossip_at: now,
        }
    }

    /// Live members, sorted by host id, this one included.
    pub fn alive(&self) -> Vec<Member> {
        let mut alive = self.other_members();
        let at = alive.partition_point(|m| m.host < self.local.host);
        alive.insert(at, self.local.clone());
        alive
    }

    /// Handles one event and returns the actions that the driver must carry out, in order.
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Packet(message) => self.receive(now, message, &mut out),
            Event::Tick => self.tick(now, &mut out),
            Event::Leave => self.leave(now),
            Event::AddGossipUpdate(update) => {
                let sends = self.sends_per_update();
                self.has_pending_updates |= self.gossip.add(now, update, sends);
            }
        }
        if let Phase::Active = self.phase {
            self.send_pending_updates(now, &mut out);
        }
        out
    }

    pub(crate) fn other_members(&self) -> Vec<Member> {
        self.table.alive().map(|e| e.member.clone()).collect()
    }

    fn sends_per_update(&self) -> u32 {
        transmissions(self.table.alive().count() + 1)
    }

    fn seq(&mut self) -> u64 {
        self.next_seq += 1;
        self.next_seq
    }

    pub(crate) fn send(
        &mut self,
        now: Millis,
        to: &Member,
        seq: u64,
        kind: Kind,
        out: &mut Vec<Action>,
    ) {
        let message = self.compose(now, Some(&to.host), seq, kind);
        out.push(Action::Send {
            to: to.addr,
            message,
        });
    }

    fn receive(&mut self, now: Millis, message: Message, out: &mut Vec<Action>) {
        let from = message.from;
        if from.host == self.local.host {
            self.check_superseded(from.incarnation, out);
            return;
        }
        if self.table.is_stale(&from) {
            return;
        }
        let status = match message.kind {
            Kind::Leave => Status::Left,
            _ => Status::Alive,
        };
        let update = MemberUpdate {
            member: from.clone(),
            counter: message.counter,
            status,
        };
        let declaration = self.death_declaration(&from);
        if self.apply(now, update, out) {
            self.send_view(&from, declaration, out);
        }
        let counter = self.counter;
        for update in message.member_updates {
            self.receive_update(now, &from.host, update, out);
        }
        let refuted = self.counter != counter;
        for sent in message.gossip_updates {
            let sends = self.sends_per_update();
            let is_config = matches!(sent.update, GossipUpdate::Config { .. });
            if let Some(update) = self.gossip.receive(now, sent, sends) {
                // A host gossips a configuration only once it is in force there.
                self.has_pending_updates |= !is_config;
                let from = from.host.clone();
                out.push(Action::GossipUpdate { from, update });
            }
        }
        self.gossip.compare_digest(now, message.gossip_digest);
        self.compare_views(now, &from, message.view_digest, out);
        self.reply(now, &from, message.seq, message.kind, refuted, out);
    }

    fn reply(
        &mut self,
        now: Millis,
        from: &Member,
        seq: u64,
        kind: Kind,
        refuted: bool,
        out: &mut Vec<Action>,
    ) {
        if let Phase::Leaving { .. } = self.phase {
            if kind == Kind::Ping {
                self.send(now, from, seq, Kind::Leave, out);
            }
            return;
        }
        let gets_ack = kind == Kind::Ping;
        match kind {
            Kind::Ping => self.send(now, from, seq, Kind::Ack { target: None }, out),
            Kind::Ack { target } => {
                let by = target.as_ref().unwrap_or(&from.host);
                self.probes.acknowledge(seq, by);
                if target.is_none()
                    && let Some((to, seq)) = self.probes.take_relay(seq, &from.host)
                {
                    let target = Some(from.host.clone());
                    let message = self.compose(now, None, seq, Kind::Ack { target });
                    out.push(Action::Send { to, message });
                }
            }
            Kind::PingReq { target, addr } => {
                let relay_seq = self.seq();
                let requester = from.addr;
                if self
                    .probes
                    .add_relay(now, relay_seq, target.clone(), requester, seq)
                {
                    let message = self.compose(now, Some(&target), relay_seq, Kind::Ping);
                    out.push(Action::Send { to: addr, message });
                }
            }
            Kind::Gossip | Kind::Leave => {}
        }
        // An ack already carries the refutation.
        if refuted && !gets_ack {
            self.send(now, from, 0, Kind::Gossip, out);
        }
    }

    /// Handles an update about a member that another host sent.
    fn receive_update(
        &mut self,
        now: Millis,
        by: &HostId,
        update: MemberUpdate,
        out: &mut Vec<Action>,
    ) {
        if update.member.host != self.local.host {
            self.apply(now, update, out);
            return;
        }
        if update.member.incarnation != self.local.incarnation {
            self.check_superseded(update.member.incarnation, out);
            return;
        }
        if update.status == Status::Alive || self.phase != Phase::Active {
            return;
        }
        if update.status >= Status::Dead && Some(update.counter) > self.reported_dead_counter {
            self.reported_dead_counter = Some(update.counter);
            out.push(Action::DeclaredDead { by: by.clone() });
        }
        if update.counter >= self.counter {
            self.counter = update.counter.saturating_add(1);
            self.has_pending_updates = true;
        }
    }

    fn check_superseded(&self, incarnation: Incarnation, out: &mut Vec<Action>) {
        if incarnation > self.local.incarnation {
            out.push(Action::Superseded { by: incarnation });
        }
    }

    /// Records an update about a member; returns whether a member joined.
    fn apply(&mut self, now: Millis, update: MemberUpdate, out: &mut Vec<Action>) -> bool {
        let sends = self.sends_per_update();
        let changes = self.table.apply(now, update, sends);
        self.handle_changes(now, changes, out)
    }

    /// Carries out the effects of changes of the table; returns whether a member joined.
    fn handle_changes(&mut self, now: Millis, changes: Vec<Change>, out: &mut Vec<Action>) -> bool {
        let mut joined = false;
        for change in changes {
            match change {
                Change::Joined(member) => {
                    joined = true;
                    self.has_pending_updates = true;
                    let sends = self.sends_per_update();
                    self.gossip.resend_all(sends);
                    out.push(Action::Joined(member));
                }
                Change::Suspected(member) => {
                    // The member is notified at once, so that it has the whole time to refute.
                    self.send(now, &member, 0, Kind::Gossip, out);
                    out.push(Action::Suspected(member));
                }
                Change::Refuted => self.has_pending_updates = true,
                Change::Dead(member) => {
                    self.has_pending_updates = true;
                    out.push(Action::Dead(member));
                }
                Change::Left(member) => {
                    self.has_pending_updates = true;
                    out.push(Action::Left(member));
                }
            }
        }
        joined
    }

    /// The update that declares this member dead, if this host counts it as dead.
    fn death_declaration(&self, member: &Member) -> Option<MemberUpdate> {
        let entry = self.table.get(&member.host)?;
        (entry.status == Status::Dead && entry.member == *member).then(|| entry.update())
    }

    fn compare_views(&mut self, now: Millis, from: &Member, digest: u64, out: &mut Vec<Action>) {
        if digest == self.view_digest() {
            self.views_compared_at = now;
        } else if now >= self.views_compared_at + VIEW_EXCHANGE_PERIOD {
            self.views_compared_at = now;
            self.send_view(from, None, out);
        }
    }

    /// Sends the whole view to a host that joined through this one, or whose view differs after
    /// [`VIEW_EXCHANGE_PERIOD`] without an equal one. A host that had been declared dead also gets
    /// that declaration, even if it has refuted it since.
    fn send_view(
        &mut self,
        member: &Member,
        declaration: Option<MemberUpdate>,
        out: &mut Vec<Action>,
    ) {
        let to = member.addr;
        for message in self.compose_view(declaration) {
            out.push(Action::Send { to, message });
        }
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        let gap = now - self.last_tick_at;
        self.last_tick_at = now;
        if let Phase::Leaving {
            announcements_left,
            next_at,
        } = self.phase
        {
            self.announce_leave(now, announcements_left, next_at, out);
            return;
        }
        if gap >= PAUSE_THRESHOLD {
            // Acknowledgements that arrived during the pause are not read yet, so a missing one is
            // no sign of a failure.
            self.probes.abandon();
            self.table.extend_suspicions(now, gap);
        }
        for step in self.probes.advance(now) {
            match step {
                Step::RequestIndirect { seq, member } => {
                    self.request_indirect_probes(now, seq, &member, out)
                }
                Step::Failed(member) => self.suspect(now, &member, out),
            }
        }
        let sends = self.sends_per_update();
        let changes = self.table.expire(now, sends);
        self.handle_changes(now, changes, out);
        self.gossip.expire(now);
        if self.probes.is_due(now) {
            self.probe(now, out);
        }
        for to in self.rejoin_pings.due(now, &self.table, &mut self.rng) {
            let host = self.table.dead().find(|e| e.member.addr == to);
            let host = host.map(|e| e.member.host.clone());
            let seq = self.seq();
            let message = self.compose(now, host.as_ref(), seq, Kind::Ping);
            out.push(Action::Send { to, message });
        }
    }

    fn probe(&mut self, now: Millis, out: &mut Vec<Action>) {
        let alive = self.other_members();
        let Some(target) = self.probes.next_target(&alive, &mut self.rng) else {
            return;
        };
        let seq = self.seq();
        self.probes.start(now, seq, target.clone());
        self.send(now, &target, seq, Kind::Ping, out);
    }

    fn request_indirect_probes(
        &mut self,
        now: Millis,
        seq: u64,
        member: &Member,
        out: &mut Vec<Action>,
    ) {
        let mut helpers = self.other_members();
        helpers.retain(|m| m.host != member.host);
        for helper in self.choose_random(helpers, INDIRECT_PROBES) {
            let kind = Kind::PingReq {
                target: member.host.clone(),
                addr: member.addr,
            };
            self.send(now, &helper, seq, kind, out);
        }
    }

    fn suspect(&mut self, now: Millis, member: &Member, out: &mut Vec<Action>) {
        let Some(entry) = self.table.get(&member.host) else {
            return;
        };
        if entry.status != Status::Alive || entry.member.incarnation != member.incarnation {
            return;
        }
        let update = MemberUpdate {
            status: Status::Suspect,
            ..entry.update()
        };
        self.apply(now, update, out);
    }

    /// Sends member and gossip updates to a few random members without waiting for a probe.
    fn send_pending_updates(&mut self, now: Millis, out: &mut Vec<Action>) {
        if !self.has_pending_updates || now < self.next_gossip_at {
            return;
        }
        self.has_pending_updates = false;
        self.next_gossip_at = now + GOSSIP_PERIOD;
        for member in self.choose_random(self.other_members(), GOSSIP_FANOUT) {
            self.send(now, &member, 0, Kind::Gossip, out);
        }
    }

    pub(crate) fn choose_random(&mut self, mut members: Vec<Member>, count: usize) -> Vec<Member> {
        self.rng.shuffle(&mut members);
        members.truncate(count);
        members
    }
}
