//! Structured log lines: one for each decision about a request.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use bv_admit::Instance;
use bv_retry::Balance;
use bv_types::{BackendId, Millis, ParseError, TeamId, Tokens};
use http::StatusCode;
use tracing::{debug, info, warn};

use crate::answer::Failure;
use crate::counters;
use crate::edge::Edge;
use crate::model::ModelCall;
use crate::request::CallerRequest;
use crate::retries::RetryKind;
use crate::send::SendError;
use crate::serve::RefusedRequest;

/// Lines per second that may be written about requests; a line costs about 30 µs of CPU time.
const LINES_PER_SEC: f64 = 60.0;
/// Lines that may be written in a burst.
const LINES_BURST: f64 = 200.0;

/// Bounds the rate of lines about requests; lines beyond it are counted instead. Holds the number of
/// lines that may be written now, and when that number was computed.
#[derive(Debug)]
pub(crate) struct LogBudget(Mutex<(f64, Millis)>);

impl LogBudget {
    pub fn new(now: Millis) -> Self {
        LogBudget(Mutex::new((LINES_BURST, now)))
    }

    /// Takes a line from the budget; returns whether there was one left.
    pub(super) fn take(&self, now: Millis) -> bool {
        let mut budget = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let (left, at) = *budget;
        let earned = (now - at).0 as f64 / 1_000.0 * LINES_PER_SEC;
        let left = (left + earned).min(LINES_BURST);
        let is_allowed = left >= 1.0;
        *budget = (if is_allowed { left - 1.0 } else { left }, now);
        if !is_allowed {
            counters::log_dropped();
        }
        is_allowed
    }

    /// Logs that a server's answer was forwarded.
    pub fn answered(&self, now: Millis, req: &CallerRequest, status: StatusCode) {
        if status.is_success() {
            debug!(
                id = %req.facts.request_id,
                route = %req.route.name,
                team = req.team_id().map(TeamId::as_str),
                ms = (now - req.arrived).0,
                "request: answered"
            );
            return;
        }
        if self.take(now) {
            info!(
                id = %req.facts.request_id,
                route = %req.route.name,
                team = req.team_id().map(TeamId::as_str),
                config = req.table.version().0,
                status = status.as_u16(),
                ms = (now - req.arrived).0,
                "request: server's own failure passed on"
            );
        }
    }

    /// Logs a request that ended without a server's answer.
    pub fn failed(&self, now: Millis, req: &CallerRequest, failure: Failure) {
        if self.take(now) {
            info!(
                id = %req.facts.request_id,
                route = %req.route.name,
                team = req.team_id().map(TeamId::as_str),
                config = req.table.version().0,
                service = %req.service,
                status = failure.status().as_u16(),
                reason = failure.code(),
                ms = (now - req.arrived).0,
                left_ms = req.remaining(now).0,
                "request: failed"
            );
        }
    }

    /// Logs a request that was refused before it was passed to its service.
    pub fn refused(&self, now: Millis, refused: &RefusedRequest) {
        if self.take(now) {
            info!(
                id = refused.request_id.as_deref().unwrap_or("unknown"),
                status = refused.failure.status().as_u16(),
                reason = refused.failure.code(),
                team = refused.team.as_ref().map(TeamId::as_str),
                config = refused.config.map(|version| version.0),
                config_age_ms = refused.config_age.map(|age| age.0),
                "request: refused"
            );
        }
    }

    /// Logs a failed send.
    pub fn send_failed(
        &self,
        now: Millis,
        req: &CallerRequest,
        server: &BackendId,
        err: &SendError,
    ) {
        if self.take(now) {
            info!(
                id = %req.facts.request_id,
                route = %req.route.name,
                team = req.team_id().map(TeamId::as_str),
                server = %server,
                reason = err.code(),
                error = %err,
                parts = req.facts.prompt_parts.join(","),
                ms = (now - req.arrived).0,
                "send: failed"
            );
        }
    }

    /// Logs retries that were taken from the budget, and the balance after that.
    pub fn retry_taken(
        &self,
        now: Millis,
        req: &CallerRequest,
        kind: RetryKind,
        count: u32,
        balance: Balance,
    ) {
        self.log_retry(now, req, kind, count, balance, "retry: taken");
    }

    /// Logs retries that the budget denied, and its balance.
    pub fn retry_denied(
        &self,
        now: Millis,
        req: &CallerRequest,
        kind: RetryKind,
        count: u32,
        balance: Balance,
    ) {
        self.log_retry(now, req, kind, count, balance, "retry: denied");
    }

    fn log_retry(
        &self,
        now: Millis,
        req: &CallerRequest,
        kind: RetryKind,
        count: u32,
        balance: Balance,
        message: &'static str,
    ) {
        if self.take(now) {
            info!(
                id = %req.facts.request_id,
                service = %req.service,
                send = kind.code(),
                count,
                used = balance.used,
                allowed = (balance.allowed * 10.0).floor() / 10.0,
                hosts = balance.hosts,
                ms = (now - req.arrived).0,
                "{message}"
            );
        }
    }

    /// Logs that a decode engine with enough capacity refused a prompt prefilled elsewhere.
    pub fn prompt_lost(
        &self,
        now: Millis,
        req: &CallerRequest,
        prefill_engine: &BackendId,
        engine: &BackendId,
    ) {
        if self.take(now) {
            info!(
                id = %req.facts.request_id,
                reader = %prefill_engine,
                server = %engine,
                ms = (now - req.arrived).0,
                "prompt: gone at the engine that read it"
            );
        }
    }

    /// Logs that a server refused a request as misdirected: another process has the address, or the
    /// engine has another role than its row says.
    pub fn misdirected(&self, now: Millis, req: &CallerRequest, server: &BackendId) {
        self.log_plain(
            now,
            req,
            server,
            "send: misdirected, the row of the server is outdated",
        );
    }

    /// Logs that an engine refused a request for lack of capacity.
    pub fn engine_full(&self, now: Millis, req: &CallerRequest, engine: &BackendId) {
        self.log_plain(now, req, engine, "engine: refused for lack of room");
    }

    /// Logs a message that needs no fields besides the request and the server.
    fn log_plain(
        &self,
        now: Millis,
        req: &CallerRequest,
        server: &BackendId,
        message: &'static str,
    ) {
        if self.take(now) {
            info!(
                id = %req.facts.request_id,
                server = %server,
                ms = (now - req.arrived).0,
                "{message}"
            );
        }
    }

    /// Logs that an engine refused a reservation; the request was not sent to it.
    pub fn reservation_refused(
        &self,
        now: Millis,
        req: &CallerRequest,
        engine: &BackendId,
        requested: Tokens,
        known: Tokens,
    ) {
        if self.take(now) {
            info!(
                id = %req.facts.request_id,
                server = %engine,
                asked_tokens = requested.0,
                known_tokens = known.0,
                ms = (now - req.arrived).0,
                "hold: the engine has no room"
            );
        }
    }

    /// Logs that an engine does not support reservations.
    pub fn reservation_unsupported(&self, now: Millis, engine: &BackendId, status: StatusCode) {
        if self.take(now) {
            info!(server = %engine, status = status.as_u16(), "hold: not supported");
        }
    }

    /// Logs that a reservation could not be released.
    pub fn reservation_not_released(&self, now: Millis, addr: SocketAddr, err: &str) {
        if self.take(now) {
            info!(peer = %addr, error = err, "hold: not freed, it expires at the engine");
        }
    }

    /// Logs that the KV cache of a prompt could not be freed.
    pub fn handle_not_freed(&self, now: Millis, addr: SocketAddr, err: &str) {
        if self.take(now) {
            info!(peer = %addr, error = err, "handle: not freed, it expires at the engine");
        }
    }

    /// Logs that another server is sought for a request because its server is silent.
    pub fn search_began(
        &self,
        now: Millis,
        req: &CallerRequest,
        server: &BackendId,
        silent: Millis,
    ) {
        if self.take(now) {
            info!(
                id = %req.facts.request_id,
                server = %server,
                silent_ms = silent.0,
                ms = (now - req.arrived).0,
                "server: silent, another one is sought"
            );
        }
    }

    /// Logs what ended the silence of a server, after another one was sought.
    pub fn search_ended(
        &self,
        now: Millis,
        req: &CallerRequest,
        server: &BackendId,
        silent: Millis,
        outcome: &'static str,
    ) {
        if self.take(now) {
            info!(
                id = %req.facts.request_id,
                server = %server,
                outcome,
                silent_ms = silent.0,
                ms = (now - req.arrived).0,
                "server: silence ended"
            );
        }
    }

    /// Logs that a server announced that it leaves.
    pub fn server_leaves(&self, now: Millis, server: &Instance, status: StatusCode) {
        if self.take(now) {
            info!(
                server = %server.id,
                started_at = server.started_at.map(|at| at.0),
                status = status.as_u16(),
                "server: announced that it leaves, nothing new is sent to it"
            );
        }
    }

    /// Logs that a server asked for a rest.
    pub fn server_rests(
        &self,
        now: Millis,
        server: &Instance,
        asked: Option<Millis>,
        until: Millis,
    ) {
        if self.take(now) {
            info!(
                server = %server.id,
                started_at = server.started_at.map(|at| at.0),
                asked_ms = asked.map(|asked| asked.0),
                rest_ms = (until - now).0,
                "server: asked for a rest, nothing is sent to it"
            );
        }
    }

    /// Logs that the time of a server's rest is over.
    pub fn rest_ended(&self, now: Millis, server: &Instance) {
        if self.take(now) {
            info!(
                server = %server.id,
                started_at = server.started_at.map(|at| at.0),
                reason = "time_over",
                "server: its rest ended"
            );
        }
    }

    /// Logs that a header of a server's answer cannot be read and is ignored.
    pub fn unreadable_header(&self, now: Millis, server: &BackendId, err: &ParseError) {
        if self.take(now) {
            info!(server = %server, error = %err, "server: header ignored");
        }
    }

    /// Logs that a stream was forwarded to its end.
    pub fn stream_complete(&self, edge: &Edge, call: &ModelCall, server: &BackendId) {
        let now = edge.now();
        if !self.take(now) {
            return;
        }
        let req = &call.req;
        info!(
            id = %req.facts.request_id,
            route = %req.route.name,
            team = req.team_id().map(TeamId::as_str),
            server = %server,
            prompt = req.facts.prompt_tokens.map(|t| t.0),
            parts = req.facts.prompt_parts.join(","),
            expected = req.facts.expected_output_tokens.map(|t| t.0),
            output = call.output().0,
            runs = call.runs,
            placed_ms = (call.placed_at - req.arrived).0,
            prefilled_ms = call.prefilled_at.map(|at| (at - req.arrived).0),
            first_ms = call.first_at.map(|at| (at - req.arrived).0),
            longest_pause_ms = call.longest_pause.0,
            ms = (now - req.arrived).0,
            "stream: complete"
        );
    }

    /// Logs that a caller closed its connection during a stream.
    pub fn caller_disconnected(&self, edge: &Edge, call: &ModelCall, server: &BackendId) {
        let message = "stream: caller disconnected, connection to the server closed";
        self.log_plain(edge.now(), &call.req, server, message);
    }

    /// Logs that a stream is resumed at another server.
    pub fn stream_resumes(
        &self,
        edge: &Edge,
        call: &ModelCall,
        server: &BackendId,
        reason: &'static str,
    ) {
        let now = edge.now();
        if self.take(now) {
            info!(
                id = %call.req.facts.request_id,
                from = %server,
                reason,
                parts = call.req.facts.prompt_parts.join(","),
                last_event = call.last_event,
                "stream: goes on at another server"
            );
        }
    }

    /// Logs that a stream ended early.
    pub fn stream_broken(
        &self,
        edge: &Edge,
        call: &ModelCall,
        server: &BackendId,
        reason: &'static str,
        silent: Millis,
    ) {
        let now = edge.now();
        if self.take(now) {
            warn!(
                id = %call.req.facts.request_id,
                route = %call.req.route.name,
                team = call.req.team_id().map(TeamId::as_str),
                server = %server,
                reason,
                parts = call.req.facts.prompt_parts.join(","),
                last_event = call.last_event,
                runs = call.runs,
                silent_ms = silent.0,
                ms = (now - call.req.arrived).0,
                "stream: broken off"
            );
        }
    }
}
