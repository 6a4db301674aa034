//! The store and what its writers want.

use std::collections::BTreeMap;

use bv_roster::Row;
use bv_types::Version;

#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub enum Table {
    Config,
    Servers,
    Terms,
}

#[derive(Clone, Default)]
pub struct History {
    pub version: u64,
    changes: Vec<(Table, Row)>,
}

impl History {
    pub fn write(&mut self, table: Table, key: &str, value: Option<&str>) -> Version {
        self.version += 1;
        let row = Row {
            key: key.into(),
            value: value.map(|text| text.to_owned().into()),
            version: Version(self.version),
        };
        self.changes.push((table, row));
        Version(self.version)
    }

    pub fn rows(&self, table: Table) -> Vec<Row> {
        let mut rows = BTreeMap::new();
        for (_, row) in self.changes.iter().filter(|(of, _)| *of == table) {
            rows.insert(row.key.clone(), row.clone());
        }
        rows.retain(|_, row| row.value.is_some());
        rows.into_values().collect()
    }

    pub fn after(&self, table: Table, after: Version) -> Vec<Row> {
        let rows = self.changes.iter().filter(|(of, _)| *of == table);
        let rows = rows.filter(|(_, row)| row.version > after);
        rows.map(|(_, row)| row.clone()).collect()
    }
}

/// What the operator and the servers want, which they write again after a restoration.
#[derive(Default)]
pub struct Truth {
    pub config: u64,
    /// Value of the row of each server; none after it was removed.
    pub servers: BTreeMap<String, Option<String>>,
}
