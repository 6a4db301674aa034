//! Tracks which request runs on which runner of a shard, to assign blame after a crash.

use bv_blame::Event;
use bv_place::{Adoption, Grant};
use bv_types::{AttemptId, BackendId, Fingerprint, Incarnation, Millis};
use bv_wire::AttemptEnd;

/// Time for which a request that failed at its runner stays in flight, so that it is blamed if the
/// runner turns out to have crashed.
const CRASH_DETECTION_TIME: Millis = Millis(5_000);

#[derive(Debug)]
struct InFlightRequest {
    attempt: AttemptId,
    request: Fingerprint,
    decode: BackendId,
    /// Runner that executes it now.
    running_on: Option<BackendId>,
    /// End of the crash detection time after a failure.
    crash_check_until: Option<Millis>,
}

/// Requests in flight on the runners of one shard. Methods that return an [`Event`] return it for
/// the blame state.
#[derive(Debug, Default)]
pub(super) struct InFlightRequests {
    /// Requests that wait for a grant.
    pending: Vec<(AttemptId, Fingerprint)>,
    requests: Vec<InFlightRequest>,
    /// Latest incarnation of each runner, sorted by runner.
    incarnations: Vec<(BackendId, Incarnation)>,
}

impl InFlightRequests {
    /// Records the content of a request that waits for a grant.
    pub fn add_pending(&mut self, attempt: &AttemptId, request: Fingerprint) {
        self.remove_pending(attempt);
        self.pending.push((attempt.clone(), request));
    }

    /// Removes a request that was refused.
    pub fn remove_pending(&mut self, attempt: &AttemptId) {
        self.pending.retain(|(pending, _)| pending != attempt);
    }

    /// Records that prefill starts.
    pub fn granted(&mut self, grant: &Grant) -> Option<Event> {
        let at = self
            .pending
            .iter()
            .position(|(id, _)| *id == grant.attempt)?;
        let (attempt, request) = self.pending.swap_remove(at);
        self.requests.push(InFlightRequest {
            attempt,
            request,
            decode: grant.decode.clone(),
            running_on: Some(grant.prefill.clone()),
            crash_check_until: None,
        });
        Some(started(&grant.prefill, request))
    }

    /// Takes over a request that an earlier owner granted.
    pub fn adopted(&mut self, adoption: &Adoption, request: Fingerprint) -> Option<Event> {
        let attempt = &adoption.request.attempt;
        if self.find(attempt).is_some() {
            return None;
        }
        let runner = match adoption.decoding {
            true => &adoption.decode,
            false => &adoption.prefill,
        };
        self.requests.push(InFlightRequest {
            attempt: attempt.clone(),
            request,
            decode: adoption.decode.clone(),
            running_on: Some(runner.clone()),
            crash_check_until: None,
        });
        Some(started(runner, request))
    }

    /// Records that prefill has ended; a repeated report changes nothing once decode has started.
    pub fn prefilled(&mut self, attempt: &AttemptId) -> Option<Event> {
        let entry = self.find(attempt)?;
        let runner = entry.running_on.take_if(|runner| *runner != entry.decode)?;
        Some(ended(runner, entry.request, false))
    }

    /// Records that decode starts.
    pub fn decoding(&mut self, attempt: &AttemptId) -> Option<Event> {
        let entry = self.find(attempt)?;
        if entry.running_on.is_some() {
            return None;
        }
        entry.running_on = Some(entry.decode.clone());
        Some(started(&entry.decode, entry.request))
    }

    /// Records the end of an attempt. After a failure the request stays in flight until it is known
    /// whether the runner has crashed.
    pub fn end(&mut self, now: Millis, attempt: &AttemptId, end: AttemptEnd) -> Option<Event> {
        self.remove_pending(attempt);
        let at = self.requests.iter().position(|f| f.attempt == *attempt)?;
        if end == AttemptEnd::Failed {
            self.requests[at].crash_check_until = Some(now + CRASH_DETECTION_TIME);
            return None;
        }
        let entry = self.requests.swap_remove(at);
        Some(ended(
            entry.running_on?,
            entry.request,
            end == AttemptEnd::Completed,
        ))
    }

    /// Records the incarnation of a runner; a higher one shows that the earlier process has
    /// crashed.
    pub fn observe_incarnation(
        &mut self,
        runner: &BackendId,
        incarnation: Incarnation,
    ) -> Option<Event> {
        match self
            .incarnations
            .binary_search_by(|(known, _)| known.cmp(runner))
        {
            Err(at) => self.incarnations.insert(at, (runner.clone(), incarnation)),
            Ok(at) if self.incarnations[at].1 < incarnation => {
                self.incarnations[at].1 = incarnation;
                return self.crashed(runner);
            }
            Ok(_) => {}
        }
        None
    }

    /// Removes the requests of a crashed runner; returns the crash if there were any.
    pub fn crashed(&mut self, runner: &BackendId) -> Option<Event> {
        let before = self.requests.len();
        self.requests
            .retain(|f| f.running_on.as_ref() != Some(runner));
        (self.requests.len() < before).then(|| Event::Crashed {
            runner: runner.clone(),
        })
    }

    /// Ends failed requests whose runner did not crash within the crash detection time.
    pub fn expire(&mut self, now: Millis) -> Vec<Event> {
        let is_over =
            |f: &mut InFlightRequest| f.crash_check_until.is_some_and(|until| until <= now);
        self.requests
            .extract_if(.., is_over)
            .filter_map(|f| Some(ended(f.running_on?, f.request, false)))
            .collect()
    }

    fn find(&mut self, attempt: &AttemptId) -> Option<&mut InFlightRequest> {
        self.requests.iter_mut().find(|f| f.attempt == *attempt)
    }
}

fn started(runner: &BackendId, request: Fingerprint) -> Event {
    Event::Started {
        runner: runner.clone(),
        request,
    }
}

fn ended(runner: BackendId, request: Fingerprint, completed: bool) -> Event {
    Event::Ended {
        runner,
        request,
        completed,
    }
}
