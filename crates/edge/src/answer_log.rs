//! Log lines about answers that were taken into the copies of the store's tables, or rejected.

use std::fmt;
use std::net::SocketAddr;

use bv_platform::Table;
use bv_roster::{Answer, Extent, Rejected};
use bv_route::ApplyResult;
use bv_types::{Millis, Version};
use tracing::{info, warn};

use crate::counters;
use crate::edge::Edge;
use crate::follow::table_name;
use crate::state::Taken;

/// Who gave an answer about a table.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Origin {
    Store,
    Host(SocketAddr),
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Origin::Store => f.write_str("store"),
            Origin::Host(addr) => addr.fmt(f),
        }
    }
}

/// An answer about a table, for the log.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AnswerLog {
    from: Origin,
    /// Version up to which the answer states to hold all changes.
    version: Version,
    /// Version after which it holds them; none if it holds the whole table.
    after: Option<Version>,
    /// Time since the store had no newer change.
    age: Millis,
}

impl AnswerLog {
    pub fn new(from: Origin, answer: &Answer, age: Millis) -> Self {
        let (version, after) = match answer {
            Answer::Feed(feed) => (feed.version, Some(feed.after)),
            Answer::Peer(answer) | Answer::Read(answer) => match answer.extent {
                Extent::Whole => (answer.up_to, None),
                Extent::After(after) => (answer.up_to, Some(after)),
            },
        };
        AnswerLog {
            from,
            version,
            after,
            age,
        }
    }

    /// Whether the answer holds the whole table.
    pub fn is_whole(&self) -> bool {
        self.after.is_none()
    }
}

/// Logs that an answer began a later era here.
fn log_era(edge: &Edge, table: Table, taken: &Taken, answer: &AnswerLog) {
    counters::store_era(edge.state().known.era().0);
    let Some(era) = taken.new_era else {
        return;
    };
    let source = match answer.from {
        Origin::Store => "store",
        Origin::Host(_) => "host",
    };
    counters::store_restored(table_name(table), source);
    // The copy of the other table is still of the earlier era.
    edge.newer_version_reported.notify_waiters();
    info!(
        table = table_name(table),
        era = era.0,
        source = %answer.from,
        position = answer.version.0,
        age_ms = answer.age.0,
        "store: restored from an older copy"
    );
}

/// Logs what an answer about the configuration did.
pub(crate) fn log_config(edge: &Edge, taken: &Taken, answer: &AnswerLog) {
    log_era(edge, Table::Config, taken, answer);
    for err in &taken.unreadable {
        counters::unreadable_row("config");
        warn!(source = %answer.from, error = %err, "configuration: unreadable row ignored");
    }
    if taken.config != Some(ApplyResult::Applied) {
        return;
    }
    let state = edge.state();
    if let Some(table) = state.in_force.table() {
        counters::config_version(table.version().0);
        info!(
            version = table.version().0,
            routes = table.len(),
            source = %answer.from,
            position = answer.version.0,
            after = answer.after.map(|version| version.0),
            age_ms = answer.age.0,
            "configuration: in force"
        );
    }
}

/// Logs an answer of another host that does not continue the rows already known.
pub(crate) fn log_rejected(answer: &AnswerLog, table: Table, reason: Rejected) {
    counters::answer_rejected(table_name(table), reason);
    info!(
        table = table_name(table),
        source = %answer.from,
        version = answer.version.0,
        after = answer.after.map(|version| version.0),
        ?reason,
        "rows: answer rejected"
    );
}

/// Logs what an answer about the servers did.
pub(crate) fn log_servers(edge: &Edge, taken: &Taken, answer: &AnswerLog) {
    log_era(edge, Table::Servers, taken, answer);
    counters::servers(edge.state().roster.usable_count(edge.now()));
    for err in &taken.unreadable {
        counters::unreadable_row("servers");
        warn!(source = %answer.from, error = %err, "servers: unreadable row ignored");
    }
    if taken.effects > 0 {
        info!(
            changed = taken.changed,
            source = %answer.from,
            position = answer.version.0,
            after = answer.after.map(|version| version.0),
            age_ms = answer.age.0,
            "servers: taken over"
        );
    }
}
