//! `burdockvale check`: checks a document without any entry host.

use std::path::PathBuf;

use argh::FromArgs;
use bv_config::Inventory;
use serde_json::json;

use super::read;
use crate::{CliError, output};

/// Check an inventory with its rules.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub(super) struct Check {
    /// document in TOML
    #[argh(positional)]
    file: PathBuf,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

impl Check {
    pub fn run(&self) -> Result<(), CliError> {
        let inventory = parse(&self.file, &read(&self.file)?)?;
        let counts = [
            ("zones", inventory.zones.len()),
            ("pools", inventory.pools.len()),
            ("runners", inventory.runners.len()),
            ("models", inventory.models.len()),
            ("services", inventory.services.len()),
            ("servers", inventory.servers.len()),
            ("routes", inventory.routes.len()),
            ("teams", inventory.teams.len()),
            ("devices", inventory.devices.len()),
        ];
        if self.json {
            let mut value = json!({"valid": true, "name": inventory.name.as_str()});
            for (what, count) in counts {
                value[what] = json!(count);
            }
            output::print_json(&value);
            return Ok(());
        }
        let counts: Vec<String> = counts
            .iter()
            .map(|(what, count)| format!("{count} {what}"))
            .collect();
        let file = self.file.display();
        output::print(&format!("{file} is valid: {}", counts.join(", ")));
        Ok(())
    }
}

/// Parses a document; faults name the file.
pub(super) fn parse(file: &std::path::Path, text: &str) -> Result<Inventory, CliError> {
    Inventory::parse(text).map_err(|err| err.named(&file.display().to_string()).into())
}
