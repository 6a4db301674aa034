//! Placement of model calls on a prefill and a decode engine.

use bv_roster::{Entry, Stage};
use bv_types::{BackendId, Millis, ServiceId, Tokens, ZoneId};

use crate::Refused;
use crate::call::{CROSS_ZONE_MS, penalty_ms};
use crate::fleet::Fleet;
use crate::server::Server;

/// A decode engine reads a prompt at half the speed, between the tokens of other requests.
const DIRECT_SLOWDOWN: f64 = 2.0;
/// Added where the engine would read the prompt itself, in ms: it slows the streams that run there.
const DIRECT_PENALTY_MS: f64 = 80.0;
/// Added where the KV cache crosses zones, in ms: the transfer takes twice as long and its price is
/// up to three times as high.
const CROSS_TRANSFER_MS: f64 = 40.0;
/// Added for each request in progress at a decode engine, in ms: each one slows the others' tokens.
const SHARED_STEP_MS: f64 = 4.0;
/// Share of an engine's memory that is planned; the rest is for requests of other hosts that were
/// not reported yet.
const PLANNED_MEMORY: f64 = 0.85;
/// Time in which a full engine is likely to have room again, in ms; a usual answer takes about that.
const ROOM_WAIT_MS: f64 = 400.0;
/// Tokens assumed for a request of another host, which reports no sizes.
const USUAL_TOKENS: f64 = 3_300.0;

/// A model call that needs engines.
#[derive(Debug, Clone, Copy)]
pub struct ModelAsk<'a> {
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
        ask: ModelAsk<'_>,
        entries: impl Iterator<Item = &'a Entry>,
    ) -> Result<ModelPlan, Refused> {
        let entries: Vec<&Entry> = entries.filter(|e| !ask.tried.contains(&e.id)).collect();
        let peers = self.mean_errors(&entries);
        let prefill = self.best(&entries, Stage::Prefill, |fleet, entry| {
            fleet.prefill_cost(now, &ask, entry, peers)
        });
        let direct = self.best(&entries, Stage::Decode, |fleet, entry| {
            let reading = fleet.direct_ms(&ask);
            fleet.decode_cost(now, &ask, entry, None, peers).plus(reading)
        });
        let Some((direct_cost, direct_at)) = direct else {
            return Err(Refused::NoServer);
        };
        let split = prefill.and_then(|(read, read_at)| {
            let decode = self.best(&entries, Stage::Decode, |fleet, entry| {
                fleet.decode_cost(now, &ask, entry, Some(&read_at.zone), peers)
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

    /// Chooses a decode engine for a prompt that was read in `read_zone`.
    ///
    /// # Errors
    /// No decode engine is left.
    pub fn place_decode<'a>(
        &mut self,
        now: Millis,
        ask: ModelAsk<'_>,
        read_zone: Option<&ZoneId>,
        entries: impl Iterator<Item = &'a Entry>,
    ) -> Result<Entry, Refused> {
        let entries: Vec<&Entry> = entries.filter(|e| !ask.tried.contains(&e.id)).collect();
        let peers = self.mean_errors(&entries);
        let best = self.best(&entries, Stage::Decode, |fleet, entry| {
            fleet.decode_cost(now, &ask, entry, read_zone, peers)
        });
        best.map(|(_, entry)| entry.clone())
            .ok_or(Refused::NoServer)
    }

    fn best<'a>(
        &mut self,
        entries: &[&'a Entry],
        stage: Stage,
        cost: impl Fn(&Fleet, &Entry) -> Cost,
    ) -> Option<(Cost, &'a Entry)> {
        let mut best: Option<(f64, Cost, &Entry)> = None;
        for entry in entries.iter().filter(|e| e.stage.unwrap_or(Stage::Decode) == stage) {
            let cost = cost(self, entry);
            let score = cost.score() + self.rng.f64();
            if best.is_none_or(|(lowest, _, _)| score < lowest) {
                best = Some((score, cost, entry));
            }
        }
        best.map(|(_, cost, entry)| (cost, entry))
    }

    fn direct_ms(&self, ask: &ModelAsk<'_>) -> f64 {
        ask.prompt.0 as f64 / self.prefill_per_ms(ask.service) * DIRECT_SLOWDOWN + DIRECT_PENALTY_MS
    }

    /// Time until the prompt is read at a prefill engine, behind the prompts that wait there.
    fn prefill_cost(&self, now: Millis, ask: &ModelAsk<'_>, entry: &Entry, peers: f64) -> Cost {
        let rate = self.prefill_per_ms(ask.service);
        let own = ask.prompt.0 as f64 / rate + distance_ms(ask, entry);
        let Some(server) = self.find(&entry.id) else {
            return Cost::of(own);
        };
        let others = server.others(now) * USUAL_TOKENS;
        let ahead = (server.own_tokens().0 as f64 + others) / rate;
        let begun = server.sends.iter().map(|s| s.at).min();
        let elapsed = begun.map_or(0.0, |at| (now - at).0 as f64);
        Cost {
            ms: own + (ahead - elapsed).max(0.0),
            penalty: penalty_ms(now, server, peers),
        }
    }

    /// Time that a decode engine adds before the first token.
    fn decode_cost(
        &self,
        now: Millis,
        ask: &ModelAsk<'_>,
        entry: &Entry,
        read_zone: Option<&ZoneId>,
        peers: f64,
    ) -> Cost {
        let transfer = match read_zone {
            Some(zone) if *zone != entry.zone => CROSS_TRANSFER_MS,
            _ => 0.0,
        };
        let own = distance_ms(ask, entry) + transfer;
        let Some(server) = self.find(&entry.id) else {
            return Cost::of(own);
        };
        let shared = server.in_progress(now) * SHARED_STEP_MS;
        Cost {
            ms: own + shared + room_ms(now, ask, entry, server),
            penalty: penalty_ms(now, server, peers),
        }
    }
}

fn distance_ms(ask: &ModelAsk<'_>, entry: &Entry) -> f64 {
    match entry.zone == *ask.zone {
        true => 0.0,
        false => CROSS_ZONE_MS,
    }
}

/// Time until the engine has memory and a place for the request.
fn room_ms(now: Millis, ask: &ModelAsk<'_>, entry: &Entry, server: &Server) -> f64 {
    let taken = server.own_tokens().0 as f64 + server.others(now) * USUAL_TOKENS;
    let planned = ask.kv_capacity.0 as f64 * PLANNED_MEMORY;
    let is_full = taken + ask.total.0 as f64 > planned
        || server.in_progress(now) + 1.0 > f64::from(entry.slots);
    match is_full {
        true => ROOM_WAIT_MS * (1.0 + taken / planned.max(1.0)),
        false => 0.0,
    }
}
