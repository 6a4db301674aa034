//! Which request runs on which runner of a shard, for the blame after a crash.

use bv_blame::Event;
use bv_place::{Adoption, Grant};
use bv_types::{AttemptId, BackendId, Fingerprint, Incarnation, Millis};
use bv_wire::AttemptEnd;

/// Time for which a request that failed at its runner waits for the sign of a crash.
const CRASH_SIGN: Millis = Millis(5_000);

#[derive(Debug)]
struct Flight {
    attempt: AttemptId,
    request: Fingerprint,
    decode: BackendId,
    /// Runner that works on it now.
    on: Option<BackendId>,
    /// End of the wait after it failed.
    failed_until: Option<Millis>,
}

/// Requests in flight on the runners of one shard.
#[derive(Debug, Default)]
pub(super) struct Flights {
    /// Requests that asked for runners and wait for their grant.
    asked: Vec<(AttemptId, Fingerprint)>,
    flights: Vec<Flight>,
    /// Last process of each runner, sorted by runner.
    seen: Vec<(BackendId, Incarnation)>,
}

impl Flights {
    /// Notes the content of a request that asks for runners.
    pub fn asked(&mut self, attempt: &AttemptId, request: Fingerprint) {
        self.forget(attempt);
        self.asked.push((attempt.clone(), request));
    }

    /// Forgets a request that was refused.
    pub fn forget(&mut self, attempt: &AttemptId) {
        self.asked.retain(|(asked, _)| asked != attempt);
    }

    /// Notes that prefill starts.
    pub fn granted(&mut self, grant: &Grant) -> Option<Event> {
        let at = self.asked.iter().position(|(id, _)| *id == grant.attempt)?;
        let (attempt, request) = self.asked.swap_remove(at);
        self.flights.push(Flight {
            attempt,
            request,
            decode: grant.decode.clone(),
            on: Some(grant.prefill.clone()),
            failed_until: None,
        });
        Some(started(&grant.prefill, request))
    }

    /// Takes over a request that an earlier home granted.
    pub fn adopted(&mut self, adoption: &Adoption, request: Fingerprint) -> Option<Event> {
        let attempt = &adoption.request.attempt;
        if self.find(attempt).is_some() {
            return None;
        }
        let on = match adoption.decoding {
            true => &adoption.decode,
            false => &adoption.prefill,
        };
        self.flights.push(Flight {
            attempt: attempt.clone(),
            request,
            decode: adoption.decode.clone(),
            on: Some(on.clone()),
            failed_until: None,
        });
        Some(started(on, request))
    }

    /// Notes that prefill has ended.
    pub fn prefilled(&mut self, attempt: &AttemptId) -> Option<Event> {
        let flight = self.find(attempt)?;
        let on = flight.on.take_if(|on| *on != flight.decode)?;
        Some(ended(on, flight.request, false))
    }

    /// Notes that decode starts.
    pub fn decoding(&mut self, attempt: &AttemptId) -> Option<Event> {
        let flight = self.find(attempt)?;
        if flight.on.is_some() {
            return None;
        }
        flight.on = Some(flight.decode.clone());
        Some(started(&flight.decode, flight.request))
    }

    /// Notes the end of an attempt. After a failure the request stays in flight until the runner
    /// shows whether it has crashed.
    pub fn end(&mut self, now: Millis, attempt: &AttemptId, end: AttemptEnd) -> Option<Event> {
        self.forget(attempt);
        let at = self.flights.iter().position(|f| f.attempt == *attempt)?;
        if end == AttemptEnd::Failed {
            self.flights[at].failed_until = Some(now + CRASH_SIGN);
            return None;
        }
        let flight = self.flights.swap_remove(at);
        Some(ended(flight.on?, flight.request, end == AttemptEnd::Whole))
    }

    /// Notes the process of a runner; a new one shows that the earlier one has crashed.
    pub fn seen(&mut self, runner: &BackendId, incarnation: Incarnation) -> Option<Event> {
        match self.seen.binary_search_by(|(known, _)| known.cmp(runner)) {
            Err(at) => self.seen.insert(at, (runner.clone(), incarnation)),
            Ok(at) if self.seen[at].1 < incarnation => {
                self.seen[at].1 = incarnation;
                return self.crashed(runner);
            }
            Ok(_) => {}
        }
        None
    }

    /// Notes that a runner has crashed.
    pub fn crashed(&mut self, runner: &BackendId) -> Option<Event> {
        let before = self.flights.len();
        self.flights.retain(|f| f.on.as_ref() != Some(runner));
        (self.flights.len() < before).then(|| Event::Crashed {
            runner: runner.clone(),
        })
    }

    /// Ends requests whose runner showed no sign of a crash.
    pub fn expire(&mut self, now: Millis) -> Vec<Event> {
        let is_over = |f: &mut Flight| f.failed_until.is_some_and(|until| until <= now);
        self.flights
            .extract_if(.., is_over)
            .filter_map(|f| Some(ended(f.on?, f.request, false)))
            .collect()
    }

    fn find(&mut self, attempt: &AttemptId) -> Option<&mut Flight> {
        self.flights.iter_mut().find(|f| f.attempt == *attempt)
    }
}

fn started(runner: &BackendId, request: Fingerprint) -> Event {
    Event::Started {
        runner: runner.clone(),
        request,
    }
}

fn ended(runner: BackendId, request: Fingerprint, whole: bool) -> Event {
    Event::Ended {
        runner,
        request,
        whole,
    }
}
