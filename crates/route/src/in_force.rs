//! The configuration in force, whose version never decreases.

use std::sync::Arc;

use bv_types::Version;

use crate::table::RouteTable;

/// Result of applying a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyResult {
    /// It is in force now.
    Applied,
    /// It was in force already.
    Same,
    /// It was ignored, as it is older than the one in force.
    Older,
}

/// The newest table that was received.
#[derive(Debug, Default)]
pub struct InForce {
    table: Option<Arc<RouteTable>>,
}

impl InForce {
    /// The table in force; none before the first one is received.
    pub fn table(&self) -> Option<&Arc<RouteTable>> {
        self.table.as_ref()
    }

    /// Puts a table in force if it is newer than the current one.
    pub fn apply_if_newer(&mut self, table: RouteTable) -> ApplyResult {
        let current = self.table.as_ref().map(|t| t.version());
        match current {
            Some(version) if table.version() < version => ApplyResult::Older,
            Some(version) if table.version() == version => ApplyResult::Same,
            _ => {
                self.table = Some(Arc::new(table));
                ApplyResult::Applied
            }
        }
    }

    /// Version in force.
    pub fn version(&self) -> Option<Version> {
        self.table.as_ref().map(|t| t.version())
    }
}
