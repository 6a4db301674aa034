//! The document as deserialized, before validation.

use serde::Deserialize;
use smol_str::SmolStr;
use toml::Spanned;

type Text = Spanned<SmolStr>;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Document {
    pub name: SmolStr,
    #[serde(default)]
    pub zone_delay_ms: f64,
    #[serde(default)]
    pub zone_price_ms: u64,
    #[serde(default)]
    pub client_delay_ms: f64,
    #[serde(default)]
    pub device_header: Option<SmolStr>,
    #[serde(default)]
    pub shard_runners: Option<u32>,
    #[serde(default, rename = "zone")]
    pub zones: Vec<Zone>,
    #[serde(default, rename = "pool")]
    pub pools: Vec<Pool>,
    #[serde(default, rename = "runner")]
    pub runners: Vec<Runner>,
    #[serde(default, rename = "model")]
    pub models: Vec<Model>,
    #[serde(default, rename = "service")]
    pub services: Vec<Service>,
    #[serde(default, rename = "server")]
    pub servers: Vec<Server>,
    #[serde(default, rename = "route")]
    pub routes: Vec<Route>,
    #[serde(default, rename = "team")]
    pub teams: Vec<Team>,
    #[serde(default, rename = "device")]
    pub devices: Vec<Device>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Zone {
    pub id: Text,
    pub region: SmolStr,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Pool {
    pub id: Text,
    pub slots: Spanned<u32>,
    pub pieces: Spanned<u32>,
    pub prefill_tokens_per_s: Spanned<f64>,
    pub token_gap_ms: Spanned<f64>,
    #[serde(default)]
    pub token_gap_slope_ms: f64,
    pub link_bytes_per_s: Spanned<f64>,
    pub kv_bytes_per_token: u64,
    pub eviction_ms: u64,
    #[serde(default)]
    pub checks_fence: bool,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Runner {
    pub id: Text,
    pub pool: Text,
    pub role: Text,
    pub zone: Text,
    pub addr: Text,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Model {
    pub id: Text,
    pub pool: Text,
    pub class: Text,
    pub first_token_ms: Spanned<u64>,
    pub token_gap_ms: Spanned<u64>,
    pub deadline_ms: Spanned<u64>,
    #[serde(default)]
    pub max_output_tokens: Option<Spanned<u64>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Service {
    pub id: Text,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Server {
    pub id: Text,
    pub service: Text,
    pub zone: Text,
    pub addr: Text,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Route {
    pub id: Text,
    pub service: Text,
    #[serde(default)]
    pub method: Option<Text>,
    pub path: Text,
    pub class: Text,
    pub idempotent: bool,
    #[serde(default)]
    pub identity: Option<Text>,
    #[serde(default)]
    pub resend_window_s: Option<Spanned<u64>>,
    pub deadline_ms: Spanned<u64>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Team {
    pub id: Text,
    #[serde(default)]
    pub requests_per_s: Option<Spanned<f64>>,
    #[serde(default)]
    pub max_tokens: Option<Spanned<u64>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Device {
    pub id: Text,
    pub team: Text,
}
