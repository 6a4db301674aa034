//! `burdockvale show`: prints the configuration in force.

use argh::FromArgs;
use serde_json::{Value, json};

use crate::client::Client;
use crate::{CliError, output};

/// Show the configuration in force at the first entry host that has one.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub(super) struct Show {
    /// operator addresses of entry hosts, separated by commas
    #[argh(option)]
    hosts: Option<String>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

impl Show {
    pub async fn run(&self) -> Result<(), CliError> {
        let client = Client::new(self.hosts.as_deref())?;
        let config = fetch_current_config(&client).await?;
        if self.json {
            output::print_json(&json!({
                "version": config["version"],
                "change": config["change"],
                "document": config["document"],
            }));
            return Ok(());
        }
        let change = config["change"].as_str().unwrap_or_default();
        // Printed as a TOML comment, so that the output as a whole is a valid document.
        output::print(&format!("# version {}, change {change}", config["version"]));
        output::print(config["document"].as_str().unwrap_or_default());
        Ok(())
    }
}

/// The configuration in force at the first entry host that has one.
pub(super) async fn fetch_current_config(client: &Client) -> Result<Value, CliError> {
    let mut details = Vec::new();
    for host in &client.hosts {
        match client.get(*host, "/v1/config").await {
            Ok(answer) if answer.status.is_success() => return Ok(answer.body),
            Ok(answer) => details.push(format!("{host}: {}", answer.message())),
            Err(err) => details.push(format!("{host}: {}", err.detail())),
        }
    }
    Err(CliError::RequestFailed { details })
}
