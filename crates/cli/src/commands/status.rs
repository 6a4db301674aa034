//! `burdockvale status`: prints the state of entry hosts.

use std::net::SocketAddr;

use argh::FromArgs;
use serde_json::{Value, json};

use crate::client::Client;
use crate::{CliError, output};

/// Show the state of all given entry hosts; fails if one does not answer.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub(super) struct Status {
    /// operator addresses of entry hosts, separated by commas
    #[argh(option)]
    hosts: Option<String>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

impl Status {
    pub async fn run(&self) -> Result<(), CliError> {
        let client = Client::new(self.hosts.as_deref())?;
        let states = fetch_all(&client).await;
        match self.json {
            true => output::print_json(&as_json(&states)),
            false => output::print(&as_table(&states)),
        }
        let failure = |(host, state): &(SocketAddr, Result<Value, String>)| match state {
            Ok(_) => None,
            Err(detail) => Some(format!("{host}: {detail}")),
        };
        let details: Vec<String> = states.iter().filter_map(failure).collect();
        match details.is_empty() {
            true => Ok(()),
            false => Err(CliError::RequestFailed { details }),
        }
    }
}

/// Fetches the states of all entry hosts concurrently, in the order of the hosts.
pub(super) async fn fetch_all(client: &Client) -> Vec<(SocketAddr, Result<Value, String>)> {
    let mut requests = tokio::task::JoinSet::new();
    for host in client.hosts.clone() {
        let client = client.clone();
        requests.spawn(async move { fetch(&client, host).await });
    }
    let mut states = requests.join_all().await;
    states.sort_by_key(|(host, _)| client.hosts.iter().position(|addr| addr == host));
    states
}

async fn fetch(client: &Client, host: SocketAddr) -> (SocketAddr, Result<Value, String>) {
    let state = match client.get(host, "/v1/status").await {
        Ok(answer) if answer.status.is_success() => Ok(answer.body),
        Ok(answer) => Err(answer.message()),
        Err(err) => Err(err.detail().to_owned()),
    };
    (host, state)
}

fn as_json(states: &[(SocketAddr, Result<Value, String>)]) -> Value {
    let hosts: Vec<Value> = states
        .iter()
        .map(|(host, state)| match state {
            Ok(state) => json!({"addr": host.to_string(), "status": state}),
            Err(detail) => json!({"addr": host.to_string(), "error": detail}),
        })
        .collect();
    json!({"hosts": hosts})
}

fn as_table(states: &[(SocketAddr, Result<Value, String>)]) -> String {
    let heading = [
        "ADDRESS",
        "HOST",
        "ZONE",
        "VERSION",
        "CONFIRMED",
        "READY",
        "MEMBERS",
        "LEAVING",
    ];
    let mut rows = vec![heading.map(str::to_owned).to_vec()];
    for (host, state) in states {
        rows.push(match state {
            Ok(state) => row(*host, state),
            Err(detail) => vec![host.to_string(), detail.clone()],
        });
    }
    output::format_table(&rows)
}

fn row(host: SocketAddr, state: &Value) -> Vec<String> {
    let text = |field: &str| state[field].as_str().unwrap_or("-").to_owned();
    let count = |field: &str| state[field].as_array().map_or(0, Vec::len).to_string();
    let confirmed = match (state["confirmed_ms_ago"].as_u64(), &state["stale"]) {
        (None, _) => "never".to_owned(),
        (Some(ms), Value::Bool(true)) => format!("stale, {} s ago", ms / 1_000),
        (Some(ms), _) => format!("{} s ago", ms / 1_000),
    };
    let ready = match state["not_ready"].as_str() {
        Some(reason) => format!("no: {reason}"),
        None => "yes".to_owned(),
    };
    vec![
        host.to_string(),
        text("host"),
        text("zone"),
        state["version"].to_string(),
        confirmed,
        ready,
        count("members"),
        count("leaving"),
    ]
}
