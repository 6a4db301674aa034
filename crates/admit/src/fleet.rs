//! Load and health of all backend servers, as one host knows them.

use std::sync::Arc;

use bv_types::{BackendId, Millis, ServiceId, Tokens};
use fastrand::Rng;

use crate::health::Fault;
use crate::host_groups::HostGroups;
use crate::peers::{Peers, ServerLoad};
use crate::server::{InFlightSend, Report, Server};

/// Identifies one send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct SendId(u64);

/// Work that a send puts on its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Work {
    /// Tokens that the server prefills or keeps in memory; 0 for plain calls.
    pub tokens: Tokens,
    /// Time without an answer after which the server counts as stuck.
    pub stuck_after: Millis,
}

/// How a send ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    /// The server answered; `error` if it failed the request itself.
    Answered {
        /// Whether the server failed the request.
        error: bool,
    },
    /// The server answered; whether its answer is usable is known only later, so its health is not
    /// updated.
    Unverified,
    /// The server refused to run the request.
    Refused,
    /// The server refused a reservation for the request, which was not sent.
    Full,
    /// The send failed.
    Failed(Fault),
    /// The caller disconnected or the host cancelled the send.
    Cancelled,
}

/// Moving averages over the requests of one service.
#[derive(Debug, Clone)]
struct ServiceStats {
    service: ServiceId,
    call_ms: f64,
    prefill_tokens_per_ms: f64,
    stream_ms: f64,
    output_tokens: f64,
    prompt_tokens: f64,
}

impl ServiceStats {
    fn new(service: &ServiceId) -> Self {
        ServiceStats {
            service: service.clone(),
            call_ms: INITIAL_CALL_MS,
            prefill_tokens_per_ms: INITIAL_PREFILL_TOKENS_PER_MS,
            stream_ms: INITIAL_STREAM_MS,
            output_tokens: INITIAL_OUTPUT_TOKENS,
            prompt_tokens: INITIAL_PROMPT_TOKENS,
        }
    }
}

/// Initial averages; only the first requests of a process use them.
const INITIAL_CALL_MS: f64 = 20.0;
const INITIAL_PREFILL_TOKENS_PER_MS: f64 = 30.0;
const INITIAL_STREAM_MS: f64 = 3_500.0;
const INITIAL_OUTPUT_TOKENS: f64 = 1_000.0;
const INITIAL_PROMPT_TOKENS: f64 = 3_000.0;
/// Weight of the newest sample in a moving average.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Weight of a sample that may be slow because of other load.
const SLOWER_SAMPLE_WEIGHT: f64 = 0.005;

/// Backend servers by id, with the requests that this host has in progress there.
#[derive(Debug)]
pub struct Fleet {
    servers: Vec<Server>,
    service_stats: Vec<ServiceStats>,
    pub(crate) peers: Peers,
    /// Number of other hosts that should report their load.
    pub(crate) expected_peers: usize,
    /// Groups of the hosts, if some zone is divided.
    pub(crate) groups: Option<Arc<HostGroups>>,
    /// Engines that change their role on an order of this host, each with the end of the change.
    own_role_changes: Vec<(BackendId, Millis)>,
    next_send: u64,
    pub(crate) rng: Rng,
}

impl Fleet {
    /// An empty fleet; `seed` feeds the random part of the scores.
    pub fn new(seed: u64) -> Self {
        Fleet {
            servers: Vec::new(),
            service_stats: Vec::new(),
            peers: Peers::default(),
            expected_peers: 0,
            groups: None,
            own_role_changes: Vec::new(),
            next_send: 0,
            rng: Rng::with_seed(seed),
        }
    }

    /// Records a send.
    pub fn begin(&mut self, now: Millis, id: &BackendId, work: Work) -> SendId {
        let send = self.begin_unconfirmed(now, id, work);
        self.confirm(id, send);
        send
    }

    /// Records a send whose server has not confirmed yet that it has capacity. It is reported to
    /// other hosts once it is confirmed.
    pub fn begin_unconfirmed(&mut self, now: Millis, id: &BackendId, work: Work) -> SendId {
        self.next_send += 1;
        let send = SendId(self.next_send);
        self.server_or_insert(id).sends.push(InFlightSend {
            id: send,
            last_progress_at: now,
            work,
            is_unconfirmed: true,
        });
        send
    }

    /// Records that the server confirmed its capacity for a send.
    pub fn confirm(&mut self, id: &BackendId, send: SendId) {
        if let Some(send) = self
            .server_or_insert(id)
            .sends
            .iter_mut()
            .find(|s| s.id == send)
        {
            send.is_unconfirmed = false;
        }
    }

    /// Records a sign of progress of a send, such as an event of its stream, and that it needs at
    /// least this many tokens.
    pub fn record_progress(&mut self, now: Millis, id: &BackendId, send: SendId, tokens: Tokens) {
        let server = self.server_or_insert(id);
        if let Some(known) = server.sends.iter_mut().find(|s| s.id == send) {
            known.last_progress_at = now;
            known.work.tokens = known.work.tokens.max(tokens);
            server.record_acceptance(send);
        }
    }

    /// Records the end of a send; a repeated call is ignored.
    pub fn end(&mut self, now: Millis, id: &BackendId, send: SendId, outcome: SendOutcome) {
        let server = self.server_or_insert(id);
        let Some(at) = server.sends.iter().position(|s| s.id == send) else {
            return;
        };
        server.sends.remove(at);
        match outcome {
            SendOutcome::Answered { error } => {
                server.record_acceptance(send);
                server.health.record_answer(error);
            }
            SendOutcome::Unverified => server.record_acceptance(send),
            SendOutcome::Failed(fault) => server.health.record_fault(now, fault),
            SendOutcome::Refused => server.record_refusal(now, send),
            SendOutcome::Full => server.record_full(now),
            SendOutcome::Cancelled => {}
        }
    }

    /// Records the load that a server reported.
    pub fn record_report(&mut self, now: Millis, id: &BackendId, report: Report) {
        self.server_or_insert(id).record_report(now, report);
    }

    /// Records how long a plain call took.
    pub fn observe_call(&mut self, service: &ServiceId, took: Millis) {
        let stats = self.stats_or_insert(service);
        stats.call_ms += (took.0 as f64 - stats.call_ms) * SAMPLE_WEIGHT;
    }

    /// Records how long the prefill of a prompt took at a server without other work of this host.
    pub fn observe_prefill(&mut self, service: &ServiceId, tokens: Tokens, took: Millis) {
        let rate = tokens.0 as f64 / took.0.max(1) as f64;
        let stats = self.stats_or_insert(service);
        // Prompts of other hosts and slow links can only make the engine look slower.
        let weight = match rate > stats.prefill_tokens_per_ms {
            true => SAMPLE_WEIGHT,
            false => SLOWER_SAMPLE_WEIGHT,
        };
        stats.prefill_tokens_per_ms += (rate - stats.prefill_tokens_per_ms) * weight;
    }

    /// Records how long a stream took and how many tokens it had.
    pub fn observe_stream(&mut self, service: &ServiceId, took: Millis, output: Tokens) {
        let stats = self.stats_or_insert(service);
        stats.stream_ms += (took.0 as f64 - stats.stream_ms) * SAMPLE_WEIGHT;
        stats.output_tokens += (output.0 as f64 - stats.output_tokens) * SAMPLE_WEIGHT;
    }

    /// Usual number of tokens of an answer.
    pub fn usual_output(&self, service: &ServiceId) -> Tokens {
        let usual = self
            .stats(service)
            .map_or(INITIAL_OUTPUT_TOKENS, |s| s.output_tokens);
        Tokens(usual as u64)
    }

    /// Records a fault that was detected outside the sends to the server, such as a prompt that it
    /// lost.
    pub fn record_fault(&mut self, now: Millis, id: &BackendId, fault: Fault) {
        self.server_or_insert(id).health.record_fault(now, fault);
    }

    /// Records that an earlier answer of a server was usable.
    pub fn record_success(&mut self, id: &BackendId) {
        self.server_or_insert(id).health.record_answer(false);
    }

    /// Records that this host ordered an engine to change its role; the engine gets no requests
    /// before `until`.
    pub fn record_role_change(&mut self, id: &BackendId, until: Millis) {
        self.server_or_insert(id).changing_until = until;
        self.own_role_changes.retain(|(other, _)| other != id);
        self.own_role_changes.push((id.clone(), until));
    }

    /// Engines that change their role on an order of this host.
    pub fn engines_changing_role(&mut self, now: Millis) -> Vec<BackendId> {
        self.own_role_changes.retain(|(_, until)| now < *until);
        self.own_role_changes
            .iter()
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Servers that refused the latest request of this host.
    pub fn refusing(&self, now: Millis) -> Vec<BackendId> {
        let refusing = self.servers.iter().filter(|s| s.refuses_own(now));
        refusing.map(|s| s.id.clone()).collect()
    }

    /// Whether an engine is changing its role.
    pub fn is_changing(&self, now: Millis, id: &BackendId) -> bool {
        self.find(id).is_some_and(|s| now < s.changing_until)
    }

    /// Records the size of a prompt.
    pub fn observe_prompt(&mut self, service: &ServiceId, tokens: Tokens) {
        let stats = self.stats_or_insert(service);
        stats.prompt_tokens += (tokens.0 as f64 - stats.prompt_tokens) * SAMPLE_WEIGHT;
    }

    /// Engine time of a usual model call at engines with this memory: its prefill, and its share of
    /// a decode engine's memory over its stream, both in ms.
    pub fn usual_cost(&self, service: &ServiceId, kv_capacity: Tokens) -> (f64, f64) {
        let stats = self
            .stats(service)
            .cloned()
            .unwrap_or_else(|| ServiceStats::new(service));
        let share = (stats.prompt_tokens + stats.output_tokens) / kv_capacity.0.max(1) as f64;
        let prefill_ms = stats.prompt_tokens / stats.prefill_tokens_per_ms;
        (prefill_ms, stats.stream_ms * share)
    }

    /// Load of this host at model engines. Plain servers have no tokens and are left out.
    pub fn own_loads(&self) -> Vec<ServerLoad> {
        let loads = self.servers.iter().map(|server| {
            let sends = server.sends.iter().filter(|send| !send.is_unconfirmed);
            ServerLoad {
                server: server.id.clone(),
                requests: sends.clone().count() as u32,
                tokens: sends.map(|send| send.work.tokens).sum(),
            }
        });
        loads.filter(|load| load.tokens.0 > 0).collect()
    }

    /// Number of this host's requests at a server.
    pub fn own_sends(&self, id: &BackendId) -> usize {
        self.find(id).map_or(0, |server| server.sends.len())
    }

    /// Number of this host's requests at all servers.
    pub fn total_sends(&self) -> usize {
        self.servers.iter().map(|server| server.sends.len()).sum()
    }

    /// Removes idle servers for which `is_known` is false.
    pub fn retain(&mut self, is_known: impl Fn(&BackendId) -> bool) {
        // The load of other hosts is subtracted later, when they report its end or expire.
        let is_busy =
            |s: &Server| !s.sends.is_empty() || s.peers.requests > 0.0 || s.peers.tokens > 0.0;
        self.servers
            .retain(|server| is_busy(server) || is_known(&server.id));
    }

    pub(crate) fn call_ms(&self, service: &ServiceId) -> f64 {
        self.stats(service).map_or(INITIAL_CALL_MS, |s| s.call_ms)
    }

    pub(crate) fn prefill_tokens_per_ms(&self, service: &ServiceId) -> f64 {
        self.stats(service)
            .map_or(INITIAL_PREFILL_TOKENS_PER_MS, |s| s.prefill_tokens_per_ms)
    }

    pub(crate) fn find(&self, id: &BackendId) -> Option<&Server> {
        let at = self.servers.binary_search_by(|s| s.id.cmp(id)).ok()?;
        Some(&self.servers[at])
    }

    pub(crate) fn stream_ms(&self, service: &ServiceId) -> f64 {
        self.stats(service)
            .map_or(INITIAL_STREAM_MS, |s| s.stream_ms)
    }

    pub(crate) fn server_or_insert(&mut self, id: &BackendId) -> &mut Server {
        let at = match self.servers.binary_search_by(|s| s.id.cmp(id)) {
            Ok(at) => at,
            Err(at) => {
                self.servers.insert(at, Server::new(id.clone()));
                at
            }
        };
        &mut self.servers[at]
    }

    fn stats(&self, service: &ServiceId) -> Option<&ServiceStats> {
        let at = self
            .service_stats
            .binary_search_by(|s| s.service.cmp(service));
        at.ok().map(|at| &self.service_stats[at])
    }

    fn stats_or_insert(&mut self, service: &ServiceId) -> &mut ServiceStats {
        let found = self
            .service_stats
            .binary_search_by(|s| s.service.cmp(service));
        let at = match found {
            Ok(at) => at,
            Err(at) => {
                self.service_stats.insert(at, ServiceStats::new(service));
                at
            }
        };
        &mut self.service_stats[at]
    }
}
