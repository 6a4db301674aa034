//! Forms in which a configuration document is stored and sent.

use std::sync::Arc;

use bv_config::{Change, Document};
use bv_store::Row;
use bv_types::Version;
use bv_wire::{Config, ConfigChange};
use serde::{Deserialize, Serialize};

use super::CONFIG_KEY;

/// Body of the configuration row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ConfigRow {
    /// Id of the change that made this version.
    pub change: String,
    /// Inventory and rules in TOML.
    pub document: String,
    /// Earlier changes, the latest first.
    #[serde(default)]
    pub earlier: Vec<Change>,
}

impl ConfigRow {
    pub(super) fn from_document(document: &Document) -> Self {
        ConfigRow {
            change: document.change.to_string(),
            document: document.text.to_string(),
            earlier: document.earlier.clone(),
        }
    }
}

/// Reads a row of the table.
pub(super) fn from_row(row: &Row) -> Result<Document, serde_json::Error> {
    let body: ConfigRow = serde_json::from_str(&row.body)?;
    let text: Arc<str> = body.document.into();
    Ok(Document::new(
        row.version,
        body.change.into(),
        text,
        body.earlier,
    ))
}

/// The row of the table for a document.
pub(super) fn to_row(document: &Document) -> Row {
    let body = serde_json::to_string(&ConfigRow::from_document(document));
    Row {
        key: CONFIG_KEY.into(),
        version: document.version,
        body: body.unwrap_or_default(),
    }
}

/// Reads a peer's answer; version 0 means that it has no configuration.
pub(super) fn from_wire(config: Config) -> Option<Document> {
    if config.version == 0 {
        return None;
    }
    let earlier = config
        .earlier
        .into_iter()
        .map(|earlier| Change {
            version: Version(earlier.version),
            change: earlier.change.into(),
        })
        .collect();
    Some(Document::new(
        Version(config.version),
        config.change.into(),
        config.document.into(),
        earlier,
    ))
}

/// The answer to a peer.
pub(super) fn to_wire(document: &Document, age_ms: Option<u64>) -> Config {
    let earlier = document.earlier.iter().map(|earlier| ConfigChange {
        version: earlier.version.0,
        change: earlier.change.to_string(),
    });
    Config {
        version: document.version.0,
        change: document.change.to_string(),
        document: document.text.to_string(),
        age_ms,
        earlier: earlier.collect(),
    }
}
