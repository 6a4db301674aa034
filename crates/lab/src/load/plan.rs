//! Chooses calls and their arrival times from a seed.

use bv_config::{Class, EngineRole, Identity, Inventory, Model, Route};
use fastrand::Rng;
use serde_json::{Value, json};

/// Lookups of plain services per second at 100% load.
const LOOKUPS_PER_S: f64 = 40.0;
/// Non-idempotent calls per second at 100% load.
const NON_IDEMPOTENT_CALLS_PER_S: f64 = 20.0;
// Bounds in tokens and shape of the bounded Pareto distribution of prompt lengths; mean about 230.
const MIN_PROMPT_TOKENS: f64 = 40.0;
const MAX_PROMPT_TOKENS: f64 = 30_000.0;
const PROMPT_SHAPE: f64 = 1.1;
/// Share of the model calls whose prompt starts with a prefix common to the model.
const COMMON_PREFIX_SHARE: f64 = 0.3;
const COMMON_PREFIX_TOKENS: usize = 1_500;
const BYTES_PER_TOKEN: usize = 4;
/// Number of callers that are not among the inventory's devices.
const OTHER_DEVICES: u8 = 200;
/// Prompt text that crashes every engine that runs it.
pub(crate) const CRASH_MARK: &str = "crash-engine;";

/// One call of the load.
#[derive(Debug, Clone)]
pub(crate) enum Call {
    /// A chat completion.
    Model {
        model: Model,
        prompt: String,
        streamed: bool,
    },
    /// An idempotent call of a plain service.
    Lookup { route: Route },
    /// A call of a plain service that must run at most once.
    NonIdempotent { route: Route, body: Value },
}

/// Random source of calls.
#[derive(Debug)]
pub(crate) struct Plan {
    seed: u64,
    rng: Rng,
    index: u64,
    models: Vec<Model>,
    lookups: Vec<Route>,
    non_idempotent: Vec<Route>,
    devices: Vec<String>,
    /// Calls per second by kind: models, lookups, non-idempotent calls.
    rates_per_s: [f64; 3],
}

impl Plan {
    pub fn new(seed: u64, load_percent: u32, inventory: &Inventory) -> Self {
        let share = f64::from(load_percent) / 100.0;
        let routes = |idempotent| -> Vec<Route> {
            let chosen = inventory
                .routes
                .iter()
                .filter(|r| r.idempotent == idempotent);
            chosen.cloned().collect()
        };
        let (lookups, non_idempotent) = (routes(true), routes(false));
        let inventory_devices = inventory.devices.iter().map(|device| device.id.to_string());
        let other_devices = (1..=OTHER_DEVICES).map(|last| format!("10.200.0.{last}"));
        let per_second = |rate: f64, empty: bool| if empty { 0.0 } else { rate * share };
        Plan {
            seed,
            rng: Rng::with_seed(seed),
            index: 0,
            rates_per_s: [
                per_second(
                    full_load_calls_per_s(inventory),
                    inventory.models.is_empty(),
                ),
                per_second(LOOKUPS_PER_S, lookups.is_empty()),
                per_second(NON_IDEMPOTENT_CALLS_PER_S, non_idempotent.is_empty()),
            ],
            models: inventory.models.clone(),
            lookups,
            non_idempotent,
            devices: inventory_devices.chain(other_devices).collect(),
        }
    }

    /// Seconds until the next call, with `burst_rate` additional lookups per second.
    pub fn next_gap_s(&mut self, burst_rate: f64) -> f64 {
        let rate = self.rates_per_s.iter().sum::<f64>() + burst_rate;
        -(1.0 - self.rng.f64()).ln() / rate.max(0.1)
    }

    /// The next call, its nonce and its device.
    pub fn next_call(&mut self, burst_rate: f64) -> Option<(Call, String, String)> {
        self.index += 1;
        let nonce = format!("n{}-{}", self.seed, self.index);
        let device = self.rng.choice(&self.devices)?.clone();
        let [models, lookups, non_idempotent] = self.rates_per_s;
        let pick = self.rng.f64() * (models + lookups + non_idempotent + burst_rate);
        let call = match pick {
            pick if pick < models => self.model_call(&nonce),
            pick if pick < models + non_idempotent => self.non_idempotent_call(&nonce),
            _ => Call::Lookup {
                route: self.rng.choice(&self.lookups)?.clone(),
            },
        };
        Some((call, nonce, device))
    }

    pub fn rng(&mut self) -> Rng {
        self.rng.fork()
    }

    fn model_call(&mut self, nonce: &str) -> Call {
        let model = self.models[self.rng.usize(..self.models.len())].clone();
        let mut prompt = String::new();
        if self.rng.f64() < COMMON_PREFIX_SHARE {
            prompt = format!(
                "{:<1$}",
                format!("instructions for {}", model.id),
                COMMON_PREFIX_TOKENS * BYTES_PER_TOKEN
            );
        }
        let words = self.prompt_tokens();
        prompt.push_str(&format!("nonce={nonce};"));
        // Each word has the 4 bytes that the engine stand-in counts as one token.
        prompt.push_str(&"word".repeat(words));
        let streamed = self.rng.bool();
        Call::Model {
            model,
            prompt,
            streamed,
        }
    }

    /// A heavy-tailed prompt length: a bounded Pareto distribution.
    fn prompt_tokens(&mut self) -> usize {
        let least = (MIN_PROMPT_TOKENS / MAX_PROMPT_TOKENS).powf(PROMPT_SHAPE);
        let tail = 1.0 - self.rng.f64() * (1.0 - least);
        (MIN_PROMPT_TOKENS / tail.powf(1.0 / PROMPT_SHAPE)) as usize
    }

    fn non_idempotent_call(&mut self, nonce: &str) -> Call {
        let route = self.non_idempotent[self.rng.usize(..self.non_idempotent.len())].clone();
        let mut body = json!({"key": nonce, "amount": self.rng.u32(1..500)});
        if let Identity::Json(path) = &route.identity {
            set_path(&mut body, path, nonce);
        }
        Call::NonIdempotent { route, body }
    }
}

fn set_path(body: &mut Value, path: &str, value: &str) {
    let mut current = body;
    for name in path.split('.') {
        if !current.is_object() {
            *current = json!({});
        }
        current = &mut current[name];
    }
    *current = json!(value);
}

/// Time between two tokens, in ms, when every decode slot of a runner is in use.
pub(super) fn full_batch_gap_ms(inventory: &Inventory, model: &Model) -> f64 {
    inventory.pool(&model.pool).map_or(1.0, |pool| {
        pool.token_gap_ms + pool.token_gap_slope_ms * f64::from(pool.slots - 1)
    })
}

/// Model calls per second that fill every decode slot.
fn full_load_calls_per_s(inventory: &Inventory) -> f64 {
    let mut slots = 0.0;
    for runner in inventory
        .runners
        .iter()
        .filter(|r| r.role == EngineRole::Decode)
    {
        let pool = inventory.pool(&runner.pool);
        slots += pool.map_or(0.0, |pool| f64::from(pool.slots));
    }
    let mut mean_decode_ms = 0.0;
    for model in &inventory.models {
        let gap = full_batch_gap_ms(inventory, model);
        mean_decode_ms += gap * model.max_output.0 as f64 / inventory.models.len() as f64;
    }
    slots * 1000.0 / mean_decode_ms.max(1.0)
}

impl Call {
    /// Whether the call is urgent and idempotent.
    pub fn is_urgent_lookup(&self) -> bool {
        match self {
            Call::Model { model, .. } => model.class == Class::Urgent,
            Call::Lookup { route } => route.class == Class::Urgent,
            Call::NonIdempotent { .. } => false,
        }
    }

    /// Whether the call belongs to a waiting model: it may wait, but must be answered completely.
    pub fn is_waiting(&self) -> bool {
        matches!(self, Call::Model { model, .. } if model.class == Class::Waiting)
    }
}
