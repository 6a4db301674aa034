//! What happens to a call: placement without a dispatcher, servers, answers and returns after refusals.

use bv_admit::{CallRequest, Fault as SendFault, PlacementError, Report, SendOutcome, Work};
use bv_dispatch::{Action, AskId, Decision, Dispatcher, SendEnd, ServerReport};
use bv_types::{BackendId, Millis, Tokens};

use super::server::Admitted;
use super::{DEFAULT_RETRY_AFTER, Event, Host, Message, TICK_MS, World, host_id, zone};

const WORK: Work = Work {
    tokens: Tokens(0),
    stuck_after: Millis(400),
};

impl World {
    /// Ends the ask for a call that has no slot.
    pub(super) fn end_ask(&mut self, call: usize, end: SendEnd) {
        let host = self.calls[call].host;
        if let Some((ask, _, owner)) = self.calls[call].ask.take() {
            self.asks.remove(&ask);
            self.tell_end(host, owner, ask, end, None);
        }
    }

    fn tell_end(
        &mut self,
        host: usize,
        owner: usize,
        ask: u64,
        end: SendEnd,
        report: Option<(BackendId, ServerReport)>,
    ) {
        let id = AskId {
            host: host_id(host),
            call: ask,
        };
        // Ends are told twice.
        for delay in [0, 50] {
            let message = Message::End(id.clone(), end, report.clone());
            let before = self.now;
            self.now += delay;
            self.send_datagram(host, owner, Event::ToDispatcher(owner, message));
            self.now = before;
        }
    }

    /// Places a call as without a dispatcher.
    pub(super) fn place_alone(&mut self, call: usize) {
        let now = Millis(self.now);
        let known = &self.calls[call];
        let host = known.host;
        let tried: Vec<BackendId> = known
            .tried
            .iter()
            .map(|n| self.entries[*n].id.clone())
            .collect();
        let own_zone = zone(host, self.plan.zones);
        let request = CallRequest {
            service: &self.entries[0].service,
            zone: &own_zone,
            tried: &tried,
            remaining: Millis(known.deadline) - now,
        };
        let choice = self.hosts[host]
            .fleet
            .place_call(now, request, self.entries.iter());
        match choice {
            Ok(choice) => {
                let server = self.entries.iter().position(|e| e.id == choice.server.id);
                self.send_to(call, server.unwrap());
            }
            Err(PlacementError::TooLate { retry_after }) => self.refuse(call, retry_after.0),
            Err(_) => self.refuse(call, DEFAULT_RETRY_AFTER),
        }
    }

    fn send_to(&mut self, call: usize, server: usize) {
        let host = self.calls[call].host;
        let id = &self.entries[server].id;
        let send = self.hosts[host].fleet.begin(Millis(self.now), id, WORK);
        self.calls[call].send = Some((server, send, self.now));
        self.calls[call].tried.push(server);
        self.hosts[host].sending.push(call);
        self.outcome.sends += 1;
        self.schedule(
            self.now + self.latency(host, server),
            Event::AtServer(server, call),
        );
    }

    pub(super) fn refuse(&mut self, call: usize, retry_after: u64) {
        let known = &mut self.calls[call];
        let remaining = known.deadline.saturating_sub(self.now);
        let wait = retry_after.max(100).min(remaining / 3);
        if wait < 50 {
            known.is_over = true;
            self.outcome.refused += 1;
            return;
        }
        known.tried.clear();
        known.arrived = self.now + wait;
        known.host = self.rng.usize(..self.plan.hosts);
        self.schedule(self.now + wait, Event::Arrive(call));
    }

    pub(super) fn at_server(&mut self, server: usize, call: usize) {
        let now = self.now;
        if self.plan.is_down(server, now) {
            let report = Report::default();
            let outcome = SendOutcome::Failed(SendFault::Connect);
            return self.answer_later(server, call, outcome, report);
        }
        match self.servers[server].admit(call) {
            Admitted::Runs => self.run_call(server, call),
            Admitted::Waits => {}
            Admitted::Rejected => {
                let report = self.report(server);
                self.answer_later(server, call, SendOutcome::Refused, report);
            }
        }
    }

    fn run_call(&mut self, server: usize, call: usize) {
        let known = &mut self.calls[call];
        known.runs += 1;
        self.outcome.false_runs += usize::from(known.runs > 1 || known.is_over);
        let noise = self.servers[server].noise(self.now, self.plan.noise);
        let work = self.plan.work_ms * noise * self.plan.start_factor(server, self.now);
        self.schedule(self.now + work as u64, Event::Done(server, call));
    }

    pub(super) fn done(&mut self, server: usize, call: usize) {
        if let Some(next) = self.servers[server].end() {
            self.run_call(server, next);
        }
        let report = self.report(server);
        // A server that has ended since loses the answer.
        let outcome = match self.plan.is_down(server, self.now) {
            true => SendOutcome::Failed(SendFault::NoAnswer),
            false => SendOutcome::Answered { error: false },
        };
        self.answer_later(server, call, outcome, report);
    }

    fn report(&self, server: usize) -> Report {
        let known = &self.servers[server];
        Report {
            running: known.running as u32,
            waiting: known.waiting.len() as u32,
            pace: Some(known.pace(self.now, self.plan.noise, self.plan.false_pace)),
        }
    }

    fn answer_later(&mut self, server: usize, call: usize, outcome: SendOutcome, report: Report) {
        let latency = self.latency(self.calls[call].host, server);
        self.schedule(
            self.now + latency,
            Event::Answer(call, server, outcome, report),
        );
    }

    pub(super) fn answer(
        &mut self,
        call: usize,
        server: usize,
        outcome: SendOutcome,
        report: Report,
    ) {
        let now = self.now;
        let host = self.calls[call].host;
        let Some((_, send, sent_at)) = self.calls[call].send.take() else {
            return;
        };
        let id = self.entries[server].id.clone();
        let own = &mut self.hosts[host];
        own.sending.retain(|other| *other != call);
        own.fleet.end(Millis(now), &id, send, outcome);
        if !matches!(outcome, SendOutcome::Failed(_)) {
            own.fleet.record_report(Millis(now), &id, report);
        }
        let took = Millis(now - sent_at);
        let end = match outcome {
            SendOutcome::Answered { .. } => SendEnd::Answered { took },
            SendOutcome::Refused => SendEnd::Rejected,
            _ => SendEnd::Failed,
        };
        if let Some((ask, owner, _)) = self.calls[call].slot.take() {
            let load = ServerReport {
                running: report.running,
                waiting: report.waiting,
                pace: report.pace,
            };
            let load = (!matches!(outcome, SendOutcome::Failed(_))).then_some((id, load));
            self.tell_end(host, owner, ask, end, load);
        }
        match outcome {
            SendOutcome::Answered { .. } => {
                let service = self.entries[0].service.clone();
                self.hosts[host].fleet.observe_call(&service, took);
                self.finish(call);
            }
            SendOutcome::Refused => {
                self.outcome.rejected += 1;
                self.next_send(call);
            }
            SendOutcome::Failed(SendFault::Connect) => self.next_send(call),
            _ => {
                self.calls[call].is_over = true;
                self.outcome.unknown += 1;
            }
        }
    }

    fn finish(&mut self, call: usize) {
        let known = &mut self.calls[call];
        known.is_over = true;
        let time = self.now - known.first_arrived;
        if self.now > known.deadline {
            self.outcome.unknown += 1;
            return;
        }
        self.outcome.served += 1;
        self.outcome.times.push(time);
        if time <= self.plan.objective {
            self.outcome.on_time += 1;
            self.outcome.by_priority[known.priority as usize].1 += 1;
            self.outcome.by_team[known.team.min(1)].1 += 1;
        }
    }

    pub(super) fn at_dispatcher(&mut self, host: usize, message: Message) {
        let now = Millis(self.now);
        if self.hosts[host].dispatcher.is_none() {
            self.next += 1;
            let mut dispatcher = Dispatcher::new(now);
            dispatcher.set_servers(now, self.entries.iter());
            self.hosts[host].dispatcher = Some((self.next, dispatcher));
            self.schedule(self.now + TICK_MS, Event::Tick(host));
        }
        let Host { dispatcher, .. } = &mut self.hosts[host];
        let Some((_, dispatcher)) = dispatcher else {
            return;
        };
        let actions = match message {
            Message::Ask(ask, uses) => {
                dispatcher.set_uses(now, &ask.id.host, uses);
                // Durations are sent, so a late ask states times that are later by its delay.
                dispatcher.ask(now, ask)
            }
            Message::End(id, end, report) => {
                if let Some((server, report)) = report {
                    dispatcher.record_report(now, &server, report);
                }
                dispatcher.end(now, &id, end)
            }
        };
        self.deliver(host, actions);
    }

    fn deliver(&mut self, host: usize, actions: Vec<Action>) {
        let Some((epoch, _)) = self.hosts[host].dispatcher else {
            return;
        };
        for action in actions {
            let to: usize = action.id.host.as_str()[2..].parse().unwrap();
            self.send_datagram(host, to, Event::Reply(to, epoch, action));
        }
    }

    pub(super) fn tick(&mut self, host: usize) {
        let Some((_, dispatcher)) = &mut self.hosts[host].dispatcher else {
            return;
        };
        let actions = dispatcher.tick(Millis(self.now));
        self.deliver(host, actions);
        self.schedule(self.now + TICK_MS, Event::Tick(host));
    }

    pub(super) fn reply(&mut self, host: usize, epoch: u64, action: Action) {
        let now = Millis(self.now);
        self.hosts[host].epoch = epoch;
        let Some(call) = self.asks.get(&action.id.call).copied() else {
            return;
        };
        let Some((ask, asking, owner)) = self.calls[call].ask.as_mut() else {
            return;
        };
        let (ask, owner) = (*ask, *owner);
        match action.decision {
            Decision::Queued { .. } => asking.queued(now),
            Decision::Refused { retry_after } => {
                self.end_ask(call, SendEnd::Unused);
                self.refuse(call, retry_after.0);
            }
            Decision::Grant { lease, .. } if now >= action.sent_at + lease => {}
            Decision::Grant { server, .. } => {
                self.calls[call].ask = None;
                self.asks.remove(&ask);
                self.calls[call].slot = Some((ask, owner, epoch));
                let server = self.entries.iter().position(|e| e.id == server);
                self.send_to(call, server.unwrap());
            }
        }
    }
}
