//! The configuration in force, which never goes back to an older version.

use std::sync::Arc;

use bv_types::{Millis, Version};

use crate::table::RouteTable;

/// What became of an offered table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offer {
    /// It is in force now.
    Applied,
    /// It was in force already.
    Same,
    /// It is older than the one in force and was ignored.
    Older,
}

/// The newest table that was seen, and when it was last known to be the newest.
#[derive(Debug, Default)]
pub struct InForce {
    table: Option<Arc<RouteTable>>,
    confirmed: Option<Millis>,
}

impl InForce {
    /// The table in force, or none before the first one is known.
    pub fn table(&self) -> Option<&Arc<RouteTable>> {
        self.table.as_ref()
    }

    /// Takes a table over if it is newer than the one in force.
    pub fn offer(&mut self, table: RouteTable) -> Offer {
        let current = self.table.as_ref().map(|t| t.version());
        match current {
            Some(version) if table.version() < version => Offer::Older,
            Some(version) if table.version() == version => Offer::Same,
            _ => {
                self.table = Some(Arc::new(table));
                Offer::Applied
            }
        }
    }

    /// Records that no newer version existed at `at`.
    pub fn confirm(&mut self, at: Millis) {
        self.confirmed = self.confirmed.max(Some(at));
    }

    /// Time since the table was last known to be the newest.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.confirmed.map(|at| now - at)
    }

    /// Version in force.
    pub fn version(&self) -> Option<Version> {
        self.table.as_ref().map(|t| t.version())
    }
}
