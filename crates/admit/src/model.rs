//! Placement of model calls on a prefill and a decode engine.

use bv_roster::{Registration, Stage};
use bv_types::{BackendId, Millis, ServiceId, Tokens, ZoneId};

use crate::PlacementError;
use crate::call::{CROSS_ZONE_MS, penalty_ms};
use crate::fleet::Fleet;
use crate::update_intervals;

/// A decode engine prefills a prompt at half the speed of a prefill engine, between the tokens of
/// other requests.
const DIRECT_SLOWDOWN: f64 = 2.0;
/// Penalty of a prompt that a decode engine prefills itself, in ms: it slows the streams that run
/// there.
const DIRECT_PENALTY_MS: f64 = 80.0;
/// Penalty of a KV cache transfer between zones, in ms: it takes twice as long and costs up to
/// three times as much.
const CROSS_ZONE_TRANSFER_MS: f64 = 40.0;
/// Penalty of an engine that was dealt to another group of hosts, in ms: more than the random part and
/// the slowdown by a full engine together, less than the wait for two usual prompts.
const OTHER_GROUP_MS: f64 = 170.0;
/// Range of the random part of a score, in ms, which spreads requests over equal engines.
const BASE_JITTER_MS: f64 = 1.0;
/// Increase of that range for each other host, in ms. All hosts would otherwise choose the same
/// engine before they learn of each other's choice.
const JITTER_PER_HOST_MS: f64 = 0.1;
/// Increase of that range for each other host with calls that wait for capacity, in ms.
const JITTER_PER_WAITING_HOST_MS: f64 = 2.0;
/// Largest range of the random part, in ms; more would ignore how full engines are.
const MAX_JITTER_MS: f64 = 40.0;
/// Penalty of an engine in another zone for each ms of the interval at which the load of hosts there is
/// known, in ms. Engines that are chosen on outdated knowledge are full, or busy with other prompts.
const STALENESS_WEIGHT: f64 = 0.2;
/// Largest such penalty, in ms.
const MAX_STALENESS_MS: f64 = 40.0;
/// Cost of each request in progress at a decode engine, in ms: each one slows the others' tokens.
const SLOWDOWN_PER_REQUEST_MS: f64 = 4.0;
/// Share of an engine's memory that is planned. Requests are planned with their whole answer, so
/// the memory in use at any moment is less. Beyond this share engines begin to preempt requests,
/// which discards prefilled prompts.
const PLANNED_MEMORY_SHARE: f64 = 1.0;
/// Share of an engine's memory up to which it certainly has capacity.
const AMPLE_MEMORY_SHARE: f64 = 0.8;
/// Weight of the caller's estimate of the answer's length against the usual length; the estimate is
/// right at the median and often far off.
const HINT_WEIGHT: f64 = 0.5;

/// Tokens planned for an answer, as a multiple of the expected number. A stream that outgrows its
/// reservation is likely to be preempted, and its prompt read again.
const OUTPUT_HEADROOM: f64 = 1.25;

/// A model call to place on engines.
#[derive(Debug, Clone, Copy)]
pub struct ModelRequest<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// Availability zone of this host.
    pub zone: &'a ZoneId,
    /// Engines that failed this call.
    pub tried: &'a [BackendId],
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Tokens of prompt and answer together.
    pub total: Tokens,
    /// Capacity of one engine's KV cache, in tokens.
    pub kv_capacity: Tokens,
    /// Time left for the first token.
    pub remaining: Millis,
    /// Number of hosts whose waiting calls are admitted before this one; as many engines with
    /// capacity are left to them. Otherwise all waiting hosts would request the same capacity at
    /// the same engine.
    pub peers_before: usize,
}

/// Where a model call runs.
#[derive(Debug, Clone, PartialEq)]
pub enum ModelPlan {
    /// A prefill engine prefills the prompt and a decode engine produces the tokens.
    Split {
        /// Prefills the prompt.
        prefill: Registration,
        /// Produces the tokens.
        decode: Registration,
        /// Predicted time to the first token.
        predicted: Millis,
    },
    /// A decode engine does both.
    Direct {
        /// The engine.
        decode: Registration,
        /// Predicted time to the first token.
        predicted: Millis,
    },
}

impl ModelPlan {
    /// Predicted time to the first token.
    pub fn predicted(&self) -> Millis {
        match self {
            ModelPlan::Split { predicted, .. } | ModelPlan::Direct { predicted, .. } => *predicted,
        }
    }
}

/// Properties of all candidate engines together.
#[derive(Debug, Clone, Copy)]
struct CandidateSummary {
    /// Mean share of errors of the better half of the engines.
    baseline_error_share: f64,
    /// Whether at least one decode engine is not avoided.
    any_not_avoided: bool,
    /// Whether at least one of these has refused no request lately.
    any_accepting: bool,
}

/// Predicted time at an engine, and the penalty for its faults and errors.
#[derive(Debug, Clone, Copy)]
struct Cost {
    ms: f64,
    penalty: f64,
}

impl Cost {
    fn plus(self, ms: f64) -> Self {
        Cost {
            ms: self.ms + ms,
            ..self
        }
    }

    fn combine(self, other: Cost) -> Self {
        Cost {
            ms: self.ms + other.ms,
            penalty: self.penalty + other.penalty,
        }
    }

    fn score(self) -> f64 {
        self.ms + self.penalty
    }

    fn time(self) -> Millis {
        Millis(self.ms.ceil() as u64)
    }
}

impl Fleet {
    /// Plans a model call, or refuses it.
    ///
    /// # Errors
    /// No engine is left, or the first token is predicted after the deadline.
    pub fn place_model<'a>(
        &mut self,
        now: Millis,
        request: ModelRequest<'_>,
        entries: impl Iterator<Item = &'a Registration>,
    ) -> Result<ModelPlan, PlacementError> {
        let entries: Vec<&Registration> =
            entries.filter(|e| !request.tried.contains(&e.id)).collect();
        let summary = self.summarize(now, &entries);
        let prefill = self.best(&entries, Stage::Prefill, |fleet, entry| {
            fleet.prefill_cost(now, &request, entry, summary)
        });
        let direct = self.best(&entries, Stage::Decode, |fleet, entry| {
            let prefill_ms = fleet.direct_ms(&request);
            let cost = fleet.decode_cost(now, &request, entry, None, summary)?;
            Some(cost.plus(prefill_ms))
        });
        let with_capacity = entries.iter().filter(|entry| {
            serves(entry, Stage::Decode)
                && self
                    .decode_cost(now, &request, entry, None, summary)
                    .is_some()
        });
        let is_admitted = request.peers_before == 0 || with_capacity.count() > request.peers_before;
        let Some((direct_cost, direct_at)) = direct.filter(|_| is_admitted) else {
            let has_decode = entries.iter().any(|e| serves(e, Stage::Decode));
            return Err(match has_decode {
                true => PlacementError::NoCapacity,
                false => PlacementError::NoServer,
            });
        };
        let split = prefill.and_then(|(prefill_cost, prefill_at)| {
            let decode = self.best(&entries, Stage::Decode, |fleet, entry| {
                fleet.decode_cost(now, &request, entry, Some(&prefill_at.zone), summary)
            });
            decode.map(|(decode, at)| (prefill_cost.combine(decode), prefill_at, at))
        });
        let is_split = split
            .as_ref()
            .is_some_and(|(cost, _, _)| cost.score() <= direct_cost.score());
        let plan = match split {
            Some((cost, prefill, decode)) if is_split => ModelPlan::Split {
                prefill: prefill.clone(),
                decode: decode.clone(),
                predicted: cost.time(),
            },
            _ => ModelPlan::Direct {
                decode: direct_at.clone(),
                predicted: direct_cost.time(),
            },
        };
        if plan.predicted() > request.remaining {
            let retry_after = plan.predicted() - request.remaining;
            return Err(PlacementError::TooLate { retry_after });
        }
        Ok(plan)
    }

    /// Whether an engine has capacity for the request with a margin, as far as this host knows. If
    /// such an engine refuses a prompt that another engine prefilled, the other engine has lost the
    /// prompt.
    pub fn has_ample_capacity(
        &self,
        now: Millis,
        engine: &BackendId,
        request: &ModelRequest<'_>,
    ) -> bool {
        let load = self
            .find(engine)
            .map(|s| s.load(now, self.all_peers_known()));
        let used = load.unwrap_or_default().tokens;
        used + request.total.0 as f64 <= request.kv_capacity.0 as f64 * AMPLE_MEMORY_SHARE
    }

    /// Tokens in use at an engine, as far as this host knows.
    pub fn known_tokens(&self, now: Millis, engine: &BackendId) -> Tokens {
        let load = self
            .find(engine)
            .map(|s| s.load(now, self.all_peers_known()));
        Tokens(load.unwrap_or_default().tokens as u64)
    }

    /// Predicted time until there is capacity for the request after waiting calls that need `ahead`
    /// tokens in total.
    pub fn capacity_wait<'a>(
        &self,
        now: Millis,
        request: &ModelRequest<'_>,
        ahead: Tokens,
        entries: impl Iterator<Item = &'a Registration>,
    ) -> Millis {
        let capacity = request.kv_capacity.0 as f64 * PLANNED_MEMORY_SHARE;
        let mut engines = 0.0;
        let mut free = 0.0;
        for entry in entries.filter(|e| serves(e, Stage::Decode)) {
            let server = self.find(&entry.id);
            if server.is_some_and(|s| s.is_avoided(now)) {
                continue;
            }
            engines += 1.0;
            let used = server.map_or(0.0, |s| s.load(now, self.all_peers_known()).tokens);
            free += (capacity - used).max(0.0);
        }
        if engines == 0.0 {
            return Millis(self.stream_ms(request.service) as u64);
        }
        let freed_per_ms = engines * capacity / self.stream_ms(request.service).max(1.0);
        let wanted = (ahead + request.total).0 as f64 - free;
        Millis((wanted.max(0.0) / freed_per_ms).ceil() as u64)
    }

    /// Number of tokens that is planned for an answer.
    pub fn planned_output(
        &self,
        service: &ServiceId,
        hint: Option<Tokens>,
        max: Option<Tokens>,
    ) -> Tokens {
        let usual = self.usual_output(service).0 as f64;
        let hint = hint.map_or(usual, |hint| hint.0 as f64);
        let expected = usual + (hint - usual) * HINT_WEIGHT;
        let planned = Tokens((expected * OUTPUT_HEADROOM) as u64);
        max.map_or(planned, |max| planned.min(max))
    }

    /// Chooses a decode engine with capacity for a prompt that was prefilled in `prefill_zone`.
    ///
    /// # Errors
    /// No decode engine has capacity.
    pub fn place_decode<'a>(
        &mut self,
        now: Millis,
        request: ModelRequest<'_>,
        prefill_zone: Option<&ZoneId>,
        entries: impl Iterator<Item = &'a Registration>,
    ) -> Result<Registration, PlacementError> {
        let entries: Vec<&Registration> =
            entries.filter(|e| !request.tried.contains(&e.id)).collect();
        let summary = self.summarize(now, &entries);
        let best = self.best(&entries, Stage::Decode, |fleet, entry| {
            fleet.decode_cost(now, &request, entry, prefill_zone, summary)
        });
        best.map(|(_, entry)| entry.clone())
            .ok_or(PlacementError::NoCapacity)
    }

    fn summarize(&self, now: Millis, entries: &[&Registration]) -> CandidateSummary {
        let is_not_avoided =
            |e: &Registration| !self.find(&e.id).is_some_and(|s| s.is_avoided(now));
        let is_accepting = |e: &Registration| !self.find(&e.id).is_some_and(|s| s.is_refusing(now));
        let mut engines = entries
            .iter()
            .filter(|e| serves(e, Stage::Decode) && is_not_avoided(e))
            .peekable();
        CandidateSummary {
            baseline_error_share: self.baseline_error_share(entries),
            any_not_avoided: engines.peek().is_some(),
            any_accepting: engines.any(|e| is_accepting(e)),
        }
    }

    /// The engine of a stage with the lowest score, and its cost; engines without a cost are left
    /// out.
    fn best<'a>(
        &mut self,
        entries: &[&'a Registration],
        stage: Stage,
        cost: impl Fn(&Fleet, &Registration) -> Option<Cost>,
    ) -> Option<(Cost, &'a Registration)> {
        let jitter_range = self.jitter_range_ms();
        let mut best: Option<(f64, Cost, &Registration)> = None;
        for entry in entries.iter().filter(|e| serves(e, stage)) {
            let Some(cost) = cost(self, entry) else {
                continue;
            };
            let score = cost.score() + self.rng.f64() * jitter_range;
            if best.is_none_or(|(lowest, _, _)| score < lowest) {
                best = Some((score, cost, entry));
            }
        }
        best.map(|(_, cost, entry)| (cost, entry))
    }

    /// Range of the random part of a score, in ms.
    fn jitter_range_ms(&self) -> f64 {
        let hosts = self.competing_peers() as f64 * JITTER_PER_HOST_MS;
        let waiting = self.waiting_peer_count() as f64 * JITTER_PER_WAITING_HOST_MS;
        (BASE_JITTER_MS + hosts + waiting).min(MAX_JITTER_MS)
    }

    /// Time and penalty for the distance of an engine.
    fn distance_ms(&self, request: &ModelRequest<'_>, entry: &Registration) -> f64 {
        if entry.zone == *request.zone {
            return 0.0;
        }
        let interval = update_intervals::remote_interval(self.expected_peers() + 1);
        CROSS_ZONE_MS + (interval.0 as f64 * STALENESS_WEIGHT).min(MAX_STALENESS_MS)
    }

    /// Penalty of an engine of this zone that other hosts choose first and whose load this host does
    /// not hear of.
    fn group_penalty_ms(&self, entry: &Registration) -> f64 {
        match self.is_of_other_group(&entry.id, &entry.zone) {
            true => OTHER_GROUP_MS,
            false => 0.0,
        }
    }

    fn direct_ms(&self, request: &ModelRequest<'_>) -> f64 {
        request.prompt.0 as f64 / self.prefill_tokens_per_ms(request.service) * DIRECT_SLOWDOWN
            + DIRECT_PENALTY_MS
    }

    /// Time until a prefill engine has prefilled the prompt, behind the prompts that wait there.
    fn prefill_cost(
        &self,
        now: Millis,
        request: &ModelRequest<'_>,
        entry: &Registration,
        summary: CandidateSummary,
    ) -> Option<Cost> {
        let rate = self.prefill_tokens_per_ms(request.service);
        let own = request.prompt.0 as f64 / rate + self.distance_ms(request, entry);
        let group_penalty = self.group_penalty_ms(entry);
        let Some(server) = self.find(&entry.id) else {
            return Some(Cost {
                ms: own,
                penalty: group_penalty,
            });
        };
        if server.is_unavailable(now) {
            return None;
        }
        let ahead = server.load(now, self.all_peers_known()).tokens / rate;
        let oldest = server.sends.iter().map(|s| s.last_progress_at).min();
        let elapsed = oldest.map_or(0.0, |at| (now - at).0 as f64);
        Some(Cost {
            ms: own + (ahead - elapsed).max(0.0),
            penalty: penalty_ms(now, server, summary.baseline_error_share) + group_penalty,
        })
    }

    /// Time that a decode engine adds before the first token; none if it has no capacity.
    fn decode_cost(
        &self,
        now: Millis,
        request: &ModelRequest<'_>,
        entry: &Registration,
        prefill_zone: Option<&ZoneId>,
        summary: CandidateSummary,
    ) -> Option<Cost> {
        let transfer = match prefill_zone {
            Some(zone) if *zone != entry.zone => CROSS_ZONE_TRANSFER_MS,
            _ => 0.0,
        };
        let own = self.distance_ms(request, entry) + transfer;
        let group_penalty = self.group_penalty_ms(entry);
        let Some(server) = self.find(&entry.id) else {
            return Some(Cost {
                ms: own,
                penalty: group_penalty,
            });
        };
        // While some engine is not avoided, waiting for capacity there is better than an avoided
        // engine.
        if summary.any_not_avoided && server.is_avoided(now) {
            return None;
        }
        // A refusal wastes the prompt that another engine prefilled, so waiting is better here too. An
        // engine that prefills by itself wastes nothing when it refuses.
        if prefill_zone.is_some() && summary.any_accepting && server.is_refusing(now) {
            return None;
        }
        let load = server.load(now, self.all_peers_known());
        // An empty engine takes any request, as one that exceeds the planned memory must run
        // somewhere.
        let planned = request.kv_capacity.0 as f64 * PLANNED_MEMORY_SHARE;
        let has_memory = load.requests == 0.0 || load.tokens + request.total.0 as f64 <= planned;
        let has_slot = load.requests + 1.0 <= f64::from(entry.slots);
        if !has_memory || !has_slot || server.is_unavailable(now) {
            return None;
        }
        // Fuller engines produce fewer tokens a second and leave less capacity for a large request.
        Some(Cost {
            ms: own + load.requests * SLOWDOWN_PER_REQUEST_MS,
            penalty: penalty_ms(now, server, summary.baseline_error_share) + group_penalty,
        })
    }
}

/// Whether an engine runs a stage. A server that states no stage counts as a decode engine.
fn serves(entry: &Registration, stage: Stage) -> bool {
    entry.stage.unwrap_or(Stage::Decode) == stage
}
