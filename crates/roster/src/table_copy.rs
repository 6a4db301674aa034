//! A host's copy of a table of the store.
//!
//! The rows, the position (the version up to which they hold all changes) and the time at which the
//! store confirmed them belong together: a position that is ahead of its rows hides a change for
//! good, since nobody sends it again, while every later answer confirms the copy. They are therefore
//! private, and only a complete answer that begins at or before the position changes them, all at
//! once. Answers may arrive in any order and at any age.
//!
//! The feed returns each change, in order, so that one answer may hold several states of a row. Only the
//! newest one is returned to the caller.
//!
//! A store that compacts its history leaves changes out of its feeds for up to [`MAX_HIDING`], before
//! it drops the history. The newest version that the feed states therefore becomes the position only
//! when a later answer shows no change up to it. Until then the feed is asked from the former
//! position, which the store refuses once the history is gone, so that the whole table is read.
//!
//! A store that is restored from an older copy assigns versions again, so that versions of different
//! eras say nothing about each other. Positions are compared by era first. Only a whole table begins a
//! later era, and nothing of an earlier one is taken.

use bv_types::{Era, Millis, Version};

use crate::row_log::{Row, RowLog, RowsSince};

/// Longest time for which the feed may leave out a change that the store has acknowledged. The
/// platform states about a second.
pub const MAX_HIDING: Millis = Millis(1_500);

/// Where an answer about a table begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Extent {
    /// It holds all rows.
    Whole,
    /// It holds the rows that changed after a version.
    After(Version),
}

/// A complete answer about a table, of the store or of another host.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TableAnswer {
    /// Era of all of its versions.
    pub era: Era,
    /// Where it begins.
    pub extent: Extent,
    /// The rows.
    pub rows: Vec<Row>,
    /// Whether rows may be missing that came and went in between.
    pub has_gap: bool,
    /// Version up to which it holds all changes.
    pub up_to: Version,
    /// Newest version of the store that it states.
    pub newest_stated: Version,
    /// Time by the store's clock before which it acknowledged no change after `up_to`.
    pub confirmed_at: Millis,
}

/// An answer of the store's feed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct FeedAnswer {
    /// Era of all of its versions, also of `after`: the store counts from there in the era in which it
    /// answers.
    pub era: Era,
    /// Version after which changes were asked for.
    pub after: Version,
    /// The rows that changed.
    pub rows: Vec<Row>,
    /// Newest version of the rows that changed but do not belong to the table. Like a row, it shows
    /// that the feed has passed this version.
    pub newest_foreign: Option<Version>,
    /// Newest version of the store that it states.
    pub version: Version,
    /// Whether there are more rows than these.
    pub truncated: bool,
    /// Time of the answer by the store's clock.
    pub store_time: Millis,
}

/// An answer about a table, by its origin.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Answer {
    /// Of another host.
    Peer(TableAnswer),
    /// Of the store, with the whole table.
    Read(TableAnswer),
    /// Of the store's feed.
    Feed(FeedAnswer),
}

impl Answer {
    /// Era of its versions.
    pub fn era(&self) -> Era {
        match self {
            Answer::Peer(answer) | Answer::Read(answer) => answer.era,
            Answer::Feed(feed) => feed.era,
        }
    }

    fn is_whole(&self) -> bool {
        match self {
            Answer::Peer(answer) | Answer::Read(answer) => answer.extent == Extent::Whole,
            Answer::Feed(_) => false,
        }
    }
}

/// Why an answer was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejected {
    /// It begins after the position, so changes between them may be missing.
    Gap,
    /// The store states a version before the position.
    Outdated,
    /// It is of an era before that of the copy.
    EarlierEra,
    /// It is of an era after that of the copy and does not hold the whole table.
    LaterEra,
}

/// The copy of a table.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct TableCopy {
    /// Era of all versions here.
    era: Era,
    log: RowLog,
    position: Option<Version>,
    /// By the clock of the store, so that it stays true however long an answer is held up.
    confirmed_at: Option<Millis>,
    /// Versions that answers of the feed stated, with the stated time. Changes up to them may be
    /// missing.
    unsettled: Vec<(Millis, Version)>,
    /// Newest version of the store that an answer stated.
    newest_stated: Version,
}

impl TableCopy {
    /// Era of the versions in this copy.
    pub fn era(&self) -> Era {
        self.era
    }

    /// Version up to which all changes are known; none before the whole table was read.
    pub fn position(&self) -> Option<Version> {
        self.position
    }

    /// Time by the store's clock before which it acknowledged no change that is missing here, other
    /// than one that its feed hid then.
    pub fn confirmed_at(&self) -> Option<Millis> {
        self.confirmed_at
    }

    /// Newest version of the store that an answer stated. The copy may lack a change up to it that
    /// the feed hides.
    pub fn newest_stated(&self) -> (Era, Version) {
        (self.era, self.newest_stated)
    }

    /// Version of the newest known change.
    pub fn newest_change(&self) -> (Era, Version) {
        (self.era, self.log.newest_change())
    }

    /// Rows that are present.
    pub fn rows(&self) -> &RowLog {
        &self.log
    }

    /// Takes an answer. Returns the newest state of each row that changed here, removals included. The
    /// first answer of a later era returns all of its rows, and a removal of each row that it lacks.
    ///
    /// # Errors
    /// The answer leaves out changes that this copy lacks, or is outdated.
    pub fn take(&mut self, answer: Answer) -> Result<Vec<Row>, Rejected> {
        if self.position.is_some() && answer.era() < self.era {
            return Err(Rejected::EarlierEra);
        }
        if self.position.is_some() && answer.era() > self.era {
            return match answer.is_whole() {
                true => self.begin_era(answer),
                false => Err(Rejected::LaterEra),
            };
        }
        match answer {
            Answer::Peer(answer) => self.take_table(answer),
            Answer::Read(read) if Some(read.up_to) < self.position => Err(Rejected::Outdated),
            Answer::Read(read) => self.take_table(read),
            Answer::Feed(feed) => self.take_feed(feed),
        }
    }

    /// Replaces the copy by the whole table of a later era.
    fn begin_era(&mut self, answer: Answer) -> Result<Vec<Row>, Rejected> {
        let before = std::mem::take(self);
        let present = self.take(answer)?;
        let version = self.position.unwrap_or_default();
        let keys = before.log.present().map(|(key, _)| key);
        let lost = keys.filter(|key| self.log.get(key).is_none());
        let lost = lost.map(|key| Row {
            key: key.clone(),
            value: None,
            version,
        });
        Ok(lost.chain(present).collect())
    }

    fn take_table(&mut self, answer: TableAnswer) -> Result<Vec<Row>, Rejected> {
        if let Extent::After(after) = answer.extent {
            // A row that is known here may have gone without a trace in a gap.
            let is_in_gap =
                answer.has_gap && self.position > Some(after) && self.position < Some(answer.up_to);
            if self.position < Some(after) || is_in_gap {
                return Err(Rejected::Gap);
            }
        }
        let changed = match answer.extent {
            // All of its changes are known, maybe newer ones of the same rows.
            _ if Some(answer.up_to) < self.position => Vec::new(),
            Extent::Whole => {
                let position = self.position.unwrap_or(answer.up_to);
                self.log.add_gap(position, answer.up_to);
                self.log.replace(answer.rows, answer.up_to)
            }
            Extent::After(after) => {
                if answer.has_gap {
                    self.log.add_gap(after, answer.up_to);
                }
                let rows = answer.rows.into_iter();
                let mut rows: Vec<Row> = rows.filter(|row| self.log.change(row.clone())).collect();
                rows.retain(|row| self.log.get(&row.key) == Some(row));
                rows
            }
        };
        self.era = answer.era;
        self.position = self.position.max(Some(answer.up_to));
        self.newest_stated = self.newest_stated.max(answer.newest_stated);
        self.confirmed_at = self.confirmed_at.max(Some(answer.confirmed_at));
        self.unsettled
            .retain(|(_, version)| Some(*version) > self.position);
        Ok(changed)
    }

    fn take_feed(&mut self, feed: FeedAnswer) -> Result<Vec<Row>, Rejected> {
        if feed.version < feed.after {
            return Err(Rejected::Outdated);
        }
        let newest_row = feed.rows.iter().map(|row| row.version).max();
        let newest_row = newest_row.max(feed.newest_foreign);
        let (up_to, confirmed_at) = match feed.truncated {
            // Of the newest transaction there may be more rows.
            true => (
                newest_row.map(|row| Version(row.0.saturating_sub(1))),
                Millis::ZERO,
            ),
            false => (
                newest_row.max(self.settled(feed.store_time)),
                feed.store_time,
            ),
        };
        let changed = self.take_table(TableAnswer {
            era: feed.era,
            extent: Extent::After(feed.after),
            rows: feed.rows,
            has_gap: false,
            up_to: up_to.map_or(feed.after, |up_to| up_to.max(feed.after)),
            newest_stated: feed.version,
            confirmed_at,
        })?;
        if !feed.truncated && Some(feed.version) > self.position {
            self.unsettled.push((feed.store_time, feed.version));
        }
        Ok(changed)
    }

    /// Newest version up to which an answer of the feed at a time shows all changes.
    fn settled(&self, store_time: Millis) -> Option<Version> {
        let settled = |(at, _): &&(Millis, Version)| *at + MAX_HIDING <= store_time;
        let versions = self.unsettled.iter().filter(settled);
        versions.map(|(_, version)| *version).max()
    }

    /// What a host lacks that knows all changes up to `position`; none if this copy is empty. A host
    /// that knows a later era lacks nothing, and rejects the answer for its era.
    pub fn since(&self, position: Option<(Era, Version)>) -> Option<TableAnswer> {
        let (up_to, confirmed_at) = (self.position?, self.confirmed_at?);
        let (extent, rows) = match position {
            Some((era, version)) if era > self.era => (Extent::After(version), Vec::new()),
            Some((era, version)) if era == self.era => match self.log.since(version) {
                RowsSince::Changes(rows) => (Extent::After(version), rows),
                RowsSince::All(rows) => (Extent::Whole, rows),
            },
            _ => (Extent::Whole, self.log.all()),
        };
        let is_complete = |(era, version)| era == self.era && !self.log.has_gap_after(version);
        Some(TableAnswer {
            era: self.era,
            extent,
            rows,
            has_gap: !position.is_some_and(is_complete),
            up_to,
            newest_stated: self.newest_stated,
            confirmed_at,
        })
    }
}
