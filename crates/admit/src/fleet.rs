//! All backend servers, as one host sees them.

use bv_types::{BackendId, HostId, Millis, ServiceId, Tokens};
use fastrand::Rng;

use crate::health::Fault;
use crate::peers::{PeerLoad, Peers, ServerLoad};
use crate::queue::Waiting;
use crate::server::{Report, Send, Server};

/// Names one send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendId(u64);

/// What a send asks of its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Work {
    /// Tokens that the server reads or keeps; 0 for plain calls.
    pub tokens: Tokens,
    /// Time without an answer after which the server counts as stuck.
    pub stuck_after: Millis,
}

/// How a send ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// The server answered; `error` if it failed the request itself.
    Answered {
        /// Whether the server failed the request.
        error: bool,
    },
    /// The server answered, but whether its answer is of use shows only later.
    Unverified,
    /// The server refused to run the request.
    Full,
    /// The send failed.
    Failed(Fault),
    /// The caller left or the host gave the send up.
    Cancelled,
}

/// Usual time that one request of a service takes at its server.
#[derive(Debug, Clone)]
struct Pace {
    service: ServiceId,
    call_ms: f64,
    prefill_per_ms: f64,
    stream_ms: f64,
    output_tokens: f64,
    prompt_tokens: f64,
}

impl Pace {
    fn new(service: &ServiceId) -> Self {
        Pace {
            service: service.clone(),
            call_ms: START_CALL_MS,
            prefill_per_ms: START_PREFILL_PER_MS,
            stream_ms: START_STREAM_MS,
            output_tokens: START_OUTPUT_TOKENS,
            prompt_tokens: START_PROMPT_TOKENS,
        }
    }
}

/// Start values, replaced by what is observed; only the first requests of a process use them.
const START_CALL_MS: f64 = 20.0;
const START_PREFILL_PER_MS: f64 = 30.0;
const START_STREAM_MS: f64 = 3_500.0;
const START_OUTPUT_TOKENS: f64 = 1_000.0;
const START_PROMPT_TOKENS: f64 = 3_000.0;
/// Time for which an engine is left alone after a host said that it changes its role; the host says
/// so twice a second.
const CHANGE_HEARD: Millis = Millis(1_200);
/// Time after which a waiting call moves one host forward in the order of all hosts.
const TURN: Millis = Millis(100);
/// Weight of the newest observation of a service's pace.
const PACE_WEIGHT: f64 = 0.05;
/// Weight of an observation that may be slow for another reason.
const SLOWER_WEIGHT: f64 = 0.005;

/// Backend servers by id, with the requests that this host has in progress there.
#[derive(Debug)]
pub struct Fleet {
    servers: Vec<Server>,
    paces: Vec<Pace>,
    peers: Peers,
    /// Other hosts that should be heard.
    expected_peers: usize,
    /// Engines that change their role on an order of this host, and until when.
    own_changes: Vec<(BackendId, Millis)>,
    next_send: u64,
    pub(crate) rng: Rng,
}

impl Fleet {
    /// An empty fleet; equal choices are made by numbers from `seed`.
    pub fn new(seed: u64) -> Self {
        Fleet {
            servers: Vec::new(),
            paces: Vec::new(),
            peers: Peers::default(),
            expected_peers: 0,
            own_changes: Vec::new(),
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

    /// Records a send whose server is still asked for room. Other hosts are told once it is
    /// confirmed.
    pub fn begin_unconfirmed(&mut self, now: Millis, id: &BackendId, work: Work) -> SendId {
        self.next_send += 1;
        let send = SendId(self.next_send);
        self.server(id).sends.push(Send {
            id: send,
            at: now,
            work,
            is_asking: true,
        });
        send
    }

    /// Records that the server has room for a send.
    pub fn confirm(&mut self, id: &BackendId, send: SendId) {
        if let Some(send) = self.server(id).sends.iter_mut().find(|s| s.id == send) {
            send.is_asking = false;
        }
    }

    /// Records a sign of progress of a send, such as an event of its stream, and that it needs at
    /// least this many tokens.
    pub fn progress(&mut self, now: Millis, id: &BackendId, send: SendId, tokens: Tokens) {
        if let Some(send) = self.server(id).sends.iter_mut().find(|s| s.id == send) {
            send.at = now;
            send.work.tokens = send.work.tokens.max(tokens);
        }
    }

    /// Records the end of a send. Ends that come twice are ignored.
    pub fn end(&mut self, now: Millis, id: &BackendId, send: SendId, ended: Ended) {
        let server = self.server(id);
        let Some(at) = server.sends.iter().position(|s| s.id == send) else {
            return;
        };
        server.sends.remove(at);
        match ended {
            Ended::Answered { error } => server.health.answer(error),
            Ended::Failed(fault) => server.health.fault(now, fault),
            Ended::Full => server.refused(now),
            Ended::Cancelled | Ended::Unverified => {}
        }
    }

    /// Takes the load over that a server reported.
    pub fn report(&mut self, now: Millis, id: &BackendId, report: Report) {
        self.server(id).report(now, report);
    }

    /// Records how long a plain call took.
    pub fn observe_call(&mut self, service: &ServiceId, took: Millis) {
        let pace = self.pace_mut(service);
        pace.call_ms += (took.0 as f64 - pace.call_ms) * PACE_WEIGHT;
    }

    /// Records how long the reading of a prompt took at a server without other work of this host.
    pub fn observe_prefill(&mut self, service: &ServiceId, tokens: Tokens, took: Millis) {
        let rate = tokens.0 as f64 / took.0.max(1) as f64;
        let pace = self.pace_mut(service);
        // Other hosts' prompts and slow links only ever make it look slower.
        let weight = match rate > pace.prefill_per_ms {
            true => PACE_WEIGHT,
            false => SLOWER_WEIGHT,
        };
        pace.prefill_per_ms += (rate - pace.prefill_per_ms) * weight;
    }

    /// Records how long a stream took and how many tokens it had.
    pub fn observe_stream(&mut self, service: &ServiceId, took: Millis, output: Tokens) {
        let pace = self.pace_mut(service);
        pace.stream_ms += (took.0 as f64 - pace.stream_ms) * PACE_WEIGHT;
        pace.output_tokens += (output.0 as f64 - pace.output_tokens) * PACE_WEIGHT;
    }

    /// Usual number of tokens of an answer.
    pub fn usual_output(&self, service: &ServiceId) -> Tokens {
        let usual = self
            .pace(service)
            .map_or(START_OUTPUT_TOKENS, |p| p.output_tokens);
        Tokens(usual as u64)
    }

    /// Records a server's fault that was noticed elsewhere, such as a prompt that it lost.
    pub fn record_fault(&mut self, now: Millis, id: &BackendId, fault: Fault) {
        self.server(id).health.fault(now, fault);
    }

    /// Records that an earlier answer of a server was of use.
    pub fn record_success(&mut self, id: &BackendId) {
        self.server(id).health.answer(false);
    }

    /// Leaves an engine alone until it has changed its role.
    pub fn change_role(&mut self, id: &BackendId, until: Millis) {
        self.server(id).changing_until = until;
        self.own_changes.retain(|(other, _)| other != id);
        self.own_changes.push((id.clone(), until));
    }

    /// Engines that change their role on an order of this host.
    pub fn changing(&mut self, now: Millis) -> Vec<BackendId> {
        self.own_changes.retain(|(_, until)| now < *until);
        self.own_changes.iter().map(|(id, _)| id.clone()).collect()
    }

    /// Whether an engine changes its role.
    pub fn is_changing(&self, now: Millis, id: &BackendId) -> bool {
        self.find(id).is_some_and(|s| now < s.changing_until)
    }

    /// Records the size of a prompt.
    pub fn observe_prompt(&mut self, service: &ServiceId, tokens: Tokens) {
        let pace = self.pace_mut(service);
        pace.prompt_tokens += (tokens.0 as f64 - pace.prompt_tokens) * PACE_WEIGHT;
    }

    /// Engine time of a usual model call at engines with this memory: reading its prompt, and its
    /// share of a decode engine's memory over its stream, both in ms.
    pub fn usual_cost(&self, service: &ServiceId, kv_capacity: Tokens) -> (f64, f64) {
        let pace = self
            .pace(service)
            .cloned()
            .unwrap_or_else(|| Pace::new(service));
        let share = (pace.prompt_tokens + pace.output_tokens) / kv_capacity.0.max(1) as f64;
        let prefill_ms = pace.prompt_tokens / pace.prefill_per_ms;
        (prefill_ms, pace.stream_ms * share)
    }

    /// Sets how many other hosts there are.
    pub fn expect_peers(&mut self, count: usize) {
        self.expected_peers = count;
    }

    /// Takes over what another host has in progress. `order` is the start of its process and the
    /// number of its message; older messages are ignored.
    pub fn update_peer(&mut self, now: Millis, host: HostId, order: (u64, u64), said: PeerLoad) {
        let (uses, changing) = (said.uses.clone(), said.changing.clone());
        let Some(before) = self.peers.hear(now, host, order, said) else {
            return;
        };
        self.count_peer(&before.uses, -1.0);
        self.count_peer(&uses, 1.0);
        for engine in changing {
            self.server(&engine).changing_until = now + CHANGE_HEARD;
        }
    }

    /// Forgets hosts that are silent.
    pub fn expire_peers(&mut self, now: Millis) {
        for silent in self.peers.expire(now) {
            self.count_peer(&silent.uses, -1.0);
        }
    }

    /// Other hosts whose waiting call goes before `own`. `first_for` is the time for which that call
    /// has been the first of its host: it moves forward with time, as a host before it may have no
    /// use for the room.
    pub fn hosts_before(&self, now: Millis, own: &Waiting, first_for: Millis) -> usize {
        let skipped = (first_for.0 / TURN.0) as usize;
        self.peers.heads_before(now, own).saturating_sub(skipped)
    }

    /// Other hosts that have calls waiting for room.
    pub fn hosts_waiting(&self) -> usize {
        let peers = self.peers.iter();
        peers.filter(|peer| peer.said.waiting.0 > 0).count()
    }

    /// Tokens that wait for room at other hosts.
    pub fn peers_waiting(&self) -> Tokens {
        Tokens(self.peers.iter().map(|peer| peer.said.waiting.0).sum())
    }

    /// What this host has in progress at servers that work by tokens.
    pub fn uses(&self) -> Vec<ServerLoad> {
        let uses = self.servers.iter().map(|server| {
            let sends = server.sends.iter().filter(|send| !send.is_asking);
            ServerLoad {
                server: server.id.clone(),
                requests: sends.clone().count() as u32,
                tokens: Tokens(sends.map(|send| send.work.tokens.0).sum()),
            }
        });
        uses.filter(|part| part.tokens.0 > 0).collect()
    }

    pub(crate) fn expected_peers(&self) -> usize {
        self.expected_peers
    }

    pub(crate) fn all_heard(&self) -> bool {
        self.peers.len() >= self.expected_peers
    }

    /// Adds or subtracts what one host has in progress. The numbers are whole, so that sums stay
    /// exact.
    fn count_peer(&mut self, uses: &[ServerLoad], sign: f64) {
        for part in uses {
            let peers = &mut self.server(&part.server).peers;
            peers.requests += sign * f64::from(part.requests);
            peers.tokens += sign * part.tokens.0 as f64;
        }
    }

    /// Requests of this host at a server.
    pub fn own_sends(&self, id: &BackendId) -> usize {
        self.find(id).map_or(0, |server| server.sends.len())
    }

    /// Requests of this host at all servers.
    pub fn total_sends(&self) -> usize {
        self.servers.iter().map(|server| server.sends.len()).sum()
    }

    /// Forgets servers without work that `is_known` does not know.
    pub fn retain(&mut self, is_known: impl Fn(&BackendId) -> bool) {
        // Other hosts' work is subtracted again when they say that it has ended.
        let is_busy =
            |s: &Server| !s.sends.is_empty() || s.peers.requests > 0.0 || s.peers.tokens > 0.0;
        self.servers
            .retain(|server| is_busy(server) || is_known(&server.id));
    }

    pub(crate) fn call_ms(&self, service: &ServiceId) -> f64 {
        self.pace(service).map_or(START_CALL_MS, |p| p.call_ms)
    }

    pub(crate) fn prefill_per_ms(&self, service: &ServiceId) -> f64 {
        self.pace(service)
            .map_or(START_PREFILL_PER_MS, |p| p.prefill_per_ms)
    }

    pub(crate) fn find(&self, id: &BackendId) -> Option<&Server> {
        let at = self.servers.binary_search_by(|s| s.id.cmp(id)).ok()?;
        Some(&self.servers[at])
    }

    pub(crate) fn stream_ms(&self, service: &ServiceId) -> f64 {
        self.pace(service).map_or(START_STREAM_MS, |p| p.stream_ms)
    }

    fn server(&mut self, id: &BackendId) -> &mut Server {
        let at = match self.servers.binary_search_by(|s| s.id.cmp(id)) {
            Ok(at) => at,
            Err(at) => {
                self.servers.insert(at, Server::new(id.clone()));
                at
            }
        };
        &mut self.servers[at]
    }

    fn pace(&self, service: &ServiceId) -> Option<&Pace> {
        let at = self.paces.binary_search_by(|p| p.service.cmp(service));
        at.ok().map(|at| &self.paces[at])
    }

    fn pace_mut(&mut self, service: &ServiceId) -> &mut Pace {
        let found = self.paces.binary_search_by(|p| p.service.cmp(service));
        let at = match found {
            Ok(at) => at,
            Err(at) => {
                self.paces.insert(at, Pace::new(service));
                at
            }
        };
        &mut self.paces[at]
    }
}
