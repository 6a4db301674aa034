//! Watch over requests that crash engines.

use std::sync::Arc;

use bv_blame::{Admission, Block, CrashId, RunEnd, RunId};
use bv_link::{ConnectError, ConnectOptions, connect};
use bv_roster::Registration;
use bv_types::{Fingerprint, Millis, Refusal};

use crate::answer::Failure;
use crate::counters;
use crate::edge::Edge;
use crate::request::CallerRequest;
use crate::send::SendError;

/// Time after which a server that still accepts connections is checked once more.
const RECHECK_DELAY: Millis = Millis(100);
/// Timeout of the connection that shows whether an engine still runs.
const CHECK_TIMEOUT: Millis = Millis(150);

/// A request at a server, from the send to the end of the answer. Dropping it tells nothing about
/// the request.
#[derive(Debug)]
pub(crate) struct WatchedRun {
    edge: Arc<Edge>,
    req: Arc<CallerRequest>,
    server: Registration,
    /// None after the end.
    run: Option<RunId>,
}

impl WatchedRun {
    pub fn begin(edge: &Arc<Edge>, req: &Arc<CallerRequest>, server: &Registration) -> Self {
        let crash = CrashId::of_process(&server.id, server.started_at);
        let trial = req.trial.get().copied();
        let content = req.content.clone();
        let run = edge.state().crashes.begin(crash, content, trial);
        WatchedRun {
            edge: edge.clone(),
            req: req.clone(),
            server: server.clone(),
            run: Some(run),
        }
    }

    /// Records a piece of the answer.
    pub fn answering(&self) {
        if let Some(run) = self.run {
            let now = self.edge.now();
            self.edge.state().crashes.answering(now, run);
        }
    }

    /// Records a complete and successful answer.
    pub fn complete(mut self) {
        self.end(RunEnd::Completed);
    }

    /// Records that the server ended the connection before the answer was complete. Whether it has
    /// crashed is found out by a connection to it.
    pub fn lose(mut self) {
        let Some(run) = self.run.take() else { return };
        let now = self.edge.now();
        let mut state = self.edge.state();
        let must_check = state.crashes.lose(now, run);
        // A server that leaves ends what it does not finish in time.
        let is_leaving = !state.may_send(now, &self.server);
        let known_crashes = state.crashes.crash_count(&self.req.content);
        drop(state);
        let crash = CrashId::of_process(&self.server.id, self.server.started_at);
        self.edge
            .logs
            .run_lost(now, &self.req, &self.server.id, crash, known_crashes);
        if !must_check {
            self.edge.tell_ended_trials();
            return;
        }
        let (edge, server) = (self.edge.clone(), self.server.clone());
        match is_leaving {
            true => edge.confirm_crash(&server, LossVerdict::Leaving),
            false => drop(tokio::spawn(check(edge, server))),
        }
    }

    /// Records a failed send.
    pub fn fail(self, err: &SendError) {
        if let SendError::ConnectionLost(_) = err {
            self.lose();
        }
    }

    fn end(&mut self, end: RunEnd) {
        if let Some(run) = self.run.take() {
            let now = self.edge.now();
            self.edge.state().crashes.end(now, run, end);
            self.edge.tell_ended_trials();
        }
    }
}

impl Drop for WatchedRun {
    fn drop(&mut self) {
        self.end(RunEnd::Inconclusive);
    }
}

/// What is known of a server that a run has lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LossVerdict {
    /// It accepts no connection.
    Crashed,
    /// It accepts connections.
    Accepts,
    /// It leaves or rests, or its row has gone.
    Leaving,
}

/// Finds out whether a server has ended: it accepts no connection any more.
async fn check(edge: Arc<Edge>, server: Registration) {
    let mut has_crashed = refuses_connections(&server).await;
    if !has_crashed {
        // The listener of a process that ends may be open longer than its connections.
        tokio::time::sleep(RECHECK_DELAY.duration()).await;
        has_crashed = refuses_connections(&server).await;
    }
    let verdict = match has_crashed {
        true => LossVerdict::Crashed,
        false => LossVerdict::Accepts,
    };
    edge.confirm_crash(&server, verdict);
}

async fn refuses_connections(server: &Registration) -> bool {
    let options = ConnectOptions {
        timeout: CHECK_TIMEOUT,
        unacknowledged: CHECK_TIMEOUT,
    };
    match connect(server.address, options).await {
        Ok(_) => false,
        Err(ConnectError::Timeout { .. }) => true,
        Err(ConnectError::Refused { source, .. }) => !is_local_limit(&source),
        Err(ConnectError::Handshake { .. }) => false,
    }
}

/// Whether a connection failed because this host has no descriptor or port left.
fn is_local_limit(err: &std::io::Error) -> bool {
    use std::io::ErrorKind::{AddrInUse, AddrNotAvailable, OutOfMemory, QuotaExceeded};
    const EMFILE: i32 = 24;
    const ENFILE: i32 = 23;
    matches!(
        err.kind(),
        AddrInUse | AddrNotAvailable | OutOfMemory | QuotaExceeded
    ) || matches!(err.raw_os_error(), Some(EMFILE | ENFILE))
}

impl Edge {
    /// The refusal of a request whose content crashes engines, or may do so and is tried by another
    /// request.
    pub fn blocked(&self, req: &CallerRequest) -> Option<Failure> {
        let now = self.now();
        let state = self.state();
        let trial = req.trial.get().copied();
        match state.crashes.admission(now, &req.content, trial) {
            Admission::Free => None,
            Admission::Blocked(block) => Some(self.refuse_blocked(now, req, block)),
            Admission::OneAtATime(content) => Some(self.refuse_untried(now, req, content)),
        }
    }

    pub(crate) fn refuse_blocked(
        &self,
        now: Millis,
        req: &CallerRequest,
        block: &Block,
    ) -> Failure {
        self.logs.request_blocked(now, req, block);
        Failure::NotRun {
            reason: Refusal::CrashesEngines,
            retry_after: block.until - now,
        }
    }

    pub(crate) fn refuse_untried(
        &self,
        now: Millis,
        req: &CallerRequest,
        content: Fingerprint,
    ) -> Failure {
        self.logs.trial_refused(now, req, content);
        Failure::refused(Refusal::UnderTrial)
    }

    fn confirm_crash(&self, server: &Registration, verdict: LossVerdict) {
        let now = self.now();
        let crash = CrashId::of_process(&server.id, server.started_at);
        let mut state = self.state();
        state
            .crashes
            .confirm(now, crash, verdict == LossVerdict::Crashed);
        let suspects = state.crashes.crash(crash).map_or(0, |c| c.suspects.len());
        drop(state);
        match verdict {
            LossVerdict::Crashed => {
                counters::engine_crashed();
                self.logs.engine_crashed(now, &server.id, crash, suspects);
                self.update_blocks(now);
                self.own_load_changed.notify_one();
            }
            LossVerdict::Accepts => {
                self.logs
                    .server_lives(now, &server.id, crash, "accepts connections");
            }
            LossVerdict::Leaving => self.logs.server_lives(now, &server.id, crash, "leaves"),
        }
        self.tell_ended_trials();
        self.trials_changed.notify_waiters();
    }

    /// Forgets blocks and crashes that are over, and logs the blocks that began or ended.
    pub fn update_blocks(&self, now: Millis) {
        let mut state = self.state();
        state.crashes.expire(now);
        let blocks: Vec<Block> = state.crashes.blocks(now).cloned().collect();
        let before = std::mem::replace(&mut state.logged_blocks, blocks.clone());
        drop(state);
        if before == blocks {
            return;
        }
        let has = |blocks: &[Block], wanted: &Block| {
            blocks.iter().any(|block| block.contents == wanted.contents)
        };
        for block in blocks.iter().filter(|block| !has(&before, block)) {
            self.logs.block_began(now, block);
        }
        for block in before.iter().filter(|block| !has(&blocks, block)) {
            self.logs.block_ended(now, block);
        }
        counters::blocked_contents(blocks.len());
    }
}
