//! Rows of a table with their versions, so that only the changes after a version have to be sent to
//! another host.

use bv_types::Version;
use bytes::Bytes;
use smol_str::SmolStr;

/// Largest number of removed rows that are remembered. Hosts ask for the changes of the last
/// seconds, in which fewer rows are removed even if every server is replaced.
const MAX_REMOVED_ROWS: usize = 2_000;

/// Largest number of gaps that are remembered. Hosts that are behind an older one get all rows.
const MAX_GAPS: usize = 8;

/// One row of a table.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Row {
    /// Key within the table.
    pub key: SmolStr,
    /// Content; `None` if the row was removed, empty if it could not be decoded.
    pub value: Option<Bytes>,
    /// Version of the row. For a removal that was noticed later, an upper bound of it.
    pub version: Version,
}

/// What a host that knows a table up to a version lacks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RowsSince {
    /// The rows that changed since; none if there are no newer changes.
    Changes(Vec<Row>),
    /// All rows, because some changes since that version are not known one by one.
    All(Vec<Row>),
}

/// The rows of one table, sorted by key.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct RowLog {
    rows: Vec<Row>,
    /// Version from which on all changes are known one by one, but for those in `gaps`.
    complete_from: Version,
    /// Versions before and after full reads. A row that came and went between them is not known.
    gaps: Vec<(Version, Version)>,
    newest_change: Version,
    /// Whether the whole table was read.
    is_loaded: bool,
}

impl RowLog {
    /// Replaces all rows by those of a full read, which holds all changes up to `read_at`. Returns
    /// the rows that changed, removals first.
    pub fn replace(&mut self, rows: impl IntoIterator<Item = Row>, read_at: Version) -> Vec<Row> {
        let mut present: Vec<Row> = rows.into_iter().filter(|row| row.value.is_some()).collect();
        present.sort_by(|a, b| a.key.cmp(&b.key));
        let missing: Vec<Row> = self
            .rows
            .iter()
            .filter(|row| row.value.is_some())
            .filter(|row| find(&present, &row.key).is_err())
            .map(|row| Row {
                key: row.key.clone(),
                value: None,
                version: read_at,
            })
            .collect();
        let rows = missing.into_iter().chain(present);
        let changed = rows.filter(|row| self.change(row.clone())).collect();
        if !self.is_loaded {
            self.is_loaded = true;
            self.complete_from = read_at;
        }
        changed
    }

    /// Whether not all changes after a version are known one by one.
    pub fn has_gap_after(&self, version: Version) -> bool {
        self.gaps.iter().any(|(_, to)| version < *to)
    }

    /// Records that the changes between two versions are not known one by one.
    pub fn add_gap(&mut self, from: Version, to: Version) {
        if from < to {
            self.gaps.push((from, to));
        }
        if self.gaps.len() > MAX_GAPS {
            let (_, to) = self.gaps.remove(0);
            self.complete_from = self.complete_from.max(to);
        }
    }

    /// Applies a changed row, unless it or a newer one is known. Returns whether it was applied.
    pub fn change(&mut self, row: Row) -> bool {
        self.newest_change = self.newest_change.max(row.version);
        let is_removal = row.value.is_none();
        match find(&self.rows, &row.key) {
            Ok(at) if row.version <= self.rows[at].version => return false,
            Ok(at) => self.rows[at] = row,
            Err(at) => self.rows.insert(at, row),
        }
        // Only removals add to the rows that are remembered without being present.
        if is_removal {
            self.forget_removed();
        }
        true
    }

    /// The changes after a version.
    pub fn since(&self, version: Version) -> RowsSince {
        let mut gaps = self.gaps.iter();
        let is_in_gap = gaps.any(|(from, to)| *from < version && version < *to);
        if version < self.complete_from || is_in_gap {
            return RowsSince::All(self.all());
        }
        let newer = self.rows.iter().filter(|row| row.version > version);
        RowsSince::Changes(newer.cloned().collect())
    }

    /// The row with this key, also if it was removed.
    pub fn get(&self, key: &str) -> Option<&Row> {
        let at = find(&self.rows, key).ok()?;
        Some(&self.rows[at])
    }

    /// All rows that are present.
    pub fn all(&self) -> Vec<Row> {
        let present = self.rows.iter().filter(|row| row.value.is_some());
        present.cloned().collect()
    }

    /// Version of the newest known change.
    pub fn newest_change(&self) -> Version {
        self.newest_change
    }

    /// Rows that are present.
    pub fn present(&self) -> impl Iterator<Item = (&SmolStr, &Bytes)> {
        self.rows
            .iter()
            .filter_map(|row| Some((&row.key, row.value.as_ref()?)))
    }

    /// Drops the oldest removed rows beyond the limit. Hosts that lack them get all rows.
    fn forget_removed(&mut self) {
        let mut removed: Vec<Version> = self
            .rows
            .iter()
            .filter(|row| row.value.is_none())
            .map(|row| row.version)
            .collect();
        if removed.len() <= MAX_REMOVED_ROWS {
            return;
        }
        removed.sort_unstable();
        let oldest_kept = removed[removed.len() - MAX_REMOVED_ROWS / 2];
        self.rows
            .retain(|row| row.value.is_some() || row.version >= oldest_kept);
        self.complete_from = self.complete_from.max(oldest_kept);
    }
}

fn find(rows: &[Row], key: &str) -> Result<usize, usize> {
    rows.binary_search_by(|row| row.key.as_str().cmp(key))
}
