//! Random events, and an oracle that follows only the events and actions.

use arbtest::arbitrary::{Result, Unstructured};
use bv_place::{Action, Class, Event, Grant, Policy, Request, Role, RunnerLoad, Shard};
use bv_types::{AttemptId, BackendId, HostId, Incarnation, Millis, Pieces, Tokens};

use crate::common::{
    HEADROOM_SLOTS, PIECES, SLOTS, START, adoption, attempt, deadline_only, host_dead, id, report,
    shard, spec,
};

const MAX_STEPS: u32 = 60;
const HOSTS: [&str; 2] = ["host-a", "host-b"];

/// Numbers of actions in all cases.
#[derive(Debug, Default)]
pub struct Counts {
    pub granted: u64,
    pub denied: u64,
    pub cancelled: u64,
    pub proceeded_later: u64,
}

struct OpenGrant {
    request: Request,
    decode: BackendId,
    prefill: BackendId,
    /// Whether the shard must have reserved a slot.
    owns_slot: bool,
    adopted: bool,
}

/// A shard, and the state that the oracle derives from events and actions.
pub struct Harness<'a, 'b> {
    u: &'a mut Unstructured<'b>,
    shard: Shard,
    policy: Policy,
    prefill: usize,
    decode: usize,
    now: Millis,
    sequence: u64,
    queued: Vec<Request>,
    open_grants: Vec<OpenGrant>,
    /// Leaving or failed runners, with the incarnation of a leaving one.
    unusable: Vec<(BackendId, Option<Incarnation>)>,
    incarnations: Vec<(BackendId, u64)>,
    dead_hosts: Vec<(String, Millis)>,
}

impl<'a, 'b> Harness<'a, 'b> {
    pub fn new(u: &'a mut Unstructured<'b>, policy: Policy) -> Result<Self> {
        let (prefill, decode) = (u.int_in_range(1..=3)?, u.int_in_range(1..=2)?);
        Ok(Harness {
            u,
            shard: shard(spec(prefill, decode), policy),
            policy,
            prefill,
            decode,
            now: START,
            sequence: 0,
            queued: Vec::new(),
            open_grants: Vec::new(),
            unusable: Vec::new(),
            incarnations: Vec::new(),
            dead_hosts: Vec::new(),
        })
    }

    pub fn run(mut self, counts: &mut Counts) -> Result<()> {
        for _ in 0..self.u.int_in_range(1..=MAX_STEPS)? {
            self.now = self.now + Millis(self.u.int_in_range(0..=400)?);
            let event = self.event()?;
            self.apply(event, counts);
        }
        self.finish(counts);
        Ok(())
    }

    fn event(&mut self) -> Result<Event> {
        Ok(match self.u.int_in_range(0..=29)? {
            0..=11 => self.reserve()?,
            12..=18 => self.event_for_open_grant(Event::PrefillDone)?,
            19..=20 => self.event_for_open_grant(Event::Release)?,
            21 => self.event_for_queued(Event::Release)?,
            22..=24 => self.report()?,
            25 => self.leaving()?,
            26 => Event::RunnerFailed(self.runner()?),
            27 => self.host_dead()?,
            28 => self.adopt()?,
            _ => Event::Tick,
        })
    }

    fn request(&mut self) -> Result<Request> {
        let class = match self.u.ratio(2, 5)? {
            true => Class::Urgent,
            false => Class::Waiting,
        };
        self.sequence += 1;
        let mut request = deadline_only(self.now, self.sequence, class);
        request.attempt = attempt(self.u.choose(&HOSTS)?, 1, self.sequence);
        request.team = (*self.u.choose(&["team-a", "team-b"])?).into();
        request.prompt = Tokens(self.u.int_in_range(1..=12_000)?);
        request.max_output = Tokens(self.u.int_in_range(1..=120)?);
        request.prefix = self.u.int_in_range(0..=3)?;
        if self.u.ratio(1, 3)? {
            request.first_token_by = self.now + Millis(1_100);
        }
        request.deadline = self.now + Millis(self.u.int_in_range(500..=20_000)?);
        request.first_token_by = request.first_token_by.min(request.deadline);
        if self.u.ratio(1, 8)? {
            request.avoid = vec![self.runner()?];
        }
        Ok(request)
    }

    fn reserve(&mut self) -> Result<Event> {
        let known = self.open_grants.iter().map(|open| &open.request);
        let known: Vec<&Request> = known.chain(&self.queued).collect();
        if !known.is_empty() && self.u.ratio(1, 10)? {
            return Ok(Event::Reserve((*self.u.choose(&known)?).clone()));
        }
        Ok(Event::Reserve(self.request()?))
    }

    fn event_for_open_grant(&mut self, event: fn(AttemptId) -> Event) -> Result<Event> {
        if self.open_grants.is_empty() {
            return Ok(Event::Tick);
        }
        let index = self.u.choose_index(self.open_grants.len())?;
        Ok(event(self.open_grants[index].request.attempt.clone()))
    }

    fn event_for_queued(&mut self, event: fn(AttemptId) -> Event) -> Result<Event> {
        if self.queued.is_empty() {
            return Ok(Event::Tick);
        }
        let index = self.u.choose_index(self.queued.len())?;
        Ok(event(self.queued[index].attempt.clone()))
    }

    fn runner(&mut self) -> Result<BackendId> {
        let index = self.u.choose_index(self.prefill + self.decode)?;
        Ok(match index.checked_sub(self.prefill) {
            None => id(&format!("p-{}", index + 1)),
            Some(decode) => id(&format!("d-{}", decode + 1)),
        })
    }

    fn incarnation(&self, runner: &BackendId) -> u64 {
        let known = self.incarnations.iter().find(|(known, _)| known == runner);
        known.map_or(1, |(_, incarnation)| *incarnation)
    }

    fn report(&mut self) -> Result<Event> {
        let runner = self.runner()?;
        if self.u.ratio(1, 2)? {
            let next = self.incarnation(&runner) + 1;
            self.incarnations.retain(|(known, _)| *known != runner);
            self.incarnations.push((runner.clone(), next));
        }
        let mut report = report(self.now);
        report.incarnation = Incarnation(self.incarnation(&runner));
        report.running = self.u.int_in_range(0..=2)?;
        report.free_pieces = Pieces(self.u.int_in_range(PIECES / 2..=PIECES)?);
        report.leaving = self.u.ratio(1, 10)?;
        Ok(Event::Report { runner, report })
    }

    fn leaving(&mut self) -> Result<Event> {
        let runner = self.runner()?;
        let incarnation = Incarnation(self.incarnation(&runner));
        Ok(Event::Leaving {
            runner,
            incarnation,
        })
    }

    fn host_dead(&mut self) -> Result<Event> {
        let host = *self.u.choose(&HOSTS)?;
        if self.u.ratio(1, 3)? {
            return Ok(Event::HostAlive {
                host: host.parse::<HostId>().expect("a valid id"),
                incarnation: Incarnation(1),
            });
        }
        Ok(host_dead(host, 1))
    }

    fn adopt(&mut self) -> Result<Event> {
        let request = self.request()?;
        let decoding = self.u.arbitrary()?;
        Ok(adoption(request, decoding))
    }

    fn apply(&mut self, event: Event, counts: &mut Counts) {
        self.apply_to_oracle(&event);
        let dead = match event {
            Event::Tick => self.take_expired_hosts(),
            _ => Vec::new(),
        };
        let due: Vec<AttemptId> = self
            .open_grants
            .iter()
            .map(|open| open.request.attempt.clone())
            .filter(|id| dead.iter().any(|host| id.request.host.as_str() == host))
            .collect();
        let before = self.shard.loads();
        let actions = self.shard.handle(self.now, event.clone());
        self.check_growth(&event, &before);
        for action in &actions {
            self.check(&event, action, counts);
        }
        for id in due {
            let cancels = |action: &&Action| matches!(action, Action::Cancel { attempt, .. } if *attempt == id);
            assert_eq!(
                actions.iter().filter(cancels).count(),
                2,
                "{id} of a dead host is not cancelled at both runners"
            );
        }
        assert_eq!(
            self.shard.open_grants(),
            self.open_grants.len(),
            "{event:?}"
        );
        assert_eq!(self.shard.queued(), self.queued.len(), "{event:?}");
    }

    /// Updates the state of the oracle before the shard handles an event.
    fn apply_to_oracle(&mut self, event: &Event) {
        match event {
            Event::Reserve(request) => {
                let id = &request.attempt;
                let known = self
                    .open_grants
                    .iter()
                    .any(|open| open.request.attempt == *id)
                    || self.queued.iter().any(|queued| queued.attempt == *id);
                if !known {
                    self.queued.push(request.clone());
                }
            }
            Event::Release(id) => self.open_grants.retain(|open| open.request.attempt != *id),
            Event::Adopt(adoption) => self.open_grants.push(OpenGrant {
                request: adoption.request.clone(),
                decode: adoption.decode.clone(),
                prefill: adoption.prefill.clone(),
                owns_slot: true,
                adopted: true,
            }),
            Event::RunnerFailed(runner) => self.unusable.push((runner.clone(), None)),
            Event::Leaving {
                runner,
                incarnation,
            } => self.unusable.push((runner.clone(), Some(*incarnation))),
            Event::Report { runner, report } => {
                self.unusable.retain(|(known, leaving)| {
                    known != runner || leaving.is_some_and(|i| i >= report.incarnation)
                });
                if report.leaving {
                    let leaving = (runner.clone(), Some(report.incarnation));
                    self.unusable.push(leaving);
                }
            }
            Event::HostDead { host, .. } => {
                if !self
                    .dead_hosts
                    .iter()
                    .any(|(known, _)| known == host.as_str())
                {
                    let end = self.now + Millis(2_000);
                    self.dead_hosts.push((host.to_string(), end));
                }
            }
            Event::HostAlive { host, .. } => self.dead_hosts.retain(|(h, _)| h != host.as_str()),
            Event::PrefillDone(_) | Event::Tick => {}
        }
    }

    fn take_expired_hosts(&mut self) -> Vec<String> {
        let now = self.now;
        let (dead, dead_hosts) = self.dead_hosts.drain(..).partition(|(_, end)| *end <= now);
        self.dead_hosts = dead_hosts;
        let dead: Vec<(String, Millis)> = dead;
        dead.into_iter().map(|(host, _)| host).collect()
    }

    fn check(&mut self, event: &Event, action: &Action, counts: &mut Counts) {
        match action {
            Action::Grant(grant) => self.check_grant(event, grant, counts),
            Action::Deny { attempt, .. } => {
                self.take_queued(attempt);
                counts.denied += 1;
            }
            Action::Proceed(id) => {
                let immediate = matches!(event, Event::PrefillDone(done) if done == id);
                counts.proceeded_later += u64::from(!immediate);
                let grant = self
                    .open_grants
                    .iter_mut()
                    .find(|open| open.request.attempt == *id);
                let grant = grant.expect("decode of an attempt that has no open grant");
                grant.owns_slot = true;
                let decode = grant.decode.clone();
                self.check_capacity(&decode);
            }
            Action::Cancel { runner, attempt } => {
                let index = self
                    .open_grants
                    .iter()
                    .position(|open| open.request.attempt == *attempt)
                    .expect("cancel of an attempt that has no open grant");
                let grant = &self.open_grants[index];
                assert!(*runner == grant.prefill || *runner == grant.decode);
                if *runner == grant.decode {
                    self.open_grants.remove(index);
                }
                counts.cancelled += 1;
            }
        }
    }

    fn check_grant(&mut self, event: &Event, grant: &Grant, counts: &mut Counts) {
        let id = &grant.attempt;
        if self
            .open_grants
            .iter()
            .any(|open| open.request.attempt == *id)
        {
            let repeated = matches!(event, Event::Reserve(request) if request.attempt == *id);
            assert!(repeated, "{id} is granted twice");
            return;
        }
        let request = self.take_queued(id);
        counts.granted += 1;
        for runner in [&grant.prefill, &grant.decode] {
            let unusable = self.unusable.iter().any(|(known, leaving)| {
                // The baselines ignore failures.
                known == runner && (leaving.is_some() || self.policy == Policy::Planned)
            });
            assert!(!unusable, "{id} is granted on unusable {runner}");
        }
        let urgent_waits = self.queued.iter().any(|r| r.class == Class::Urgent);
        assert!(
            request.class == Class::Urgent || !urgent_waits,
            "{id} overtakes urgent work"
        );
        self.open_grants.push(OpenGrant {
            request,
            decode: grant.decode.clone(),
            prefill: grant.prefill.clone(),
            owns_slot: grant.slot_ready,
            adopted: false,
        });
        if grant.slot_ready {
            self.check_capacity(&grant.decode);
        }
    }

    fn take_queued(&mut self, id: &AttemptId) -> Request {
        let index = self.queued.iter().position(|r| r.attempt == *id);
        self.queued
            .remove(index.expect("answer to a request that is not queued"))
    }

    /// Checks the limits against the grants that the oracle knows of. An adoption may overcommit a
    /// runner, which [`Harness::check_growth`] covers.
    fn check_capacity(&self, decode: &BackendId) {
        let reserved = || {
            let on_runner = self
                .open_grants
                .iter()
                .filter(|open| open.decode == *decode);
            on_runner.filter(|open| open.owns_slot)
        };
        if self.policy != Policy::Planned || reserved().any(|open| open.adopted) {
            return;
        }
        let pieces: u32 = reserved().map(|open| open.request.pieces().0).sum();
        assert!(
            reserved().count() <= SLOTS as usize,
            "more reservations than slots on {decode}"
        );
        assert!(
            pieces <= PIECES,
            "more reserved pieces than memory on {decode}"
        );
        let waiting = reserved().filter(|open| open.request.class == Class::Waiting);
        let limit = (SLOTS - HEADROOM_SLOTS) as usize;
        assert!(
            waiting.count() <= limit,
            "waiting work in the headroom of {decode}"
        );
    }

    /// Checks that only an adoption or a report raises the use of a runner above its capacity.
    fn check_growth(&self, event: &Event, before: &[RunnerLoad]) {
        let may_grow = matches!(event, Event::Adopt(_) | Event::Report { .. });
        if may_grow || self.policy != Policy::Planned {
            return;
        }
        for (before, after) in before.iter().zip(self.shard.loads()) {
            if after.role == Role::Prefill {
                continue;
            }
            assert!(
                after.slots <= before.slots.max(SLOTS),
                "{before:?} {after:?}"
            );
            assert!(
                after.pieces <= before.pieces.max(PIECES),
                "{before:?} {after:?}"
            );
        }
    }

    /// Releases all requests and checks that nothing stays reserved.
    fn finish(&mut self, counts: &mut Counts) {
        while let Some(grant) = self.open_grants.first() {
            let event = Event::Release(grant.request.attempt.clone());
            self.apply(event, counts);
        }
        while let Some(queued) = self.queued.first() {
            let event = Event::Release(queued.attempt.clone());
            self.apply(event, counts);
            while let Some(grant) = self.open_grants.first() {
                let event = Event::Release(grant.request.attempt.clone());
                self.apply(event, counts);
            }
        }
        let promised: u32 = self.shard.loads().iter().map(|load| load.promised).sum();
        let prefills: usize = self.shard.loads().iter().map(|load| load.prefills).sum();
        assert_eq!((promised, prefills), (0, 0));
    }
}
