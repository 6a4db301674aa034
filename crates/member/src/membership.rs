//! The state machine.

use std::net::SocketAddr;

use bv_types::{HostId, Incarnation, Millis};
use fastrand::Rng;

use crate::contact::Contacts;
use crate::departure::Phase;
use crate::message::{Kind, Message, Status, Update};
use crate::probe::{Probes, Step};
use crate::rumour::Rumours;
use crate::table::{Change, Table};
use crate::timing::{HELPERS, OWN_PAUSE, SPREAD_FANOUT, SPREAD_PERIOD, VIEW_PERIOD, transmissions};
use crate::{Action, Event, Member, Rumour};

/// Membership as one host sees it.
#[derive(Debug)]
pub struct Membership {
    pub(crate) this: Member,
    pub(crate) counter: u32,
    pub(crate) table: Table,
    pub(crate) rumours: Rumours,
    /// Position of the entry that was last sent in rotation.
    pub(crate) rotation: usize,
    pub(crate) own_digest: u64,
    /// Last time at which another view was the same, or whole views were exchanged.
    last_agreed: Millis,
    probes: Probes,
    contacts: Contacts,
    pub(crate) phase: Phase,
    rng: Rng,
    next_seq: u64,
    last_tick: Millis,
    /// Refutation counter of the last declaration of this process's death.
    declared: Option<u32>,
    /// News is to be sent without waiting for a probe.
    has_news: bool,
    next_spread: Millis,
}

impl Membership {
    /// A host that knows only the addresses of its seeds.
    pub fn new(this: Member, seeds: Vec<SocketAddr>, seed: u64, now: Millis) -> Self {
        let mut rng = Rng::with_seed(seed);
        Membership {
            own_digest: this.digest(),
            last_agreed: now,
            contacts: Contacts::new(seeds, this.addr, now),
            this,
            counter: 0,
            table: Table::default(),
            rumours: Rumours::default(),
            rotation: 0,
            probes: Probes::new(now, &mut rng),
            phase: Phase::Member,
            next_seq: rng.u64(..1 << 32),
            rng,
            last_tick: now,
            declared: None,
            has_news: false,
            next_spread: now,
        }
    }

    /// Live members, sorted by host id, this one included.
    pub fn alive(&self) -> Vec<Member> {
        let mut alive = self.others();
        let at = alive.partition_point(|m| m.host < self.this.host);
        alive.insert(at, self.this.clone());
        alive
    }

    /// Takes one event.
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Packet(message) => self.receive(now, message, &mut out),
            Event::Tick => self.tick(now, &mut out),
            Event::Leave => self.leave(now),
            Event::AddRumour(rumour) => {
                let sends = self.sends();
                self.has_news |= self.rumours.add(now, rumour, sends);
            }
        }
        if let Phase::Member = self.phase {
            self.spread(now, &mut out);
        }
        out
    }

    pub(crate) fn others(&self) -> Vec<Member> {
        self.table.alive().map(|e| e.member.clone()).collect()
    }

    fn sends(&self) -> u32 {
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
        if from.host == self.this.host {
            self.hear_own_id(from.incarnation, out);
            return;
        }
        if self.table.is_stale(&from) {
            return;
        }
        let status = match message.kind {
            Kind::Leave => Status::Left,
            _ => Status::Alive,
        };
        let update = Update {
            member: from.clone(),
            counter: message.counter,
            status,
        };
        let declared = self.declared_dead(&from);
        if self.apply(now, update, out) {
            self.welcome(&from, declared, out);
        }
        let counter = self.counter;
        for update in message.updates {
            self.hear(now, &from.host, update, out);
        }
        let refuted = self.counter != counter;
        for sent in message.rumours {
            let sends = self.sends();
            let is_config = matches!(sent.rumour, Rumour::Config { .. });
            if let Some(rumour) = self.rumours.receive(now, sent, sends) {
                // A host spreads a configuration once it is in force there.
                self.has_news |= !is_config;
                let from = from.host.clone();
                out.push(Action::Rumour { from, rumour });
            }
        }
        self.rumours.compare(now, message.rumour_digest);
        self.compare_views(now, &from, message.view_digest, out);
        self.answer(now, &from, message.seq, message.kind, refuted, out);
    }

    fn answer(
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
        let answered = kind == Kind::Ping;
        match kind {
            Kind::Ping => self.send(now, from, seq, Kind::Ack { target: None }, out),
            Kind::Ack { target } => {
                let by = target.as_ref().unwrap_or(&from.host);
                self.probes.acknowledge(seq, by);
                if target.is_none()
                    && let Some((to, seq)) = self.probes.relayed(seq, &from.host)
                {
                    let target = Some(from.host.clone());
                    let message = self.compose(now, None, seq, Kind::Ack { target });
                    out.push(Action::Send { to, message });
                }
            }
            Kind::PingReq { target, addr } => {
                let own_seq = self.seq();
                let asked_by = from.addr;
                if self
                    .probes
                    .relay(now, own_seq, target.clone(), asked_by, seq)
                {
                    let message = self.compose(now, Some(&target), own_seq, Kind::Ping);
                    out.push(Action::Send { to: addr, message });
                }
            }
            Kind::Gossip | Kind::Leave => {}
        }
        if refuted && !answered {
            self.send(now, from, 0, Kind::Gossip, out);
        }
    }

    /// Takes news about a member from another host.
    fn hear(&mut self, now: Millis, by: &HostId, update: Update, out: &mut Vec<Action>) {
        if update.member.host != self.this.host {
            self.apply(now, update, out);
            return;
        }
        if update.member.incarnation != self.this.incarnation {
            self.hear_own_id(update.member.incarnation, out);
            return;
        }
        if update.status == Status::Alive || self.phase != Phase::Member {
            return;
        }
        if update.status >= Status::Dead && Some(update.counter) > self.declared {
            self.declared = Some(update.counter);
            out.push(Action::DeclaredDead { by: by.clone() });
        }
        if update.counter >= self.counter {
            self.counter = update.counter.saturating_add(1);
            self.has_news = true;
        }
    }

    fn hear_own_id(&self, incarnation: Incarnation, out: &mut Vec<Action>) {
        if incarnation > self.this.incarnation {
            out.push(Action::Superseded { by: incarnation });
        }
    }

    /// Records news; true if a member joined.
    fn apply(&mut self, now: Millis, update: Update, out: &mut Vec<Action>) -> bool {
        let sends = self.sends();
        let changes = self.table.apply(now, update, sends);
        self.report(now, changes, out)
    }

    fn report(&mut self, now: Millis, changes: Vec<Change>, out: &mut Vec<Action>) -> bool {
        let mut joined = false;
        for change in changes {
            match change {
                Change::Joined(member) => {
                    joined = true;
                    self.has_news = true;
                    let sends = self.sends();
                    self.rumours.refresh(sends);
                    out.push(Action::Joined(member));
                }
                Change::Suspected(member) => {
                    // The member is told at once, so that it has the whole time to refute.
                    self.send(now, &member, 0, Kind::Gossip, out);
                    out.push(Action::Suspected(member));
                }
                Change::Refuted => self.has_news = true,
                Change::Dead(member) => {
                    self.has_news = true;
                    out.push(Action::Dead(member));
                }
                Change::Left(member) => {
                    self.has_news = true;
                    out.push(Action::Left(member));
                }
            }
        }
        joined
    }

    /// The declaration of death of this process that is in force here, if any.
    fn declared_dead(&self, member: &Member) -> Option<Update> {
        let entry = self.table.get(&member.host)?;
        (entry.status == Status::Dead && entry.member == *member).then(|| entry.update())
    }

    fn compare_views(&mut self, now: Millis, from: &Member, digest: u64, out: &mut Vec<Action>) {
        if digest == self.view_digest() {
            self.last_agreed = now;
        } else if now >= self.last_agreed + VIEW_PERIOD {
            self.last_agreed = now;
            self.welcome(from, None, out);
        }
    }

    /// Sends the whole view to a host that joined through this one. A host that had been declared
    /// dead is told so even if it has refuted since.
    fn welcome(&mut self, member: &Member, declared: Option<Update>, out: &mut Vec<Action>) {
        let to = member.addr;
        for message in self.compose_view(declared) {
            out.push(Action::Send { to, message });
        }
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        let gap = now - self.last_tick;
        self.last_tick = now;
        if let Phase::Leaving { left, next_at } = self.phase {
            self.announce_leave(now, left, next_at, out);
            return;
        }
        if gap >= OWN_PAUSE {
            // Answers that arrived during the pause are not read yet, so nobody is to blame.
            self.probes.abandon();
            self.table.extend_suspicions(now, gap);
        }
        for step in self.probes.advance(now) {
            match step {
                Step::AskHelpers { seq, member } => self.ask_helpers(now, seq, &member, out),
                Step::Failed(member) => self.suspect(now, &member, out),
            }
        }
        let sends = self.sends();
        let changes = self.table.expire(now, sends);
        self.report(now, changes, out);
        self.rumours.expire(now);
        if self.probes.is_due(now) {
            self.probe(now, out);
        }
        for to in self.contacts.due(now, &self.table, &mut self.rng) {
            let host = self.table.dead().find(|e| e.member.addr == to);
            let host = host.map(|e| e.member.host.clone());
            let seq = self.seq();
            let message = self.compose(now, host.as_ref(), seq, Kind::Ping);
            out.push(Action::Send { to, message });
        }
    }

    fn probe(&mut self, now: Millis, out: &mut Vec<Action>) {
        let alive = self.others();
        let Some(target) = self.probes.next_target(&alive, &mut self.rng) else {
            return;
        };
        let seq = self.seq();
        self.probes.start(now, seq, target.clone());
        self.send(now, &target, seq, Kind::Ping, out);
    }

    fn ask_helpers(&mut self, now: Millis, seq: u64, member: &Member, out: &mut Vec<Action>) {
        let mut helpers = self.others();
        helpers.retain(|m| m.host != member.host);
        for helper in self.choose(helpers, HELPERS) {
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
        let update = Update {
            status: Status::Suspect,
            ..entry.update()
        };
        self.apply(now, update, out);
    }

    /// Sends news to a few random members without waiting for a probe.
    fn spread(&mut self, now: Millis, out: &mut Vec<Action>) {
        if !self.has_news || now < self.next_spread {
            return;
        }
        self.has_news = false;
        self.next_spread = now + SPREAD_PERIOD;
        for member in self.choose(self.others(), SPREAD_FANOUT) {
            self.send(now, &member, 0, Kind::Gossip, out);
        }
    }

    pub(crate) fn choose(&mut self, mut members: Vec<Member>, count: usize) -> Vec<Member> {
        self.rng.shuffle(&mut members);
        members.truncate(count);
        members
    }
}
