//! Suspects, convictions and the requests in flight on each runner.

use bv_types::{BackendId, Fingerprint, Millis};

/// Crashes after which a request is convicted.
pub const CONVICTION_SCORE: Score = Score(3);
/// Time for which a convicted request is refused.
pub const CONVICTION: Millis = Millis::from_secs(600);
/// Time after which a suspect that did not run again is forgotten.
pub const SUSPICION: Millis = Millis::from_secs(600);

/// Number of crashes that a request may have caused; 0 clears it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Score(pub u32);

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A request started on a runner.
    Started {
        /// The runner.
        runner: BackendId,
        /// The request.
        request: Fingerprint,
    },
    /// A request ended on a runner that did not crash.
    Ended {
        /// The runner.
        runner: BackendId,
        /// The request.
        request: Fingerprint,
        /// Whether it ran to its end rather than being cancelled.
        whole: bool,
    },
    /// A runner crashed with all requests in flight on it.
    Crashed {
        /// The runner.
        runner: BackendId,
    },
    /// Another entry host changed the score of a request.
    HeardScore {
        /// The request.
        request: Fingerprint,
        /// Its score there.
        score: Score,
    },
    /// Another entry host convicted a request.
    HeardConviction {
        /// The request.
        request: Fingerprint,
        /// End of the conviction.
        until: Millis,
    },
    /// Time passed.
    Tick,
}

/// What the other entry hosts must learn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// The score of a request changed here.
    ShareScore {
        /// The request.
        request: Fingerprint,
        /// Its score; 0 clears it.
        score: Score,
    },
    /// A request was convicted here.
    ShareConviction {
        /// The request.
        request: Fingerprint,
        /// End of the conviction.
        until: Millis,
    },
}

#[derive(Debug, Clone, Copy)]
struct Suspect {
    request: Fingerprint,
    score: Score,
    until: Millis,
}

#[derive(Debug, Clone, Copy)]
struct Convict {
    request: Fingerprint,
    until: Millis,
}

/// Requests in flight on one runner, with repetitions.
#[derive(Debug, Clone)]
struct InFlight {
    runner: BackendId,
    requests: Vec<Fingerprint>,
}

/// Blame for crashes of the runners of one shard home.
#[derive(Debug, Clone, Default)]
pub struct Blame {
    in_flight: Vec<InFlight>,
    suspects: Vec<Suspect>,
    convicts: Vec<Convict>,
}

impl Blame {
    /// Handles an event at `now`.
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Action> {
        match event {
            Event::Started { runner, request } => self.start(runner, request),
            Event::Ended {
                runner,
                request,
                whole,
            } => self.end(&runner, request, whole),
            Event::Crashed { runner } => self.crash(now, &runner),
            Event::HeardScore { request, score } => self.hear_score(now, request, score),
            Event::HeardConviction { request, until } => self.hear_conviction(now, request, until),
            Event::Tick => self.expire(now),
        }
    }

    /// Whether requests with this content are refused.
    pub fn is_convicted(&self, now: Millis, request: Fingerprint) -> bool {
        self.convicts
            .binary_search_by_key(&request, |convict| convict.request)
            .is_ok_and(|index| now < self.convicts[index].until)
    }

    /// Whether the request must run on a runner without other suspects.
    pub fn is_suspect(&self, now: Millis, request: Fingerprint) -> bool {
        self.suspect(request)
            .is_ok_and(|index| now < self.suspects[index].until)
    }

    /// Whether the runner holds a suspect other than `request`.
    pub fn holds_other_suspect(
        &self,
        now: Millis,
        runner: &BackendId,
        request: Fingerprint,
    ) -> bool {
        self.requests_on(runner)
            .iter()
            .any(|other| *other != request && self.is_suspect(now, *other))
    }

    /// Number of suspects and convictions kept.
    pub fn len(&self) -> usize {
        self.suspects.len() + self.convicts.len()
    }

    /// Whether no suspect and no conviction is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn requests_on(&self, runner: &BackendId) -> &[Fingerprint] {
        match self
            .in_flight
            .binary_search_by(|entry| entry.runner.cmp(runner))
        {
            Ok(index) => &self.in_flight[index].requests,
            Err(_) => &[],
        }
    }

    fn suspect(&self, request: Fingerprint) -> Result<usize, usize> {
        self.suspects
            .binary_search_by_key(&request, |suspect| suspect.request)
    }

    fn start(&mut self, runner: BackendId, request: Fingerprint) -> Vec<Action> {
        match self
            .in_flight
            .binary_search_by(|entry| entry.runner.cmp(&runner))
        {
            Ok(index) => self.in_flight[index].requests.push(request),
            Err(index) => {
                let requests = vec![request];
                self.in_flight.insert(index, InFlight { runner, requests });
            }
        }
        Vec::new()
    }

    fn end(&mut self, runner: &BackendId, request: Fingerprint, whole: bool) -> Vec<Action> {
        let Ok(index) = self
            .in_flight
            .binary_search_by(|entry| entry.runner.cmp(runner))
        else {
            return Vec::new();
        };
        let requests = &mut self.in_flight[index].requests;
        let Some(position) = requests.iter().position(|known| *known == request) else {
            return Vec::new();
        };
        requests.swap_remove(position);
        if requests.is_empty() {
            self.in_flight.remove(index);
        }
        if !whole {
            return Vec::new();
        }
        self.clear(request)
    }

    fn clear(&mut self, request: Fingerprint) -> Vec<Action> {
        let Ok(index) = self.suspect(request) else {
            return Vec::new();
        };
        self.suspects.remove(index);
        vec![Action::ShareScore {
            request,
            score: Score(0),
        }]
    }

    fn crash(&mut self, now: Millis, runner: &BackendId) -> Vec<Action> {
        let Ok(index) = self
            .in_flight
            .binary_search_by(|entry| entry.runner.cmp(runner))
        else {
            return Vec::new();
        };
        let mut requests = self.in_flight.remove(index).requests;
        requests.sort_unstable();
        requests.dedup();
        let prior: Vec<Fingerprint> = requests
            .iter()
            .copied()
            .filter(|request| self.is_suspect(now, *request))
            .collect();
        // With several prior suspects the crash does not tell which of them caused it, so that
        // their scores rise but none of them is convicted.
        let limit = match prior.len() {
            1 => CONVICTION_SCORE,
            _ => Score(CONVICTION_SCORE.0 - 1),
        };
        requests.retain(|request| !self.is_convicted(now, *request));
        requests
            .into_iter()
            .filter_map(|request| self.raise(now, request, limit))
            .collect()
    }

    fn raise(&mut self, now: Millis, request: Fingerprint, limit: Score) -> Option<Action> {
        let known = self.suspect(request);
        let current = known.map_or(Score(0), |index| self.suspects[index].score);
        let score = Score(current.0 + 1).min(limit);
        if score >= CONVICTION_SCORE {
            let until = now + CONVICTION;
            self.convict(request, until);
            return Some(Action::ShareConviction { request, until });
        }
        self.set_score(now, request, score);
        Some(Action::ShareScore { request, score })
    }

    fn set_score(&mut self, now: Millis, request: Fingerprint, score: Score) {
        let suspect = Suspect {
            request,
            score,
            until: now + SUSPICION,
        };
        match self.suspect(request) {
            Ok(index) => self.suspects[index] = suspect,
            Err(index) => self.suspects.insert(index, suspect),
        }
    }

    fn convict(&mut self, request: Fingerprint, until: Millis) {
        if let Ok(index) = self.suspect(request) {
            self.suspects.remove(index);
        }
        match self
            .convicts
            .binary_search_by_key(&request, |convict| convict.request)
        {
            Ok(index) => self.convicts[index].until = self.convicts[index].until.max(until),
            Err(index) => self.convicts.insert(index, Convict { request, until }),
        }
    }

    fn hear_score(&mut self, now: Millis, request: Fingerprint, score: Score) -> Vec<Action> {
        if self.is_convicted(now, request) {
            return Vec::new();
        }
        let current = match self.suspect(request) {
            Ok(index) => self.suspects[index].score,
            Err(_) => Score(0),
        };
        match score {
            Score(0) => drop(self.clear(request)),
            score if score > current => self.set_score(now, request, score),
            _ => {}
        }
        Vec::new()
    }

    fn hear_conviction(&mut self, now: Millis, request: Fingerprint, until: Millis) -> Vec<Action> {
        // The sender's clock may be ahead; a conviction never lasts longer than one made here.
        let until = until.min(now + CONVICTION);
        if now < until {
            self.convict(request, until);
        }
        Vec::new()
    }

    fn expire(&mut self, now: Millis) -> Vec<Action> {
        self.suspects.retain(|suspect| now < suspect.until);
        self.convicts.retain(|convict| now < convict.until);
        Vec::new()
    }
}
