//! Validates a parsed document and builds the inventory from it.

use bv_types::{BackendId, Bytes, Millis, Pieces, Tokens};

use crate::checker::{Checked, Checker};
use crate::inventory::{
    Device, Identity, Inventory, Model, Pool, Route, Runner, Server, Service, Team, Zone,
};
use crate::raw;

const DEFAULT_SHARD_RUNNERS: u32 = 16;
const MAX_SHARD_RUNNERS: u32 = 64;
const DEFAULT_RESEND_WINDOW_S: u64 = 600;
const MAX_RESEND_WINDOW_S: u64 = 7 * 86_400;
const DEFAULT_MAX_OUTPUT_TOKENS: u64 = 1_024;

pub(crate) fn inventory(text: &str, document: raw::Document) -> Checked<Inventory> {
    let checker = Checker { text };
    let zones = zones(&checker, document.zones)?;
    let pools = pools(&checker, document.pools)?;
    let services = services(&checker, document.services)?;
    let teams = teams(&checker, document.teams)?;
    let runners = runners(&checker, document.runners, &pools, &zones)?;
    let models = models(&checker, document.models, &pools)?;
    let servers = servers(&checker, document.servers, &services, &zones, &runners)?;
    let routes = routes(&checker, document.routes, &services)?;
    let devices = devices(&checker, document.devices, &teams)?;
    let shard_runners = document.shard_runners.unwrap_or(DEFAULT_SHARD_RUNNERS);
    if !(2..=MAX_SHARD_RUNNERS).contains(&shard_runners) {
        let message =
            format!("{shard_runners} is out of range; allowed are 2 to {MAX_SHARD_RUNNERS}");
        return Err(checker.error("shard_runners", 0..0, message));
    }
    Ok(Inventory {
        name: document.name,
        zone_delay_ms: document.zone_delay_ms.max(0.0),
        zone_price: Millis(document.zone_price_ms),
        client_delay_ms: document.client_delay_ms.max(0.0),
        device_header: document.device_header,
        shard_runners: shard_runners as usize,
        zones,
        pools,
        runners,
        models,
        services,
        servers,
        routes,
        teams,
        devices,
    })
}

fn zones(checker: &Checker, entries: Vec<raw::Zone>) -> Checked<Vec<Zone>> {
    let mut zones = Vec::with_capacity(entries.len());
    for entry in entries {
        let zone = Zone {
            id: checker.parse("zone.id", &entry.id)?,
            region: entry.region,
        };
        zones.push((zone, entry.id.span()));
    }
    checker.sorted("zone.id", zones, |zone| zone.id.clone())
}

fn pools(checker: &Checker, entries: Vec<raw::Pool>) -> Checked<Vec<Pool>> {
    let mut pools = Vec::with_capacity(entries.len());
    for entry in entries {
        let pool = Pool {
            id: checker.parse("pool.id", &entry.id)?,
            slots: checker.number("pool.slots", &entry.slots, 1..10_000)?,
            pieces: Pieces(checker.number("pool.pieces", &entry.pieces, 1..1_000_000)?),
            prefill: checker.rate("pool.prefill_tokens_per_s", &entry.prefill_tokens_per_s)?,
            token_gap_ms: checker.number(
                "pool.token_gap_ms",
                &entry.token_gap_ms,
                0.01..10_000.0,
            )?,
            token_gap_slope_ms: entry.token_gap_slope_ms.max(0.0),
            link: checker.rate("pool.link_bytes_per_s", &entry.link_bytes_per_s)?,
            kv_per_token: Bytes(entry.kv_bytes_per_token),
            eviction: Millis(entry.eviction_ms),
            checks_fence: entry.checks_fence,
        };
        pools.push((pool, entry.id.span()));
    }
    checker.sorted("pool.id", pools, |pool| pool.id.clone())
}

fn runners(
    checker: &Checker,
    entries: Vec<raw::Runner>,
    pools: &[Pool],
    zones: &[Zone],
) -> Checked<Vec<Runner>> {
    let mut runners = Vec::with_capacity(entries.len());
    for entry in entries {
        let runner = Runner {
            id: checker.parse("runner.id", &entry.id)?,
            pool: checker.reference("runner.pool", &entry.pool, pools, |pool| &pool.id)?,
            role: checker.role(&entry.role)?,
            zone: checker.reference("runner.zone", &entry.zone, zones, |zone| &zone.id)?,
            addr: checker.addr("runner.addr", &entry.addr)?,
        };
        runners.push((runner, entry.id.span()));
    }
    checker.sorted("runner.id", runners, |runner| runner.id.clone())
}

fn models(checker: &Checker, entries: Vec<raw::Model>, pools: &[Pool]) -> Checked<Vec<Model>> {
    let mut models = Vec::with_capacity(entries.len());
    for entry in entries {
        let max_output = match &entry.max_output_tokens {
            Some(tokens) => checker.number("model.max_output_tokens", tokens, 1..1_000_000)?,
            None => DEFAULT_MAX_OUTPUT_TOKENS,
        };
        let model = Model {
            id: checker.parse("model.id", &entry.id)?,
            pool: checker.reference("model.pool", &entry.pool, pools, |pool| &pool.id)?,
            class: checker.class("model.class", &entry.class)?,
            first_token: checker.deadline("model.first_token_ms", &entry.first_token_ms)?,
            token_gap: checker.deadline("model.token_gap_ms", &entry.token_gap_ms)?,
            deadline: checker.deadline("model.deadline_ms", &entry.deadline_ms)?,
            max_output: Tokens(max_output),
        };
        models.push((model, entry.id.span()));
    }
    checker.sorted("model.id", models, |model| model.id.clone())
}

fn services(checker: &Checker, entries: Vec<raw::Service>) -> Checked<Vec<Service>> {
    let mut services = Vec::with_capacity(entries.len());
    for entry in entries {
        let id = checker.parse("service.id", &entry.id)?;
        services.push((Service { id }, entry.id.span()));
    }
    checker.sorted("service.id", services, |service| service.id.clone())
}

fn servers(
    checker: &Checker,
    entries: Vec<raw::Server>,
    services: &[Service],
    zones: &[Zone],
    runners: &[Runner],
) -> Checked<Vec<Server>> {
    let mut servers = Vec::with_capacity(entries.len());
    for entry in entries {
        let id: BackendId = checker.parse("server.id", &entry.id)?;
        // The records of leaving backend servers contain only the id, so servers and runners must
        // not share ids.
        if runners.iter().any(|runner| runner.id == id) {
            let message = format!("a runner has the same id {id}");
            return Err(checker.error("server.id", entry.id.span(), message));
        }
        let server = Server {
            id,
            service: checker.reference("server.service", &entry.service, services, |s| &s.id)?,
            zone: checker.reference("server.zone", &entry.zone, zones, |zone| &zone.id)?,
            addr: checker.addr("server.addr", &entry.addr)?,
        };
        servers.push((server, entry.id.span()));
    }
    checker.sorted("server.id", servers, |server| server.id.clone())
}

fn routes(
    checker: &Checker,
    entries: Vec<raw::Route>,
    services: &[Service],
) -> Checked<Vec<Route>> {
    let mut routes = Vec::with_capacity(entries.len());
    for entry in entries {
        if !entry.path.get_ref().starts_with('/') {
            let message = format!("{:?} does not start with '/'", entry.path.get_ref());
            return Err(checker.error("route.path", entry.path.span(), message));
        }
        let identity = match &entry.identity {
            Some(text) => checker.parse("route.identity", text)?,
            None => Identity::Digest,
        };
        let window = match &entry.resend_window_s {
            Some(s) => checker.number("route.resend_window_s", s, 1..MAX_RESEND_WINDOW_S + 1)?,
            None => DEFAULT_RESEND_WINDOW_S,
        };
        let route = Route {
            id: checker.parse("route.id", &entry.id)?,
            service: checker.reference("route.service", &entry.service, services, |s| &s.id)?,
            method: entry
                .method
                .map(|method| method.get_ref().to_ascii_uppercase().into()),
            path: entry.path.get_ref().clone(),
            class: checker.class("route.class", &entry.class)?,
            idempotent: entry.idempotent,
            identity,
            resend_window: Millis::from_secs(window),
            deadline: checker.deadline("route.deadline_ms", &entry.deadline_ms)?,
        };
        routes.push((route, entry.id.span()));
    }
    checker.sorted("route.id", routes, |route| route.id.clone())
}

fn teams(checker: &Checker, entries: Vec<raw::Team>) -> Checked<Vec<Team>> {
    let mut teams = Vec::with_capacity(entries.len());
    for entry in entries {
        let requests = match &entry.requests_per_s {
            Some(rate) => Some(checker.rate("team.requests_per_s", rate)?),
            None => None,
        };
        let tokens = match &entry.max_tokens {
            Some(tokens) => Some(Tokens(checker.number(
                "team.max_tokens",
                tokens,
                1..u64::MAX,
            )?)),
            None => None,
        };
        let team = Team {
            id: checker.parse("team.id", &entry.id)?,
            requests,
            tokens,
        };
        teams.push((team, entry.id.span()));
    }
    checker.sorted("team.id", teams, |team| team.id.clone())
}

fn devices(checker: &Checker, entries: Vec<raw::Device>, teams: &[Team]) -> Checked<Vec<Device>> {
    let mut devices = Vec::with_capacity(entries.len());
    for entry in entries {
        if entry.id.get_ref().is_empty() {
            return Err(checker.error("device.id", entry.id.span(), "the id is empty"));
        }
        let device = Device {
            id: entry.id.get_ref().clone(),
            team: checker.reference("device.team", &entry.team, teams, |team| &team.id)?,
        };
        devices.push((device, entry.id.span()));
    }
    checker.sorted("device.id", devices, |device| device.id.clone())
}
