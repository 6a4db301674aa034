//! Placement of model calls on a prefill and a decode engine.

use bv_roster::{Entry, Stage};
use bv_types::{BackendId, Millis, ServiceId, Tokens, ZoneId};

use crate::Refused;
use crate::call::{CROSS_ZONE_MS, penalty_ms};
use crate::fleet::Fleet;

/// A decode engine reads a prompt at half the speed, between the tokens of other requests.
const DIRECT_SLOWDOWN: f64 = 2.0;
/// Added where the engine would read the prompt itself, in ms: it slows the streams that run there.
const DIRECT_PENALTY_MS: f64 = 80.0;
/// Added where the KV cache crosses zones, in ms: the transfer takes twice as long and its price is
/// up to three times as high.
const CROSS_TRANSFER_MS: f64 = 40.0;
/// Range of the random part of a choice, in ms: equal engines are chosen in turn.
const CHOICE_NOISE_MS: f64 = 1.0;
/// The same for each other host, and for each of them that waits for room. All hosts together would
/// choose the same engine before they hear of each other's choice.
const NOISE_PER_HOST_MS: f64 = 0.1;
const NOISE_PER_WAITING_HOST_MS: f64 = 2.0;
/// Largest range of the random part, in ms; more would ignore how full engines are.
const MAX_NOISE_MS: f64 = 40.0;
/// Added for each request in progress at a decode engine, in ms: each one slows the others' tokens.
const SHARED_STEP_MS: f64 = 4.0;
/// Share of an engine's memory that is planned. Requests are planned with their whole answer, so
/// that the memory in use at any moment is less; beyond this share engines begin to preempt, which
/// throws a read prompt away.
const PLANNED_MEMORY: f64 = 1.0;
/// Share of an engine's memory below which it certainly has room.
const AMPLE_MEMORY: f64 = 0.8;
/// Weight of the caller's estimate of the answer against the usual length; the estimate is right at
/// the median and often far off.
const HINT_WEIGHT: f64 = 0.5;

/// A model call that needs engines.
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
    /// Tokens of KV cache that one engine holds.
    pub kv_capacity: Tokens,
    /// Time that is left for the first token.
    pub remaining: Millis,
    /// Hosts whose waiting calls go before this one: as many engines with room are left to them.
    /// Otherwise all hosts that wait would ask the same engine for the same room.
    pub hosts_before: usize,
}

/// Where a model call runs.
#[derive(Debug, Clone, PartialEq)]
pub enum ModelPlan {
    /// One engine reads the prompt, another one produces the tokens.
    Split {
        /// Reads the prompt.
        prefill: Entry,
        /// Produces the tokens.
        decode: Entry,
        /// Predicted time to the first token.
        predicted: Millis,
    },
    /// One engine does both.
    Direct {
        /// The engine.
        decode: Entry,
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

/// What is known of all engines together.
#[derive(Debug, Clone, Copy)]
struct View {
    /// Share of errors of the better engines.
    peers: f64,
    /// Whether a decode engine is not avoided.
    any_sound: bool,
}

/// Predicted time at an engine, and what speaks against it besides.
#[derive(Debug, Clone, Copy)]
struct Cost {
    ms: f64,
    penalty: f64,
}

impl Cost {
    fn of(ms: f64) -> Self {
        Cost { ms, penalty: 0.0 }
    }

    fn plus(self, ms: f64) -> Self {
        Cost {
            ms: self.ms + ms,
            ..self
        }
    }

    fn and(self, other: Cost) -> Self {
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
        ask: ModelRequest<'_>,
        entries: impl Iterator<Item = &'a Entry>,
    ) -> Result<ModelPlan, Refused> {
        let entries: Vec<&Entry> = entries.filter(|e| !ask.tried.contains(&e.id)).collect();
        let view = self.view(now, &entries);
        let prefill = self.best(&entries, Stage::Prefill, |fleet, entry| {
            fleet.prefill_cost(now, &ask, entry, view)
        });
        let direct = self.best(&entries, Stage::Decode, |fleet, entry| {
            let reading = fleet.direct_ms(&ask);
            let cost = fleet.decode_cost(now, &ask, entry, None, view)?;
            Some(cost.plus(reading))
        });
        let rooms = entries.iter().filter(|entry| {
            runs(entry, Stage::Decode) && self.decode_cost(now, &ask, entry, None, view).is_some()
        });
        let is_turn = ask.hosts_before == 0 || rooms.count() > ask.hosts_before;
        let Some((direct_cost, direct_at)) = direct.filter(|_| is_turn) else {
            let has_decode = entries.iter().any(|e| runs(e, Stage::Decode));
            return Err(match has_decode {
                true => Refused::NoCapacity,
                false => Refused::NoServer,
            });
        };
        let split = prefill.and_then(|(read, read_at)| {
            let decode = self.best(&entries, Stage::Decode, |fleet, entry| {
                fleet.decode_cost(now, &ask, entry, Some(&read_at.zone), view)
            });
            decode.map(|(decode, at)| (read.and(decode), read_at, at))
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
        if plan.predicted() > ask.remaining {
            let retry_after = plan.predicted() - ask.remaining;
            return Err(Refused::TooLate { retry_after });
        }
        Ok(plan)
    }

    /// Whether an engine has room for this many tokens and some more, as far as this host knows. If
    /// it refuses a prompt that was read elsewhere all the same, the prompt is gone.
    pub fn has_ample_capacity(
        &self,
        now: Millis,
        engine: &BackendId,
        ask: &ModelRequest<'_>,
    ) -> bool {
        let load = self.find(engine).map(|s| s.load(now, self.all_heard()));
        let taken = load.unwrap_or_default().tokens;
        taken + ask.total.0 as f64 <= ask.kv_capacity.0 as f64 * AMPLE_MEMORY
    }

    /// Tokens in use at an engine, as far as this host knows.
    pub fn known_tokens(&self, now: Millis, engine: &BackendId) -> Tokens {
        let load = self.find(engine).map(|s| s.load(now, self.all_heard()));
        Tokens(load.unwrap_or_default().tokens as u64)
    }

    /// Predicted time until there is room for this many tokens, behind `ahead` tokens that wait.
    pub fn capacity_wait<'a>(
        &self,
        now: Millis,
        ask: &ModelRequest<'_>,
        ahead: Tokens,
        entries: impl Iterator<Item = &'a Entry>,
    ) -> Millis {
        let capacity = ask.kv_capacity.0 as f64 * PLANNED_MEMORY;
        let mut engines = 0.0;
        let mut free = 0.0;
        for entry in entries.filter(|e| runs(e, Stage::Decode)) {
            let server = self.find(&entry.id);
            if server.is_some_and(|s| s.is_avoided(now)) {
                continue;
            }
            engines += 1.0;
            let taken = server.map_or(0.0, |s| s.load(now, self.all_heard()).tokens);
            free += (capacity - taken).max(0.0);
        }
        if engines == 0.0 {
            return Millis(self.stream_ms(ask.service) as u64);
        }
        let freed_per_ms = engines * capacity / self.stream_ms(ask.service).max(1.0);
        let wanted = (ahead.0 + ask.total.0) as f64 - free;
        Millis((wanted.max(0.0) / freed_per_ms).ceil() as u64)
    }

    /// Tokens that the answer is planned with.
    pub fn planned_output(
        &self,
        service: &ServiceId,
        hint: Option<Tokens>,
        most: Option<Tokens>,
    ) -> Tokens {
        let usual = self.usual_output(service).0 as f64;
        let hint = hint.map_or(usual, |hint| hint.0 as f64);
        let planned = Tokens((usual + (hint - usual) * HINT_WEIGHT) as u64);
        most.map_or(planned, |most| planned.min(most))
    }

    /// Chooses a decode engine with room for a prompt that was read in `read_zone`.
    ///
    /// # Errors
    /// No decode engine has room.
    pub fn place_decode<'a>(
        &mut self,
        now: Millis,
        ask: ModelRequest<'_>,
        read_zone: Option<&ZoneId>,
        entries: impl Iterator<Item = &'a Entry>,
    ) -> Result<Entry, Refused> {
        let entries: Vec<&Entry> = entries.filter(|e| !ask.tried.contains(&e.id)).collect();
        let view = self.view(now, &entries);
        let best = self.best(&entries, Stage::Decode, |fleet, entry| {
            fleet.decode_cost(now, &ask, entry, read_zone, view)
        });
        best.map(|(_, entry)| entry.clone())
            .ok_or(Refused::NoCapacity)
    }

    fn view(&self, now: Millis, entries: &[&Entry]) -> View {
        let is_sound = |e: &Entry| !self.find(&e.id).is_some_and(|s| s.is_avoided(now));
        let mut engines = entries.iter().filter(|e| runs(e, Stage::Decode));
        View {
            peers: self.mean_errors(entries),
            any_sound: engines.any(|e| is_sound(e)),
        }
    }

    fn best<'a>(
        &mut self,
        entries: &[&'a Entry],
        stage: Stage,
        cost: impl Fn(&Fleet, &Entry) -> Option<Cost>,
    ) -> Option<(Cost, &'a Entry)> {
        let noise = self.choice_noise();
        let mut best: Option<(f64, Cost, &Entry)> = None;
        for entry in entries.iter().filter(|e| runs(e, stage)) {
            let Some(cost) = cost(self, entry) else {
                continue;
            };
            let score = cost.score() + self.rng.f64() * noise;
            if best.is_none_or(|(lowest, _, _)| score < lowest) {
                best = Some((score, cost, entry));
            }
        }
        best.map(|(_, cost, entry)| (cost, entry))
    }

    /// Range of the random part of a choice, in ms.
    fn choice_noise(&self) -> f64 {
        let hosts = self.expected_peers() as f64 * NOISE_PER_HOST_MS;
        let waiting = self.hosts_waiting() as f64 * NOISE_PER_WAITING_HOST_MS;
        (CHOICE_NOISE_MS + hosts + waiting).min(MAX_NOISE_MS)
    }

    fn direct_ms(&self, ask: &ModelRequest<'_>) -> f64 {
        ask.prompt.0 as f64 / self.prefill_per_ms(ask.service) * DIRECT_SLOWDOWN + DIRECT_PENALTY_MS
    }

    /// Time until the prompt is read at a prefill engine, behind the prompts that wait there.
    fn prefill_cost(
        &self,
        now: Millis,
        ask: &ModelRequest<'_>,
        entry: &Entry,
        view: View,
    ) -> Option<Cost> {
        let rate = self.prefill_per_ms(ask.service);
        let own = ask.prompt.0 as f64 / rate + distance_ms(ask, entry);
        let Some(server) = self.find(&entry.id) else {
            return Some(Cost::of(own));
        };
        if server.is_full(now) {
            return None;
        }
        let ahead = server.load(now, self.all_heard()).tokens / rate;
        let begun = server.sends.iter().map(|s| s.at).min();
        let elapsed = begun.map_or(0.0, |at| (now - at).0 as f64);
        Some(Cost {
            ms: own + (ahead - elapsed).max(0.0),
            penalty: penalty_ms(now, server, view.peers),
        })
    }

    /// Time that a decode engine adds before the first token; none if it has no room.
    fn decode_cost(
        &self,
        now: Millis,
        ask: &ModelRequest<'_>,
        entry: &Entry,
        read_zone: Option<&ZoneId>,
        view: View,
    ) -> Option<Cost> {
        let transfer = match read_zone {
            Some(zone) if *zone != entry.zone => CROSS_TRANSFER_MS,
            _ => 0.0,
        };
        let own = distance_ms(ask, entry) + transfer;
        let Some(server) = self.find(&entry.id) else {
            return Some(Cost::of(own));
        };
        // Waiting for room at a sound engine is better than a failing one, if there is a sound one.
        if view.any_sound && server.is_avoided(now) {
            return None;
        }
        let load = server.load(now, self.all_heard());
        // An empty engine takes any request: one that is larger than the plan must run somewhere.
        let planned = ask.kv_capacity.0 as f64 * PLANNED_MEMORY;
        let has_memory = load.requests == 0.0 || load.tokens + ask.total.0 as f64 <= planned;
        let has_slot = load.requests + 1.0 <= f64::from(entry.slots);
        if !has_memory || !has_slot || server.is_full(now) {
            return None;
        }
        // Fuller engines make fewer tokens a second, and leave less room for a large request.
        Some(Cost {
            ms: own + load.requests * SHARED_STEP_MS,
            penalty: penalty_ms(now, server, view.peers),
        })
    }
}

fn runs(entry: &Entry, stage: Stage) -> bool {
    entry.stage.unwrap_or(Stage::Decode) == stage
}

fn distance_ms(ask: &ModelRequest<'_>, entry: &Entry) -> f64 {
    match entry.zone == *ask.zone {
        true => 0.0,
        false => CROSS_ZONE_MS,
    }
}
