//! Starts the stand-ins of one deployment.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use bv_config::Inventory;
use serde_json::json;
use tokio::net::TcpListener;

use crate::hosts::STORE_KEY;
use crate::load::LoadResult;
use crate::stand_in::{Engine, Exports, Gate, PlainService, TableService, Zones};
use crate::{LabError, Report};

/// Key of the configuration row.
pub(crate) const CONFIG_KEY: &str = "config/current";

/// Ports for stand-ins and entry hosts.
const PORTS: std::ops::Range<u16> = 10_000..32_000;
/// Distance between the first ports of two processes with consecutive ids.
const PORT_STRIDE: u32 = 997;
const MAX_BIND_ATTEMPTS: u32 = 500;

/// Running stand-ins for the backend servers and the table service of an inventory.
pub struct Deployment {
    /// The inventory with the addresses of the stand-ins.
    pub inventory: Arc<Inventory>,
    /// Address of the table service.
    pub store_addr: SocketAddr,
    /// Engines, in the order of the inventory's runners.
    pub engines: Vec<Arc<Engine>>,
    /// Plain services, in the order of the inventory's services.
    pub services: Vec<Arc<PlainService>>,
    /// Connection gates of the plain services' servers, in the order of the inventory's servers.
    pub server_gates: Vec<Arc<Gate>>,
    /// Table service.
    pub table: Arc<TableService>,
    /// Zones of the entry hosts, and the delay between zones.
    pub zones: Arc<Zones>,
}

impl Deployment {
    /// Starts a stand-in for each backend server and a table with the inventory as version 1.
    ///
    /// # Errors
    /// Fails if the inventory is invalid or no loopback port is free.
    pub async fn start(text: &str) -> Result<Self, LabError> {
        let mut text = text.to_owned();
        let original = Inventory::parse(&text)?;
        let mut engine_listeners = Vec::new();
        for runner in &original.runners {
            let (listener, addr) = listen("engine").await?;
            text = replace_addr(&text, &runner.addr, &addr);
            engine_listeners.push(listener);
        }
        let mut server_listeners = Vec::new();
        for server in &original.servers {
            let (listener, addr) = listen("plain service").await?;
            text = replace_addr(&text, &server.addr, &addr);
            server_listeners.push(listener);
        }
        let inventory = Arc::new(Inventory::parse(&text)?);
        let zones = Arc::new(Zones::new(inventory.zone_delay_ms));
        let table = Arc::new(TableService::with_key(STORE_KEY));
        let row = json!({"change": "lab", "document": text}).to_string();
        table.put(CONFIG_KEY, 1, &row);
        let (listener, store_addr) = listen("table service").await?;
        tokio::spawn(table.clone().serve(listener));
        let (services, server_gates) = start_servers(&inventory, server_listeners, &zones);
        Ok(Deployment {
            engines: start_engines(&inventory, engine_listeners, &zones),
            inventory,
            store_addr,
            services,
            server_gates,
            table,
            zones,
        })
    }

    /// Adds the counts of the stand-ins to those of the callers.
    pub fn add_stand_in_counts(&self, result: LoadResult) -> Report {
        let mut report = result.report;
        for engine in &self.engines {
            let counts = engine.counts();
            report.prefill_tokens += counts.prefill_tokens;
            report.imported_tokens += counts.imported_tokens;
            report.work_after_leaving += counts.work_after_leaving;
            let leaving = counts.leaving_longest_ms;
            report.leaving_longest_ms = report.leaving_longest_ms.max(leaving);
            report.engine_crashes += counts.crashes;
            report.request_crashes += counts.request_crashes;
        }
        for service in &self.services {
            report.double_runs += service.double_runs();
        }
        for (key, attempt) in &result.not_run {
            let run_attempts = self
                .services
                .iter()
                .flat_map(|service| service.attempts_of(key));
            match run_attempts.collect::<Vec<u32>>() {
                run_attempts if run_attempts.contains(attempt) => report.ran_after_not_run += 1,
                run_attempts if !run_attempts.is_empty() => report.ran_under_earlier_attempt += 1,
                _ => {}
            }
        }
        // After an engine interrupts a stream the router may close it at any moment, also while the
        // host drains, so such a stream does not count as cut by the draining host.
        let interrupted = |nonce: &&String| {
            self.engines
                .iter()
                .any(|engine| engine.was_interrupted(nonce))
        };
        let cut = result
            .cut_while_draining
            .iter()
            .filter(|nonce| !interrupted(nonce));
        report.cut_by_shutdown = cut.count() as u64;
        let rates = self.table.rates();
        report.store_reads_per_s = rates.reads;
        report.store_writes_per_s = rates.writes;
        report
    }
}

fn start_engines(
    inventory: &Inventory,
    listeners: Vec<TcpListener>,
    zones: &Arc<Zones>,
) -> Vec<Arc<Engine>> {
    let exports = Arc::new(Exports::default());
    let mut engines = Vec::new();
    for (runner, listener) in inventory.runners.iter().zip(listeners) {
        let Some(pool) = inventory.pool(&runner.pool) else {
            continue;
        };
        let engine = Engine::new(runner.id.clone(), pool.clone(), exports.clone())
            .in_zone(zones.clone(), runner.zone.clone());
        let engine = Arc::new(engine);
        tokio::spawn(engine.clone().serve(listener));
        engines.push(engine);
    }
    engines
}

fn start_servers(
    inventory: &Inventory,
    listeners: Vec<TcpListener>,
    zones: &Arc<Zones>,
) -> (Vec<Arc<PlainService>>, Vec<Arc<Gate>>) {
    let services: Vec<Arc<PlainService>> =
        inventory.services.iter().map(|_| Arc::default()).collect();
    let mut gates = Vec::new();
    for (server, listener) in inventory.servers.iter().zip(listeners) {
        let gate = Arc::new(Gate::new(zones.clone(), Some(server.zone.clone())));
        let service = inventory
            .services
            .iter()
            .position(|s| s.id == server.service);
        if let Some(index) = service {
            tokio::spawn(
                services[index]
                    .clone()
                    .serve_with_gate(listener, gate.clone()),
            );
        }
        gates.push(gate);
    }
    (services, gates)
}

/// Listens on a free loopback port.
///
/// The port is below the usual range of ephemeral ports, so that no outgoing connection takes it
/// while an entry host or a stand-in is down.
pub(crate) async fn listen(purpose: &'static str) -> Result<(TcpListener, SocketAddr), LabError> {
    let mut last = std::io::Error::from(std::io::ErrorKind::AddrInUse);
    for _ in 0..MAX_BIND_ATTEMPTS {
        match TcpListener::bind((Ipv4Addr::LOCALHOST, next_port())).await {
            Ok(listener) => {
                let addr = listener
                    .local_addr()
                    .map_err(|source| LabError::Listen { purpose, source })?;
                return Ok((listener, addr));
            }
            Err(err) => last = err,
        }
    }
    Err(LabError::Listen {
        purpose,
        source: last,
    })
}

/// The next port in rotation; processes start at different ports.
fn next_port() -> u16 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let count = NEXT.fetch_add(1, Ordering::Relaxed);
    let start = std::process::id().wrapping_mul(PORT_STRIDE);
    let offset = start.wrapping_add(count) % u32::from(PORTS.end - PORTS.start);
    PORTS.start + offset as u16
}

fn replace_addr(text: &str, old: &SocketAddr, new: &SocketAddr) -> String {
    text.replace(&format!("\"{old}\""), &format!("\"{new}\""))
}
