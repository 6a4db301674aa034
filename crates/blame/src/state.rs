//! Suspects, blocked requests and the requests in flight on each runner.

use bv_types::{BackendId, Fingerprint, Millis};

/// Number of crashes after which a request is blocked.
pub const BLOCK_SCORE: Score = Score(3);
/// Time for which a blocked request is refused.
pub const BLOCK_TIME: Millis = Millis::from_secs(600);
/// Time after the last rise of its score for which a request stays suspect.
pub const SUSPECT_TIME: Millis = Millis::from_secs(600);

/// Number of crashes that a request may have caused; 0 clears it of suspicion.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Score(pub u32);

/// Input of [`Blame::handle`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A request started on a runner.
    Started {
        /// The runner.
        runner: BackendId,
        /// The request.
        request: Fingerprint,
    },
    /// A request ended on a runner that has not crashed.
    Ended {
        /// The runner.
        runner: BackendId,
        /// The request.
        request: Fingerprint,
        /// Whether it ran to completion rather than being cancelled.
        completed: bool,
    },
    /// A runner crashed; all requests in flight on it ended.
    Crashed {
        /// The runner.
        runner: BackendId,
    },
    /// Another entry host changed the score of a request.
    ReceivedScore {
        /// The request.
        request: Fingerprint,
        /// Its score at that host.
        score: Score,
    },
    /// Another entry host blocked a request.
    ReceivedBlock {
        /// The request.
        request: Fingerprint,
        /// End of the block.
        until: Millis,
    },
    /// Time passed.
    Tick,
}

/// A change to report to the other entry hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// This host changed the score of a request.
    ShareScore {
        /// The request.
        request: Fingerprint,
        /// Its score; 0 clears it of suspicion.
        score: Score,
    },
    /// This host blocked a request.
    ShareBlock {
        /// The request.
        request: Fingerprint,
        /// End of the block.
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
struct BlockedRequest {
    request: Fingerprint,
    until: Millis,
}

/// Requests in flight on one runner. Content that runs twice is listed twice.
#[derive(Debug, Clone)]
struct InFlight {
    runner: BackendId,
    requests: Vec<Fingerprint>,
}

/// Tracks which requests may have caused crashes, from the runners of the shards that this host
/// owns and from the reports of other entry hosts.
#[derive(Debug, Clone, Default)]
pub struct Blame {
    in_flight: Vec<InFlight>,
    suspects: Vec<Suspect>,
    blocked: Vec<BlockedRequest>,
}

impl Blame {
    /// Handles an event at `now`; the driver must carry out the returned actions.
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Action> {
        match event {
            Event::Started { runner, request } => self.start(runner, request),
            Event::Ended {
                runner,
                request,
                completed,
            } => self.end(&runner, request, completed),
            Event::Crashed { runner } => self.crash(now, &runner),
            Event::ReceivedScore { request, score } => self.receive_score(now, request, score),
            Event::ReceivedBlock { request, until } => self.receive_block(now, request, until),
            Event::Tick => self.expire(now),
        }
    }

    /// Whether requests with this content are refused.
    pub fn is_blocked(&self, now: Millis, request: Fingerprint) -> bool {
        self.blocked
            .binary_search_by_key(&request, |entry| entry.request)
            .is_ok_and(|index| now < self.blocked[index].until)
    }

    /// Whether the request must run on a runner without other suspects.
    pub fn is_suspect(&self, now: Millis, request: Fingerprint) -> bool {
        self.suspect_index(request)
            .is_ok_and(|index| now < self.suspects[index].until)
    }

    /// Whether a suspect other than `request` runs on the runner.
    pub fn has_other_suspect(&self, now: Millis, runner: &BackendId, request: Fingerprint) -> bool {
        self.requests_on(runner)
            .iter()
            .any(|other| *other != request && self.is_suspect(now, *other))
    }

    /// Number of suspects and blocked requests.
    pub fn len(&self) -> usize {
        self.suspects.len() + self.blocked.len()
    }

    /// Whether there are no suspects and no blocked requests.
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

    fn suspect_index(&self, request: Fingerprint) -> Result<usize, usize> {
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

    fn end(&mut self, runner: &BackendId, request: Fingerprint, completed: bool) -> Vec<Action> {
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
        if !completed {
            return Vec::new();
        }
        self.clear_suspect(request)
    }

    fn clear_suspect(&mut self, request: Fingerprint) -> Vec<Action> {
        let Ok(index) = self.suspect_index(request) else {
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
        let prior_suspects: Vec<Fingerprint> = requests
            .iter()
            .copied()
            .filter(|request| self.is_suspect(now, *request))
            .collect();
        // With several prior suspects the crash does not show which of them caused it, so their
        // scores rise, but none of them is blocked.
        let max_score = match prior_suspects.len() {
            1 => BLOCK_SCORE,
            _ => Score(BLOCK_SCORE.0 - 1),
        };
        requests.retain(|request| !self.is_blocked(now, *request));
        requests
            .into_iter()
            .filter_map(|request| self.raise_score(now, request, max_score))
            .collect()
    }

    fn raise_score(
        &mut self,
        now: Millis,
        request: Fingerprint,
        max_score: Score,
    ) -> Option<Action> {
        let known = self.suspect_index(request);
        let current = known.map_or(Score(0), |index| self.suspects[index].score);
        let score = Score(current.0 + 1).min(max_score);
        if score >= BLOCK_SCORE {
            let until = now + BLOCK_TIME;
            self.block(request, until);
            return Some(Action::ShareBlock { request, until });
        }
        self.set_score(now, request, score);
        Some(Action::ShareScore { request, score })
    }

    fn set_score(&mut self, now: Millis, request: Fingerprint, score: Score) {
        let suspect = Suspect {
            request,
            score,
            until: now + SUSPECT_TIME,
        };
        match self.suspect_index(request) {
            Ok(index) => self.suspects[index] = suspect,
            Err(index) => self.suspects.insert(index, suspect),
        }
    }

    fn block(&mut self, request: Fingerprint, until: Millis) {
        if let Ok(index) = self.suspect_index(request) {
            self.suspects.remove(index);
        }
        match self
            .blocked
            .binary_search_by_key(&request, |entry| entry.request)
        {
            Ok(index) => self.blocked[index].until = self.blocked[index].until.max(until),
            Err(index) => self
                .blocked
                .insert(index, BlockedRequest { request, until }),
        }
    }

    fn receive_score(&mut self, now: Millis, request: Fingerprint, score: Score) -> Vec<Action> {
        if self.is_blocked(now, request) {
            return Vec::new();
        }
        let current = match self.suspect_index(request) {
            Ok(index) => self.suspects[index].score,
            Err(_) => Score(0),
        };
        match score {
            Score(0) => drop(self.clear_suspect(request)),
            score if score > current => self.set_score(now, request, score),
            _ => {}
        }
        Vec::new()
    }

    fn receive_block(&mut self, now: Millis, request: Fingerprint, until: Millis) -> Vec<Action> {
        // The sender's clock may be ahead, so the block is limited to the length of one made here.
        let until = until.min(now + BLOCK_TIME);
        if now < until {
            self.block(request, until);
        }
        Vec::new()
    }

    fn expire(&mut self, now: Millis) -> Vec<Action> {
        self.suspects.retain(|suspect| now < suspect.until);
        self.blocked.retain(|entry| now < entry.until);
        Vec::new()
    }
}
