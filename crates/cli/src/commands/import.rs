//! `burdockvale import`: converts an asset register to an inventory.

mod register;

use std::path::PathBuf;

use argh::FromArgs;
use bv_config::Inventory;
use serde_json::json;

use super::read_file;
use crate::{CliError, output};
use register::Register;

/// Convert an asset register in CSV to an inventory in TOML. The first line names the columns:
/// kind (zone, service, server, runner, team or device), id, zone, region, service, pool, role,
/// addr, team, requests_per_s, max_tokens; other columns are ignored.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "import")]
pub(super) struct Import {
    /// asset register in CSV
    #[argh(positional)]
    file: PathBuf,
    /// rules in TOML, placed before the entries: name, pools, models, routes
    #[argh(option)]
    rules: Option<PathBuf>,
    /// name of the deployment, if there is no rules file
    #[argh(option)]
    name: Option<String>,
    /// file to write the inventory to (default: standard output)
    #[argh(option)]
    output: Option<PathBuf>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

impl Import {
    pub fn run(&self) -> Result<(), CliError> {
        let preamble = self.preamble()?;
        let source = read_file(&self.file)?;
        let name = self.file.display().to_string();
        let register = Register::read(&name, &source)?;
        let (text, positions) = register.append_to(preamble);
        if let Err(err) = Inventory::parse(&text) {
            return Err(match positions.find(err.offset()) {
                Some(span) => register.error_at(span, err.to_string(), err.advice()),
                // The error is in the rules, which are at the start of the text.
                None => match &self.rules {
                    Some(rules) => err.named(&rules.display().to_string()).into(),
                    None => err.into(),
                },
            });
        }
        match &self.output {
            Some(path) => std::fs::write(path, &text).map_err(|source| CliError::Write {
                path: path.clone(),
                source,
            })?,
            None if self.json => {}
            None => output::print(&text),
        }
        if self.json {
            let document = self.output.is_none().then_some(&text);
            output::print_json(&json!({"entries": register.len(), "document": document}));
        }
        Ok(())
    }

    /// The start of the document: the rules, or else the name.
    fn preamble(&self) -> Result<String, CliError> {
        match (&self.rules, &self.name) {
            (Some(rules), None) => read_file(rules),
            (None, Some(name)) => Ok(format!("name = {}\n", toml::Value::from(name.as_str()))),
            _ => Err(CliError::Usage {
                message: "exactly one of --rules and --name is required".to_owned(),
                help:
                    "the rules contain what an asset register does not: name, pools, models, routes"
                        .to_owned(),
            }),
        }
    }
}
