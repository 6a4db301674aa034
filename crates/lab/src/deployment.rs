//! Stand-ins of one deployment.

use std::net::SocketAddr;
use std::sync::Arc;

use bv_config::Inventory;
use serde_json::json;
use tokio::net::TcpListener;

use crate::stand_in::{Engine, Exports, PlainService, TableService};
use crate::{LabError, Report};

const CONFIG_KEY: &str = "config/current";

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
    /// Table service.
    pub table: Arc<TableService>,
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
            server_listeners.push((server.service.clone(), listener));
        }
        let inventory = Arc::new(Inventory::parse(&text)?);
        let exports = Arc::new(Exports::default());
        let mut engines = Vec::new();
        for (runner, listener) in inventory.runners.iter().zip(engine_listeners) {
            let Some(pool) = inventory.pool(&runner.pool) else {
                continue;
            };
            let engine = Arc::new(Engine::new(
                runner.id.clone(),
                pool.clone(),
                exports.clone(),
            ));
            tokio::spawn(engine.clone().serve(listener));
            engines.push(engine);
        }
        let mut services = Vec::new();
        for service in &inventory.services {
            services.push((service.id.clone(), Arc::new(PlainService::default())));
        }
        for (id, listener) in server_listeners {
            if let Some((_, service)) = services.iter().find(|(service, _)| *service == id) {
                tokio::spawn(service.clone().serve(listener));
            }
        }
        let table = Arc::new(TableService::default());
        table.put(
            CONFIG_KEY,
            1,
            &json!({"change": "lab", "document": text}).to_string(),
        );
        let (listener, store_addr) = listen("table service").await?;
        tokio::spawn(table.clone().serve(listener));
        Ok(Deployment {
            inventory,
            store_addr,
            engines,
            services: services.into_iter().map(|(_, service)| service).collect(),
            table,
        })
    }

    /// Adds the counts taken at the stand-ins.
    pub fn add_to(&self, report: &mut Report) {
        for engine in &self.engines {
            let counts = engine.counts();
            report.prefill_tokens += counts.prefill_tokens;
            report.imported_tokens += counts.imported_tokens;
        }
        for service in &self.services {
            report.double_runs += service.double_runs();
        }
    }
}

pub(crate) async fn listen(part: &'static str) -> Result<(TcpListener, SocketAddr), LabError> {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .map_err(|source| LabError::Listen { part, source })?;
    let addr = listener
        .local_addr()
        .map_err(|source| LabError::Listen { part, source })?;
    Ok((listener, addr))
}

fn replace_addr(text: &str, old: &SocketAddr, new: &SocketAddr) -> String {
    text.replace(&format!("\"{old}\""), &format!("\"{new}\""))
}
