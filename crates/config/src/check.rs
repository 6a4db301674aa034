//! Turns a document into a checked inventory.

use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::Range;
use std::str::FromStr;

use bv_types::{Bytes, Millis, Pieces, RatePerSec, Tokens};
use miette::NamedSource;
use smol_str::SmolStr;
use toml::Spanned;

use crate::inventory::{
    Class, Device, EngineRole, Identity, Inventory, Model, Pool, Route, Runner, Server, Service,
    Team, Zone,
};
use crate::{ConfigError, raw};

const DEFAULT_SHARD_RUNNERS: u32 = 16;
const MAX_SHARD_RUNNERS: u32 = 64;
const DEFAULT_RESEND_WINDOW_S: u64 = 600;
const MAX_RESEND_WINDOW_S: u64 = 7 * 86_400;
const MAX_DEADLINE_MS: u64 = 3_600_000;
const DEFAULT_MAX_OUTPUT_TOKENS: u64 = 1_024;

type Checked<T> = Result<T, Box<ConfigError>>;

struct Checker<'a> {
    text: &'a str,
}

impl Checker<'_> {
    fn fault(
        &self,
        field: &'static str,
        at: Range<usize>,
        message: impl Display,
    ) -> Box<ConfigError> {
        self.fault_with_help(field, at, message, None)
    }

    fn fault_with_help(
        &self,
        field: &'static str,
        at: Range<usize>,
        message: impl Display,
        help: Option<String>,
    ) -> Box<ConfigError> {
        Box::new(ConfigError::Value {
            field,
            message: message.to_string(),
            source_text: NamedSource::new("inventory", self.text.to_owned()),
            at: at.into(),
            help,
        })
    }

    fn parse<T>(&self, field: &'static str, value: &Spanned<SmolStr>) -> Checked<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        value
            .get_ref()
            .parse()
            .map_err(|err| self.fault(field, value.span(), err))
    }

    fn number<T: PartialOrd + Display + Copy>(
        &self,
        field: &'static str,
        value: &Spanned<T>,
        allowed: Range<T>,
    ) -> Checked<T> {
        let number = *value.get_ref();
        if allowed.contains(&number) {
            return Ok(number);
        }
        let message = format!(
            "{number} is out of range; allowed are {} up to, not including, {}",
            allowed.start, allowed.end
        );
        Err(self.fault(field, value.span(), message))
    }

    fn rate(&self, field: &'static str, value: &Spanned<f64>) -> Checked<RatePerSec> {
        RatePerSec::try_from(*value.get_ref()).map_err(|err| self.fault(field, value.span(), err))
    }

    fn deadline(&self, field: &'static str, value: &Spanned<u64>) -> Checked<Millis> {
        self.number(field, value, 1..MAX_DEADLINE_MS + 1)
            .map(Millis)
    }

    fn class(&self, field: &'static str, value: &Spanned<SmolStr>) -> Checked<Class> {
        match value.get_ref().as_str() {
            "urgent" => Ok(Class::Urgent),
            "waiting" => Ok(Class::Waiting),
            other => Err(self.fault(
                field,
                value.span(),
                format!("{other:?} is not a class; allowed are \"urgent\" and \"waiting\""),
            )),
        }
    }

    fn role(&self, value: &Spanned<SmolStr>) -> Checked<EngineRole> {
        match value.get_ref().as_str() {
            "prefill" => Ok(EngineRole::Prefill),
            "decode" => Ok(EngineRole::Decode),
            other => Err(self.fault(
                "runner.role",
                value.span(),
                format!("{other:?} is not a role; allowed are \"prefill\" and \"decode\""),
            )),
        }
    }

    fn addr(&self, field: &'static str, value: &Spanned<SmolStr>) -> Checked<SocketAddr> {
        value.get_ref().parse().map_err(|_| {
            self.fault(
                field,
                value.span(),
                format!(
                    "{:?} is not an IP address with a port, such as 10.0.0.7:8000",
                    value.get_ref()
                ),
            )
        })
    }

    /// Sorts by id and refuses an id that stands twice.
    fn sorted<T, K: Ord + Display + Clone>(
        &self,
        field: &'static str,
        mut entries: Vec<(T, Range<usize>)>,
        id: impl Fn(&T) -> K,
    ) -> Checked<Vec<T>> {
        entries.sort_by_key(|(entry, _)| id(entry));
        for pair in entries.windows(2) {
            let (first, second) = (&pair[0], &pair[1]);
            if id(&first.0) == id(&second.0) {
                return Err(self.fault(
                    field,
                    second.1.clone(),
                    format!("{} is listed twice", id(&second.0)),
                ));
            }
        }
        Ok(entries.into_iter().map(|(entry, _)| entry).collect())
    }

    /// Parses a reference to another entry and refuses one that does not resolve.
    fn reference<T, K>(
        &self,
        field: &'static str,
        value: &Spanned<SmolStr>,
        entries: &[T],
        id: impl Fn(&T) -> &K,
    ) -> Checked<K>
    where
        K: Ord + FromStr + Display,
        K::Err: Display,
    {
        let key: K = self.parse(field, value)?;
        if entries
            .binary_search_by(|entry| id(entry).cmp(&key))
            .is_ok()
        {
            return Ok(key);
        }
        let known: Vec<String> = entries.iter().map(|entry| id(entry).to_string()).collect();
        let help = match known.is_empty() {
            true => "the inventory lists no such entries".to_owned(),
            false => format!("listed are {}", known.join(", ")),
        };
        Err(self.fault_with_help(
            field,
            value.span(),
            format!("{key} is not in the inventory"),
            Some(help),
        ))
    }
}

pub(crate) fn inventory(text: &str, document: raw::Document) -> Checked<Inventory> {
    let checker = Checker { text };
    let zones = zones(&checker, document.zones)?;
    let pools = pools(&checker, document.pools)?;
    let services = services(&checker, document.services)?;
    let teams = teams(&checker, document.teams)?;
    let runners = runners(&checker, document.runners, &pools, &zones)?;
    let models = models(&checker, document.models, &pools)?;
    let servers = servers(&checker, document.servers, &services, &zones)?;
    let routes = routes(&checker, document.routes, &services)?;
    let devices = devices(&checker, document.devices, &teams)?;
    let shard_runners = document.shard_runners.unwrap_or(DEFAULT_SHARD_RUNNERS);
    if !(2..=MAX_SHARD_RUNNERS).contains(&shard_runners) {
        let message = format!("{shard_runners} is out of range; allowed are 2 to 64");
        return Err(checker.fault("shard_runners", 0..0, message));
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
) -> Checked<Vec<Server>> {
    let mut servers = Vec::with_capacity(entries.len());
    for entry in entries {
        let server = Server {
            id: checker.parse("server.id", &entry.id)?,
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
            return Err(checker.fault("route.path", entry.path.span(), message));
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
            return Err(checker.fault("device.id", entry.id.span(), "the id is empty"));
        }
        let device = Device {
            id: entry.id.get_ref().clone(),
            team: checker.reference("device.team", &entry.team, teams, |team| &team.id)?,
        };
        devices.push((device, entry.id.span()));
    }
    checker.sorted("device.id", devices, |device| device.id.clone())
}
