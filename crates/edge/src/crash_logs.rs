//! Log lines about requests that crash engines.

use bv_blame::{Block, CrashId};
use bv_types::{BackendId, Fingerprint, Millis};
use tracing::{info, warn};

use crate::logs::LogBudget;
use crate::request::CallerRequest;

/// Values as one text, separated by commas.
fn list<T: std::fmt::Display>(values: impl IntoIterator<Item = T>) -> String {
    let texts = values.into_iter().map(|value| value.to_string());
    texts.collect::<Vec<_>>().join(",")
}

impl LogBudget {
    /// Logs that a request lost its connection to a server, which may have crashed. `known_crashes`
    /// are those that the request may have caused before.
    pub fn run_lost(
        &self,
        now: Millis,
        req: &CallerRequest,
        server: &BackendId,
        crash: CrashId,
        known_crashes: u32,
    ) {
        if self.take(now) {
            info!(
                id = %req.facts.request_id,
                server = %server,
                crash = %crash,
                parts = req.facts.prompt_parts.join(","),
                contents = list(req.content.whole()),
                known_crashes,
                ms = (now - req.arrived).0,
                "crash: a server was lost during an answer"
            );
        }
    }

    /// Logs that a request is the only one with a suspected content that is sent now.
    pub fn trial_began(&self, now: Millis, req: &CallerRequest, content: Fingerprint) {
        if self.take(now) {
            let ms = (now - req.arrived).0;
            info!(id = %req.facts.request_id, content = %content, ms, "crash: request tried alone");
        }
    }

    /// Logs that a request waits for the trial of another one with a suspected content.
    pub fn trial_awaited(&self, now: Millis, req: &CallerRequest, content: Fingerprint) {
        if self.take(now) {
            info!(id = %req.facts.request_id, content = %content, "crash: request waits for a trial");
        }
    }

    /// Logs that a request was refused because another one with a suspected content is tried.
    pub fn trial_refused(&self, now: Millis, req: &CallerRequest, content: Fingerprint) {
        if self.take(now) {
            let ms = (now - req.arrived).0;
            info!(id = %req.facts.request_id, content = %content, ms, "crash: request not tried");
        }
    }

    /// Logs that a server on which a run lost its connection has not crashed.
    pub fn server_lives(&self, now: Millis, server: &BackendId, crash: CrashId, reason: &str) {
        if self.take(now) {
            info!(server = %server, crash = %crash, reason, "crash: the server has not crashed");
        }
    }

    /// Logs that an engine crashed while it answered this host.
    pub fn engine_crashed(&self, now: Millis, server: &BackendId, crash: CrashId, suspects: usize) {
        if self.take(now) {
            warn!(server = %server, crash = %crash, suspects, "crash: an engine ended during answers");
        }
    }

    /// Logs that requests with some contents are refused from now on.
    pub fn block_began(&self, now: Millis, block: &Block) {
        if self.take(now) {
            warn!(
                contents = list(&block.contents),
                crashes = list(&block.crashes),
                for_ms = (block.until - now).0,
                "crash: requests with these contents crash engines and are refused"
            );
        }
    }

    /// Logs that requests with some contents are allowed again.
    pub fn block_ended(&self, now: Millis, block: &Block) {
        if self.take(now) {
            let reason = match now < block.until {
                true => "survived",
                false => "time_over",
            };
            info!(
                contents = list(&block.contents),
                reason, "crash: block ended"
            );
        }
    }

    /// Logs the block that a refused request falls under.
    pub fn request_blocked(&self, now: Millis, req: &CallerRequest, block: &Block) {
        if self.take(now) {
            info!(
                id = %req.facts.request_id,
                parts = req.facts.prompt_parts.join(","),
                contents = list(&block.contents),
                crashes = list(&block.crashes),
                evidence_age_ms = (now - block.last_crash_at).0,
                "crash: request refused"
            );
        }
    }
}
