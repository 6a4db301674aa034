//! Random events, and an oracle that knows only what the events and actions say.

use arbtest::arbitrary::{Result, Unstructured};
use bv_place::{Action, Class, Event, Grant, Policy, Request, Role, RunnerLoad, Shard};
use bv_types::{AttemptId, BackendId, HostId, Incarnation, Millis, Pieces, Tokens};

use crate::common::{
    HEADROOM, PIECES, SLOTS, START, adoption, attempt, host_dead, id, patient, report, shard, spec,
};

const MAX_STEPS: u32 = 60;
const HOSTS: [&str; 2] = ["host-a", "host-b"];

/// What the cases contained.
#[derive(Debug, Default)]
pub struct Tally {
    pub granted: u64,
    pub denied: u64,
    pub cancelled: u64,
    pub proceeded_later: u64,
}

struct Held {
    request: Request,
    decode: BackendId,
    prefill: BackendId,
    /// Whether a slot must be reserved.
    owns_slot: bool,
    adopted: bool,
}

/// A shard and the oracle's view of it.
pub struct World<'a, 'b> {
    u: &'a mut Unstructured<'b>,
    shard: Shard,
    policy: Policy,
    prefill: usize,
    decode: usize,
    now: Millis,
    sequence: u64,
    queued: Vec<Request>,
    held: Vec<Held>,
    /// Leaving or failed runners, with the incarnation of a leaving one.
    unusable: Vec<(BackendId, Option<Incarnation>)>,
    incarnations: Vec<(BackendId, u64)>,
    dying: Vec<(String, Millis)>,
}

impl<'a, 'b> World<'a, 'b> {
    pub fn new(u: &'a mut Unstructured<'b>, policy: Policy) -> Result<Self> {
        let (prefill, decode) = (u.int_in_range(1..=3)?, u.int_in_range(1..=2)?);
        Ok(World {
            u,
            shard: shard(spec(prefill, decode), policy),
            policy,
            prefill,
            decode,
            now: START,
            sequence: 0,
            queued: Vec::new(),
            held: Vec::new(),
            unusable: Vec::new(),
            incarnations: Vec::new(),
            dying: Vec::new(),
        })
    }

    pub fn run(mut self, tally: &mut Tally) -> Result<()> {
        for _ in 0..self.u.int_in_range(1..=MAX_STEPS)? {
            self.now = self.now + Millis(self.u.int_in_range(0..=400)?);
            let event = self.event()?;
            self.apply(event, tally);
        }
        self.end(tally);
        Ok(())
    }

    fn event(&mut self) -> Result<Event> {
        Ok(match self.u.int_in_range(0..=29)? {
            0..=11 => self.reserve()?,
            12..=18 => self.of_held(Event::PrefillDone)?,
            19..=20 => self.of_held(Event::Release)?,
            21 => self.of_queued(Event::Release)?,
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
        let mut request = patient(self.now, self.sequence, class);
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
        let known = self.held.iter().map(|held| &held.request);
        let known: Vec<&Request> = known.chain(&self.queued).collect();
        if !known.is_empty() && self.u.ratio(1, 10)? {
            return Ok(Event::Reserve((*self.u.choose(&known)?).clone()));
        }
        Ok(Event::Reserve(self.request()?))
    }

    fn of_held(&mut self, event: fn(AttemptId) -> Event) -> Result<Event> {
        if self.held.is_empty() {
            return Ok(Event::Tick);
        }
        let index = self.u.choose_index(self.held.len())?;
        Ok(event(self.held[index].request.attempt.clone()))
    }

    fn of_queued(&mut self, event: fn(AttemptId) -> Event) -> Result<Event> {
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

    fn apply(&mut self, event: Event, tally: &mut Tally) {
        self.note(&event);
        let dead = match event {
            Event::Tick => self.take_dead(),
            _ => Vec::new(),
        };
        let due: Vec<AttemptId> = self
            .held
            .iter()
            .map(|held| held.request.attempt.clone())
            .filter(|id| dead.iter().any(|host| id.request.host.as_str() == host))
            .collect();
        let before = self.shard.loads();
        let actions = self.shard.handle(self.now, event.clone());
        self.check_growth(&event, &before);
        for action in &actions {
            self.check(&event, action, tally);
        }
        for id in due {
            let cancels = |action: &&Action| matches!(action, Action::Cancel { attempt, .. } if *attempt == id);
            assert_eq!(
                actions.iter().filter(cancels).count(),
                2,
                "{id} of a dead host"
            );
        }
        assert_eq!(self.shard.open_grants(), self.held.len(), "{event:?}");
        assert_eq!(self.shard.queued(), self.queued.len(), "{event:?}");
    }

    /// Follows an event before the shard acts on it.
    fn note(&mut self, event: &Event) {
        match event {
            Event::Reserve(request) => {
                let id = &request.attempt;
                let known = self.held.iter().any(|held| held.request.attempt == *id)
                    || self.queued.iter().any(|queued| queued.attempt == *id);
                if !known {
                    self.queued.push(request.clone());
                }
            }
            Event::Release(id) => self.held.retain(|held| held.request.attempt != *id),
            Event::Adopt(adoption) => self.held.push(Held {
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
                if !self.dying.iter().any(|(known, _)| known == host.as_str()) {
                    let end = self.now + Millis(2_000);
                    self.dying.push((host.to_string(), end));
                }
            }
            Event::HostAlive { host, .. } => self.dying.retain(|(h, _)| h != host.as_str()),
            Event::PrefillDone(_) | Event::Tick => {}
        }
    }

    fn take_dead(&mut self) -> Vec<String> {
        let now = self.now;
        let (dead, dying) = self.dying.drain(..).partition(|(_, end)| *end <= now);
        self.dying = dying;
        let dead: Vec<(String, Millis)> = dead;
        dead.into_iter().map(|(host, _)| host).collect()
    }

    fn check(&mut self, event: &Event, action: &Action, tally: &mut Tally) {
        match action {
            Action::Grant(grant) => self.check_grant(event, grant, tally),
            Action::Deny { attempt, .. } => {
                self.take_queued(attempt);
                tally.denied += 1;
            }
            Action::Proceed(id) => {
                let asked = matches!(event, Event::PrefillDone(asked) if asked == id);
                tally.proceeded_later += u64::from(!asked);
                let held = self.held.iter_mut().find(|h| h.request.attempt == *id);
                let held = held.expect("decode of an open grant");
                held.owns_slot = true;
                let decode = held.decode.clone();
                self.check_capacity(&decode);
            }
            Action::Cancel { runner, attempt } => {
                let index = self
                    .held
                    .iter()
                    .position(|held| held.request.attempt == *attempt)
                    .expect("a cancel of an open grant");
                let held = &self.held[index];
                assert!(*runner == held.prefill || *runner == held.decode);
                if *runner == held.decode {
                    self.held.remove(index);
                }
                tally.cancelled += 1;
            }
        }
    }

    fn check_grant(&mut self, event: &Event, grant: &Grant, tally: &mut Tally) {
        let id = &grant.attempt;
        if self.held.iter().any(|held| held.request.attempt == *id) {
            let repeated = matches!(event, Event::Reserve(request) if request.attempt == *id);
            assert!(repeated, "{id} is granted twice");
            return;
        }
        let request = self.take_queued(id);
        tally.granted += 1;
        for runner in [&grant.prefill, &grant.decode] {
            let unusable = self.unusable.iter().any(|(known, leaving)| {
                // Baselines do not notice failures.
                known == runner && (leaving.is_some() || self.policy == Policy::Planned)
            });
            assert!(!unusable, "{id} is granted on {runner}");
        }
        let urgent_waits = self.queued.iter().any(|r| r.class == Class::Urgent);
        assert!(
            request.class == Class::Urgent || !urgent_waits,
            "{id} passes urgent work"
        );
        self.held.push(Held {
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
            .remove(index.expect("an answer to an unanswered request"))
    }

    /// Counts the reservations that the actions show. An adoption may overcommit a runner, which
    /// [`World::check_growth`] covers.
    fn check_capacity(&self, decode: &BackendId) {
        let held = || {
            let here = self.held.iter().filter(|held| held.decode == *decode);
            here.filter(|held| held.owns_slot)
        };
        if self.policy != Policy::Planned || held().any(|held| held.adopted) {
            return;
        }
        let pieces: u32 = held().map(|held| held.request.pieces().0).sum();
        assert!(held().count() <= SLOTS as usize, "slots of {decode}");
        assert!(pieces <= PIECES, "pieces of {decode}");
        let waiting = held().filter(|held| held.request.class == Class::Waiting);
        let limit = (SLOTS - HEADROOM) as usize;
        assert!(waiting.count() <= limit, "headroom of {decode}");
    }

    /// Only an adoption or a report may take a runner beyond its slots or pieces.
    fn check_growth(&self, event: &Event, before: &[RunnerLoad]) {
        let told = matches!(event, Event::Adopt(_) | Event::Report { .. });
        if told || self.policy != Policy::Planned {
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

    /// Ends everything and checks that nothing is left.
    fn end(&mut self, tally: &mut Tally) {
        while let Some(held) = self.held.first() {
            let event = Event::Release(held.request.attempt.clone());
            self.apply(event, tally);
        }
        while let Some(queued) = self.queued.first() {
            let event = Event::Release(queued.attempt.clone());
            self.apply(event, tally);
            while let Some(held) = self.held.first() {
                let event = Event::Release(held.request.attempt.clone());
                self.apply(event, tally);
            }
        }
        let promised: u32 = self.shard.loads().iter().map(|load| load.promised).sum();
        let prefills: usize = self.shard.loads().iter().map(|load| load.prefills).sum();
        assert_eq!((promised, prefills), (0, 0));
    }
}
