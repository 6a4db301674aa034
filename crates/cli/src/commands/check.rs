//! `burdockvale check`: checks a configuration document without contacting an entry host.

use std::path::PathBuf;

use argh::FromArgs;
use bv_config::Inventory;
use serde_json::json;

use super::read_file;
use crate::{CliError, output};

/// Check a configuration document without contacting an entry host.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub(super) struct Check {
    /// configuration document in TOML
    #[argh(positional)]
    file: PathBuf,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

impl Check {
    pub fn run(&self) -> Result<(), CliError> {
        let inventory = parse(&self.file, &read_file(&self.file)?)?;
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
            for (kind, count) in counts {
                value[kind] = json!(count);
            }
            output::print_json(&value);
            return Ok(());
        }
        let counts: Vec<String> = counts
            .iter()
            .map(|(kind, count)| format!("{count} {kind}"))
            .collect();
        let file = self.file.display();
        output::print(&format!("{file} is valid: {}", counts.join(", ")));
        Ok(())
    }
}

/// Parses a document; errors name the file.
pub(super) fn parse(file: &std::path::Path, text: &str) -> Result<Inventory, CliError> {
    Inventory::parse(text).map_err(|err| err.named(&file.display().to_string()).into())
}
